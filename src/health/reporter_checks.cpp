// Finds reporters and zones whose evidence speaks about their path and not about the target.
#include <buckthorncroft/health/evidence_pool.h>

#include <algorithm>

namespace buckthorncroft::health {

namespace {

    void addTo(AttemptCounts& sum, const AttemptCounts& counts)
    {
        sum.good += counts.good;
        sum.slow += counts.slow;
        sum.bad += counts.bad;
    }

    bool above(std::uint32_t part, std::uint32_t whole, double share)
    {
        return static_cast<double>(part) > share * whole;
    }

} // namespace

bool EvidencePool::refuted(const Series& series, const Group& group, const std::set<ReporterIndex>& members) const
{
    if (!group.firstBad || !above(group.counts.slowOrBad(), group.counts.total(), m_settings.pathBadShare))
        return false;
    // Only windows after the first bad one count: the target may have been good for everybody before.
    AttemptCounts others;
    for (const auto& [key, cell] : series.cells)
        if (!members.contains(key.first) && cell.start >= *group.firstBad + m_settings.window)
            addTo(others, cell.counts);
    return others.good >= m_settings.pathWitnesses
        && !above(others.slowOrBad(), others.total(), m_settings.pathGoodShare);
}

void EvidencePool::excludeReporters(Series& series) const
{
    // A single bad observation of one reporter is noise that the baseline covers.
    constexpr std::uint32_t minBads = 2;
    series.excluded.clear();
    if (series.counts.slowOrBad() < minBads)
        return;
    std::map<ReporterIndex, Group> groups;
    for (const auto& [key, cell] : series.cells) {
        auto& group = groups[key.first];
        addTo(group.counts, cell.counts);
        if (cell.counts.slowOrBad() && (!group.firstBad || cell.start < *group.firstBad))
            group.firstBad = cell.start;
    }
    std::set<ReporterIndex> excluded;
    for (const auto& [reporter, group] : groups)
        if (group.counts.slowOrBad() >= minBads && refuted(series, group, { reporter }))
            excluded.insert(reporter);
    series.excluded = std::move(excluded);
}

std::string EvidencePool::excludeZone(Series& series) const
{
    if (series.counts.slowOrBad() < m_settings.deviatingBads)
        return {};
    std::map<std::string, Group> groups;
    std::map<std::string, std::set<ReporterIndex>> members;
    for (const auto& [key, cell] : series.cells) {
        const auto& zone = m_reporters.at(key.first).reporter.zone;
        members[zone].insert(key.first);
        auto& group = groups[zone];
        addTo(group.counts, cell.counts);
        if (cell.counts.slowOrBad() && (!group.firstBad || cell.start < *group.firstBad))
            group.firstBad = cell.start;
    }
    for (const auto& [zone, group] : groups) {
        if (group.counts.slowOrBad() < m_settings.deviatingBads || !refuted(series, group, members[zone]))
            continue;
        series.excluded.insert(members[zone].begin(), members[zone].end());
        return zone;
    }
    return {};
}

void EvidencePool::findDeviating()
{
    struct Refuted {
        std::uint32_t slowOrBad = 0;
        std::uint32_t total = 0;
        std::set<std::string> targets;
    };
    std::map<ReporterIndex, Refuted> found;
    for (const auto& [id, series] : m_series) {
        if (!series.counts.slowOrBad())
            continue;
        const AttemptCounts& all = series.counts;
        std::map<ReporterIndex, AttemptCounts> sums;
        for (const auto& [key, cell] : series.cells)
            addTo(sums[key.first], cell.counts);
        for (const auto& [reporter, counts] : sums) {
            const auto others = all.total() - counts.total();
            const auto othersBad = all.slowOrBad() - counts.slowOrBad();
            if (!counts.slowOrBad() || others < m_settings.pathWitnesses
                || above(othersBad, others, m_settings.pathGoodShare))
                continue;
            auto& it = found[reporter];
            it.slowOrBad += counts.slowOrBad();
            it.total += counts.total();
            it.targets.insert(m_targets[id.first]);
        }
    }
    m_deviating.clear();
    m_ignoredHere.clear();
    for (auto& [reporter, it] : found) {
        if (it.slowOrBad < m_settings.deviatingBads || !above(it.slowOrBad, it.total, m_settings.pathBadShare))
            continue;
        // One target alone is a matter of the path to it, which is handled per target.
        if (it.targets.size() > 1)
            m_ignoredHere.insert(reporter);
        m_deviating.emplace(m_reporters.at(reporter).reporter, std::move(it.targets));
    }
}

std::set<Reporter> ReporterCheck::faultyReporters(
    const std::vector<std::map<Reporter, std::set<std::string>>>& services)
{
    std::map<Reporter, std::size_t> seen;
    for (const auto& service : services)
        for (const auto& [reporter, targets] : service)
            ++seen[reporter];
    std::set<Reporter> result;
    for (const auto& [reporter, n] : seen)
        if (n >= minServices)
            result.insert(reporter);
    return result;
}

} // namespace buckthorncroft::health
