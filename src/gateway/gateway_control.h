#pragma once

#include "deployment.h"
#include "peer_channel.h"
#include "placement_client.h"
#include "registry_relay.h"
#include "registry_watcher.h"
#include "traffic_context.h"
#include "usage_client.h"

#include <boost/asio/executor_work_guard.hpp>
#include <memory>
#include <thread>

namespace buckthorncroft::gateway {

/// Owns the control thread, which watches the registry, runs the dispatch points and exchanges datagrams with other
/// instances. Its public functions are called from the traffic thread.
class GatewayControl final : public PlacementService, public AdmissionService {
public:
    /// Posts results to `traffic`, the context of the traffic thread. Calls `onResume` on that thread after the machine
    /// was suspended. The references must outlive this object.
    GatewayControl(const GatewaySettings& settings, const Deployment& deployment, const base::Clock& clock,
        const observe::Logger& log, observe::Metrics& metrics, GatewaySnapshotHolder& snapshots,
        http::asio::io_context& traffic, std::function<void()> onResume);
    ~GatewayControl() override;

    /// Binds the UDP address for datagrams of other instances and starts the thread. Errors: `Unavailable`.
    base::Result<void> start();

    /// Announces to the other instances that this one is leaving.
    void announceStop();

    /// Stops the event loop and joins the thread.
    void stop();

    std::uint64_t requestSlot(SlotQuery query, PlacementClient::Callback callback) override;
    void withdraw(std::uint64_t token) override;
    void report(const std::string& service, const std::string& point, const routing::DispatchOutcome& outcome) override;
    void admit(const std::string& workspace, std::function<void(const Admission&)> done) override;

private:
    using WorkGuard = http::asio::executor_work_guard<http::asio::io_context::executor_type>;

    RegistryWatcher::Handlers makeWatcherHandlers();
    void handleDatagram(const wire::proto::PeerDatagram& datagram, const udp::endpoint& from);
    void publishSnapshot();
    void publishIfOutdatedChanged();
    void exportTraffic();
    void scheduleTick();
    void tick();
    bool wasSuspended();

    const GatewaySettings& m_settings;
    const base::Clock& m_clock;
    const observe::Logger& m_log;
    observe::Metrics& m_metrics;
    GatewaySnapshotHolder& m_snapshots;
    http::asio::io_context& m_traffic;
    std::function<void()> m_onResume;
    http::asio::io_context m_io { 1 };
    WorkGuard m_work;
    http::asio::steady_timer m_timer;
    PeerChannel m_channel;
    PeerGroup m_peers;
    PlacementClient m_placement;
    UsageClient m_usage;
    RegistryRelay m_relay;
    std::unique_ptr<Registry> m_registry;
    RegistryWatcher m_watcher;
    std::shared_ptr<const routing::RouteTable> m_routes;
    std::shared_ptr<const membership::TargetSet> m_targets;
    base::SteadyTime m_trafficExportedAt {};
    bool m_mayBeOutdated = false; ///< As published.
    std::map<std::uint64_t, std::uint64_t> m_requestNumbers; ///< Number of each pending slot request, by token.
    std::uint64_t m_nextToken = 1; ///< Used only by the traffic thread.
    std::chrono::nanoseconds m_suspendedTime { 0 }; ///< Time suspended since boot, as of the last tick.
    std::thread m_thread;
};

} // namespace buckthorncroft::gateway
