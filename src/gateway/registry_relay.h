#pragma once

#include "peer_group.h"
#include "registry.h"
#include "routes_transfer.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthorncroft::gateway {

/// Changes of the targets between two versions of the registry.
struct TargetDelta {
    RegistryVersion fromVersion = 0;
    RegistryVersion toVersion = 0;
    std::vector<TargetChange> changes;
};

/// Whether and for whom an instance reads the targets from the registry.
enum class ReaderRole {
    None, ///< It does not read, because it receives deltas from readers.
    Standalone, ///< It receives no deltas, so it reads for itself only.
    Reader, ///< It reads and sends deltas to the others, in a large fleet to those of its zone.
};

/// Distributes changes of targets and routes between instances. Only a few instances read the registry, because each
/// call is charged and each entry costs processor time. They send the changes of targets, and the version of the
/// routes, to all others. New routes themselves are read by two instances of each availability zone, which distribute
/// them within their zone, because bytes between zones are charged. An instance that receives nothing reads for itself.
/// Runs on the control thread.
class RegistryRelay {
public:
    /// Number of instances from which each availability zone has readers of its own. Those of a smaller fleet read for
    /// all zones, because each call to the registry is charged.
    static constexpr std::size_t zoneReadingSize = 200;

    /// Number of readers of a zone.
    static constexpr std::size_t zoneReaderCount = 2;

    RegistryRelay(const base::Clock& clock, PeerGroup& peers);

    /// Records that the other instances are known, on which the role of this one depends.
    void setPeersKnown() { m_arePeersKnown = true; }

    /// Returns the current role of this instance. Until the other instances are known it is `None` for a short time.
    ReaderRole role();

    /// Sends changes that this instance read from the registry to the instances that it reads for. `leaving`: recent
    /// announcements of leaving targets, which are repeated with the changes because a datagram may be lost.
    void sendDelta(const TargetDelta& delta, const std::vector<membership::LeavingTarget>& leaving);

    /// How long the announcement of a leaving target is repeated.
    static constexpr std::chrono::seconds leavingRepeatTime { 5 };

    /// Notifies the other instances that this one cannot reach the registry, so that another one becomes reader, and
    /// that the readers of other zones also send to the zone of this one.
    /// Repeated calls are rate-limited.
    void sendRegistryUnreachable();

    /// Whether this instance reads new routes for its availability zone.
    bool isZoneReader();

    /// Sends the version of the routes in force to the instances that this one reads for.
    void sendRouteVersion();

    /// The distribution of the routes within the availability zone.
    RoutesTransfer& routes() { return m_routes; }

    /// Notifies the other instances that a target announced that it leaves.
    void sendLeaving(const membership::LeavingTarget& target);

    /// Number of entries from other instances that were dropped because they are invalid.
    std::uint64_t invalidEntries() const { return m_invalidEntries; }

    /// Processes a datagram of another instance. Returns the target changes that it contains, if any.
    std::optional<TargetDelta> handle(const wire::proto::PeerDatagram& datagram);

private:
    bool hasZoneReaders() const { return m_peers.size() >= zoneReadingSize; }
    std::vector<std::string> rankReaders(std::size_t count);
    void sendToReceivers(const wire::proto::PeerDatagram& message);

    const base::Clock& m_clock;
    PeerGroup& m_peers;
    RoutesTransfer m_routes;
    std::map<std::string, base::SteadyTime> m_excludedUntil; ///< By instance: when it may be a reader again.
    std::map<std::string, base::SteadyTime> m_helpedUntil; ///< Other zones whose readers cannot reach the registry.
    base::SteadyTime m_lastDeltaAt; ///< When a delta of any reader was last received.
    base::SteadyTime m_unreachableSentAt {};
    std::uint64_t m_invalidEntries = 0;
    bool m_arePeersKnown = false;
};

} // namespace buckthorncroft::gateway
