#pragma once

#include <array>
#include <buckthorncroft/health/verdict.h>

namespace buckthorncroft::health {

/// Health of one target as routing needs it. Indexes match `config::Service::targets`.
struct TargetView {
    Stage stage = Stage::Healthy;
    std::array<bool, config::requestKindCount> suspectFor {}; ///< Suspect for requests of the kind.
    bool draining = false; ///< Receives no new requests.
    bool avoidLocally = false; ///< Path fault between this instance and the target; other instances may use it.
    double weight = 1; ///< Fraction of the usual traffic, 0 to 1; may be below 1 in `RampUp` and `Suspect`.
    /// Fraction of the usual traffic by request kind, 0 to 1; at most `weight`. Smaller for a kind that was suspect and
    /// that trial requests cannot test, so that its traffic returns slowly.
    std::array<double, config::requestKindCount> weightFor { 1, 1, 1 };
};

} // namespace buckthorncroft::health
