#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthorncroft::membership {

/// One process lifetime of an instance.
struct Peer {
    std::string instance;
    std::string zone;
    std::string address; ///< `host:port` of the endpoint for traffic between instances.
    std::uint64_t incarnation = 0; ///< Random for each process start; 0 if only the platform's list names the peer.
    bool leaving = false; ///< The process has announced that it stops.
};

/// A peer with the time since any instance last received a message from it.
struct PeerContact {
    Peer peer;
    std::chrono::milliseconds age { 0 };
};

/// Maps services to their coordinators for one set of live instances. Built once for many lookups.
class CoordinatorTable {
public:
    CoordinatorTable() = default;
    explicit CoordinatorTable(const std::vector<Peer>& live);

    /// Returns the instance that coordinates `service` in `zone`, or null if the zone has no live instance. The pointer
    /// is valid as long as the table exists.
    const Peer* find(const std::string& service, const std::string& zone) const;

    /// Returns the zones that have a live instance, sorted.
    std::vector<std::string> zones() const;

private:
    std::map<std::string, std::vector<Peer>> m_zones;
};

/// Timeouts and bounds of `Membership`.
struct MembershipSettings {
    /// A peer without direct or relayed contact for this long is not live. Several times the exchange interval of
    /// 0.5 s, so that a few lost messages do not move coordinators to other instances.
    std::chrono::milliseconds contactTimeout { 3000 };
    /// A peer that the platform's list names counts as live for this long without any contact. Covers the time that a
    /// new instance needs for its first exchange.
    std::chrono::milliseconds firstContactTimeout { 10'000 };
    /// A peer without contact for this long is removed if the platform's list no longer names it.
    std::chrono::milliseconds silentPeerTtl { 60'000 };
    std::size_t maxPeers = 10'000; ///< Peers beyond this number are ignored.
};

/// The peers of this instance, as derived from the platform's list, which lags, and from direct and relayed contact.
/// This is soft state: a wrong view makes placement and detection less precise but breaks no invariant. Not safe for
/// concurrent use.
class Membership {
public:
    Membership(Peer self, MembershipSettings settings = {});

    const Peer& self() const { return m_self; }

    /// Marks this instance as stopping. Once its messages announce this, no instance chooses it as coordinator.
    void setLeaving() { m_self.leaving = true; }

    /// Merges the platform's list. Because the list lags, a peer that is missing from it is kept while there is contact
    /// with it.
    void mergePlatformList(const std::vector<Peer>& peers, base::SteadyTime now);

    /// Records a message from `peer` itself. Returns false if the message must be dropped whole: it comes from a
    /// superseded incarnation or from a peer beyond `maxPeers`, or names no other instance.
    bool recordDirectContact(const Peer& peer, base::SteadyTime now);

    /// Records that another instance received a message from `peer` `age` ago. Relayed contact keeps a peer live during
    /// a one-way partition between it and this instance.
    void recordRelayedContact(const Peer& peer, std::chrono::milliseconds age, base::SteadyTime now);

    /// Removes the peers that the platform's list does not name and that had no contact for `silentPeerTtl`.
    void removeExpiredPeers(base::SteadyTime now);

    /// Returns the live instances sorted by name, this one included. Leaving instances are excluded.
    std::vector<Peer> live(base::SteadyTime now) const;

    /// Returns the number of instances that may hold connections to targets, this one included. Leaving and listed
    /// instances count as well.
    std::size_t connectionHolderCount(base::SteadyTime now) const;

    /// Returns up to `count` peers with recent contact to relay in a message, the least recently relayed first. The age
    /// is that of the peer's own latest message, so instances cannot keep a stopped peer live by relaying it to each
    /// other.
    std::vector<PeerContact> takePeersToRelay(std::size_t count, base::SteadyTime now);

private:
    struct Entry {
        Peer peer;
        std::optional<base::SteadyTime> lastDirectContactAt;
        std::optional<base::SteadyTime> lastContactAt; ///< The latest of direct and relayed contact.
        std::optional<base::SteadyTime> listedSince; ///< Empty while the platform's list does not name the peer.
        std::uint64_t lastRelayTurn = 0; ///< Value of `m_relayTurn` when the peer was last relayed; 0 if never.
    };

    bool isLive(const Entry& entry, base::SteadyTime now) const;
    bool updatePeer(Entry& entry, const Peer& peer, bool direct);
    Entry* findOrAdd(const Peer& peer);

    Peer m_self;
    MembershipSettings m_settings;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, std::set<std::uint64_t>> m_superseded; ///< Earlier incarnations by instance.
    std::uint64_t m_relayTurn = 0;
};

} // namespace buckthorncroft::membership
