#include <buckthorncroft/daemon/version.h>

namespace buckthorncroft::daemon {

const char* versionText()
{
    return "0.1.0";
}

} // namespace buckthorncroft::daemon
