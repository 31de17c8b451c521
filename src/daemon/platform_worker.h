#pragma once

#include <atomic>
#include <buckthorncroft/daemon/control_plane.h>
#include <buckthorncroft/daemon/control_state.h>
#include <functional>
#include <random>
#include <thread>
#include <vector>

namespace buckthorncroft::daemon::detail {

/// Receives the results of the platform thread's calls. Called on that thread.
struct PlatformCallbacks {
    std::function<void(std::vector<store::ListedInstance>)> onInstanceList;
    std::function<void(store::StoredConfiguration)> onConfiguration;
    std::function<void(const membership::TargetName&, membership::DrainProbeResult)> onDrainProbe;
};

/// Makes the control plane's blocking calls on a thread of its own: heartbeats, instance list, configuration polls and
/// drain probes.
class PlatformWorker {
public:
    PlatformWorker(const ControlPlaneDependencies& dependencies, store::ListedInstance self, std::uint64_t seed,
        PlatformCallbacks callbacks);

    /// Finishes the calls in progress, sends a last heartbeat and ends the thread.
    ~PlatformWorker();
    PlatformWorker(const PlatformWorker&) = delete;
    PlatformWorker& operator=(const PlatformWorker&) = delete;

    /// Readers poll the change number every second, other instances every 30 s as a fallback.
    void setConfigurationReader(bool isReader) { m_isConfigurationReader = isReader; }

    /// Sets the change number in force; only newer configurations are read.
    void setChangeNumber(std::uint64_t changeNumber) { m_changeNumber = changeNumber; }

    /// Marks this instance as leaving in the following heartbeats.
    void setLeaving() { m_leaving = true; }

    /// Queues targets to probe; drops those that exceed the maximum queue length. Called by the control thread.
    void addProbes(std::vector<ControlState::DrainProbeRequest> requests);

private:
    /// When one kind of call is due next. Failures back off with jitter, so that the instances do not all call a
    /// recovering store at once.
    struct Schedule {
        base::SteadyTime dueAt {};
        unsigned failures = 0;
    };

    void run();
    void reschedule(Schedule& schedule, bool succeeded, std::chrono::milliseconds interval);
    void sendHeartbeat();
    void readInstanceList();
    void pollConfiguration();
    void runProbes();
    membership::DrainProbeResult probeTarget(const ControlState::DrainProbeRequest& request) const;

    const ControlPlaneDependencies m_dependencies;
    store::ListedInstance m_self;
    std::mt19937_64 m_random;
    PlatformCallbacks m_callbacks;
    std::atomic<bool> m_isConfigurationReader { true };
    std::atomic<std::uint64_t> m_changeNumber { 0 };
    std::atomic<bool> m_leaving { false };
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::vector<ControlState::DrainProbeRequest> m_pendingProbes;
    Schedule m_heartbeatSchedule;
    Schedule m_instanceListSchedule;
    Schedule m_configurationSchedule;
    std::thread m_thread;
};

} // namespace buckthorncroft::daemon::detail
