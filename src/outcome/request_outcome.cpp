#include <buckthorncroft/outcome/request_outcome.h>

#include <algorithm>

namespace buckthorncroft::outcome {

const char* toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return "completed";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

RequestOutcome::AttemptId RequestOutcome::startAttempt()
{
    m_attempts.push_back(State::Started);
    return m_attempts.size() - 1;
}

// Returns null for an attempt that was never started, and counts this as misuse.
RequestOutcome::State* RequestOutcome::find(AttemptId attempt)
{
    if (attempt < m_attempts.size())
        return &m_attempts[attempt];
    ++m_misuses;
    return nullptr;
}

void RequestOutcome::recordBytesSent(AttemptId attempt)
{
    auto* state = find(attempt);
    if (state && *state != State::Responded)
        *state = State::Sent;
}

void RequestOutcome::recordNotRunRefusal(AttemptId attempt)
{
    auto* state = find(attempt);
    if (!state)
        return;
    if (*state == State::Sent)
        *state = State::Refused;
    else if (*state == State::Started)
        ++m_misuses;
}

void RequestOutcome::recordResponse(AttemptId attempt)
{
    auto* state = find(attempt);
    if (!state)
        return;
    if (*state == State::Started)
        ++m_misuses;
    else
        *state = State::Responded;
}

bool RequestOutcome::mayHaveRun() const
{
    return m_misuses > 0 || std::any_of(m_attempts.begin(), m_attempts.end(), [](State it) {
        return it == State::Sent || it == State::Responded;
    });
}

bool RequestOutcome::hasResponse() const
{
    return std::find(m_attempts.begin(), m_attempts.end(), State::Responded) != m_attempts.end();
}

bool RequestOutcome::mayRunAgain() const
{
    return !mayHaveRun();
}

Outcome RequestOutcome::outcome() const
{
    if (hasResponse())
        return Outcome::Completed;
    return mayHaveRun() ? Outcome::Unknown : Outcome::NotRun;
}

} // namespace buckthorncroft::outcome
