#include <buckthorncroft/base/finding.h>

namespace buckthorncroft::base {

std::string toString(const Finding& finding)
{
    std::string result;
    if (!finding.file.empty()) {
        result += finding.file;
        if (finding.line)
            result += ":" + std::to_string(finding.line);
        result += ": ";
    }
    if (!finding.key.empty())
        result += finding.key + ": ";
    result += finding.reason;
    if (!finding.suggestion.empty())
        result += " (" + finding.suggestion + ")";
    return result;
}

} // namespace buckthorncroft::base
