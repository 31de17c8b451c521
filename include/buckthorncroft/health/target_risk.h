#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/health/verdict.h>
#include <chrono>

namespace buckthorncroft::health {

/// Constants of TargetRisk.
struct RiskSettings {
    double hardRisk = 0.9; ///< After a lost connection or a broken answer, which a healthy target hardly ever causes.
    double errorRisk = 0.45; ///< Added by a failure that the target states; healthy targets state some, too.
    double repeatedErrorRisk = 0.7; ///< From here on, stated failures make a target unproven.
    double shedRisk = 0.3; ///< Added by a refusal although slots should have been free.
    double pendingRisk = 0.6; ///< Least risk while an answer is long overdue.
    std::chrono::milliseconds knowledgeDecay {
        2000
    }; ///< Time in which the last good answer loses 1 - 1/e of its worth.
    double goodFactor = 0.35; ///< A good answer multiplies the risk by this.
    std::chrono::milliseconds firstDecay { 3000 }; ///< Time in which the risk of a first failure falls to 1/e.
    std::chrono::milliseconds longestDecay { 9000 }; ///< The same after repeated failures.
    double decayGrowth = 1.6; ///< Growth of that time with each failure that follows no recovery.
};

/// The probability that the next request at one target fails, from the outcomes of the last ones. A failing target
/// fails most of its requests for some seconds, so one failure says much, fades with time, and is refuted by success.
class TargetRisk {
public:
    TargetRisk()
        : TargetRisk(RiskSettings {})
    {
    }

    explicit TargetRisk(const RiskSettings& settings)
        : m_settings(settings)
        , m_decay(settings.firstDecay)
    {
    }

    /// Takes the end of one attempt that was started at `started`. Verdicts that are no evidence are ignored, except
    /// `Shed`. A good answer to a request that the target took before it failed says nothing about its recovery.
    void observe(Verdict verdict, base::SteadyTime started, base::SteadyTime now);

    /// An answer is long overdue; the attempt still runs.
    void recordOverdueAttempt(base::SteadyTime now);

    /// Takes the risk that another observer derived; the larger one counts.
    void mergeRisk(double probability, base::SteadyTime now);

    /// Probability of failure, 0 to 1. `unknown` is that of a target of which nothing recent is known.
    double failureProbability(base::SteadyTime now, double unknown = 0) const;

    /// Time since the last answer that said anything about the target.
    base::SteadyTime::duration timeSinceEvidence(base::SteadyTime now) const { return now - m_evidenceAt; }

    /// Whether no answer was good since the last failure.
    bool isUnproven() const { return m_unproven; }

    /// Failures since the last good answer; ones that came together count once. 0 while the target is proven.
    unsigned failureCount() const { return m_failures; }

    /// Time of the last of these failures.
    base::SteadyTime lastFailureAt() const { return m_failedAt; }

private:
    double failureRisk(base::SteadyTime now) const;
    void raise(double probability, bool repeated, base::SteadyTime now);
    void recover(base::SteadyTime now);

    RiskSettings m_settings;
    double m_risk = 0;
    base::SteadyTime m_at {}; ///< Time to which `m_risk` applies.
    std::chrono::milliseconds m_decay;
    unsigned m_goods = 0; ///< Good answers since the last failure.
    base::SteadyTime m_evidenceAt {};
    bool m_unproven = false;
    unsigned m_failures = 0;
    base::SteadyTime m_failedAt {};
    base::SteadyTime m_failedStart {}; ///< When the last attempt that failed was started.
};

} // namespace buckthorncroft::health
