#include "gateway_control.h"

#include "event_loop.h"

#include <ctime>
#include <random>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::nanoseconds;

    // After a suspension of the machine longer than this, the state received from other instances is treated as stale.
    constexpr milliseconds suspensionThreshold { 500 };

    constexpr milliseconds trafficExportInterval { 1000 };

    std::uint64_t randomNumber()
    {
        std::random_device device;
        return static_cast<std::uint64_t>(device()) << 32 | device();
    }

    // Returns how long the machine was suspended since boot. The steady clock does not count this time.
    nanoseconds suspendedTime()
    {
        timespec boot {};
        timespec steady {};
        ::clock_gettime(CLOCK_BOOTTIME, &boot);
        ::clock_gettime(CLOCK_MONOTONIC, &steady);
        return std::chrono::seconds(boot.tv_sec - steady.tv_sec) + nanoseconds(boot.tv_nsec - steady.tv_nsec);
    }

} // namespace

GatewayControl::GatewayControl(const GatewaySettings& settings, const Deployment& deployment, const base::Clock& clock,
    const observe::Logger& log, observe::Metrics& metrics, GatewaySnapshotHolder& snapshots,
    http::asio::io_context& traffic, std::function<void()> onResume)
    : m_settings(settings)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_snapshots(snapshots)
    , m_traffic(traffic)
    , m_onResume(std::move(onResume))
    , m_work(m_io.get_executor())
    , m_timer(m_io)
    , m_channel(m_io)
    , m_peers(settings, clock, m_channel, randomNumber())
    , m_placement(settings, clock, m_peers, log, randomNumber())
    , m_usage(clock, m_peers, log, metrics, randomNumber())
    , m_relay(clock, m_peers)
    , m_registry(deployment.makeRegistry(m_io, clock, settings.registry))
    , m_watcher(m_io, clock, *m_registry, log, metrics, m_relay,
          { settings.instance, settings.zone, settings.peers.host, settings.peers.port, settings.capacity },
          makeWatcherHandlers())
    , m_suspendedTime(suspendedTime())
{
}

GatewayControl::~GatewayControl()
{
    stop();
}

RegistryWatcher::Handlers GatewayControl::makeWatcherHandlers()
{
    RegistryWatcher::Handlers handlers;
    handlers.onRoutes = [this](std::shared_ptr<const routing::RouteTable> routes) {
        m_routes = std::move(routes);
        m_peers.setRouteVersion(m_routes->routeSet().version);
        m_usage.setWorkspaces(m_routes->routeSet().workspaces);
        publishSnapshot();
    };
    handlers.onTargets = [this](std::shared_ptr<const membership::TargetSet> targets) {
        m_targets = std::move(targets);
        publishSnapshot();
        m_placement.setTargets(m_targets);
    };
    handlers.onPeer = [this](const PeerRecord& peer) { m_peers.add(peer); };
    return handlers;
}

void GatewayControl::publishSnapshot()
{
    m_mayBeOutdated = m_watcher.mayBeOutdated();
    m_snapshots.publish(
        std::make_shared<const GatewaySnapshot>(GatewaySnapshot { m_routes, m_targets, m_mayBeOutdated }));
}

void GatewayControl::publishIfOutdatedChanged()
{
    if (m_watcher.mayBeOutdated() != m_mayBeOutdated)
        publishSnapshot();
}

void GatewayControl::exportTraffic()
{
    const auto now = m_clock.now();
    if (now - m_trafficExportedAt < trafficExportInterval)
        return;
    m_trafficExportedAt = now;
    m_channel.sent().exportTo(m_metrics, "sent");
    m_channel.received().exportTo(m_metrics, "received");
}

base::Result<void> GatewayControl::start()
{
    if (auto opened = m_channel.open(m_settings.peers); !opened)
        return opened.error();
    m_channel.startReceiving([this](const wire::proto::PeerDatagram& datagram, const udp::endpoint& from) {
        handleDatagram(datagram, from);
    });
    m_peers.setLeavingTargetsSource([this] { return m_watcher.leavingTargets(); });
    m_placement.onTargetLeaving([this](const membership::LeavingTarget& target, bool isPointHere) {
        if (m_watcher.markLeaving(target) && isPointHere)
            m_relay.sendLeaving(target);
    });
    m_peers.onPeerRouteVersion([this](std::uint64_t version) { m_watcher.noteRouteVersion(version); });
    m_watcher.start();
    for (const auto& it : m_settings.seeds)
        m_peers.contact(it);
    scheduleTick();
    m_thread = std::thread([this] { runEventLoop(m_io, m_log, "control"); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void GatewayControl::handleDatagram(const wire::proto::PeerDatagram& datagram, const udp::endpoint& from)
{
    if (!m_peers.handle(datagram, from))
        return;
    m_watcher.notePeerContact();
    if (const auto delta = m_relay.handle(datagram))
        m_watcher.applyDelta(*delta);
    m_watcher.noteRouteVersion(datagram.news().route_version());
    if (datagram.has_routes())
        m_watcher.applyRelayedRoutes(datagram.routes().version(), datagram.routes().document());
    if (const auto routes = m_relay.routes().handle(datagram))
        m_watcher.applyRelayedRoutes(routes->version, routes->bytes);
    publishIfOutdatedChanged();
    for (const auto& it : datagram.leaving()) {
        if (membership::isValidName(it.id()))
            m_watcher.markLeaving({ it.id(), it.born() });
    }
    m_placement.handle(datagram);
    m_usage.handle(datagram);
}

void GatewayControl::announceStop()
{
    http::asio::post(m_io, [this] { m_peers.announce(true); });
}

void GatewayControl::stop()
{
    m_io.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void GatewayControl::scheduleTick()
{
    m_timer.expires_after(PlacementClient::tickInterval);
    m_timer.async_wait([this](http::error_code ec) {
        if (ec)
            return;
        scheduleTick();
        tick();
    });
}

bool GatewayControl::wasSuspended()
{
    const auto total = suspendedTime();
    const bool exceeded = total - m_suspendedTime > suspensionThreshold;
    m_suspendedTime = total;
    return exceeded;
}

void GatewayControl::tick()
{
    if (wasSuspended()) {
        m_log.write(observe::Level::Warning, "resumed_after_pause", {});
        m_placement.discardDispatchPoints();
        m_usage.clearPoints();
        m_watcher.refresh();
        http::asio::post(m_traffic, m_onResume);
    }
    m_placement.tick();
    m_usage.tick();
    m_relay.routes().tick();
    publishIfOutdatedChanged();
    exportTraffic();
}

std::uint64_t GatewayControl::requestSlot(SlotQuery query, PlacementClient::Callback callback)
{
    const auto token = m_nextToken++;
    http::asio::post(m_io, [this, token, query = std::move(query), callback = std::move(callback)]() mutable {
        const auto onResult = [this, token, callback = std::move(callback)](const SlotResult& result) {
            m_requestNumbers.erase(token);
            http::asio::post(m_traffic, [result, callback] { callback(result); });
        };
        // `onResult` may run before `requestSlot` returns. It erases the entry, so the entry is added first.
        m_requestNumbers[token] = 0;
        const auto number = m_placement.requestSlot(std::move(query), onResult);
        if (const auto it = m_requestNumbers.find(token); it != m_requestNumbers.end())
            it->second = number;
    });
    return token;
}

void GatewayControl::withdraw(std::uint64_t token)
{
    http::asio::post(m_io, [this, token] {
        const auto it = m_requestNumbers.find(token);
        if (it == m_requestNumbers.end())
            return;
        m_placement.withdraw(it->second);
        m_requestNumbers.erase(it);
    });
}

void GatewayControl::report(
    const std::string& service, const std::string& point, const routing::DispatchOutcome& outcome)
{
    http::asio::post(m_io, [this, service, point, outcome] { m_placement.report(service, point, outcome); });
}

void GatewayControl::admit(const std::string& workspace, std::function<void(const Admission&)> done)
{
    http::asio::post(m_io, [this, workspace, done = std::move(done)]() mutable {
        m_usage.admit(workspace, [this, done = std::move(done)](const Admission& admission) {
            http::asio::post(m_traffic, [done, admission] { done(admission); });
        });
    });
}

} // namespace buckthorncroft::gateway
