#pragma once

#include <array>
#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/health/verdict.h>
#include <string>

namespace buckthorncroft::health {

/// Cause of a stage change.
enum class StageChangeReason {
    OwnEvidence, ///< This instance's own observations.
    PooledEvidence, ///< The observations of all reporters.
    Endpoint, ///< Health or load endpoint.
    PeerEjected, ///< Adopted from peers shortly after this instance started.
    EjectionOver, ///< The ejection time has elapsed.
    TrialPassed,
    TrialFailed,
    RampedUp,
    ColdStart,
    Cleared, ///< The score fell below the clearing threshold.
    Floor, ///< Readmitted or not ejected, because the floor would be violated.
};

/// Returns the reason's name in snake_case, as printed in logs.
const char* toString(StageChangeReason reason);

/// Scores per request kind, indexed by `config::RequestKind`.
using KindScores = std::array<double, config::requestKindCount>;

/// Decision about one target, for the decision log.
struct StageChange {
    std::string target; ///< Target id.
    Stage from = Stage::Healthy;
    Stage to = Stage::Healthy; ///< Equal to `from` if the floor prevented an ejection.
    StageChangeReason reason = StageChangeReason::OwnEvidence;
    KindScores own {}; ///< Scores from this instance's observations.
    KindScores pooled {}; ///< Scores from the observations of all reporters.
    bool heldByFloor = false; ///< The score requires an ejection that the floor prevents.
    unsigned inServiceCount = 0; ///< Targets in service after the decision.
    unsigned floor = 0; ///< Minimum number of targets in service.
};

/// Stage of a target with the data it results from, for operators.
struct StageExplanation {
    std::string target; ///< Target id.
    Stage stage = Stage::Healthy;
    StageChangeReason reason = StageChangeReason::Cleared; ///< Reason of the last change.
    base::SteadyTime since; ///< Time of the last change.
    KindScores own {}; ///< As in `StageChange`.
    KindScores pooled {}; ///< As in `StageChange`.
    unsigned reporters = 0; ///< Reporters with pooled evidence; the maximum over the kinds.
    unsigned ejections = 0; ///< Recent ejections; each doubles the next ejection time.
    bool heldByFloor = false; ///< The floor prevents its ejection.
    bool avoidLocally = false; ///< This instance avoids the target; others may use it.
    bool draining = false;
    bool down = false;
    unsigned inServiceCount = 0; ///< Targets of the service that are in service.
    unsigned floor = 0; ///< Minimum number of targets in service.
};

/// Source of the information that a target is draining. A target drains while at least one source reports it.
enum class DrainSource {
    Configuration,
    InstanceList,
    TargetResponse,
    Peer,
};

} // namespace buckthorncroft::health
