#include <buckthorncroft/health/target_risk.h>

#include <algorithm>
#include <cmath>

namespace buckthorncroft::health {

namespace {

    // Good answers in a row after which a target counts as recovered.
    constexpr unsigned goodsOfRecovery = 3;

    // Risk below which a new failure is not a repetition of the last one.
    constexpr double forgottenRisk = 0.02;

    // Failures within this time have one cause.
    constexpr std::chrono::milliseconds sameFailure { 200 };

} // namespace

double TargetRisk::failureProbability(base::SteadyTime now, double unknown) const
{
    const std::chrono::duration<double> age = std::max(base::SteadyTime::duration(0), timeSinceEvidence(now));
    const double forgotten = 1 - std::exp(-age / std::chrono::duration<double>(m_settings.knowledgeDecay));
    return 1 - (1 - failureRisk(now)) * (1 - unknown * forgotten);
}

double TargetRisk::failureRisk(base::SteadyTime now) const
{
    if (m_risk == 0)
        return 0;
    const std::chrono::duration<double> age = std::max(base::SteadyTime::duration(0), now - m_at);
    return m_risk * std::exp(-age / std::chrono::duration<double>(m_decay));
}

void TargetRisk::raise(double probability, bool repeated, base::SteadyTime now)
{
    const double before = failureRisk(now);
    if (before < forgottenRisk)
        m_decay = m_settings.firstDecay;
    else if (repeated && m_goods < goodsOfRecovery)
        m_decay = std::min(m_settings.longestDecay,
            std::chrono::duration_cast<std::chrono::milliseconds>(m_decay * m_settings.decayGrowth));
    m_risk = std::max(before, std::min(probability, 1.0));
    m_at = now;
    m_goods = 0;
    m_unproven = true;
    if (m_failures == 0 || now - m_failedAt > sameFailure)
        ++m_failures;
    m_failedAt = now;
}

void TargetRisk::recover(base::SteadyTime now)
{
    m_risk = failureRisk(now) * m_settings.goodFactor;
    m_at = now;
    m_unproven = false;
    m_failures = 0;
    ++m_goods;
}

void TargetRisk::observe(Verdict verdict, base::SteadyTime started, base::SteadyTime now)
{
    const double before = failureRisk(now);
    if (isEvidence(verdict))
        m_evidenceAt = now;
    switch (verdict) {
    case Verdict::Good:
    case Verdict::Slow:
        if (started >= m_failedStart)
            recover(now);
        break;
    case Verdict::Error:
        m_failedStart = std::max(m_failedStart, started);
        if (before + m_settings.errorRisk > m_settings.repeatedErrorRisk) {
            raise(before + m_settings.errorRisk, m_unproven, now);
            break;
        }
        m_risk = before + m_settings.errorRisk;
        m_at = now;
        break;
    case Verdict::Truncated:
    case Verdict::Mismatched:
    case Verdict::ConnectFailed:
    case Verdict::TimedOut:
        raise(m_settings.hardRisk, m_unproven, now);
        m_failedStart = std::max(m_failedStart, started);
        break;
    case Verdict::Shed:
        // A refusal costs no request, so the target need not prove itself.
        m_risk = std::min(1.0, before + m_settings.shedRisk);
        m_at = now;
        break;
    case Verdict::ColdStart:
    case Verdict::Draining:
    case Verdict::Cancelled:
        break;
    }
}

void TargetRisk::recordOverdueAttempt(base::SteadyTime now)
{
    raise(m_settings.pendingRisk, false, now);
}

void TargetRisk::mergeRisk(double probability, base::SteadyTime now)
{
    if (probability > failureRisk(now))
        raise(probability, false, now);
}

} // namespace buckthorncroft::health
