#include <buckthorncroft/membership/membership.h>

#include <algorithm>
#include <buckthorncroft/membership/rendezvous.h>

namespace buckthorncroft::membership {

namespace {

    // Bounds the superseded incarnations that are stored for one instance, that is, its restarts within the retention
    // time. Beyond the bound, the numerically smallest incarnation is removed.
    constexpr std::size_t maxSupersededPerInstance = 16;

} // namespace

Membership::Membership(Peer self, MembershipSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

Membership::Entry* Membership::findOrAdd(const Peer& peer)
{
    if (peer.instance.empty() || peer.instance == m_self.instance)
        return nullptr;
    const auto it = m_entries.find(peer.instance);
    if (it != m_entries.end())
        return &it->second;
    if (m_entries.size() >= m_settings.maxPeers)
        return nullptr;
    auto& entry = m_entries[peer.instance];
    entry.peer = peer;
    return &entry;
}

// Replaces the stored description of a peer by the one in a message. Returns false if the message must be ignored: it
// is of a superseded incarnation, or it is relayed and names another incarnation than the known one. Only direct
// contact proves that a new incarnation runs.
bool Membership::updatePeer(Entry& entry, const Peer& peer, bool direct)
{
    auto& superseded = m_superseded[peer.instance];
    if (superseded.count(peer.incarnation))
        return false;
    if (entry.peer.incarnation && entry.peer.incarnation != peer.incarnation) {
        if (!direct)
            return false;
        if (superseded.size() >= maxSupersededPerInstance)
            superseded.erase(superseded.begin());
        superseded.insert(entry.peer.incarnation);
        entry.peer.leaving = false;
    }
    const bool leaving = entry.peer.leaving || peer.leaving; // A process that stops does not start to serve again.
    entry.peer = peer;
    entry.peer.leaving = leaving;
    return true;
}

void Membership::mergePlatformList(const std::vector<Peer>& peers, base::SteadyTime now)
{
    std::set<std::string> names;
    for (const auto& it : peers) {
        names.insert(it.instance);
        auto* entry = findOrAdd(it);
        if (!entry)
            continue;
        if (!entry->listedSince)
            entry->listedSince = now;
        // The list lags, so the peer's own messages take precedence. Its address is taken from the list only until the
        // first contact.
        if (!entry->lastContactAt)
            entry->peer.address = it.address;
        if (it.leaving && !entry->lastDirectContactAt)
            entry->peer.leaving = true;
    }
    for (auto& [name, entry] : m_entries) {
        if (!names.count(name))
            entry.listedSince.reset();
    }
}

bool Membership::recordDirectContact(const Peer& peer, base::SteadyTime now)
{
    auto* entry = findOrAdd(peer);
    if (!entry || !updatePeer(*entry, peer, true))
        return false;
    entry->lastDirectContactAt = now;
    entry->lastContactAt = now;
    return true;
}

void Membership::recordRelayedContact(const Peer& peer, std::chrono::milliseconds age, base::SteadyTime now)
{
    if (age >= m_settings.contactTimeout || age < std::chrono::milliseconds(0))
        return;
    auto* entry = findOrAdd(peer);
    if (!entry || !updatePeer(*entry, peer, false))
        return;
    entry->lastContactAt = std::max(entry->lastContactAt.value_or(base::SteadyTime::min()), now - age);
}

void Membership::removeExpiredPeers(base::SteadyTime now)
{
    std::erase_if(m_entries, [&](const auto& item) {
        const auto& entry = item.second;
        return !entry.listedSince && (!entry.lastContactAt || now - *entry.lastContactAt > m_settings.silentPeerTtl);
    });
    std::erase_if(m_superseded, [&](const auto& item) { return !m_entries.count(item.first); });
}

bool Membership::isLive(const Entry& entry, base::SteadyTime now) const
{
    if (entry.lastContactAt)
        return now - *entry.lastContactAt < m_settings.contactTimeout;
    return entry.listedSince && now - *entry.listedSince < m_settings.firstContactTimeout;
}

std::vector<Peer> Membership::live(base::SteadyTime now) const
{
    std::vector<Peer> result;
    if (!m_self.leaving)
        result.push_back(m_self);
    for (const auto& [name, entry] : m_entries) {
        if (!entry.peer.leaving && isLive(entry, now))
            result.push_back(entry.peer);
    }
    std::sort(result.begin(), result.end(), [](const Peer& a, const Peer& b) { return a.instance < b.instance; });
    return result;
}

std::size_t Membership::connectionHolderCount(base::SteadyTime now) const
{
    const auto holders = std::count_if(m_entries.begin(), m_entries.end(),
        [&](const auto& item) { return item.second.listedSince || isLive(item.second, now); });
    return static_cast<std::size_t>(holders) + 1;
}

std::vector<PeerContact> Membership::takePeersToRelay(std::size_t count, base::SteadyTime now)
{
    std::vector<Entry*> reachable;
    for (auto& [name, entry] : m_entries) {
        if (entry.lastContactAt && now - *entry.lastContactAt < m_settings.contactTimeout)
            reachable.push_back(&entry);
    }
    std::stable_sort(reachable.begin(), reachable.end(),
        [](const Entry* a, const Entry* b) { return a->lastRelayTurn < b->lastRelayTurn; });
    reachable.resize(std::min(count, reachable.size()));
    std::vector<PeerContact> result;
    for (auto* it : reachable) {
        it->lastRelayTurn = ++m_relayTurn;
        result.push_back({ it->peer, std::chrono::duration_cast<std::chrono::milliseconds>(now - *it->lastContactAt) });
    }
    return result;
}

CoordinatorTable::CoordinatorTable(const std::vector<Peer>& live)
{
    for (const auto& it : live)
        m_zones[it.zone].push_back(it);
}

const Peer* CoordinatorTable::find(const std::string& service, const std::string& zone) const
{
    const auto it = m_zones.find(zone);
    if (it == m_zones.end())
        return nullptr;
    const Peer* best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto& peer : it->second) {
        const auto score = rendezvousScore(service, peer.instance);
        if (!best || score > bestScore) {
            best = &peer;
            bestScore = score;
        }
    }
    return best;
}

std::vector<std::string> CoordinatorTable::zones() const
{
    std::vector<std::string> result;
    result.reserve(m_zones.size());
    for (const auto& [zone, peers] : m_zones)
        result.push_back(zone);
    return result;
}

} // namespace buckthorncroft::membership
