#pragma once

#include <chrono>
#include <cstddef>

namespace buckthorncroft::health {

using Duration = std::chrono::microseconds;

/// Constants of failure detection, stages and evidence pooling. The daemon uses the defaults;
/// bench/health_detection.cpp measures their effect. A failure fraction is the fraction of attempts that are slow or
/// bad.
struct Settings {
    // Evidence.
    Duration windowLength { std::chrono::milliseconds(500) }; ///< Length of one evidence window.
    Duration maxEvidenceAge { std::chrono::seconds(10) }; ///< Older windows are expired.
    Duration scoreHalfLife { std::chrono::seconds(60) }; ///< Decay of the score of expired windows.
    Duration maxPooledScoreAge { std::chrono::seconds(3) }; ///< Older pooled scores are not used.
    Duration maxPeerReportAge { std::chrono::seconds(3) }; ///< Older ejected sets of peers are not used.

    // Detection.
    double partialFailureFraction = 0.25; ///< Failure fraction of the hypothesis that the target fails partly.
    /// Failure fraction of the hypothesis that the target hangs or is down. It needs fewer observations.
    double completeFailureFraction = 0.9;
    double minBaseline = 0.01; ///< Failure fraction that is always expected of a healthy target.
    double baselineFactor = 1.5; ///< Baseline as a multiple of the others' failure fraction; under load targets differ.
    /// The failure fraction of the others is also computed over this time, to detect sudden load peaks.
    Duration recentBaselinePeriod { std::chrono::seconds(2) };
    double suspectScore = 6; ///< A kind of request becomes suspect at this score.
    double clearScore = 3; ///< A suspect kind is cleared below this score; lower, so that stages do not oscillate.
    double ejectScoreAtBias1 = 11; ///< Ejection threshold at bias 1.
    double ejectScoreAtBias0 = 18; ///< Ejection threshold at bias 0.
    /// Log-likelihood ratio to the other targets that an ejection requires at bias 0. It falls linearly to 0 at bias 1.
    double minLogLikelihoodRatioAtBias0 = 12;
    /// Number of assumed observations, with the failure fraction `minBaseline`, that are added to those of the other
    /// targets, which may have none.
    double priorObservationCount = 10;
    double slowLimitDeviations = 2.4; ///< Slow limit above the others' median, in standard deviations of log latency.
    double minSlowLimitFactor = 2; ///< Minimum slow limit as a multiple of the others' median.
    std::size_t maxLatencySamples = 256; ///< Recent latencies per service and kind, for the slow limit.
    Duration latencyHalfLife { std::chrono::seconds(15) }; ///< Decay of pooled latencies; short enough for load peaks.
    std::size_t minLatencySamples = 30; ///< With fewer samples there is no slow limit; only the deadline applies.

    // Pooling.
    double maxReporterScore = 6; ///< Maximum that one of many reporters adds to a target's score.
    /// Minimum number of good observations by others, at the same time, that refute the evidence of one zone or
    /// reporter.
    unsigned minRefutingObservations = 12;

    double minRefutableFraction = 0.4; ///< Evidence of a zone or reporter can be refuted above this failure fraction.
    double maxRefutingFraction = 0.05; ///< Maximum failure fraction of the others that refute it.
    /// Number of slow or bad attempts, refuted by others, from which a reporter counts as deviating.
    unsigned minDeviatingObservations = 3;
    Duration evaluateInterval { std::chrono::milliseconds(50) }; ///< Minimum time between evaluations of a pool.
    std::size_t maxStoredWindows = 8192; ///< Windows stored per target and kind; bounds the memory.

    // Stages. A weight is a fraction of the traffic that a healthy target receives.
    double suspectInitialWeight = 1; ///< For idempotent requests at first; they provide the evidence for a decision.
    Duration suspectDecisionTime { std::chrono::seconds(5) }; ///< After it, a still suspect target has less weight.
    double suspectWeight = 0.2; ///< For idempotent requests after that time.
    Duration minSuspectTime { std::chrono::seconds(2) }; ///< Minimum time in `Suspect`.
    Duration initialEjectionTime { std::chrono::seconds(5) }; ///< First ejection; doubles with each repetition.
    Duration maxEjectionTime { std::chrono::seconds(300) }; ///< Maximum ejection time.
    Duration ejectionForgivenessInterval { std::chrono::seconds(300) }; ///< Healthy time that cancels one repetition.
    unsigned minTrialSuccesses = 3; ///< Good responses that a trial needs to pass; one slow or bad attempt fails it.
    Duration maxTrialTime { std::chrono::seconds(30) }; ///< After it, one good response suffices (low request rates).
    Duration rampUpTime { std::chrono::seconds(10) }; ///< Time from the initial to the full weight after a trial.
    double rampUpInitialWeight = 0.05; ///< Initial weight in `RampUp`.
    double relapseThresholdFactor = 0.5; ///< Factor on the ejection threshold in the `RampUp` after an ejection.
    double unprovenInitialWeight = 0.02; ///< Initial weight of a kind that was suspect and that trials cannot test.
    unsigned minAgreeingPeers = 2; ///< Number of peers that must have ejected a target before the ejection is adopted.
    /// Minimum time between cold starts of a target, as a multiple of the service's cold start time. Earlier ones
    /// are ignored.
    unsigned coldStartIntervalFactor = 5;
    Duration unprovenRampUpTime { std::chrono::seconds(60) }; ///< Ramp-up time of kinds that trials cannot test.
    Duration peerAdoptionPeriod { std::chrono::seconds(10) }; ///< Time after the start in which ejections are adopted.
    double endpointFailureScore = 3; ///< Suspicion score added by one bad response of a health or load endpoint.
    Duration endpointHalfLife { std::chrono::seconds(10) }; ///< Decay of that score.
    double maxEndpointScore = 6; ///< Maximum of that score; endpoints can make a target suspect but never eject it.
};

/// Ejection threshold for the bias of a service (0: fewest false ejections, 1: shortest detection time).
double ejectScore(const Settings& settings, double bias);

} // namespace buckthorncroft::health
