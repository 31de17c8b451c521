#include "files.h"

#include <fstream>

namespace buckthorncroft::daemon::detail {

std::string readWholeFile(const std::string& name, base::Findings& findings)
{
    std::ifstream file(name, std::ios::binary);
    std::string text;
    char buf[4096];
    // Unlike an iterator, `read` throws no exception if the file is a directory.
    while (file.read(buf, sizeof buf) || file.gcount() > 0)
        text.append(buf, static_cast<std::size_t>(file.gcount()));
    if (!file.eof())
        findings.push_back({ name, 0, "", "cannot be read", "check the name and the permissions" });
    return text;
}

} // namespace buckthorncroft::daemon::detail
