// Detects reporters and zones whose evidence results from a path fault and not from a failure of the target.
#include <buckthorncroft/health/evidence_pool.h>

#include <algorithm>

namespace buckthorncroft::health {

namespace {

    void addCounts(AttemptCounts& sum, const AttemptCounts& counts)
    {
        sum.good += counts.good;
        sum.slow += counts.slow;
        sum.bad += counts.bad;
    }

    bool exceedsFraction(std::uint32_t count, std::uint32_t totalCount, double fraction)
    {
        return static_cast<double>(count) > fraction * totalCount;
    }

} // namespace

bool EvidencePool::isRefuted(
    const Series& series, const ReporterGroup& group, const std::set<ReporterIndex>& members) const
{
    if (!group.firstBadAt
        || !exceedsFraction(group.counts.slowOrBad(), group.counts.total(), m_settings.minRefutableFraction))
        return false;
    // Only windows after the first bad one count, because the target may have been healthy before.
    AttemptCounts others;
    for (const auto& [key, storedWindow] : series.storedWindows)
        if (!members.contains(key.first) && storedWindow.startedAt >= *group.firstBadAt + m_settings.windowLength)
            addCounts(others, storedWindow.counts);
    return others.good >= m_settings.minRefutingObservations
        && !exceedsFraction(others.slowOrBad(), others.total(), m_settings.maxRefutingFraction);
}

void EvidencePool::excludeReporters(Series& series) const
{
    // The baseline already allows for a single slow or bad attempt.
    constexpr std::uint32_t minBadCount = 2;
    series.excludedReporters.clear();
    if (series.counts.slowOrBad() < minBadCount)
        return;
    std::map<ReporterIndex, ReporterGroup> groups;
    for (const auto& [key, storedWindow] : series.storedWindows) {
        auto& group = groups[key.first];
        addCounts(group.counts, storedWindow.counts);
        if (storedWindow.counts.slowOrBad() && (!group.firstBadAt || storedWindow.startedAt < *group.firstBadAt))
            group.firstBadAt = storedWindow.startedAt;
    }
    std::set<ReporterIndex> excludedReporters;
    for (const auto& [reporter, group] : groups)
        if (group.counts.slowOrBad() >= minBadCount && isRefuted(series, group, { reporter }))
            excludedReporters.insert(reporter);
    series.excludedReporters = std::move(excludedReporters);
}

std::string EvidencePool::excludePathFaultZone(Series& series) const
{
    if (series.counts.slowOrBad() < m_settings.minDeviatingObservations)
        return {};
    std::map<std::string, ReporterGroup> groups;
    std::map<std::string, std::set<ReporterIndex>> members;
    for (const auto& [key, storedWindow] : series.storedWindows) {
        const auto& zone = m_reporters.at(key.first).reporter.zone;
        members[zone].insert(key.first);
        auto& group = groups[zone];
        addCounts(group.counts, storedWindow.counts);
        if (storedWindow.counts.slowOrBad() && (!group.firstBadAt || storedWindow.startedAt < *group.firstBadAt))
            group.firstBadAt = storedWindow.startedAt;
    }
    for (const auto& [zone, group] : groups) {
        if (group.counts.slowOrBad() < m_settings.minDeviatingObservations || !isRefuted(series, group, members[zone]))
            continue;
        series.excludedReporters.insert(members[zone].begin(), members[zone].end());
        return zone;
    }
    return {};
}

void EvidencePool::detectDeviatingReporters()
{
    struct RefutedObservations {
        std::uint32_t slowOrBad = 0;
        std::uint32_t total = 0;
        std::set<std::string> targets;
    };
    std::map<ReporterIndex, RefutedObservations> found;
    for (const auto& [id, series] : m_series) {
        if (!series.counts.slowOrBad())
            continue;
        const AttemptCounts& all = series.counts;
        std::map<ReporterIndex, AttemptCounts> sums;
        for (const auto& [key, storedWindow] : series.storedWindows)
            addCounts(sums[key.first], storedWindow.counts);
        for (const auto& [reporter, counts] : sums) {
            const auto others = all.total() - counts.total();
            const auto othersBad = all.slowOrBad() - counts.slowOrBad();
            if (!counts.slowOrBad() || others < m_settings.minRefutingObservations
                || exceedsFraction(othersBad, others, m_settings.maxRefutingFraction))
                continue;
            auto& it = found[reporter];
            it.slowOrBad += counts.slowOrBad();
            it.total += counts.total();
            it.targets.insert(m_targets[id.first]);
        }
    }
    m_deviatingReporters.clear();
    m_locallyIgnored.clear();
    for (auto& [reporter, it] : found) {
        if (it.slowOrBad < m_settings.minDeviatingObservations
            || !exceedsFraction(it.slowOrBad, it.total, m_settings.minRefutableFraction))
            continue;
        // A single target indicates a fault of the path to it, which `excludeReporters` handles.
        if (it.targets.size() > 1)
            m_locallyIgnored.insert(reporter);
        m_deviatingReporters.emplace(m_reporters.at(reporter).reporter, std::move(it.targets));
    }
}

std::set<Reporter> ReporterCheck::faultyReporters(
    const std::vector<std::map<Reporter, std::set<std::string>>>& services)
{
    std::map<Reporter, std::size_t> serviceCounts;
    for (const auto& service : services)
        for (const auto& [reporter, targets] : service)
            ++serviceCounts[reporter];
    std::set<Reporter> result;
    for (const auto& [reporter, n] : serviceCounts)
        if (n >= minServices)
            result.insert(reporter);
    return result;
}

} // namespace buckthorncroft::health
