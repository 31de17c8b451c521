#pragma once

#include <buckthorncroft/daemon/control_state.h>
#include <buckthorncroft/daemon/settings.h>
#include <string>

namespace buckthorncroft::daemon::detail {

/// Formats scores per request kind for the decision log, for example `idempotent:7.5,upload:0.2`; `none` if all are 0.
std::string formatScores(const health::KindScores& scores);

/// Returns the JSON document that operators get from `/status`.
std::string makeStatusDocument(const ControlState& state, const InstanceSettings& settings, base::SteadyTime now);

} // namespace buckthorncroft::daemon::detail
