#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/config/model.h>
#include <chrono>
#include <cstddef>

namespace buckthorncroft::health {

/// What one attempt showed about its target.
enum class Verdict {
    Good,
    Slow, ///< A whole answer, but late against the deadline or the service's other targets.
    Error, ///< An answer that states a failure of the target (5xx that is not the not-run contract).
    Truncated, ///< An answer that ended early.
    Mismatched, ///< An answer that echoed another request's id.
    ConnectFailed,
    TimedOut, ///< No whole answer before the deadline.
    Shed, ///< Refused by the not-run contract; no evidence.
    ColdStart, ///< During the target's cold start; no evidence.
    Draining, ///< The target announced that it is leaving; no evidence.
    Cancelled, ///< The instance abandoned the attempt, for example a hedge that lost; no evidence.
};

/// Whether the verdict counts as evidence for or against the target.
constexpr bool isEvidence(Verdict verdict)
{
    return verdict < Verdict::Shed;
}

/// Whether the verdict counts against the target.
constexpr bool isSlowOrBad(Verdict verdict)
{
    return verdict != Verdict::Good && isEvidence(verdict);
}

/// Returns the verdict's name in snake_case, as printed in logs.
const char* toString(Verdict verdict);

/// How much an instance trusts a target.
enum class Stage {
    Healthy,
    Suspect, ///< Loses non-idempotent work and most of the rest; still counts as capacity.
    Ejected, ///< Receives no work.
    Trial, ///< Receives single idempotent requests, each backed by a second attempt.
    RampUp, ///< Receives a growing share, after an ejection or during a cold start.
};

/// Returns the stage's name in snake_case, as printed in logs.
const char* toString(Stage stage);

/// One finished attempt, as a traffic thread reports it.
struct Observation {
    std::size_t target = 0; ///< Index into `config::Service::targets`.
    config::RequestKind kind = config::RequestKind::Idempotent;
    Verdict verdict = Verdict::Good;
    std::chrono::microseconds latency { 0 }; ///< From the first byte sent to the last byte received.
    std::chrono::microseconds timeToDeadline { 0 }; ///< Time that was left until the deadline when the attempt started.
    base::SteadyTime at; ///< When the attempt ended.
    bool alreadyCounted
        = false; ///< `ServiceHealth::countPendingAsSlow` has counted this attempt; it is not counted twice.
};

} // namespace buckthorncroft::health
