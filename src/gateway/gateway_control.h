#pragma once

#include "deployment.h"
#include "peer_channel.h"
#include "placement_client.h"
#include "registry_watcher.h"
#include "target_relay.h"
#include "traffic_context.h"

#include <boost/asio/executor_work_guard.hpp>
#include <memory>
#include <thread>

namespace buckthorncroft::gateway {

/// The control thread: registry, dispatch points and the exchange with other instances.
class GatewayControl final : public PlacementService {
public:
    /// Results for the traffic thread are posted to `traffic`. `resumed` is called there after the process was paused.
    GatewayControl(const GatewaySettings& settings, const Deployment& deployment, const base::Clock& clock,
        const observe::Logger& log, GatewaySnapshotHolder& snapshots, http::asio::io_context& traffic,
        std::function<void()> resumed);
    ~GatewayControl() override;

    /// Binds the peers' address and starts the thread. Errors: `Unavailable`.
    base::Result<void> start();

    /// Other instances learn that this one stops.
    void announceStop();

    void stop();

    std::uint64_t requestSlot(SlotQuery query, PlacementClient::Callback done) override;
    void withdraw(std::uint64_t token) override;
    void report(const std::string& service, const std::string& point, const routing::DispatchOutcome& outcome) override;

private:
    using WorkGuard = http::asio::executor_work_guard<http::asio::io_context::executor_type>;

    RegistryWatcher::Events watcherEvents();
    void receive(const wire::proto::PeerDatagram& datagram, const udp::endpoint& from);
    void publish();
    void scheduleTick();
    void tick();
    bool wasPaused();

    const GatewaySettings& m_settings;
    const base::Clock& m_clock;
    const observe::Logger& m_log;
    GatewaySnapshotHolder& m_snapshots;
    http::asio::io_context& m_traffic;
    std::function<void()> m_resumed;
    http::asio::io_context m_io { 1 };
    WorkGuard m_work;
    http::asio::steady_timer m_timer;
    PeerChannel m_channel;
    PeerGroup m_peers;
    PlacementClient m_placement;
    TargetRelay m_relay;
    std::unique_ptr<Registry> m_registry;
    RegistryWatcher m_watcher;
    std::shared_ptr<const routing::RouteTable> m_routes;
    std::shared_ptr<const membership::TargetSet> m_targets;
    std::map<std::uint64_t, std::uint64_t> m_questions; ///< Number of each open question, by token.
    std::uint64_t m_nextToken = 1; ///< Used by the traffic thread.
    std::chrono::nanoseconds m_suspended { 0 }; ///< Time that the steady clock has missed so far.
    std::thread m_thread;
};

} // namespace buckthorncroft::gateway
