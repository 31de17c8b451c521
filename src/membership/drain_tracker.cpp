#include <buckthorncroft/membership/drain_tracker.h>

#include <algorithm>

namespace buckthorncroft::membership {

bool DrainTracker::recordAnnouncement(const TargetName& name, base::SteadyTime now)
{
    const auto [it, inserted] = m_entries.try_emplace(name);
    auto& entry = it->second;
    if (!entry.firstHand)
        entry.lastProbe = now;
    entry.firstHand = true;
    entry.lastSign = now;
    entry.clean = 0;
    return inserted;
}

bool DrainTracker::recordRelayedObservation(const DrainSign& sign, base::SteadyTime now)
{
    if (sign.age >= m_settings.peerLifetime || sign.age < std::chrono::milliseconds(0))
        return false;
    const auto [it, inserted] = m_entries.try_emplace(sign.name);
    it->second.lastSign = inserted ? now - sign.age : std::max(it->second.lastSign, now - sign.age);
    return inserted;
}

std::vector<DrainSign> DrainTracker::observationsToRelay(base::SteadyTime now) const
{
    std::vector<DrainSign> result;
    for (const auto& [name, entry] : m_entries) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.lastSign);
        if (age < m_settings.peerLifetime)
            result.push_back({ name, age });
    }
    return result;
}

std::vector<TargetName> DrainTracker::takeDueProbes(base::SteadyTime now)
{
    std::vector<TargetName> result;
    for (auto& [name, entry] : m_entries) {
        if (!entry.firstHand || now - entry.lastProbe < m_settings.probeInterval)
            continue;
        entry.lastProbe = now;
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
        it->second.lastSign = now;
        it->second.clean = 0;
        break;
    case DrainProbeResult::NotDraining:
        ++it->second.clean;
        break;
    case DrainProbeResult::NoResponse:
        // A target that has stopped has not come back; clean probes must follow each other.
        it->second.clean = 0;
        break;
    }
}

bool DrainTracker::hasEnded(const Entry& entry, base::SteadyTime now) const
{
    const auto quiet = now - entry.lastSign;
    if (!entry.firstHand)
        return quiet >= m_settings.peerLifetime;
    return quiet >= m_settings.minQuiet && entry.clean >= m_settings.cleanProbes;
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
