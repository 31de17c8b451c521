#include <buckthorncroft/membership/peer_ranking.h>

#include <algorithm>
#include <buckthorncroft/membership/rendezvous.h>

namespace buckthorncroft::membership {

namespace {

    using std::chrono::milliseconds;

    // How long an instance is skipped after its first timeout, and at most.
    constexpr milliseconds initialBackoff { 1000 };
    constexpr milliseconds maxBackoff { 8000 };

    // Instances with at least this fraction of the largest capacity rank before all others and share the roles evenly.
    constexpr double minPreferredCapacityFraction = 0.8;

} // namespace

PeerRanking::PeerRanking(std::string self, double capacity)
    : m_self(std::move(self))
{
    m_peers[m_self].capacity = capacity;
}

bool PeerRanking::recordContact(const std::string& instance, std::uint64_t incarnation, base::SteadyTime now)
{
    const bool known = m_peers.contains(instance);
    auto& peer = m_peers[instance];
    const bool isFirstContact = peer.incarnation != incarnation;
    if (!known || peer.leaving)
        m_rankings.clear();
    if (peer.leaving && !isFirstContact)
        return false; // A stopping instance responds until its process ends.
    peer.leaving = false;
    peer.incarnation = incarnation;
    peer.skipUntil = now;
    peer.backoff = milliseconds(0);
    return isFirstContact;
}

void PeerRanking::setCapacity(const std::string& instance, double capacity)
{
    auto& peer = m_peers[instance];
    if (peer.capacity != capacity)
        m_rankings.clear();
    peer.capacity = capacity;
}

void PeerRanking::markLeaving(const std::string& instance)
{
    m_peers[instance].leaving = true;
    m_rankings.clear();
}

void PeerRanking::recordTimeout(const std::string& instance, base::SteadyTime now)
{
    const auto it = m_peers.find(instance);
    if (it == m_peers.end())
        return;
    auto& peer = it->second;
    peer.backoff = peer.backoff.count() == 0 ? initialBackoff : std::min(maxBackoff, peer.backoff * 2);
    peer.skipUntil = now + peer.backoff;
}

const std::vector<std::string>& PeerRanking::rankingFor(const std::string& key)
{
    const auto known = m_rankings.find(key);
    if (known != m_rankings.end())
        return known->second;
    double maxCapacity = 0;
    for (const auto& [name, peer] : m_peers)
        maxCapacity = std::max(maxCapacity, peer.leaving ? 0 : peer.capacity);
    std::vector<std::string> preferred;
    std::vector<std::string> fallback;
    for (const auto& [name, peer] : m_peers) {
        if (!peer.leaving)
            (peer.capacity >= minPreferredCapacityFraction * maxCapacity ? preferred : fallback).push_back(name);
    }
    auto result = rendezvousTop(key, preferred, preferred.size());
    const auto rest = rendezvousTop(key, fallback, fallback.size());
    result.insert(result.end(), rest.begin(), rest.end());
    return m_rankings[key] = std::move(result);
}

bool PeerRanking::isAvailable(const std::string& instance, base::SteadyTime now) const
{
    const auto peer = m_peers.find(instance);
    return instance == m_self || (peer != m_peers.end() && now >= peer->second.skipUntil);
}

std::string PeerRanking::first(const std::string& key, base::SteadyTime now)
{
    const auto& members = rankingFor(key);
    const auto it
        = std::find_if(members.begin(), members.end(), [&](const std::string& name) { return isAvailable(name, now); });
    return it == members.end() ? m_self : *it;
}

std::vector<std::string> PeerRanking::top(const std::string& key, std::size_t count, base::SteadyTime now)
{
    std::vector<std::string> result;
    for (const auto& it : rankingFor(key)) {
        if (result.size() < count && isAvailable(it, now))
            result.push_back(it);
    }
    return result;
}

std::vector<std::string> PeerRanking::successors(const std::string& key, std::size_t count, base::SteadyTime now)
{
    std::vector<std::string> result;
    const auto firstInstance = first(key, now);
    for (const auto& it : rankingFor(key)) {
        if (result.size() >= count)
            break;
        if (it != m_self && it != firstInstance && isAvailable(it, now))
            result.push_back(it);
    }
    return result;
}

std::size_t PeerRanking::memberCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [](const auto& it) { return !it.second.leaving; }));
}

} // namespace buckthorncroft::membership
