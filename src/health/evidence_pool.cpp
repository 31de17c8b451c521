#include <buckthorncroft/health/evidence_pool.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace buckthorncroft::health {

namespace {

    constexpr double negligible = 0.1; ///< A carried score below this is forgotten.

    /// Keeps the larger of each count. Returns whether anything grew.
    bool grow(AttemptCounts& counts, const AttemptCounts& other)
    {
        const AttemptCounts before = counts;
        counts.good = std::max(counts.good, other.good);
        counts.slow = std::max(counts.slow, other.slow);
        counts.bad = std::max(counts.bad, other.bad);
        return !(counts == before);
    }

    void addTo(AttemptCounts& sum, const AttemptCounts& counts)
    {
        sum.good += counts.good;
        sum.slow += counts.slow;
        sum.bad += counts.bad;
    }

    double badShareOf(const AttemptCounts& counts)
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
    m_neededContrast = m_settings.sureContrast * (1 - std::clamp(service.bias, 0.0, 1.0));
}

EvidencePool::ReporterIndex EvidencePool::indexOf(const Reporter& reporter, base::SteadyTime now)
{
    const auto [it, isNew] = m_reporterIndex.emplace(reporter, m_nextReporter);
    if (isNew)
        m_reporters.emplace(m_nextReporter++, Known { reporter, now });
    m_reporters.at(it->second).lastMerged = now;
    return it->second;
}

std::size_t EvidencePool::merge(const std::vector<EvidenceWindow>& windows, base::SteadyTime now)
{
    std::size_t changed = 0;
    for (const auto& it : windows) {
        const auto target = std::find(m_targets.begin(), m_targets.end(), it.target);
        if (target == m_targets.end() || it.age < Duration(0) || it.age > m_settings.maxAge || !it.counts.total())
            continue;
        const SeriesId id { static_cast<std::size_t>(target - m_targets.begin()), it.kind };
        auto& series = m_series[id];
        const CellKey key { indexOf(it.reporter, now), it.window };
        const auto start = now - it.age;
        const auto found = series.cells.find(key);
        if (found == series.cells.end()) {
            if (series.cells.size() >= m_settings.maxCells)
                continue;
            series.cells.emplace(key, Cell { start, now, it.counts, it.latency });
            ++changed;
            continue;
        }
        // A delayed message makes a window look younger than it is, so the earliest start is the best estimate.
        found->second.start = std::min(found->second.start, start);
        if (it.latency.count > found->second.latency.count)
            found->second.latency = it.latency;
        if (grow(found->second.counts, it.counts)) {
            found->second.changed = now;
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
        for (const auto& [key, cell] : series.cells)
            if (cell.changed >= since && now - cell.start <= m_settings.maxAge)
                result.push_back({ m_reporters.at(key.first).reporter, m_targets[id.first], id.second, key.second,
                    std::chrono::duration_cast<Duration>(now - cell.start), cell.counts, cell.latency });
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
    dropOld(now);
    findDeviating();
    setBaselines(now);
    m_scores = {};
    m_scores.coordinator = m_self;
    m_scores.sequence = ++m_sequence;
    for (auto& [id, series] : m_series) {
        excludeReporters(series);
        m_scores.scores.push_back(score(id, series));
    }
    for (std::size_t kind = 0; kind < config::requestKindCount; ++kind)
        m_scores.slowLimits[kind] = slowLimit(static_cast<config::RequestKind>(kind)).value_or(Duration(0));
    std::stable_sort(m_scores.scores.begin(), m_scores.scores.end(), [](const auto& a, const auto& b) {
        return std::max(a.score, a.pathFaultScore) > std::max(b.score, b.pathFaultScore);
    });
    for (const auto& [index, known] : m_reporters)
        if (m_ignoredHere.contains(index) || m_ignored.contains(known.reporter))
            m_scores.ignored.push_back(known.reporter);
    return m_scores;
}

bool EvidencePool::used(const Series& series, ReporterIndex reporter) const
{
    return !series.excluded.contains(reporter) && !m_ignoredHere.contains(reporter)
        && (m_ignored.empty() || !m_ignored.contains(m_reporters.at(reporter).reporter));
}

void EvidencePool::dropOld(base::SteadyTime now)
{
    const double halfLife = std::chrono::duration<double>(m_settings.scoreHalfLife).count();
    const double latencyHalfLife = std::chrono::duration<double>(m_settings.latencyHalfLife).count();
    for (auto& [id, series] : m_series) {
        std::vector<std::pair<ReporterIndex, const Cell*>> old;
        for (const auto& [key, cell] : series.cells)
            if (now - cell.start > m_settings.maxAge && used(series, key.first))
                old.emplace_back(key.first, &cell);
        const double age = std::chrono::duration<double>(now - series.carriedAt).count();
        const double factor = std::exp2(-age / halfLife);
        series.carried.scale(factor);
        series.carriedCounts.slowOrBad *= factor;
        series.carriedCounts.total *= factor;
        series.carriedLatency.scale(std::exp2(-age / latencyHalfLife));
        series.carriedAt = now;
        for (const auto& [reporter, cell] : old) {
            series.carriedCounts.slowOrBad += cell->counts.slowOrBad();
            series.carriedCounts.total += cell->counts.total();
            series.carriedLatency.add(cell->latency);
        }
        if (!old.empty())
            series.carried = accumulate(series.carried, old, series.baseline, cap());
        std::erase_if(series.cells, [&](const auto& it) { return now - it.second.start > m_settings.maxAge; });
    }
    std::erase_if(m_series, [](const auto& it) {
        const auto& series = it.second;
        return series.cells.empty() && series.carried.score() < negligible && series.carriedLatency.count < negligible;
    });
    for (auto& [id, series] : m_series) {
        series.counts = {};
        for (const auto& [key, cell] : series.cells)
            addTo(series.counts, cell.counts);
    }
    forgetReporters(now);
}

void EvidencePool::forgetReporters(base::SteadyTime now)
{
    std::erase_if(m_reporterIndex, [&](const auto& it) {
        return now - m_reporters.at(it.second).lastMerged > m_settings.maxAge + m_settings.window;
    });
    std::erase_if(m_reporters,
        [&](const auto& it) { return now - it.second.lastMerged > m_settings.maxAge + m_settings.window; });
}

double EvidencePool::cap() const
{
    // One or two reporters must be able to decide alone, otherwise a small fleet would never eject.
    const auto n = m_reporters.size();
    if (n <= 2)
        return std::numeric_limits<double>::infinity();
    return std::max(m_settings.reporterCap, m_ejectScore / static_cast<double>(n - 1));
}

detail::FadingCounts EvidencePool::usedCounts(const Series& series) const
{
    auto result = series.carriedCounts;
    for (const auto& [key, cell] : series.cells)
        if (used(series, key.first)) {
            result.slowOrBad += cell.counts.slowOrBad();
            result.total += cell.counts.total();
        }
    return result;
}

double EvidencePool::contrastLimit(const SeriesId& id) const
{
    // At low rates the baseline rests on a handful of observations and misses the start of a load peak. The contrast
    // with the others over the same time allows for the uncertainty of both shares. At bias 1 fast detection matters
    // more.
    if (m_neededContrast <= 0)
        return std::numeric_limits<double>::infinity();
    detail::FadingCounts others { m_settings.minBaseline * m_settings.contrastPrior, m_settings.contrastPrior };
    for (const auto& [other, series] : m_series)
        if (other.second == id.second && other.first != id.first) {
            const auto counts = usedCounts(series);
            others.slowOrBad += counts.slowOrBad;
            others.total += counts.total;
        }
    return m_ejectScore * detail::contrast(usedCounts(m_series.at(id)), others) / m_neededContrast;
}

void EvidencePool::setBaselines(base::SteadyTime now)
{
    struct Shares {
        AttemptCounts all;
        AttemptCounts recent;
    };
    std::map<config::RequestKind, std::map<std::size_t, Shares>> byKind;
    for (const auto& [id, series] : m_series) {
        auto& shares = byKind[id.second][id.first];
        for (const auto& [key, cell] : series.cells) {
            if (!used(series, key.first))
                continue;
            addTo(shares.all, cell.counts);
            if (now - cell.start <= m_settings.baselineShort + m_settings.window)
                addTo(shares.recent, cell.counts);
        }
    }
    const auto shareOfOthers = [&](const SeriesId& id, AttemptCounts Shares::*counts) {
        std::vector<AttemptCounts> others;
        for (const auto& [target, shares] : byKind[id.second])
            if (target != id.first && (shares.*counts).total())
                others.push_back(shares.*counts);
        // A median of fewer values would be decided by a single other target.
        constexpr std::size_t minOthers = 3;
        if (others.size() < minOthers)
            return 0.0;
        std::sort(
            others.begin(), others.end(), [](const auto& x, const auto& y) { return badShareOf(x) < badShareOf(y); });
        const double median = badShareOf(others[others.size() / 2]);
        // At low rates the share of one target is coarse; the sum without the worst quarter sees a load peak earlier.
        others.resize(others.size() - (others.size() + 3) / 4);
        AttemptCounts sum;
        for (const auto& it : others)
            addTo(sum, it);
        return std::max(median, badShareOf(sum));
    };
    for (auto& [id, series] : m_series) {
        const double share = std::max(shareOfOthers(id, &Shares::all), shareOfOthers(id, &Shares::recent));
        series.baseline = std::clamp(m_settings.baselineMargin * share, m_settings.minBaseline, 0.99);
    }
}

// The median over the targets' means and the spread within the targets, without the slowest quarter of them, so that a
// few gray targets hardly move the limit.
std::optional<Duration> EvidencePool::slowLimit(config::RequestKind kind) const
{
    std::vector<LatencyMoments> targets;
    for (const auto& [id, series] : m_series) {
        if (id.second != kind)
            continue;
        auto moments = series.carriedLatency;
        for (const auto& [key, cell] : series.cells)
            if (used(series, key.first))
                moments.add(cell.latency);
        if (moments.count >= 1)
            targets.push_back(moments);
    }
    constexpr std::size_t minTargets = 3; // With fewer, one gray target would decide the median.
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
    // Each target's mean takes one degree of freedom.
    const double degrees = count - static_cast<double>(targets.size());
    if (count < static_cast<double>(m_settings.minLatencySamples) || degrees < 1)
        return std::nullopt;
    const double spread = std::sqrt(squaredDeviationSum / degrees);
    const double above = std::max(m_settings.slowDeviations * spread, std::log(m_settings.slowMinFactor));
    constexpr double maxLog = 22; // About an hour; larger exponents would overflow.
    return Duration(static_cast<Duration::rep>(std::exp(std::min(median + above, maxLog))));
}

detail::Cusum EvidencePool::accumulate(
    detail::Cusum start, std::vector<std::pair<ReporterIndex, const Cell*>> cells, double baseline, double cap) const
{
    // Reporter indexes depend on the order of arrival, so ties are broken by identity: all pools must agree.
    std::sort(cells.begin(), cells.end(), [this](const auto& a, const auto& b) {
        return a.second->start != b.second->start ? a.second->start < b.second->start
                                                  : m_reporters.at(a.first).reporter < m_reporters.at(b.first).reporter;
    });
    const double expected = std::max(baseline, m_settings.minBaseline);
    const auto partly = detail::ratios(m_settings.badShare, expected);
    const auto hard = detail::ratios(m_settings.hardShare, expected);
    std::map<ReporterIndex, std::pair<double, double>> given;
    auto sum = start;
    for (const auto& [reporter, cell] : cells) {
        if (!cell->counts.slowOrBad()) {
            sum.partly = std::max(0.0, sum.partly + cell->counts.good * partly.good);
            sum.hard = std::max(0.0, sum.hard + cell->counts.good * hard.good);
            continue;
        }
        auto& [givenPartly, givenHard] = given[reporter];
        const double addPartly = std::min(cell->counts.slowOrBad() * partly.bad, cap - givenPartly);
        const double addHard = std::min(cell->counts.slowOrBad() * hard.bad, cap - givenHard);
        givenPartly += addPartly;
        givenHard += addHard;
        sum.partly = std::max(0.0, sum.partly + addPartly + cell->counts.good * partly.good);
        sum.hard = std::max(0.0, sum.hard + addHard + cell->counts.good * hard.good);
    }
    return sum;
}

PooledScore EvidencePool::score(const SeriesId& id, Series& series) const
{
    PooledScore result;
    result.target = m_targets[id.first];
    result.kind = id.second;
    result.baseline = series.baseline;
    result.pathFaultZone = excludeZone(series);
    std::vector<std::pair<ReporterIndex, const Cell*>> cells;
    std::vector<std::pair<ReporterIndex, const Cell*>> path;
    std::set<ReporterIndex> reporters;
    for (const auto& [key, cell] : series.cells) {
        if (used(series, key.first)) {
            cells.emplace_back(key.first, &cell);
            reporters.insert(key.first);
            addTo(result.counts, cell.counts);
        } else if (m_reporters.at(key.first).reporter.zone == result.pathFaultZone)
            path.emplace_back(key.first, &cell);
    }
    result.reporters = static_cast<unsigned>(reporters.size());
    result.score = accumulate(series.carried, std::move(cells), series.baseline, cap()).score();
    if (result.score > 0)
        result.score = std::min(result.score, contrastLimit(id));
    if (!result.pathFaultZone.empty())
        result.pathFaultScore = accumulate({}, std::move(path), series.baseline, cap()).score();
    return result;
}

} // namespace buckthorncroft::health
