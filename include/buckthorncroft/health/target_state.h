#pragma once

#include <array>
#include <buckthorncroft/health/settings.h>
#include <buckthorncroft/health/stage_change.h>
#include <set>
#include <string>

namespace buckthorncroft::health::detail {

/// Score of one target and kind, counted from the last reset. A pooled score still contains what led to an earlier
/// ejection; subtracting its minimum since the reset leaves the score that a new cumulative sum would have.
struct SinceReset {
    double raw = 0;
    double lowest = 0; ///< Smallest raw score since the reset; 0 when there was none.
    double value() const { return raw - lowest; }
    void set(double score);
    void reset() { lowest = raw; }
};

/// What ServiceHealth keeps about one target.
struct TargetState {
    std::string id;
    Stage stage = Stage::Healthy;
    Reason reason = Reason::Cleared; ///< Of the last change.
    base::SteadyTime since; ///< Time of the last change.
    std::array<SinceReset, config::requestKindCount> own;
    std::array<SinceReset, config::requestKindCount> pooled;
    std::array<bool, config::requestKindCount> refuted {}; ///< Others find the target good: the path is at fault.
    std::array<bool, config::requestKindCount> suspect {};
    std::array<base::SteadyTime, config::requestKindCount> suspectSince;
    std::array<base::SteadyTime, config::requestKindCount> unprovenSince; ///< Start of a kind's slow ramp-up.
    std::array<bool, config::requestKindCount> unproven {}; ///< The kind was bad and no trial can prove it.
    unsigned reporters = 0;
    double pathFaultScore = 0; ///< Score of this instance's zone, while other zones find the target good.
    double endpointScore = 0;
    base::SteadyTime endpointAt; ///< Time to which `endpointScore` has decayed.
    double ejectedScore = 0; ///< Score at ejection; orders targets at the floor.
    unsigned ejections = 0;
    base::SteadyTime forgivenAt; ///< When the last repetition was added or taken back.
    base::SteadyTime until; ///< End of the ejection or ramp-up.
    unsigned trialGoods = 0;
    unsigned trialBads = 0;
    base::SteadyTime coldUntil; ///< Observations before this time are no evidence.
    base::SteadyTime coldAgain; ///< Earliest time of another cold start.
    bool wanted = false; ///< The score asks for an ejection.
    Reason wantedReason = Reason::OwnEvidence;
    double wantedScore = 0; ///< Score behind `wanted`; orders targets at the floor.
    bool heldByFloor = false;
    bool avoidLocally = false;
    bool down = false;
    std::set<DrainSource> drains;

    bool out() const { return stage == Stage::Ejected || stage == Stage::Trial; }
};

} // namespace buckthorncroft::health::detail
