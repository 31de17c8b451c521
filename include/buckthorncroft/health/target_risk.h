#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/health/verdict.h>
#include <chrono>

namespace buckthorncroft::health {

/// Constants of `TargetRisk`. Risks are probabilities.
struct RiskSettings {
    /// Minimum risk after a failed connection, a timeout or a broken response, which are very rare at a healthy target.
    double brokenResponseRisk = 0.9;
    double errorResponseRisk = 0.45; ///< Added by an error response; healthy targets send some, too.
    double minUnprovenRisk = 0.7; ///< Above this risk, an error response makes the target unproven.
    double shedRisk = 0.3; ///< Added by a refusal while slots should have been free.
    double minOverdueRisk = 0.6; ///< Minimum risk at the time when a response becomes overdue.
    std::chrono::milliseconds evidenceDecayTime { 2000 }; ///< Time constant with which evidence becomes outdated.
    double goodResponseFactor = 0.35; ///< Factor on the risk after a good response.
    std::chrono::milliseconds initialDecayTime { 3000 }; ///< Time constant of the risk after a first failure.
    std::chrono::milliseconds maxDecayTime { 9000 }; ///< Maximum time constant, after repeated failures.
    double decayTimeGrowth = 1.6; ///< Factor on the time constant for each failure before a recovery.
};

/// Estimates the probability that the next request to one target fails from the results of recent attempts. A failing
/// target usually fails most of its requests for some seconds. One failure therefore raises the estimate strongly; it
/// decays with time and with good responses. Not safe for concurrent use.
class TargetRisk {
public:
    TargetRisk()
        : TargetRisk(RiskSettings {})
    {
    }

    explicit TargetRisk(const RiskSettings& settings)
        : m_settings(settings)
        , m_decayTime(settings.initialDecayTime)
    {
    }

    /// Records the end of an attempt that began at `startedAt`. Verdicts that are not evidence are ignored, except
    /// `Shed`. A slow response counts as good. A good response to an attempt that began before the last failed one does
    /// not count as recovery.
    void observe(Verdict verdict, base::SteadyTime startedAt, base::SteadyTime now);

    /// Records that a response is overdue while the attempt is still in flight.
    void recordOverdueAttempt(base::SteadyTime now);

    /// Merges the risk estimated by another instance; the larger one applies.
    void mergeRisk(double probability, base::SteadyTime now);

    /// Probability that the next request fails, 0 to 1. `unknownRisk` is the probability for a target without recent
    /// evidence.
    double failureProbability(base::SteadyTime now, double unknownRisk = 0) const;

    /// Time since the last attempt whose verdict is evidence.
    base::SteadyTime::duration timeSinceEvidence(base::SteadyTime now) const { return now - m_evidenceAt; }

    /// Whether the target has failed and has not returned a good response since.
    bool isUnproven() const { return m_isUnproven; }

    /// Number of failures since the last good response; failures within a short time count once. 0 unless unproven.
    unsigned failureCount() const { return m_failureCount; }

    /// Time of the last failure; the epoch of the clock if there was none.
    base::SteadyTime lastFailureAt() const { return m_lastFailureAt; }

private:
    double currentRisk(base::SteadyTime now) const;
    void raiseRisk(double probability, bool repeated, base::SteadyTime now);
    void recordGoodResponse(base::SteadyTime now);

    RiskSettings m_settings;
    double m_risk = 0;
    base::SteadyTime m_riskAt {}; ///< Time to which `m_risk` applies.
    std::chrono::milliseconds m_decayTime;
    unsigned m_goodResponses = 0; ///< Good responses since the last failure.
    base::SteadyTime m_evidenceAt {};
    bool m_isUnproven = false;
    unsigned m_failureCount = 0;
    base::SteadyTime m_lastFailureAt {};
    base::SteadyTime m_lastFailedStartedAt {}; ///< Latest start of a failed attempt.
};

} // namespace buckthorncroft::health
