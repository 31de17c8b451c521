#pragma once

#include <chrono>
#include <cstddef>

namespace buckthorncroft::health {

using Duration = std::chrono::microseconds;

/// Constants of detection, stages and pooling. The defaults are used by the daemon; bench/health_detection.cpp
/// measures them.
struct Settings {
    // Evidence.
    Duration window { std::chrono::milliseconds(500) }; ///< Length of one evidence window.
    Duration maxAge { std::chrono::seconds(10) }; ///< Evidence that arrives older than this is dropped.
    Duration scoreHalfLife { std::chrono::seconds(60) }; ///< Decay of evidence that has left the 10 s of windows.
    Duration pooledMaxAge { std::chrono::seconds(3) }; ///< Pooled scores that are older are not used.
    Duration peerMaxAge { std::chrono::seconds(3) }; ///< Peers' ejected sets that are older are not used.

    // Detection.
    double badShare = 0.25; ///< Bad share of the partly failing hypothesis.
    double hardShare = 0.9; ///< Bad share of the hanging or dead hypothesis; needs fewer observations.
    double minBaseline = 0.01; ///< Bad share that every healthy target may have.
    double baselineMargin = 1.5; ///< Factor on the others' median bad share; targets under a load peak differ.
    Duration baselineShort { std::chrono::seconds(2) }; ///< The median is also taken over this time, for sudden peaks.
    double suspectScore = 6; ///< A kind of request becomes suspect at this score.
    double clearScore = 3; ///< A suspect kind is cleared below this score; lower, so that stages do not swing.
    double ejectScoreFast = 11; ///< Ejection threshold at bias 1.
    double ejectScoreSure = 18; ///< Ejection threshold at bias 0.
    double sureContrast
        = 12; ///< Log-likelihood ratio against the others that an ejection needs at bias 0; 0 at bias 1.
    double contrastPrior = 10; ///< Observations at `minBaseline` that are added to the others', who may have none.
    double slowDeviations = 2.4; ///< Slow limit above the others' median, in standard deviations of log latency.
    double slowMinFactor = 2; ///< Slow limit as a multiple of the others' median, at least.
    std::size_t latencySamples = 256; ///< Recent latencies per service and kind that the slow limit is taken from.
    Duration latencyHalfLife { std::chrono::seconds(15) }; ///< Decay of pooled latencies; follows a load peak.
    std::size_t minLatencySamples = 30; ///< With fewer samples only the deadline decides what is slow.

    // Pooling.
    double reporterCap = 6; ///< Most that one of many reporters adds to a target's score.
    unsigned pathWitnesses = 12; ///< Concurrent good observations of others that refute one zone's or reporter's.

    double pathBadShare = 0.4; ///< Bad share of a zone's or reporter's evidence that others may refute.
    double pathGoodShare = 0.05; ///< Largest bad share of the others that refutes it.
    unsigned deviatingBads = 3; ///< Bad observations that others refute, from which a reporter is deviating.
    Duration evaluateInterval { std::chrono::milliseconds(50) }; ///< Scores of a pool are computed at most this often.
    std::size_t maxCells = 8192; ///< Windows kept for one target and kind; more are dropped, which bounds memory.

    // Stages.
    double suspectFirstWeight = 1; ///< Share of idempotent work at first, which is needed as evidence for a decision.
    Duration suspectDecide { std::chrono::seconds(5) }; ///< Time after which most of it moves away undecided.
    double suspectWeight = 0.2; ///< Share of idempotent work that a suspect target keeps after that.
    Duration suspectDwell { std::chrono::seconds(2) }; ///< Shortest stay in Suspect.
    Duration ejectBase { std::chrono::seconds(5) }; ///< First ejection; doubles with each repetition.
    Duration ejectMax { std::chrono::seconds(300) }; ///< Longest ejection.
    Duration forgiveAfter { std::chrono::seconds(300) }; ///< Healthy time that takes one repetition back.
    unsigned trialGoods = 3; ///< Good trial answers that end a trial; one bad answer fails it.
    Duration trialMax { std::chrono::seconds(30) }; ///< After this time one good answer is enough, at low rates.
    Duration rampUp { std::chrono::seconds(10) }; ///< Time from the first to the full share after a trial.
    double rampFirstWeight = 0.05; ///< First share during RampUp.
    double relapseFactor = 0.5; ///< Factor on the ejection threshold during the RampUp after an ejection.
    double unprovenFirstWeight = 0.02; ///< First share of a kind that was bad and that trials cannot prove.
    unsigned adoptPeers = 2; ///< Peers that must agree before their ejection is adopted.
    unsigned coldStartPause = 5; ///< Cold starts of a target are honoured once in this multiple of its cold start time.
    Duration unprovenRampUp { std::chrono::seconds(60) }; ///< RampUp for kinds that a trial cannot prove.
    Duration adoptPeriod { std::chrono::seconds(10) }; ///< Time after start during which peers' ejections are adopted.
    double endpointScore = 3; ///< Suspicion that one bad answer of a health or load endpoint adds.
    Duration endpointHalfLife { std::chrono::seconds(10) }; ///< Decay of that suspicion.
    double endpointScoreMax = 6; ///< Endpoints can make a target suspect but never eject it.
};

/// Ejection threshold for a service's bias (0: fewest false ejections, 1: shortest detection time).
double ejectScore(const Settings& settings, double bias);

} // namespace buckthorncroft::health
