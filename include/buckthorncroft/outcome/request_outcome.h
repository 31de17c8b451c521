#pragma once

#include <cstddef>
#include <vector>

namespace buckthorncroft::outcome {

/// How a request ended. Each request ends as exactly one of these.
enum class Outcome {
    Completed, ///< A complete response was received and passed on.
    NotRun, ///< Certainly no target ran the request.
    Unknown, ///< A target may have run the request.
};

/// Returns `completed`, `not-run` or `unknown`, as in the `Buckthorncroft-Outcome` header.
const char* toString(Outcome outcome);

/// Tracks all attempts of one request and derives the request's outcome. Not safe for concurrent use.
///
/// The outcome is `NotRun` only if each attempt that sent a byte was refused by the target's not-run contract. An
/// attempt that sent bytes and was not resolved counts as one that may have run. A call that contradicts the attempt's
/// state (an unknown attempt, or a response or refusal for an attempt that sent nothing) is counted as misuse, and from
/// then on the request counts as one that may have run.
class RequestOutcome {
public:
    /// Identifies an attempt of this request.
    using AttemptId = std::size_t;

    /// Registers an attempt. Must be called before a connection is opened for it.
    AttemptId startAttempt();

    /// Records that the attempt sends bytes. Must be called before the first byte of the request is passed to the
    /// operating system. Bytes sent after a refusal revoke it, since the refusal cannot have covered them.
    void recordBytesSent(AttemptId attempt);

    /// Records that the target stated by its not-run contract that it did not run the request. Has no effect if
    /// repeated, or after a complete response to the attempt.
    void recordNotRunRefusal(AttemptId attempt);

    /// Records a complete response to the attempt.
    void recordResponse(AttemptId attempt);

    /// Whether another attempt of a non-idempotent request is allowed, that is, certainly no earlier attempt ran.
    /// Attempts of such a request must not overlap: the user of this class must have ended the previous one.
    bool mayRunAgain() const;

    Outcome outcome() const;

    /// Returns the number of calls that contradicted the state of their attempt. Each is a programming error that
    /// should be reported.
    std::size_t misuses() const { return m_misuses; }

private:
    enum class State { Started, Sent, Refused, Responded };
    State* find(AttemptId attempt);
    bool mayHaveRun() const;
    bool hasResponse() const;

    std::vector<State> m_attempts;
    std::size_t m_misuses = 0;
};

} // namespace buckthorncroft::outcome
