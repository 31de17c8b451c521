#include <buckthorncroft/health/target_risk.h>

#include <algorithm>
#include <cmath>

namespace buckthorncroft::health {

namespace {

    // Number of consecutive good responses after which a target counts as recovered.
    constexpr unsigned recoveryGoodResponses = 3;

    // Below this risk a new failure is not a repetition of the last one.
    constexpr double negligibleRisk = 0.02;

    // Failures within this time are assumed to have the same cause and count once.
    constexpr std::chrono::milliseconds sameFailurePeriod { 200 };

} // namespace

double TargetRisk::failureProbability(base::SteadyTime now, double unknownRisk) const
{
    const std::chrono::duration<double> age = std::max(base::SteadyTime::duration(0), timeSinceEvidence(now));
    const double expiredFraction = 1 - std::exp(-age / std::chrono::duration<double>(m_settings.evidenceDecayTime));
    return 1 - (1 - currentRisk(now)) * (1 - unknownRisk * expiredFraction);
}

double TargetRisk::currentRisk(base::SteadyTime now) const
{
    if (m_risk == 0)
        return 0;
    const std::chrono::duration<double> age = std::max(base::SteadyTime::duration(0), now - m_riskAt);
    return m_risk * std::exp(-age / std::chrono::duration<double>(m_decayTime));
}

void TargetRisk::raiseRisk(double probability, bool repeated, base::SteadyTime now)
{
    const double before = currentRisk(now);
    if (before < negligibleRisk)
        m_decayTime = m_settings.initialDecayTime;
    else if (repeated && m_goodResponses < recoveryGoodResponses)
        m_decayTime = std::min(m_settings.maxDecayTime,
            std::chrono::duration_cast<std::chrono::milliseconds>(m_decayTime * m_settings.decayTimeGrowth));
    m_risk = std::max(before, std::min(probability, 1.0));
    m_riskAt = now;
    m_goodResponses = 0;
    m_isUnproven = true;
    if (m_failureCount == 0 || now - m_lastFailureAt > sameFailurePeriod)
        ++m_failureCount;
    m_lastFailureAt = now;
}

void TargetRisk::recordGoodResponse(base::SteadyTime now)
{
    m_risk = currentRisk(now) * m_settings.goodResponseFactor;
    m_riskAt = now;
    m_isUnproven = false;
    m_failureCount = 0;
    ++m_goodResponses;
}

void TargetRisk::observe(Verdict verdict, base::SteadyTime startedAt, base::SteadyTime now)
{
    const double before = currentRisk(now);
    if (isEvidence(verdict))
        m_evidenceAt = now;
    switch (verdict) {
    case Verdict::Good:
    case Verdict::Slow:
        if (startedAt >= m_lastFailedStartedAt)
            recordGoodResponse(now);
        break;
    case Verdict::Error:
        m_lastFailedStartedAt = std::max(m_lastFailedStartedAt, startedAt);
        if (before + m_settings.errorResponseRisk > m_settings.minUnprovenRisk) {
            raiseRisk(before + m_settings.errorResponseRisk, m_isUnproven, now);
            break;
        }
        m_risk = before + m_settings.errorResponseRisk;
        m_riskAt = now;
        break;
    case Verdict::Truncated:
    case Verdict::Mismatched:
    case Verdict::ConnectFailed:
    case Verdict::TimedOut:
        raiseRisk(m_settings.brokenResponseRisk, m_isUnproven, now);
        m_lastFailedStartedAt = std::max(m_lastFailedStartedAt, startedAt);
        break;
    case Verdict::Shed:
        // A refused request did not run and can be sent elsewhere, so the target does not become unproven.
        m_risk = std::min(1.0, before + m_settings.shedRisk);
        m_riskAt = now;
        break;
    case Verdict::ColdStart:
    case Verdict::Draining:
    case Verdict::Cancelled:
        break;
    }
}

void TargetRisk::recordOverdueAttempt(base::SteadyTime now)
{
    raiseRisk(m_settings.minOverdueRisk, false, now);
}

void TargetRisk::mergeRisk(double probability, base::SteadyTime now)
{
    if (probability > currentRisk(now))
        raiseRisk(probability, false, now);
}

} // namespace buckthorncroft::health
