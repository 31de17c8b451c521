#include <buckthorncroft/membership/target_directory.h>

#include <set>

namespace buckthorncroft::membership {

namespace {

    // A target that lives registers again within about 2 s of the registry's return; a removal must be obeyed within
    // the 2 s that the platform allows for draining.
    constexpr std::chrono::milliseconds removalHold { 1500 };

    // Removals read this long after the last failed read may stem from the outage.
    constexpr std::chrono::milliseconds outageAftermath { 2500 };

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

// Readers keep the old set, so each change is made on a copy.
TargetSet& TargetDirectory::edit()
{
    m_targets = std::make_shared<TargetSet>(*m_targets);
    ++m_targets->revision;
    return *m_targets;
}

const DirectoryEntry* TargetDirectory::find(const std::string& id) const
{
    const auto known = m_known.find(id);
    return known == m_known.end() ? nullptr : m_targets->find(known->second.service, id);
}

bool TargetDirectory::upsert(const TargetRecord& record, base::SteadyTime now)
{
    m_removals.erase(record.id);
    const auto* old = find(record.id);
    // Entries arrive over several ways; an older one says nothing new.
    const bool sameLifetime = old && old->record.startedAtUnixMs == record.startedAtUnixMs;
    const bool older = old
        && (record.startedAtUnixMs < old->record.startedAtUnixMs
            || (sameLifetime && record.sequence < m_known[record.id].sequence));
    if (older)
        return false;
    const bool again = old && !sameLifetime;
    if (old && !again && !routingDiffers(old->record, record)) {
        m_known[record.id].sequence = record.sequence;
        return false;
    }
    const auto since = old && !again ? old->firstSeenAt : now;
    auto& set = edit();
    if (old)
        set.services[m_known[record.id].service].erase(record.id);
    set.services[record.service][record.id] = { record, since, now + record.coldRemaining };
    m_known[record.id] = { record.service, record.sequence };
    return true;
}

bool TargetDirectory::erase(const std::string& id)
{
    const auto known = m_known.find(id);
    if (known == m_known.end())
        return false;
    edit().services[known->second.service].erase(id);
    m_known.erase(known);
    return true;
}

bool TargetDirectory::remove(const std::string& id, base::SteadyTime now)
{
    const auto* entry = find(id);
    if (!entry)
        return false;
    const bool doubtful = m_lastLost != base::SteadyTime {} && now - m_lastLost < outageAftermath;
    if (doubtful && !entry->record.draining) {
        m_removals.emplace(id, now);
        return false;
    }
    m_removals.erase(id);
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
    for (const auto& [id, known] : m_known) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const auto& it : missing)
        changed = remove(it, now) || changed;
    return changed;
}

std::vector<std::string> TargetDirectory::applyDueRemovals(base::SteadyTime now)
{
    std::vector<std::string> result;
    for (auto it = m_removals.begin(); it != m_removals.end();) {
        if (now - it->second < removalHold) {
            ++it;
            continue;
        }
        if (erase(it->first))
            result.push_back(it->first);
        it = m_removals.erase(it);
    }
    return result;
}

} // namespace buckthorncroft::membership
