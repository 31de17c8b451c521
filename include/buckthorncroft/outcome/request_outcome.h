#pragma once

#include <cstddef>

namespace buckthorncroft::outcome {

/// How a request ended. Each request ends as exactly one of these.
enum class Outcome {
    Completed, ///< A whole answer was received and passed on.
    NotRun, ///< Certainly not run by any target.
    Unknown, ///< May have run.
};

/// Returns `completed`, `not-run` or `unknown`, as in the `Buckthorncroft-Outcome` header.
const char* toString(Outcome outcome);

/// Tracks all attempts of one request and derives its outcome. Not safe for concurrent use.
///
/// "Not run" is reported only if no attempt sent a byte, or every attempt that did was refused by the target's
/// not-run contract. An attempt that has started and was never resolved counts as one that may have run.
class RequestOutcome {
public:
    /// Identifies an attempt of this request.
    using AttemptId = std::size_t;

    /// Registers an attempt before a connection is opened for it.
    AttemptId startAttempt();

    /// Must be called before the first byte of the request is handed to the operating system.
    void bytesSent(AttemptId attempt);

    /// The target stated by its contract that it did not run the request. Ignored if a whole answer was seen.
    void refusedNotRun(AttemptId attempt);

    /// A whole answer arrived.
    void answered(AttemptId attempt);

    /// Whether another attempt of a non-idempotent request is allowed: no attempt may have run.
    bool mayRunAgain() const;

    Outcome outcome() const;

private:
    std::size_t m_attempts = 0;
    std::size_t m_mayHaveRun = 0; ///< Attempts that sent bytes and were not refused.
    bool m_answered = false;
};

} // namespace buckthorncroft::outcome
