#pragma once

#include <atomic>
#include <buckthorncroft/daemon/control_plane.h>
#include <buckthorncroft/daemon/control_state.h>
#include <functional>
#include <random>
#include <thread>
#include <vector>

namespace buckthorncroft::daemon::detail {

/// What the platform thread reports to the control thread.
struct PlatformEvents {
    std::function<void(std::vector<store::ListedInstance>)> listed;
    std::function<void(store::StoredConfiguration)> configuration;
    std::function<void(const membership::TargetName&, membership::DrainProbeResult)> drainProbed;
};

/// Makes the calls that block: heartbeat, instance list, configuration polls and drain probes.
class PlatformWorker {
public:
    PlatformWorker(
        const ControlPlaneParts& parts, store::ListedInstance self, std::uint64_t seed, PlatformEvents events);
    ~PlatformWorker();
    PlatformWorker(const PlatformWorker&) = delete;
    PlatformWorker& operator=(const PlatformWorker&) = delete;

    /// Readers poll the change number often; the others only as a safety net.
    void setReader(bool reader) { m_reader = reader; }

    /// Change number in force, so that only newer configurations are read.
    void setChange(std::uint64_t change) { m_change = change; }

    void setLeaving() { m_leaving = true; }

    /// Hands over targets to probe. Called by the control thread.
    void probe(std::vector<ControlState::DrainProbeRequest> requests);

private:
    /// When one kind of call is due next; failures back off with jitter, so that a returning store sees no surge.
    struct Schedule {
        base::SteadyTime due {};
        unsigned failures = 0;
    };

    void run();
    void reschedule(Schedule& schedule, bool succeeded, std::chrono::milliseconds interval);
    void sendHeartbeat();
    void readList();
    void pollConfiguration();
    void runProbes();
    membership::DrainProbeResult probeTarget(const ControlState::DrainProbeRequest& request) const;

    const ControlPlaneParts m_parts;
    store::ListedInstance m_self;
    std::mt19937_64 m_random;
    PlatformEvents m_events;
    std::atomic<bool> m_reader { true };
    std::atomic<std::uint64_t> m_change { 0 };
    std::atomic<bool> m_leaving { false };
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::vector<ControlState::DrainProbeRequest> m_probes;
    Schedule m_heartbeat;
    Schedule m_list;
    Schedule m_poll;
    std::thread m_thread;
};

} // namespace buckthorncroft::daemon::detail
