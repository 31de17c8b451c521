#include <buckthorncroft/health/evidence_pool.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace buckthorncroft::health {

namespace {

    constexpr double negligibleEvidence = 0.1; ///< Expired scores and latency counts below this are removed.

    /// Raises each count to the one in `other` if that is larger. Returns whether any count has changed.
    bool takeLargerCounts(AttemptCounts& counts, const AttemptCounts& other)
    {
        const AttemptCounts before = counts;
        counts.good = std::max(counts.good, other.good);
        counts.slow = std::max(counts.slow, other.slow);
        counts.bad = std::max(counts.bad, other.bad);
        return !(counts == before);
    }

    void addCounts(AttemptCounts& sum, const AttemptCounts& counts)
    {
        sum.good += counts.good;
        sum.slow += counts.slow;
        sum.bad += counts.bad;
    }

    double slowOrBadFraction(const AttemptCounts& counts)
    {
        return counts.total() ? static_cast<double>(counts.slowOrBad()) / counts.total() : 0;
    }

} // namespace

EvidencePool::EvidencePool(const config::Service& service, Reporter self, Settings settings)
    : m_settings(settings)
    , m_self(std::move(self))
{
    reconfigure(service);
}

void EvidencePool::reconfigure(const config::Service& service)
{
    std::map<std::string, std::size_t> indexes;
    std::vector<std::string> targets;
    for (const auto& it : service.targets) {
        indexes.emplace(it.id, targets.size());
        targets.push_back(it.id);
    }
    std::map<SeriesId, Series> kept;
    for (auto& [id, series] : m_series)
        if (const auto found = indexes.find(m_targets[id.first]); found != indexes.end())
            kept.emplace(SeriesId { found->second, id.second }, std::move(series));
    m_series = std::move(kept);
    m_targets = std::move(targets);
    m_ejectScore = ejectScore(m_settings, service.bias);
    m_minLogLikelihoodRatio = m_settings.minLogLikelihoodRatioAtBias0 * (1 - std::clamp(service.bias, 0.0, 1.0));
}

EvidencePool::ReporterIndex EvidencePool::registerReporter(const Reporter& reporter, base::SteadyTime now)
{
    const auto [it, isNew] = m_reporterIndex.emplace(reporter, m_nextReporter);
    if (isNew)
        m_reporters.emplace(m_nextReporter++, KnownReporter { reporter, now });
    m_reporters.at(it->second).lastMergedAt = now;
    return it->second;
}

std::size_t EvidencePool::merge(const std::vector<EvidenceWindow>& windows, base::SteadyTime now)
{
    std::size_t changed = 0;
    for (const auto& it : windows) {
        const auto target = std::find(m_targets.begin(), m_targets.end(), it.target);
        if (target == m_targets.end() || it.age < Duration(0) || it.age > m_settings.maxEvidenceAge
            || !it.counts.total())
            continue;
        const SeriesId id { static_cast<std::size_t>(target - m_targets.begin()), it.kind };
        auto& series = m_series[id];
        const StoredWindowKey key { registerReporter(it.reporter, now), it.window };
        const auto startedAt = now - it.age;
        const auto found = series.storedWindows.find(key);
        if (found == series.storedWindows.end()) {
            if (series.storedWindows.size() >= m_settings.maxStoredWindows)
                continue;
            series.storedWindows.emplace(key, StoredWindow { startedAt, now, it.counts, it.latency });
            ++changed;
            continue;
        }
        // A delayed message makes a window appear younger than it is, so the earliest start is the best estimate.
        found->second.startedAt = std::min(found->second.startedAt, startedAt);
        if (it.latency.count > found->second.latency.count)
            found->second.latency = it.latency;
        if (takeLargerCounts(found->second.counts, it.counts)) {
            found->second.changedAt = now;
            ++changed;
        }
    }
    return changed;
}

std::vector<EvidenceWindow> EvidencePool::windowsToRelay(
    base::SteadyTime since, base::SteadyTime now, std::size_t limit) const
{
    std::vector<EvidenceWindow> result;
    for (const auto& [id, series] : m_series)
        for (const auto& [key, storedWindow] : series.storedWindows)
            if (storedWindow.changedAt >= since && now - storedWindow.startedAt <= m_settings.maxEvidenceAge)
                result.push_back({ m_reporters.at(key.first).reporter, m_targets[id.first], id.second, key.second,
                    std::chrono::duration_cast<Duration>(now - storedWindow.startedAt), storedWindow.counts,
                    storedWindow.latency });
    std::stable_sort(result.begin(), result.end(), [](const auto& a, const auto& b) {
        return a.counts.slowOrBad() != b.counts.slowOrBad() ? a.counts.slowOrBad() > b.counts.slowOrBad()
                                                            : a.age < b.age;
    });
    if (result.size() > limit)
        result.resize(limit);
    return result;
}

const PooledScores& EvidencePool::evaluate(base::SteadyTime now)
{
    if (m_sequence && now - m_evaluatedAt < m_settings.evaluateInterval)
        return m_scores;
    m_evaluatedAt = now;
    expireWindows(now);
    detectDeviatingReporters();
    updateBaselines(now);
    m_scores = {};
    m_scores.coordinator = m_self;
    m_scores.sequence = ++m_sequence;
    for (auto& [id, series] : m_series) {
        excludeReporters(series);
        m_scores.scores.push_back(scoreSeries(id, series));
    }
    for (std::size_t kind = 0; kind < config::requestKindCount; ++kind)
        m_scores.slowLimits[kind] = slowLimit(static_cast<config::RequestKind>(kind)).value_or(Duration(0));
    std::stable_sort(m_scores.scores.begin(), m_scores.scores.end(), [](const auto& a, const auto& b) {
        return std::max(a.score, a.pathFaultScore) > std::max(b.score, b.pathFaultScore);
    });
    for (const auto& [index, known] : m_reporters)
        if (m_locallyIgnored.contains(index) || m_ignoredReporters.contains(known.reporter))
            m_scores.ignored.push_back(known.reporter);
    return m_scores;
}

bool EvidencePool::isUsed(const Series& series, ReporterIndex reporter) const
{
    return !series.excludedReporters.contains(reporter) && !m_locallyIgnored.contains(reporter)
        && (m_ignoredReporters.empty() || !m_ignoredReporters.contains(m_reporters.at(reporter).reporter));
}

void EvidencePool::expireWindows(base::SteadyTime now)
{
    const double halfLife = std::chrono::duration<double>(m_settings.scoreHalfLife).count();
    const double latencyHalfLife = std::chrono::duration<double>(m_settings.latencyHalfLife).count();
    for (auto& [id, series] : m_series) {
        std::vector<std::pair<ReporterIndex, const StoredWindow*>> expired;
        for (const auto& [key, storedWindow] : series.storedWindows)
            if (now - storedWindow.startedAt > m_settings.maxEvidenceAge && isUsed(series, key.first))
                expired.emplace_back(key.first, &storedWindow);
        const double age = std::chrono::duration<double>(now - series.decayedAt).count();
        const double factor = std::exp2(-age / halfLife);
        series.expiredCusum.scale(factor);
        series.expiredCounts.slowOrBad *= factor;
        series.expiredCounts.total *= factor;
        series.expiredLatency.scale(std::exp2(-age / latencyHalfLife));
        series.decayedAt = now;
        for (const auto& [reporter, storedWindow] : expired) {
            series.expiredCounts.slowOrBad += storedWindow->counts.slowOrBad();
            series.expiredCounts.total += storedWindow->counts.total();
            series.expiredLatency.add(storedWindow->latency);
        }
        if (!expired.empty())
            series.expiredCusum = accumulate(series.expiredCusum, expired, series.baseline, reporterScoreLimit());
        std::erase_if(series.storedWindows,
            [&](const auto& it) { return now - it.second.startedAt > m_settings.maxEvidenceAge; });
    }
    std::erase_if(m_series, [](const auto& it) {
        const auto& series = it.second;
        return series.storedWindows.empty() && series.expiredCusum.score() < negligibleEvidence
            && series.expiredLatency.count < negligibleEvidence;
    });
    for (auto& [id, series] : m_series) {
        series.counts = {};
        for (const auto& [key, storedWindow] : series.storedWindows)
            addCounts(series.counts, storedWindow.counts);
    }
    removeExpiredReporters(now);
}

void EvidencePool::removeExpiredReporters(base::SteadyTime now)
{
    std::erase_if(m_reporterIndex, [&](const auto& it) {
        return now - m_reporters.at(it.second).lastMergedAt > m_settings.maxEvidenceAge + m_settings.windowLength;
    });
    std::erase_if(m_reporters, [&](const auto& it) {
        return now - it.second.lastMergedAt > m_settings.maxEvidenceAge + m_settings.windowLength;
    });
}

double EvidencePool::reporterScoreLimit() const
{
    // One or two reporters alone must be able to cause an ejection; otherwise a small fleet would never eject.
    const auto n = m_reporters.size();
    if (n <= 2)
        return std::numeric_limits<double>::infinity();
    return std::max(m_settings.maxReporterScore, m_ejectScore / static_cast<double>(n - 1));
}

detail::DecayedCounts EvidencePool::usedCounts(const Series& series) const
{
    auto result = series.expiredCounts;
    for (const auto& [key, storedWindow] : series.storedWindows)
        if (isUsed(series, key.first)) {
            result.slowOrBad += storedWindow.counts.slowOrBad();
            result.total += storedWindow.counts.total();
        }
    return result;
}

double EvidencePool::maxSupportedScore(const SeriesId& id) const
{
    // At low request rates the baseline is based on few observations and misses the start of a load peak. The
    // likelihood ratio to the other targets over the same time accounts for the uncertainty of both fractions. It is
    // not required at bias 1, where fast detection is more important.
    if (m_minLogLikelihoodRatio <= 0)
        return std::numeric_limits<double>::infinity();
    detail::DecayedCounts others { m_settings.minBaseline * m_settings.priorObservationCount,
        m_settings.priorObservationCount };
    for (const auto& [other, series] : m_series)
        if (other.second == id.second && other.first != id.first) {
            const auto counts = usedCounts(series);
            others.slowOrBad += counts.slowOrBad;
            others.total += counts.total;
        }
    return m_ejectScore * detail::logLikelihoodRatioToOthers(usedCounts(m_series.at(id)), others)
        / m_minLogLikelihoodRatio;
}

void EvidencePool::updateBaselines(base::SteadyTime now)
{
    struct SeriesCounts {
        AttemptCounts all;
        AttemptCounts recent;
    };
    std::map<config::RequestKind, std::map<std::size_t, SeriesCounts>> byKind;
    for (const auto& [id, series] : m_series) {
        auto& seriesCounts = byKind[id.second][id.first];
        for (const auto& [key, storedWindow] : series.storedWindows) {
            if (!isUsed(series, key.first))
                continue;
            addCounts(seriesCounts.all, storedWindow.counts);
            if (now - storedWindow.startedAt <= m_settings.recentBaselinePeriod + m_settings.windowLength)
                addCounts(seriesCounts.recent, storedWindow.counts);
        }
    }
    const auto fractionOfOthers = [&](const SeriesId& id, AttemptCounts SeriesCounts::*counts) {
        std::vector<AttemptCounts> others;
        for (const auto& [target, seriesCounts] : byKind[id.second])
            if (target != id.first && (seriesCounts.*counts).total())
                others.push_back(seriesCounts.*counts);
        // With fewer values, a single other target would determine the median.
        constexpr std::size_t minOthers = 3;
        if (others.size() < minOthers)
            return 0.0;
        std::sort(others.begin(), others.end(),
            [](const auto& x, const auto& y) { return slowOrBadFraction(x) < slowOrBadFraction(y); });
        const double median = slowOrBadFraction(others[others.size() / 2]);
        // At low request rates the fraction of a single target is coarse. The fraction over all targets but the worst
        // quarter detects a load peak earlier.
        others.resize(others.size() - (others.size() + 3) / 4);
        AttemptCounts sum;
        for (const auto& it : others)
            addCounts(sum, it);
        return std::max(median, slowOrBadFraction(sum));
    };
    for (auto& [id, series] : m_series) {
        const double fraction
            = std::max(fractionOfOthers(id, &SeriesCounts::all), fractionOfOthers(id, &SeriesCounts::recent));
        series.baseline = std::clamp(m_settings.baselineFactor * fraction, m_settings.minBaseline, 0.99);
    }
}

// Computes the limit from the median of the targets' mean log latencies and the standard deviation within the targets.
// The deviation excludes the slowest quarter of the targets, so that a few degraded targets hardly change the limit.
std::optional<Duration> EvidencePool::slowLimit(config::RequestKind kind) const
{
    std::vector<LatencyMoments> targets;
    for (const auto& [id, series] : m_series) {
        if (id.second != kind)
            continue;
        auto moments = series.expiredLatency;
        for (const auto& [key, storedWindow] : series.storedWindows)
            if (isUsed(series, key.first))
                moments.add(storedWindow.latency);
        if (moments.count >= 1)
            targets.push_back(moments);
    }
    constexpr std::size_t minTargets = 3; // With fewer, one degraded target would determine the median.
    if (targets.size() < minTargets)
        return std::nullopt;
    std::sort(targets.begin(), targets.end(), [](const auto& a, const auto& b) { return a.mean() < b.mean(); });
    const double median = targets[targets.size() / 2].mean();
    targets.resize(targets.size() - targets.size() / 4);
    double count = 0;
    double squaredDeviationSum = 0;
    for (const auto& it : targets) {
        count += it.count;
        squaredDeviationSum += it.squaredDeviationSum();
    }
    // The mean of each target uses one degree of freedom.
    const double degreesOfFreedom = count - static_cast<double>(targets.size());
    if (count < static_cast<double>(m_settings.minLatencySamples) || degreesOfFreedom < 1)
        return std::nullopt;
    const double spread = std::sqrt(squaredDeviationSum / degreesOfFreedom);
    const double margin = std::max(m_settings.slowLimitDeviations * spread, std::log(m_settings.minSlowLimitFactor));
    constexpr double maxLog = 22; // exp(22) us is about an hour; larger exponents would overflow.
    return Duration(static_cast<Duration::rep>(std::exp(std::min(median + margin, maxLog))));
}

detail::Cusum EvidencePool::accumulate(detail::Cusum initial,
    std::vector<std::pair<ReporterIndex, const StoredWindow*>> storedWindows, double baseline,
    double reporterScoreLimit) const
{
    // Ties are broken by the reporter's identity, because indexes depend on the order of arrival and all pools must
    // compute the same scores.
    std::sort(storedWindows.begin(), storedWindows.end(), [this](const auto& a, const auto& b) {
        return a.second->startedAt != b.second->startedAt
            ? a.second->startedAt < b.second->startedAt
            : m_reporters.at(a.first).reporter < m_reporters.at(b.first).reporter;
    });
    const double expected = std::max(baseline, m_settings.minBaseline);
    const auto partialFailure = detail::logLikelihoodRatios(m_settings.partialFailureFraction, expected);
    const auto completeFailure = detail::logLikelihoodRatios(m_settings.completeFailureFraction, expected);
    std::map<ReporterIndex, std::pair<double, double>> contributed;
    auto sum = initial;
    for (const auto& [reporter, storedWindow] : storedWindows) {
        if (!storedWindow->counts.slowOrBad()) {
            sum.partialFailure = std::max(0.0, sum.partialFailure + storedWindow->counts.good * partialFailure.good);
            sum.completeFailure = std::max(0.0, sum.completeFailure + storedWindow->counts.good * completeFailure.good);
            continue;
        }
        auto& [contributedPartial, contributedComplete] = contributed[reporter];
        const double partialIncrease
            = std::min(storedWindow->counts.slowOrBad() * partialFailure.bad, reporterScoreLimit - contributedPartial);
        const double completeIncrease = std::min(
            storedWindow->counts.slowOrBad() * completeFailure.bad, reporterScoreLimit - contributedComplete);
        contributedPartial += partialIncrease;
        contributedComplete += completeIncrease;
        sum.partialFailure
            = std::max(0.0, sum.partialFailure + partialIncrease + storedWindow->counts.good * partialFailure.good);
        sum.completeFailure
            = std::max(0.0, sum.completeFailure + completeIncrease + storedWindow->counts.good * completeFailure.good);
    }
    return sum;
}

PooledScore EvidencePool::scoreSeries(const SeriesId& id, Series& series) const
{
    PooledScore result;
    result.target = m_targets[id.first];
    result.kind = id.second;
    result.baseline = series.baseline;
    result.pathFaultZone = excludePathFaultZone(series);
    std::vector<std::pair<ReporterIndex, const StoredWindow*>> storedWindows;
    std::vector<std::pair<ReporterIndex, const StoredWindow*>> path;
    std::set<ReporterIndex> reporters;
    for (const auto& [key, storedWindow] : series.storedWindows) {
        if (isUsed(series, key.first)) {
            storedWindows.emplace_back(key.first, &storedWindow);
            reporters.insert(key.first);
            addCounts(result.counts, storedWindow.counts);
        } else if (m_reporters.at(key.first).reporter.zone == result.pathFaultZone)
            path.emplace_back(key.first, &storedWindow);
    }
    result.reporters = static_cast<unsigned>(reporters.size());
    result.score
        = accumulate(series.expiredCusum, std::move(storedWindows), series.baseline, reporterScoreLimit()).score();
    if (result.score > 0)
        result.score = std::min(result.score, maxSupportedScore(id));
    if (!result.pathFaultZone.empty())
        result.pathFaultScore = accumulate({}, std::move(path), series.baseline, reporterScoreLimit()).score();
    return result;
}

} // namespace buckthorncroft::health
