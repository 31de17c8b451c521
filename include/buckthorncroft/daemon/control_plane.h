#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/base/error.h>
#include <buckthorncroft/daemon/observation_queue.h>
#include <buckthorncroft/daemon/settings.h>
#include <buckthorncroft/daemon/snapshot.h>
#include <buckthorncroft/observe/log.h>
#include <buckthorncroft/observe/metrics.h>
#include <buckthorncroft/store/configuration_store.h>
#include <buckthorncroft/store/platform.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace buckthorncroft::daemon {

/// Access of the control plane to the platform. Each member may be null or empty, and the call is then not made. All
/// are if the settings name no platform.
struct PlatformAccess {
    store::Platform* client = nullptr; ///< Reads the instance list.
    store::ConfigurationStore* store = nullptr; ///< Reads the configuration.
    /// Renews this instance's entry in the platform's instance list. The duration is the timeout of the call.
    std::function<base::Result<void>(const store::ListedInstance&, std::chrono::milliseconds)> heartbeat;
    std::function<void(unsigned)> liveInstancesChanged; ///< Receives the number of instances when it changes.
};

/// Dependencies of the control plane. All references must outlive it.
struct ControlPlaneDependencies {
    const InstanceSettings& settings;
    const base::Clock& clock;
    SnapshotStore& snapshots;
    ObservationQueue& observations;
    const observe::Logger& logger;
    observe::Metrics& metrics;
    PlatformAccess platform;
};

/// Runs the control thread, the inner endpoint (which serves other instances) and the platform thread of one instance.
/// The control thread owns all control state and publishes snapshots; the platform thread makes the blocking calls.
class ControlPlane {
public:
    /// Starts the threads and applies `bootstrap` at once unless its change number is 0.
    /// Errors: `Unavailable` if the inner endpoint cannot be bound, `InvalidArgument` if its certificates cannot be
    /// used.
    static base::Result<std::unique_ptr<ControlPlane>> start(
        const ControlPlaneDependencies& dependencies, const config::Configuration& bootstrap);

    /// Stops all threads.
    ~ControlPlane();
    ControlPlane(const ControlPlane&) = delete;
    ControlPlane& operator=(const ControlPlane&) = delete;

    /// Announces to peers and the platform that this instance is stopping.
    void setLeaving();

    /// Port of the inner endpoint.
    int innerPort() const;

    /// Returns a JSON document for operators: configuration in force, peers, and each target's stage with its reasons.
    /// Waits for the control thread for at most one second; returns `{}` if it does not respond in time.
    std::string status();

private:
    class Implementation;
    explicit ControlPlane(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace buckthorncroft::daemon
