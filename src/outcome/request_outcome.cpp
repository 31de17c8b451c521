#include <buckthorncroft/outcome/request_outcome.h>

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
    return m_attempts++;
}

void RequestOutcome::bytesSent(AttemptId)
{
    ++m_mayHaveRun;
}

void RequestOutcome::refusedNotRun(AttemptId)
{
    if (m_mayHaveRun)
        --m_mayHaveRun;
}

void RequestOutcome::answered(AttemptId)
{
    m_answered = true;
}

bool RequestOutcome::mayRunAgain() const
{
    return !m_answered && m_mayHaveRun == 0;
}

Outcome RequestOutcome::outcome() const
{
    if (m_answered)
        return Outcome::Completed;
    return m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

} // namespace buckthorncroft::outcome
