#include "peer_group.h"

#include <algorithm>

namespace buckthorncroft::gateway {

namespace {

    // Bounds the size of a message.
    constexpr int maxLeavingTargets = 256;

    // Larger values are not plausible and would make an instance rank first.
    constexpr float maxCapacity = 1024;

} // namespace

void addLeavingTargets(wire::proto::PeerDatagram& message, const std::vector<membership::LeavingTarget>& targets)
{
    for (const auto& it : targets) {
        if (message.leaving_size() >= maxLeavingTargets)
            return;
        auto& entry = *message.add_leaving();
        entry.set_id(it.id);
        entry.set_born(it.startedAtUnixMs);
    }
}

PeerGroup::PeerGroup(
    const GatewaySettings& settings, const base::Clock& clock, PeerChannel& channel, std::uint64_t incarnation)
    : m_settings(settings)
    , m_clock(clock)
    , m_channel(channel)
    , m_incarnation(incarnation)
    , m_ranking(settings.instance, settings.capacity)
{
}

wire::proto::PeerDatagram PeerGroup::makeMessage() const
{
    wire::proto::PeerDatagram result;
    result.set_sender(m_settings.instance);
    result.set_incarnation(m_incarnation);
    result.set_route_version(m_routeVersion);
    return result;
}

wire::proto::PeerDatagram PeerGroup::makePresence(bool leaving, bool replyWanted) const
{
    auto result = makeMessage();
    auto& it = *result.mutable_presence();
    it.set_zone(m_settings.zone);
    it.set_leaving(leaving);
    it.set_capacity(static_cast<float>(m_settings.capacity));
    it.set_route_version(m_routeVersion);
    it.set_reply_wanted(replyWanted);
    if (m_leavingTargets)
        addLeavingTargets(result, m_leavingTargets());
    return result;
}

void PeerGroup::add(const PeerRecord& peer)
{
    if (peer.instance == m_settings.instance)
        return;
    http::error_code ec;
    const udp::endpoint address(http::asio::ip::make_address(peer.host, ec), peer.port);
    if (ec)
        return;
    m_addresses[peer.instance] = address;
    m_zones[peer.instance] = peer.zone;
    m_ranking.setCapacity(peer.instance, peer.capacity);
    m_channel.send(makePresence(m_leaving, false), address);
}

void PeerGroup::contact(const std::string& host)
{
    http::error_code ec;
    const udp::endpoint address(http::asio::ip::make_address(host, ec), m_settings.peers.port);
    if (!ec && host != m_settings.peers.host)
        m_channel.send(makePresence(m_leaving, true), address);
}

void PeerGroup::announce(bool leaving)
{
    m_leaving = leaving;
    if (leaving)
        m_ranking.markLeaving(m_settings.instance);
    sendToAll(makePresence(leaving, false));
}

void PeerGroup::send(const std::string& instance, const wire::proto::PeerDatagram& message)
{
    if (const auto it = m_addresses.find(instance); it != m_addresses.end())
        m_channel.send(message, it->second);
}

void PeerGroup::sendToAll(const wire::proto::PeerDatagram& message)
{
    for (const auto& [instance, address] : m_addresses)
        m_channel.send(message, address);
}

void PeerGroup::sendToZone(const std::string& zone, const wire::proto::PeerDatagram& message)
{
    for (const auto& [instance, itsZone] : m_zones) {
        if (itsZone == zone)
            send(instance, message);
    }
}

std::string PeerGroup::zoneOf(const std::string& instance) const
{
    const auto it = m_zones.find(instance);
    return it == m_zones.end() ? std::string() : it->second;
}

bool PeerGroup::isInZone(const std::string& instance) const
{
    const auto it = m_zones.find(instance);
    return instance == self() || (it != m_zones.end() && it->second == m_settings.zone);
}

std::vector<std::string> PeerGroup::zoneTop(const std::string& key, std::size_t count)
{
    std::vector<std::string> result;
    for (const auto& it : m_ranking.top(key, m_addresses.size() + 1, m_clock.now())) {
        if (result.size() < count && isInZone(it))
            result.push_back(it);
    }
    return result;
}

bool PeerGroup::handle(const wire::proto::PeerDatagram& datagram, const udp::endpoint& from)
{
    const auto& sender = datagram.sender();
    if (sender == m_settings.instance || !membership::isValidName(sender))
        return false;
    m_addresses[sender] = from;
    const bool isFirstContact = m_ranking.recordContact(sender, datagram.incarnation(), m_clock.now());
    bool replyWanted = isFirstContact && m_leavingTargets && !m_leavingTargets().empty();
    if (datagram.has_presence()) {
        const auto& it = datagram.presence();
        m_zones[sender] = it.zone();
        // The comparison is false for NaN.
        if (it.capacity() >= 0 && it.capacity() <= maxCapacity)
            m_ranking.setCapacity(sender, it.capacity());
        if (it.leaving())
            m_ranking.markLeaving(sender);
        replyWanted = replyWanted || it.reply_wanted();
    }
    const auto routeVersion = std::max(datagram.route_version(), datagram.presence().route_version());
    if (m_onPeerRouteVersion && routeVersion > m_routeVersion)
        m_onPeerRouteVersion(routeVersion);
    if (replyWanted)
        m_channel.send(makePresence(m_leaving, false), from);
    return true;
}

} // namespace buckthorncroft::gateway
