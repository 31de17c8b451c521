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
};

} // namespace buckthorncroft::health
