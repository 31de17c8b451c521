#pragma once

#include <atomic>
#include <buckthorncroft/config/model.h>
#include <buckthorncroft/health/target_view.h>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace buckthorncroft::daemon {

/// One service with the health of its targets. `targets` has one entry for each of `service->targets`, in order.
struct ServiceSnapshot {
    std::shared_ptr<const config::Service> service;
    std::vector<health::TargetView> targets;
};

/// Everything that traffic threads need for routing. Immutable once published.
struct Snapshot {
    std::uint64_t changeNumber = 0; ///< Change number of the configuration.
    std::vector<ServiceSnapshot> services; ///< Sorted by name.
    unsigned liveInstances = 1; ///< Live and leaving entry instances, this one included.

    /// Returns the service, or null if there is none of this name.
    const ServiceSnapshot* find(std::string_view serviceName) const;
};

/// Builds a snapshot in which every target is healthy, as used at start and after a new configuration.
/// A target that the configuration marks as draining is shown as draining.
std::shared_ptr<const Snapshot> makeSnapshot(const config::Configuration& configuration, unsigned liveInstances);

/// Passes the newest snapshot from the control thread to the traffic threads. Safe for concurrent use; neither side
/// waits for the other.
class SnapshotStore {
public:
    /// Replaces the snapshot. Must not be null.
    void publish(std::shared_ptr<const Snapshot> snapshot) { m_current.store(std::move(snapshot)); }

    /// Returns the newest snapshot, or null when none was published yet.
    std::shared_ptr<const Snapshot> read() const { return m_current.load(); }

private:
    std::atomic<std::shared_ptr<const Snapshot>> m_current;
};

} // namespace buckthorncroft::daemon
