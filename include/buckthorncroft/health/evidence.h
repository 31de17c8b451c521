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

/// One process lifetime of one instance. A restarted instance is a new reporter.
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

/// Number of attempts by result.
struct AttemptCounts {
    std::uint32_t good = 0;
    std::uint32_t slow = 0;
    std::uint32_t bad = 0; ///< Failed, wrong or timed out.
    std::uint32_t total() const { return good + slow + bad; }
    std::uint32_t slowOrBad() const { return slow + bad; }
    bool operator==(const AttemptCounts&) const = default;
};

/// Counts of one reporter for one target and request kind within one window. The counts of a window only grow, so a
/// receiver keeps the largest of each and may see a window repeatedly, partly filled and in any order.
struct EvidenceWindow {
    Reporter reporter;
    std::string target; ///< Target id.
    config::RequestKind kind = config::RequestKind::Idempotent;
    std::uint64_t window = 0; ///< Index since the reporter's start.
    Duration age { 0 }; ///< Time since the window's start when the report was sent.
    AttemptCounts counts;
    LatencyMoments latency; ///< Of whole answers. Grows with the counts.
};

/// What a coordinator concludes about one target and request kind from the windows of all reporters.
struct PooledScore {
    std::string target; ///< Target id.
    config::RequestKind kind = config::RequestKind::Idempotent;
    double score = 0; ///< Log-likelihood ratio, at least 0.
    double baseline = 0; ///< Bad share that was expected of a healthy target.
    unsigned reporters = 0; ///< Reporters with evidence about this target and kind.
    AttemptCounts counts; ///< Sum over the last 10 s, without ignored reporters.
    std::string pathFaultZone; ///< Zone whose reporters alone find the target bad; empty if there is none.
    double pathFaultScore = 0; ///< Score from that zone's reporters; they avoid the target, nobody ejects it.
};

/// All pooled scores of one coordinator at one time.
struct PooledScores {
    Reporter coordinator;
    std::uint64_t sequence = 0; ///< Raised by one with each evaluation; a receiver ignores lower ones.
    std::vector<PooledScore> scores; ///< Most suspicious first.
    std::vector<Reporter> ignored; ///< Reporters whose evidence is not used.
    /// Latency from which an answer is slow against the service's usual ones, by request kind; 0 while unknown.
    std::array<Duration, config::requestKindCount> slowLimits {};
};

/// One target that a peer has ejected.
struct EjectedTarget {
    std::string target; ///< Target id.
    double score = 0; ///< The peer's score at ejection.
};

} // namespace buckthorncroft::health
