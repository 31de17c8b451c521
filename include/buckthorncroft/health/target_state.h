#pragma once

#include <array>
#include <buckthorncroft/health/settings.h>
#include <buckthorncroft/health/stage_change.h>
#include <set>
#include <string>

namespace buckthorncroft::health::detail {

/// Score of one target and kind since the last reset. A pooled score still contains the evidence that led to an earlier
/// ejection. Subtracting its minimum since the reset yields the score of a cumulative sum that was started at the
/// reset.
struct ScoreSinceReset {
    double raw = 0;
    double minimum = 0; ///< Smallest raw score since the reset; 0 before the first reset.
    double value() const { return raw - minimum; }
    void set(double score);
    void reset() { minimum = raw; }
};

/// State of one target in `ServiceHealth`. Arrays are indexed by `config::RequestKind`.
struct TargetState {
    std::string id;
    Stage stage = Stage::Healthy;
    StageChangeReason reason = StageChangeReason::Cleared; ///< Of the last change.
    base::SteadyTime since; ///< Time of the last change.
    std::array<ScoreSinceReset, config::requestKindCount> own;
    std::array<ScoreSinceReset, config::requestKindCount> pooled;
    std::array<bool, config::requestKindCount> refutedByOthers {}; ///< Others observe good responses: path fault.
    std::array<bool, config::requestKindCount> suspect {};
    std::array<base::SteadyTime, config::requestKindCount> suspectSince;
    std::array<base::SteadyTime, config::requestKindCount> unprovenSince; ///< Start of the slow ramp-up.
    std::array<bool, config::requestKindCount> unproven {}; ///< Was suspect, and trials cannot test this kind.
    unsigned reporters = 0;
    double pathFaultScore = 0; ///< Score from this instance's zone while other zones observe good responses.
    double endpointScore = 0;
    base::SteadyTime endpointScoreAt; ///< Time to which `endpointScore` has decayed.
    double scoreAtEjection = 0; ///< Or a peer's score, if that is higher; ranks targets at the floor.
    unsigned ejections = 0;
    base::SteadyTime ejectionsUpdatedAt; ///< Last change of `ejections`, or start of the healthy time that lowers it.
    base::SteadyTime stageEndsAt; ///< End of the ejection or ramp-up time.
    unsigned trialSuccesses = 0;
    unsigned trialFailures = 0;
    base::SteadyTime coldStartEndsAt; ///< Attempts that end earlier are not evidence.
    base::SteadyTime nextColdStartAt; ///< Earliest time at which another cold start is accepted.
    bool shouldEject = false; ///< The score requires an ejection.
    StageChangeReason ejectReason = StageChangeReason::OwnEvidence;
    double candidateScore = 0; ///< Score that set `shouldEject`; ranks targets at the floor.
    bool heldByFloor = false;
    bool avoidLocally = false;
    bool down = false;
    std::set<DrainSource> drainSources;

    /// Whether the target is ejected or in trial.
    bool isOutOfService() const { return stage == Stage::Ejected || stage == Stage::Trial; }
};

} // namespace buckthorncroft::health::detail
