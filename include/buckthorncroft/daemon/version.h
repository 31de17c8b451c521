#pragma once

namespace buckthorncroft::daemon {

/// Version of the library and its programs, as printed by `--version`.
const char* versionText();

} // namespace buckthorncroft::daemon
