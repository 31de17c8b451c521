#pragma once

#include "peer_group.h"
#include "registry.h"

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
    Reader, ///< It reads and sends deltas to all instances.
};

/// Distributes target changes between instances. Only a few instances read the targets from the registry and send the
/// changes to the others, because each call is charged and each entry costs processor time. An instance that receives
/// nothing reads for itself. Runs on the control thread.
class TargetRelay {
public:
    TargetRelay(const base::Clock& clock, PeerGroup& peers);

    /// Returns the current role of this instance.
    ReaderRole role();

    /// Sends changes that this instance read from the registry to all other instances.
    void sendDelta(const TargetDelta& delta);

    /// Notifies the other instances that this one cannot reach the registry, so that another one becomes reader.
    /// Repeated calls are rate-limited.
    void sendRegistryUnreachable();

    /// Notifies the other instances that a target announced that it leaves.
    void sendLeaving(const membership::LeavingTarget& target);

    /// Number of entries from other instances that were dropped because they are invalid.
    std::uint64_t invalidEntries() const { return m_invalidEntries; }

    /// Processes a datagram of another instance. Returns the target changes that it contains, if any.
    std::optional<TargetDelta> handle(const wire::proto::PeerDatagram& datagram);

private:
    const base::Clock& m_clock;
    PeerGroup& m_peers;
    std::map<std::string, base::SteadyTime> m_excludedUntil; ///< By instance: when it may be a reader again.
    base::SteadyTime m_lastDeltaAt; ///< When a delta of any reader was last received.
    base::SteadyTime m_unreachableSentAt {};
    std::uint64_t m_invalidEntries = 0;
};

} // namespace buckthorncroft::gateway
