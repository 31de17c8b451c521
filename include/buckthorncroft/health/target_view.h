#pragma once

#include <array>
#include <buckthorncroft/health/verdict.h>

namespace buckthorncroft::health {

/// What routing needs to know about one target's health. Indexes match `config::Service::targets`.
struct TargetView {
    Stage stage = Stage::Healthy;
    std::array<bool, config::requestKindCount> suspectFor {}; ///< Suspect for this kind of request only.
    bool draining = false; ///< Receives no new work.
    bool avoidLocally = false; ///< This instance cannot use the path to the target; others may.
    double weight = 1; ///< Share of ordinary work, 0 to 1; below 1 during RampUp and Suspect.
    /// Share of ordinary work of each kind, 0 to 1; at most `weight`. Smaller for a kind that was bad and that trial
    /// requests cannot prove: a little of it is sent again first.
    std::array<double, config::requestKindCount> weightFor { 1, 1, 1 };
};

} // namespace buckthorncroft::health
