#pragma once

#include <buckthorncroft/daemon/control_state.h>
#include <buckthorncroft/daemon/settings.h>
#include <string>

namespace buckthorncroft::daemon::detail {

/// Formats scores per request kind for the decision log, for example `idempotent:7.5,upload:0.2`; `none` if all are 0.
std::string scoresText(const health::KindScores& scores);

/// Returns the JSON document of the operators' status request.
std::string statusDocument(const ControlState& state, const InstanceSettings& settings, base::SteadyTime now);

} // namespace buckthorncroft::daemon::detail
