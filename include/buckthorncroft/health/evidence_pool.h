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

/// Evidence about the targets of one service from many reporters, as a coordinator holds it. Windows from the pools of
/// other zones carry their first reporter, so relayed windows are not counted twice.
class EvidencePool {
public:
    /// `self` names the coordinator in the scores that it gives.
    EvidencePool(const config::Service& service, Reporter self, Settings settings = {});

    /// Applies a new record of the service. Evidence about targets that are still configured is kept.
    void reconfigure(const config::Service& service);

    /// Accepts windows. Those of unknown targets or older than `Settings::maxAge` are dropped.
    /// Returns the number of windows that changed the pool.
    std::size_t merge(const std::vector<EvidenceWindow>& windows, base::SteadyTime now);

    /// Windows that changed after `since`, for the pools of other zones: most suspicious first, at most `limit`.
    std::vector<EvidenceWindow> windowsToRelay(base::SteadyTime since, base::SteadyTime now, std::size_t limit) const;

    /// Drops old evidence and scores every target and kind that has evidence. The result of an earlier call is
    /// returned when it is younger than `Settings::evaluateInterval`.
    const PooledScores& evaluate(base::SteadyTime now);

    /// When the scores that `evaluate` returns were computed; the age of the scores when they are sent follows from it.
    base::SteadyTime evaluatedAt() const { return m_evaluatedAt; }

    /// Targets that a reporter finds bad while others find them good, as the last `evaluate` saw it. ReporterCheck
    /// compares them over services.
    const std::map<Reporter, std::set<std::string>>& deviatingReporters() const { return m_deviating; }

    /// Replaces the set of reporters whose evidence is not used, as ReporterCheck finds them.
    void setIgnoredReporters(std::set<Reporter> ignored) { m_ignored = std::move(ignored); }

private:
    struct Cell {
        base::SteadyTime start; ///< Start of the window on this instance's clock, as the fastest message shows it.
        base::SteadyTime changed; ///< When the counts last grew.
        AttemptCounts counts;
        LatencyMoments latency;
    };
    using ReporterIndex = std::uint32_t;
    using CellKey = std::pair<ReporterIndex, std::uint64_t>; ///< Reporter and window.
    struct Series {
        std::map<CellKey, Cell> cells;
        LatencyMoments carriedLatency; ///< Of the windows that have aged out; decays with `carried`.
        detail::Cusum carried; ///< State after the windows that have aged out.
        detail::FadingCounts carriedCounts; ///< Observations behind `carried`, which fade with it.
        base::SteadyTime carriedAt; ///< Time to which `carried` has decayed.
        AttemptCounts counts; ///< Sum of the cells, from the last evaluation.
        std::set<ReporterIndex> excluded; ///< Reporters whose path to the target is at fault.
        double baseline = 0; ///< From the last evaluation.
    };
    using SeriesId = std::pair<std::size_t, config::RequestKind>;

    /// Evidence of one reporter or zone about one target.
    struct Group {
        AttemptCounts counts;
        std::optional<base::SteadyTime> firstBad; ///< Start of the first window with a bad observation.
    };

    ReporterIndex indexOf(const Reporter& reporter, base::SteadyTime now);
    bool used(const Series& series, ReporterIndex reporter) const;
    void forgetReporters(base::SteadyTime now);
    void dropOld(base::SteadyTime now);
    void findDeviating();
    void setBaselines(base::SteadyTime now);
    std::optional<Duration> slowLimit(config::RequestKind kind) const;
    void excludeReporters(Series& series) const;
    std::string excludeZone(Series& series) const;
    bool refuted(const Series& series, const Group& group, const std::set<ReporterIndex>& members) const;
    double cap() const;
    detail::FadingCounts usedCounts(const Series& series) const;
    double contrastLimit(const SeriesId& id) const;
    detail::Cusum accumulate(detail::Cusum start, std::vector<std::pair<ReporterIndex, const Cell*>> cells,
        double baseline, double cap) const;
    PooledScore score(const SeriesId& id, Series& series) const;

    Settings m_settings;
    Reporter m_self;
    double m_ejectScore = 0;
    double m_neededContrast = 0; ///< Contrast with the other targets that an ejection needs.
    std::vector<std::string> m_targets;
    struct Known {
        Reporter reporter;
        base::SteadyTime lastMerged; ///< No window of the reporter is younger.
    };

    std::map<ReporterIndex, Known> m_reporters;
    std::map<Reporter, ReporterIndex> m_reporterIndex;
    ReporterIndex m_nextReporter = 0;
    std::map<SeriesId, Series> m_series;
    std::set<Reporter> m_ignored; ///< From ReporterCheck.
    std::set<ReporterIndex> m_ignoredHere; ///< Deviating for several targets of this service.
    std::map<Reporter, std::set<std::string>> m_deviating;
    std::uint64_t m_sequence = 0;
    PooledScores m_scores; ///< Result of the last evaluation.
    base::SteadyTime m_evaluatedAt;
};

/// Finds reporters that are themselves at fault: they find targets of several services bad which others find good.
class ReporterCheck {
public:
    /// Services in which a reporter must deviate before it is ignored in all of them.
    static constexpr std::size_t minServices = 2;

    /// Returns the reporters to ignore. Each element is the `deviatingReporters` result of one service's pool.
    static std::set<Reporter> faultyReporters(const std::vector<std::map<Reporter, std::set<std::string>>>& services);
};

} // namespace buckthorncroft::health
