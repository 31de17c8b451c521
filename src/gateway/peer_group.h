#pragma once

#include "peer_channel.h"
#include "registry.h"

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/gateway/settings.h>
#include <buckthorncroft/membership/peer_ranking.h>
#include <buckthorncroft/membership/target_directory.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace buckthorncroft::gateway {

/// Adds announcements of leaving targets to a datagram, up to a limit that bounds its size.
void addLeavingTargets(wire::proto::PeerDatagram& message, const std::vector<membership::LeavingTarget>& targets);

/// The known instances of the fleet: their addresses and the ranking that assigns roles to them. Runs on the control
/// thread.
class PeerGroup {
public:
    /// `incarnation`: a number that differs between runs of this instance, so that peers detect a restart.
    PeerGroup(
        const GatewaySettings& settings, const base::Clock& clock, PeerChannel& channel, std::uint64_t incarnation);

    /// Adds or updates an instance that the registry lists, and sends it the presence of this one. Ignores this
    /// instance itself and invalid addresses.
    void add(const PeerRecord& peer);

    /// Sends the presence of this instance to the IP address `host`, whose instance name is not known yet, and requests
    /// a reply. Uses the UDP port of this instance. Ignores the host of this instance itself.
    void contact(const std::string& host);

    /// Announces to all known instances that this one is present or, with `leaving`, that it is shutting down.
    void announce(bool leaving);

    /// Sets the version of the routes in force, which all messages carry.
    void setRouteVersion(std::uint64_t version) { m_routeVersion = version; }

    /// Sets the function that returns the leaving targets, which the presence messages carry.
    void setLeavingTargetsSource(std::function<std::vector<membership::LeavingTarget>()> source)
    {
        m_leavingTargets = std::move(source);
    }

    /// Sets the function to call when an instance announces a version of the routes newer than the local one.
    void onPeerRouteVersion(std::function<void(std::uint64_t)> handler) { m_onPeerRouteVersion = std::move(handler); }

    /// Records the sender of a datagram and its presence. Responds to the first message of an instance with the leaving
    /// targets, if there are any, because they were announced before it started. Returns false if the datagram must be
    /// ignored because this instance sent it itself or its sender's name is not valid.
    bool handle(const wire::proto::PeerDatagram& datagram, const udp::endpoint& from);

    /// Returns a datagram that contains only the sender fields of this instance.
    wire::proto::PeerDatagram makeMessage() const;

    /// Sends to one instance. Does nothing if its address is not known.
    void send(const std::string& instance, const wire::proto::PeerDatagram& message);
    void sendToAll(const wire::proto::PeerDatagram& message);

    /// Sends to the known instances in an availability zone.
    void sendToZone(const std::string& zone, const wire::proto::PeerDatagram& message);

    /// Returns the availability zone of a known instance, or an empty string.
    std::string zoneOf(const std::string& instance) const;
    const std::string& ownZone() const { return m_settings.zone; }

    /// Number of known instances, including this one.
    std::size_t size() const { return m_addresses.size() + 1; }

    /// Whether the instance is in the availability zone of this one.
    bool isInZone(const std::string& instance) const;

    /// Returns up to `count` available instances in the availability zone of this one that rank first for `key`,
    /// including this one.
    std::vector<std::string> zoneTop(const std::string& key, std::size_t count);

    std::uint64_t routeVersion() const { return m_routeVersion; }

    membership::PeerRanking& ranking() { return m_ranking; }
    const std::string& self() const { return m_settings.instance; }

private:
    wire::proto::PeerDatagram makePresence(bool leaving, bool replyWanted) const;

    const GatewaySettings& m_settings;
    const base::Clock& m_clock;
    PeerChannel& m_channel;
    std::uint64_t m_incarnation;
    membership::PeerRanking m_ranking;
    std::map<std::string, udp::endpoint> m_addresses; ///< By instance.
    std::map<std::string, std::string> m_zones; ///< Availability zone by instance.
    std::function<void(std::uint64_t)> m_onPeerRouteVersion;
    std::function<std::vector<membership::LeavingTarget>()> m_leavingTargets;
    std::uint64_t m_routeVersion = 0;
    bool m_leaving = false;
};

} // namespace buckthorncroft::gateway
