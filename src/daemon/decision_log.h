#pragma once

#include <buckthorncroft/config/model.h>
#include <buckthorncroft/observe/log.h>
#include <buckthorncroft/routing/router.h>
#include <string>

namespace buckthorncroft::daemon {

/// Writes the line of one choice: the target, from how many it was chosen, and why the others were not.
void logDecision(const observe::Logger& log, const std::string& request, const config::Service& service,
    config::RequestKind kind, const char* reason, const routing::Decision& decision);

} // namespace buckthorncroft::daemon
