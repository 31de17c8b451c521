#include <buckthorncroft/membership/target_directory.h>

#include <algorithm>
#include <set>

namespace buckthorncroft::membership {

namespace {

    bool routingDiffers(const TargetRecord& a, const TargetRecord& b)
    {
        return a.service != b.service || a.host != b.host || a.port != b.port || a.zone != b.zone || a.slots != b.slots
            || a.draining != b.draining || a.startedAtUnixMs != b.startedAtUnixMs;
    }

} // namespace

const DirectoryEntry* TargetSet::find(const std::string& service, const std::string& id) const
{
    const auto it = services.find(service);
    if (it == services.end())
        return nullptr;
    const auto entry = it->second.find(id);
    return entry == it->second.end() ? nullptr : &entry->second;
}

// Publishes a copy of the set for changes, because readers may still hold the previous set.
TargetSet& TargetDirectory::copyForUpdate()
{
    m_targets = std::make_shared<TargetSet>(*m_targets);
    ++m_targets->revision;
    return *m_targets;
}

const DirectoryEntry* TargetDirectory::find(const std::string& id) const
{
    const auto known = m_knownTargets.find(id);
    return known == m_knownTargets.end() ? nullptr : m_targets->find(known->second.service, id);
}

bool TargetDirectory::hasAnnouncedLeaving(const TargetRecord& record) const
{
    const auto it = m_leaving.find(record.id);
    return it != m_leaving.end() && record.startedAtUnixMs <= it->second.startedAtUnixMs;
}

bool TargetDirectory::upsert(const TargetRecord& listed, base::SteadyTime now)
{
    auto record = listed;
    record.draining = record.draining || hasAnnouncedLeaving(record);
    const auto* previous = find(record.id);
    // Records arrive from the registry and from peers, so they may arrive out of order. An older one is ignored.
    const bool sameLifetime = previous && previous->record.startedAtUnixMs == record.startedAtUnixMs;
    const bool isStale = previous
        && (record.startedAtUnixMs < previous->record.startedAtUnixMs
            || (sameLifetime && record.sequence < m_knownTargets[record.id].sequence));
    if (isStale)
        return false;
    m_pendingRemovals.erase(record.id);
    const bool restarted = previous && !sameLifetime;
    if (previous && !restarted && !routingDiffers(previous->record, record)) {
        m_knownTargets[record.id].sequence = record.sequence;
        return false;
    }
    const auto firstSeenAt = previous && !restarted ? previous->firstSeenAt : now;
    auto& set = copyForUpdate();
    if (previous)
        set.services[m_knownTargets[record.id].service].erase(record.id);
    set.services[record.service][record.id] = { record, firstSeenAt, now + record.coldRemaining };
    m_knownTargets[record.id] = { record.service, record.sequence };
    return true;
}

bool TargetDirectory::markLeaving(const LeavingTarget& target, base::SteadyTime now)
{
    forgetOldAnnouncements(now);
    const auto* entry = find(target.id);
    const auto known = m_leaving.find(target.id);
    const bool isOutdated = (entry && entry->record.startedAtUnixMs > target.startedAtUnixMs)
        || (known != m_leaving.end() && known->second.startedAtUnixMs >= target.startedAtUnixMs);
    if (isOutdated)
        return false;
    m_leaving[target.id] = { target.startedAtUnixMs, now };
    if (!entry || entry->record.draining)
        return false;
    const auto service = entry->record.service;
    copyForUpdate().services[service][target.id].record.draining = true;
    return true;
}

std::vector<LeavingTarget> TargetDirectory::leavingTargets(base::SteadyTime now, std::chrono::milliseconds maxAge)
{
    forgetOldAnnouncements(now);
    std::vector<LeavingTarget> result;
    for (const auto& [id, it] : m_leaving) {
        if (now - it.announcedAt <= maxAge)
            result.push_back({ id, it.startedAtUnixMs });
    }
    return result;
}

void TargetDirectory::forgetOldAnnouncements(base::SteadyTime now)
{
    std::erase_if(m_leaving, [now](const auto& it) { return now - it.second.announcedAt > leavingTtl; });
}

bool TargetDirectory::erase(const std::string& id)
{
    const auto known = m_knownTargets.find(id);
    if (known == m_knownTargets.end())
        return false;
    copyForUpdate().services[known->second.service].erase(id);
    m_knownTargets.erase(known);
    return true;
}

bool TargetDirectory::remove(const std::string& id, base::SteadyTime now)
{
    const auto* entry = find(id);
    if (!entry)
        return false;
    if (m_outage.isRecovering(now) && !entry->record.draining) {
        m_pendingRemovals.emplace(id, m_outage.recoveryEnd());
        return false;
    }
    m_pendingRemovals.erase(id);
    return erase(id);
}

bool TargetDirectory::replaceAll(const std::vector<TargetRecord>& records, base::SteadyTime now)
{
    bool changed = false;
    std::set<std::string> listed;
    for (const auto& it : records) {
        listed.insert(it.id);
        changed = upsert(it, now) || changed;
    }
    std::vector<std::string> missing;
    for (const auto& [id, known] : m_knownTargets) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const auto& it : missing)
        changed = remove(it, now) || changed;
    return changed;
}

std::optional<base::SteadyTime> TargetDirectory::nextRemovalAt() const
{
    std::optional<base::SteadyTime> result;
    for (const auto& [id, dueAt] : m_pendingRemovals)
        result = std::min(result.value_or(dueAt), dueAt);
    return result;
}

std::vector<std::string> TargetDirectory::applyDueRemovals(base::SteadyTime now)
{
    std::vector<std::string> result;
    for (auto it = m_pendingRemovals.begin(); it != m_pendingRemovals.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        if (erase(it->first))
            result.push_back(it->first);
        it = m_pendingRemovals.erase(it);
    }
    return result;
}

} // namespace buckthorncroft::membership
