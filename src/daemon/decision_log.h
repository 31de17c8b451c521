#pragma once

#include <buckthorncroft/config/model.h>
#include <buckthorncroft/observe/log.h>
#include <buckthorncroft/routing/router.h>
#include <string>

namespace buckthorncroft::daemon {

/// Logs one routing decision at level info: the chosen target, how many were considered, and why the others were
/// rejected.
void logDecision(const observe::Logger& log, const std::string& request, const config::Service& service,
    config::RequestKind kind, const char* reason, const routing::Decision& decision);

} // namespace buckthorncroft::daemon
