#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/health/cusum.h>
#include <buckthorncroft/health/evidence.h>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthorncroft::health {

/// Pools the evidence of many reporters about the targets of one service and scores the targets. Each coordinator has
/// one pool per service. Windows relayed from the pools of other zones name their original reporter, so they are not
/// counted twice. Not safe for concurrent use.
class EvidencePool {
public:
    /// `self` is the coordinator that the resulting `PooledScores` name.
    EvidencePool(const config::Service& service, Reporter self, Settings settings = {});

    /// Applies a new configuration of the service. Evidence about targets that are still configured is kept.
    void reconfigure(const config::Service& service);

    /// Adds windows and returns the number of those that changed the pool. Dropped are windows of unknown targets,
    /// windows without attempts, windows with a negative age or one above `Settings::maxEvidenceAge`, and new windows
    /// beyond `Settings::maxStoredWindows`.
    std::size_t merge(const std::vector<EvidenceWindow>& windows, base::SteadyTime now);

    /// Windows that changed at or after `since`, to be sent to the pools of other zones. Windows with the most slow or
    /// bad attempts come first; at most `limit` are returned.
    std::vector<EvidenceWindow> windowsToRelay(base::SteadyTime since, base::SteadyTime now, std::size_t limit) const;

    /// Removes expired windows and scores every target and kind that has evidence. Returns the cached result if it is
    /// younger than `Settings::evaluateInterval`.
    const PooledScores& evaluate(base::SteadyTime now);

    /// Time at which the cached scores were computed. The sender derives their age from it.
    base::SteadyTime evaluatedAt() const { return m_evaluatedAt; }

    /// Reporters that observe failures of targets that other reporters observe as good, with these targets, as of the
    /// last `evaluate`. `ReporterCheck` compares them across services.
    const std::map<Reporter, std::set<std::string>>& deviatingReporters() const { return m_deviatingReporters; }

    /// Replaces the set of reporters whose evidence is ignored; see `ReporterCheck`.
    void setIgnoredReporters(std::set<Reporter> ignored) { m_ignoredReporters = std::move(ignored); }

private:
    struct StoredWindow {
        base::SteadyTime startedAt; ///< On this instance's clock; estimated from the fastest message.
        base::SteadyTime changedAt; ///< Time at which the counts last grew.
        AttemptCounts counts;
        LatencyMoments latency;
    };
    using ReporterIndex = std::uint32_t;
    using StoredWindowKey = std::pair<ReporterIndex, std::uint64_t>; ///< Reporter and index of the window.
    /// Evidence about one target and request kind.
    struct Series {
        std::map<StoredWindowKey, StoredWindow> storedWindows;
        LatencyMoments expiredLatency; ///< Latencies of expired windows; decayed to `decayedAt`.
        detail::Cusum expiredCusum; ///< Sums over expired windows; decayed to `decayedAt`.
        detail::DecayedCounts expiredCounts; ///< Attempts of expired windows; decayed to `decayedAt`.
        base::SteadyTime decayedAt; ///< Time of the last decay.
        AttemptCounts counts; ///< Sum over `storedWindows` at the last evaluation.
        std::set<ReporterIndex> excludedReporters; ///< Reporters with a network path fault to the target.
        double baseline = 0; ///< Expected slow or bad fraction, from the last evaluation.
    };
    using SeriesId = std::pair<std::size_t, config::RequestKind>; ///< Target index and request kind.

    /// Evidence about one target from one reporter or from all reporters of one zone.
    struct ReporterGroup {
        AttemptCounts counts;
        std::optional<base::SteadyTime> firstBadAt; ///< Start of the first window with a slow or bad attempt.
    };

    ReporterIndex registerReporter(const Reporter& reporter, base::SteadyTime now);
    bool isUsed(const Series& series, ReporterIndex reporter) const;
    void removeExpiredReporters(base::SteadyTime now);
    void expireWindows(base::SteadyTime now);
    void detectDeviatingReporters();
    void updateBaselines(base::SteadyTime now);
    std::optional<Duration> slowLimit(config::RequestKind kind) const;
    /// Replaces `Series::excludedReporters` by single reporters whose evidence the other reporters refute.
    void excludeReporters(Series& series) const;
    /// Excludes the reporters of a zone whose evidence the other zones refute, and returns the zone; empty if none.
    std::string excludePathFaultZone(Series& series) const;
    /// Whether the group observes mostly failures while all other reporters (not in `members`) observe good responses.
    bool isRefuted(const Series& series, const ReporterGroup& group, const std::set<ReporterIndex>& members) const;
    /// Maximum that one reporter adds to a score; unlimited with one or two reporters.
    double reporterScoreLimit() const;
    detail::DecayedCounts usedCounts(const Series& series) const;
    /// Maximum score that the comparison with the other targets supports; unlimited at bias 1.
    double maxSupportedScore(const SeriesId& id) const;
    /// Continues the sums `initial` with windows, in the order of their start times.
    detail::Cusum accumulate(detail::Cusum initial,
        std::vector<std::pair<ReporterIndex, const StoredWindow*>> storedWindows, double baseline,
        double reporterScoreLimit) const;
    PooledScore scoreSeries(const SeriesId& id, Series& series) const;

    Settings m_settings;
    Reporter m_self;
    double m_ejectScore = 0;
    double m_minLogLikelihoodRatio = 0; ///< Ratio to the other targets that an ejection requires.
    std::vector<std::string> m_targets;
    struct KnownReporter {
        Reporter reporter;
        base::SteadyTime lastMergedAt; ///< Time at which a window of the reporter last arrived.
    };

    std::map<ReporterIndex, KnownReporter> m_reporters;
    std::map<Reporter, ReporterIndex> m_reporterIndex;
    ReporterIndex m_nextReporter = 0;
    std::map<SeriesId, Series> m_series;
    std::set<Reporter> m_ignoredReporters; ///< Set by `setIgnoredReporters`.
    std::set<ReporterIndex> m_locallyIgnored; ///< Reporters that deviate for several targets of this service.
    std::map<Reporter, std::set<std::string>> m_deviatingReporters;
    std::uint64_t m_sequence = 0;
    PooledScores m_scores; ///< Result of the last evaluation.
    base::SteadyTime m_evaluatedAt;
};

/// Detects reporters that are faulty themselves: they observe failures of targets of several services while other
/// reporters observe these targets as good.
class ReporterCheck {
public:
    /// Number of services in which a reporter must deviate before its evidence is ignored in all services.
    static constexpr std::size_t minServices = 2;

    /// Returns the reporters to ignore. Each element of `services` is `EvidencePool::deviatingReporters` of one
    /// service.
    static std::set<Reporter> faultyReporters(const std::vector<std::map<Reporter, std::set<std::string>>>& services);
};

} // namespace buckthorncroft::health
