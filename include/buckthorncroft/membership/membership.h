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

/// One process lifetime of one instance.
struct Peer {
    std::string instance;
    std::string zone;
    std::string address; ///< host:port of the inner endpoint.
    std::uint64_t incarnation = 0; ///< Random per process start; 0 when only the platform's list names the peer.
    bool leaving = false;
};

/// A peer with the time since somebody heard from it.
struct PeerContact {
    Peer peer;
    std::chrono::milliseconds age { 0 };
};

/// The coordinators of services as they follow from one view of the live instances. Built once for many lookups.
class CoordinatorTable {
public:
    CoordinatorTable() = default;
    explicit CoordinatorTable(const std::vector<Peer>& live);

    /// The instance that coordinates `service` in `zone`, or null when the zone has no live instance. Valid as long as
    /// the table.
    const Peer* find(const std::string& service, const std::string& zone) const;

    /// Zones with a live instance, sorted.
    std::vector<std::string> zones() const;

private:
    std::map<std::string, std::vector<Peer>> m_zones;
};

/// Bounds and timeouts of membership.
struct MembershipSettings {
    /// Without direct or relayed contact for this long a peer is not live. Several times the exchange interval of
    /// 0.5 s, so that a few lost messages do not move coordinators.
    std::chrono::milliseconds contactTimeout { 3000 };
    /// How long a peer that the platform's list names, but that nobody has heard from, counts as live. Covers the
    /// time that a new instance needs for its first exchange.
    std::chrono::milliseconds listedGrace { 10'000 };
    /// Peers not heard from for this long, and no longer listed, are forgotten.
    std::chrono::milliseconds forgetAfter { 60'000 };
    std::size_t maxPeers = 10'000; ///< Peers beyond this number are ignored.
};

/// What one instance knows about the others, from the platform's lagging list and from direct and relayed contact.
/// Soft state: wrong views cost precision of placement and detection, never an invariant. Not safe for concurrent use.
class Membership {
public:
    Membership(Peer self, MembershipSettings settings = {});

    const Peer& self() const { return m_self; }

    /// Announces that this instance stops; it is then no longer chosen as coordinator, here or elsewhere.
    void setLeaving() { m_self.leaving = true; }

    /// Merges the platform's list. A peer that is missing there is kept while it is heard from, because the list lags.
    void mergePlatformList(const std::vector<Peer>& peers, base::SteadyTime now);

    /// A message arrived from `peer` itself. Returns false for a message of a superseded incarnation, which must be
    /// dropped whole.
    bool recordDirectContact(const Peer& peer, base::SteadyTime now);

    /// Another instance heard from `peer` `age` ago. Covers one-way partitions between two instances.
    void recordRelayedContact(const Peer& peer, std::chrono::milliseconds age, base::SteadyTime now);

    /// Removes peers that have been silent and unlisted for long.
    void removeExpiredPeers(base::SteadyTime now);

    /// Live peers, with this instance, sorted by name. Leaving peers are left out.
    std::vector<Peer> live(base::SteadyTime now) const;

    /// Number of instances that may hold connections to targets: live and leaving ones, with this instance.
    std::size_t connectionHolderCount(base::SteadyTime now) const;

    /// Returns up to `count` live peers to relay in a message, those not relayed for the longest time first. The age is
    /// that of the peer's own latest message, so relays cannot keep a dead peer alive by echoing each other.
    std::vector<PeerContact> takePeersToRelay(std::size_t count, base::SteadyTime now);

private:
    struct Entry {
        Peer peer;
        std::optional<base::SteadyTime> heardDirectly;
        std::optional<base::SteadyTime> heardAtAll; ///< The latest of direct and relayed contact.
        std::optional<base::SteadyTime> listedSince;
        std::uint64_t relayedAt = 0; ///< Turn of the last relay.
    };

    bool isLive(const Entry& entry, base::SteadyTime now) const;
    bool adopt(Entry& entry, const Peer& peer, bool direct);
    Entry* findOrAdd(const Peer& peer);

    Peer m_self;
    MembershipSettings m_settings;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, std::set<std::uint64_t>> m_superseded; ///< Earlier incarnations, by instance.
    std::uint64_t m_relayTurn = 0;
};

} // namespace buckthorncroft::membership
