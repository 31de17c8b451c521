#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/config/model.h>
#include <chrono>
#include <cstddef>

namespace buckthorncroft::health {

/// Result of one attempt, as evidence about its target.
enum class Verdict {
    Good,
    Slow, ///< Complete response, but late for the deadline or compared with the service's other targets.
    Error, ///< Response that states a failure of the target (5xx that is not the not-run contract).
    Truncated, ///< The response ended early.
    Mismatched, ///< The response echoed the id of another request.
    ConnectFailed,
    TimedOut, ///< No complete response before the deadline.
    Shed, ///< Refused by the not-run contract; not evidence.
    ColdStart, ///< During the target's cold start; not evidence.
    Draining, ///< The target announced that it is draining; not evidence.
    Cancelled, ///< The instance cancelled the attempt, for example because a hedge won; not evidence.
};

/// Whether the verdict is evidence for or against the target.
constexpr bool isEvidence(Verdict verdict)
{
    return verdict < Verdict::Shed;
}

/// Whether the verdict is evidence against the target.
constexpr bool isSlowOrBad(Verdict verdict)
{
    return verdict != Verdict::Good && isEvidence(verdict);
}

/// Returns the verdict's name in snake_case, as printed in logs.
const char* toString(Verdict verdict);

/// Stage of a target on one instance; determines which requests it receives.
enum class Stage {
    Healthy,
    Suspect, ///< Receives idempotent requests only, after some time possibly fewer; still counts as capacity.
    Ejected, ///< Receives no requests.
    Trial, ///< Receives single idempotent requests, each backed by a second attempt.
    RampUp, ///< Receives a growing fraction of its traffic after an ejection or during a cold start.
};

/// Returns the stage's name in snake_case, as printed in logs.
const char* toString(Stage stage);

/// One finished attempt, as reported by a traffic thread.
struct Observation {
    std::size_t target = 0; ///< Index into `config::Service::targets`.
    config::RequestKind kind = config::RequestKind::Idempotent;
    Verdict verdict = Verdict::Good;
    std::chrono::microseconds latency { 0 }; ///< From the first byte sent to the last byte received.
    std::chrono::microseconds timeToDeadline { 0 }; ///< At the start of the attempt.
    base::SteadyTime at; ///< End of the attempt.
    bool alreadyCounted = false; ///< Counted by `ServiceHealth::countPendingAsSlow`; must not be counted twice.
};

} // namespace buckthorncroft::health
