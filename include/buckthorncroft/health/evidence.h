#pragma once

#include <array>
#include <buckthorncroft/config/model.h>
#include <buckthorncroft/health/latency_moments.h>
#include <buckthorncroft/health/settings.h>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace buckthorncroft::health {

/// Source of evidence: one process lifetime of one instance. A restarted instance is a new reporter.
struct Reporter {
    std::string instance;
    std::string zone; ///< Availability zone.
    std::uint64_t incarnation = 0; ///< Random per process start.
    bool operator==(const Reporter&) const = default;
    bool operator<(const Reporter& other) const
    {
        return std::tie(incarnation, instance, zone) < std::tie(other.incarnation, other.instance, other.zone);
    }
};

/// Numbers of attempts by result.
struct AttemptCounts {
    std::uint32_t good = 0;
    std::uint32_t slow = 0;
    std::uint32_t bad = 0; ///< Failed, mismatched or timed out.
    std::uint32_t total() const { return good + slow + bad; }
    std::uint32_t slowOrBad() const { return slow + bad; }
    bool operator==(const AttemptCounts&) const = default;
};

/// Attempts that one reporter made to one target with one request kind within one time window. The counts of a window
/// only grow, so a receiver keeps the largest value of each. Windows may therefore arrive repeatedly, partly filled and
/// in any order.
struct EvidenceWindow {
    Reporter reporter;
    std::string target; ///< Target id.
    config::RequestKind kind = config::RequestKind::Idempotent;
    std::uint64_t window = 0; ///< Index of the window; 0 begins at the reporter's start.
    Duration age { 0 }; ///< Time since the window's start when the report was sent.
    AttemptCounts counts;
    LatencyMoments latency; ///< Of complete responses. Grows with the counts.
};

/// Score of one target and request kind that a coordinator computed from the windows of all reporters.
struct PooledScore {
    std::string target; ///< Target id.
    config::RequestKind kind = config::RequestKind::Idempotent;
    double score = 0; ///< Log-likelihood ratio that the target is unhealthy; at least 0.
    double baseline = 0; ///< Fraction of slow or bad attempts that is expected of a healthy target.
    unsigned reporters = 0; ///< Number of reporters with evidence about this target and kind.
    AttemptCounts counts; ///< Sum over the last 10 s, without ignored reporters.
    std::string pathFaultZone; ///< The only zone whose reporters observe failures; empty if none.
    double pathFaultScore = 0; ///< Score from that zone's reporters; they avoid the target, no instance ejects it.
};

/// All pooled scores of one coordinator from one evaluation.
struct PooledScores {
    Reporter coordinator;
    std::uint64_t sequence = 0; ///< Number of the evaluation. Receivers ignore scores unless the number has increased.
    std::vector<PooledScore> scores; ///< Highest score first.
    std::vector<Reporter> ignored; ///< Reporters whose evidence is ignored.
    /// Latency from which a response counts as slow for this service, by request kind; 0 while unknown.
    std::array<Duration, config::requestKindCount> slowLimits {};
};

/// A target that an instance has ejected, or that is in trial on it after an ejection.
struct EjectedTarget {
    std::string target; ///< Target id.
    double score = 0; ///< Score at ejection on that instance.
};

} // namespace buckthorncroft::health
