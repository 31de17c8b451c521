#pragma once

#include <cstddef>
#include <vector>

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
/// not-run contract. An attempt that sent bytes and was never resolved counts as one that may have run. A call that
/// contradicts the attempt's state (an unknown attempt, or an answer or refusal for an attempt that sent nothing) is
/// counted as misuse, and from then on the request counts as one that may have run.
class RequestOutcome {
public:
    /// Identifies an attempt of this request.
    using AttemptId = std::size_t;

    /// Registers an attempt before a connection is opened for it.
    AttemptId startAttempt();

    /// Must be called before the first byte of the request is handed to the operating system. Bytes that are sent
    /// after a refusal revoke it, since the refusal cannot have covered them.
    void recordBytesSent(AttemptId attempt);

    /// The target stated by its contract that it did not run the request. Has no effect when repeated, or after a
    /// whole answer to the attempt.
    void recordNotRunRefusal(AttemptId attempt);

    /// A whole answer arrived.
    void recordResponse(AttemptId attempt);

    /// Whether another attempt of a non-idempotent request is allowed: no attempt may have run. Attempts of such a
    /// request must follow one another; the caller must have given up the previous one.
    bool mayRunAgain() const;

    Outcome outcome() const;

    /// Calls that contradicted the state of their attempt; to be reported, since they are faults of the program.
    std::size_t misuses() const { return m_misuses; }

private:
    enum class State { Started, Sent, Refused, Answered };
    State* find(AttemptId attempt);
    bool mayHaveRun() const;
    bool wasAnswered() const;

    std::vector<State> m_attempts;
    std::size_t m_misuses = 0;
};

} // namespace buckthorncroft::outcome
