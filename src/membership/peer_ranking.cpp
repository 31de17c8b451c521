#include <buckthorncroft/membership/peer_ranking.h>

#include <algorithm>
#include <buckthorncroft/membership/rendezvous.h>

namespace buckthorncroft::membership {

namespace {

    using std::chrono::milliseconds;

    // How long a silent instance is passed over at first, and at most.
    constexpr milliseconds firstPause { 1000 };
    constexpr milliseconds longestPause { 8000 };

    // Instances with this part of the largest capacity count as equally strong.
    constexpr double strongShare = 0.8;

} // namespace

PeerRanking::PeerRanking(std::string self, double capacity)
    : m_self(std::move(self))
{
    m_peers[m_self].capacity = capacity;
}

void PeerRanking::recordContact(const std::string& instance, std::uint64_t incarnation, base::SteadyTime now)
{
    const bool known = m_peers.contains(instance);
    auto& peer = m_peers[instance];
    if (!known || peer.leaving)
        m_orders.clear();
    if (peer.leaving && peer.incarnation == incarnation)
        return; // It answers until its end.
    peer.leaving = false;
    peer.incarnation = incarnation;
    peer.passUntil = now;
    peer.pause = milliseconds(0);
}

void PeerRanking::setCapacity(const std::string& instance, double capacity)
{
    auto& peer = m_peers[instance];
    if (peer.capacity != capacity)
        m_orders.clear();
    peer.capacity = capacity;
}

void PeerRanking::markLeaving(const std::string& instance)
{
    m_peers[instance].leaving = true;
    m_orders.clear();
}

void PeerRanking::recordTimeout(const std::string& instance, base::SteadyTime now)
{
    auto& peer = m_peers[instance];
    peer.pause = peer.pause.count() == 0 ? firstPause : std::min(longestPause, peer.pause * 2);
    peer.passUntil = now + peer.pause;
}

const std::vector<std::string>& PeerRanking::order(const std::string& key)
{
    const auto known = m_orders.find(key);
    if (known != m_orders.end())
        return known->second;
    double most = 0;
    for (const auto& [name, peer] : m_peers)
        most = std::max(most, peer.leaving ? 0 : peer.capacity);
    std::vector<std::string> strong;
    std::vector<std::string> weak;
    for (const auto& [name, peer] : m_peers) {
        if (!peer.leaving)
            (peer.capacity >= strongShare * most ? strong : weak).push_back(name);
    }
    auto result = rendezvousTop(key, strong, strong.size());
    const auto rest = rendezvousTop(key, weak, weak.size());
    result.insert(result.end(), rest.begin(), rest.end());
    return m_orders[key] = std::move(result);
}

bool PeerRanking::usable(const std::string& instance, base::SteadyTime now) const
{
    const auto peer = m_peers.find(instance);
    return instance == m_self || (peer != m_peers.end() && now >= peer->second.passUntil);
}

std::string PeerRanking::first(const std::string& key, base::SteadyTime now)
{
    const auto& members = order(key);
    const auto it
        = std::find_if(members.begin(), members.end(), [&](const std::string& name) { return usable(name, now); });
    return it == members.end() ? m_self : *it;
}

std::vector<std::string> PeerRanking::top(const std::string& key, std::size_t count, base::SteadyTime now)
{
    std::vector<std::string> result;
    for (const auto& it : order(key)) {
        if (result.size() < count && usable(it, now))
            result.push_back(it);
    }
    return result;
}

std::vector<std::string> PeerRanking::successors(const std::string& key, std::size_t count, base::SteadyTime now)
{
    std::vector<std::string> result;
    const auto head = first(key, now);
    for (const auto& it : order(key)) {
        if (result.size() >= count)
            break;
        if (it != m_self && it != head && usable(it, now))
            result.push_back(it);
    }
    return result;
}

} // namespace buckthorncroft::membership
