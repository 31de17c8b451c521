#include <buckthorncroft/membership/drain_tracker.h>

#include <algorithm>

namespace buckthorncroft::membership {

bool DrainTracker::recordAnnouncement(const TargetName& name, base::SteadyTime now)
{
    const auto [it, inserted] = m_entries.try_emplace(name);
    auto& entry = it->second;
    if (!entry.announcedDirectly)
        entry.lastProbedAt = now;
    entry.announcedDirectly = true;
    entry.lastObservedAt = now;
    entry.notDrainingProbes = 0;
    return inserted;
}

bool DrainTracker::recordRelayedObservation(const DrainObservation& observation, base::SteadyTime now)
{
    if (observation.age >= m_settings.relayedObservationTtl || observation.age < std::chrono::milliseconds(0))
        return false;
    const auto [it, inserted] = m_entries.try_emplace(observation.name);
    it->second.lastObservedAt
        = inserted ? now - observation.age : std::max(it->second.lastObservedAt, now - observation.age);
    return inserted;
}

std::vector<DrainObservation> DrainTracker::observationsToRelay(base::SteadyTime now) const
{
    std::vector<DrainObservation> result;
    for (const auto& [name, entry] : m_entries) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.lastObservedAt);
        if (age < m_settings.relayedObservationTtl)
            result.push_back({ name, age });
    }
    return result;
}

std::vector<TargetName> DrainTracker::takeDueProbes(base::SteadyTime now)
{
    std::vector<TargetName> result;
    for (auto& [name, entry] : m_entries) {
        if (!entry.announcedDirectly || now - entry.lastProbedAt < m_settings.probeInterval)
            continue;
        entry.lastProbedAt = now;
        result.push_back(name);
    }
    return result;
}

void DrainTracker::recordProbe(const TargetName& name, DrainProbeResult result, base::SteadyTime now)
{
    const auto it = m_entries.find(name);
    if (it == m_entries.end())
        return;
    switch (result) {
    case DrainProbeResult::StillDraining:
        it->second.lastObservedAt = now;
        it->second.notDrainingProbes = 0;
        break;
    case DrainProbeResult::NotDraining:
        ++it->second.notDrainingProbes;
        break;
    case DrainProbeResult::NoResponse:
        // A target that has stopped is not available again, so the count of consecutive probes starts over.
        it->second.notDrainingProbes = 0;
        break;
    }
}

bool DrainTracker::hasEnded(const Entry& entry, base::SteadyTime now) const
{
    const auto quietPeriod = now - entry.lastObservedAt;
    if (!entry.announcedDirectly)
        return quietPeriod >= m_settings.relayedObservationTtl;
    return quietPeriod >= m_settings.minQuietPeriod && entry.notDrainingProbes >= m_settings.minNotDrainingProbes;
}

std::vector<TargetName> DrainTracker::takeEndedDrains(base::SteadyTime now)
{
    std::vector<TargetName> result;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (hasEnded(it->second, now)) {
            result.push_back(it->first);
            it = m_entries.erase(it);
        } else {
            ++it;
        }
    }
    return result;
}

} // namespace buckthorncroft::membership
