#pragma once

#include <array>
#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/health/verdict.h>
#include <string>

namespace buckthorncroft::health {

/// Why a target changed its stage.
enum class Reason {
    OwnEvidence, ///< This instance's own observations.
    PooledEvidence, ///< The observations of all reporters.
    Endpoint, ///< Health or load endpoint.
    PeerEjected, ///< Adopted from peers shortly after the start.
    EjectionOver, ///< The ejection time has passed.
    TrialPassed,
    TrialFailed,
    RampedUp,
    ColdStart,
    Cleared, ///< The score fell below the clearing threshold.
    Floor, ///< Readmitted, or held back, because the floor would be broken.
};

/// Returns the reason's name in snake_case, as printed in logs.
const char* toString(Reason reason);

/// Scores per request kind, indexed by `config::RequestKind`.
using KindScores = std::array<double, config::requestKindCount>;

/// One decision about one target, for the decision log.
struct StageChange {
    std::string target; ///< Target id.
    Stage from = Stage::Healthy;
    Stage to = Stage::Healthy; ///< Equal to `from` when the floor held an ejection back.
    Reason reason = Reason::OwnEvidence;
    KindScores own {};
    KindScores pooled {};
    bool heldByFloor = false; ///< The score asked for an ejection that the floor forbids.
    unsigned inServiceCount = 0; ///< Targets in after the decision.
    unsigned floor = 0; ///< Targets that must stay in.
};

/// Why a target is in its stage, for operators.
struct StageExplanation {
    std::string target; ///< Target id.
    Stage stage = Stage::Healthy;
    Reason reason = Reason::Cleared; ///< Reason of the last change.
    base::SteadyTime since; ///< Time of the last change.
    KindScores own {};
    KindScores pooled {};
    unsigned reporters = 0; ///< Reporters behind the pooled scores, the largest over the kinds.
    unsigned ejections = 0; ///< Repetitions that lengthen the next ejection.
    bool heldByFloor = false; ///< Kept in by the floor.
    bool avoidLocally = false;
    bool draining = false;
    bool down = false;
    unsigned inServiceCount = 0; ///< Targets of the service that are in.
    unsigned floor = 0; ///< Targets that must stay in.
};

/// Who says that a target is leaving. A target drains while any source says so.
enum class DrainSource {
    Configuration,
    InstanceList,
    TargetResponse,
    Peer,
};

} // namespace buckthorncroft::health
