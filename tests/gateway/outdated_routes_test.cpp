#define BOOST_TEST_MODULE OutdatedRoutes
#include <boost/test/unit_test.hpp>

#include "../../src/gateway/key_digest.h"
#include "../../src/gateway/registry_watcher.h"
#include "flow_fixture.h"

#include <fmt/format.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;

namespace {

/// A registry that holds no targets, and routes of one version.
class FakeRegistry final : public gateway::Registry {
public:
    explicit FakeRegistry(http::asio::io_context& io)
        : m_io(io)
    {
    }

    http::Awaitable<base::Result<gateway::RoutesUpdate>> readRoutes() override
    {
        ++readCount;
        if (isFailing)
            co_return base::Error { base::ErrorCode::Unavailable, "the test lets the call fail" };
        gateway::RoutesUpdate result { 1, routing::RouteSet {}, "1", {} };
        result.routes->version = 1;
        co_return result;
    }

    http::Awaitable<base::Result<gateway::RoutesUpdate>> waitForRoutes(
        gateway::RegistryVersion after, std::chrono::milliseconds wait) override
    {
        co_await sleepFor(wait);
        if (isFailing)
            co_return base::Error { base::ErrorCode::Unavailable, "the test lets the call fail" };
        co_return gateway::RoutesUpdate { after, std::nullopt, {}, {} };
    }

    base::Result<routing::RouteSet> decodeRoutes(const std::string& document) const override
    {
        routing::RouteSet result;
        result.version = std::stoull(document);
        return result;
    }

    http::Awaitable<base::Result<gateway::TargetsUpdate>> readTargets() override
    {
        co_return gateway::TargetsUpdate { 1, {}, {} };
    }

    http::Awaitable<base::Result<gateway::TargetsUpdate>> waitForTargets(
        gateway::RegistryVersion, std::chrono::milliseconds wait) override
    {
        co_await sleepFor(wait);
        if (isFailing)
            co_return base::Error { base::ErrorCode::Unavailable, "the test lets the call fail" };
        co_return gateway::TargetsUpdate { 1, {}, {} };
    }

    http::Awaitable<base::Result<std::vector<gateway::PeerRecord>>> listPeers() override
    {
        co_return std::vector<gateway::PeerRecord> {};
    }

    http::Awaitable<base::Result<void>> announce(const gateway::PeerRecord&) override
    {
        co_return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    unsigned readCount = 0; ///< Of the routes.
    bool isFailing = false; ///< Calls fail.

private:
    http::Awaitable<void> sleepFor(std::chrono::milliseconds time)
    {
        http::asio::steady_timer timer(m_io, time);
        http::error_code ec;
        co_await timer.async_wait(http::captureError(ec));
    }

    http::asio::io_context& m_io;
};

struct WatcherFixture {
    WatcherFixture()
        : log(clock, "self", "z1", observe::Level::Error, stderr)
        , channel(io)
        , peers(settings, clock, channel, 1)
        , relay(clock, peers)
        , registry(io)
        , watcher(io, clock, registry, log, metrics, relay, { "self", "z1", "127.0.0.1", 0, 1 }, makeHandlers())
    {
        watcher.start();
        io.run_for(400ms);
        BOOST_REQUIRE_EQUAL(peers.routeVersion(), 1u);
        BOOST_REQUIRE(!watcher.mayBeOutdated());
    }

    ~WatcherFixture() { io.destroyHandlers(); }
    WatcherFixture(const WatcherFixture&) = delete;
    WatcherFixture& operator=(const WatcherFixture&) = delete;

    static gateway::GatewaySettings makeSettings()
    {
        gateway::GatewaySettings result;
        result.instance = "self";
        result.zone = "z1";
        return result;
    }

    gateway::RegistryWatcher::Handlers makeHandlers()
    {
        gateway::RegistryWatcher::Handlers result;
        result.onRoutes = [this](const auto& it) { peers.setRouteVersion(it->routeSet().version); };
        result.onTargets = [](const auto&) {};
        result.onPeer = [](const auto&) {};
        return result;
    }

    base::SystemClock clock;
    observe::Logger log;
    observe::Metrics metrics;
    test::TestContext io { 1 };
    gateway::GatewaySettings settings = makeSettings();
    gateway::PeerChannel channel;
    gateway::PeerGroup peers;
    gateway::RegistryRelay relay;
    FakeRegistry registry;
    gateway::RegistryWatcher watcher;
};

} // namespace

// Guards against 404 for a route that is in force elsewhere while this instance waits for it, and against reading the
// registry without a break in the meantime.
BOOST_FIXTURE_TEST_CASE(routesAreOutdatedUntilALateRelayDelivers, WatcherFixture)
{
    constexpr unsigned maxReads = 5;
    const auto before = registry.readCount;
    for (auto passed = 0ms; passed < 4s; passed += 200ms) {
        watcher.noteRouteVersion(2);
        io.run_for(200ms);
        BOOST_TEST(watcher.mayBeOutdated());
    }
    BOOST_TEST(registry.readCount - before <= maxReads);
    watcher.applyRelayedRoutes(2, "2");
    BOOST_TEST(!watcher.mayBeOutdated());
    BOOST_TEST(peers.routeVersion() == 2u);
    watcher.applyRelayedRoutes(1, "1");
    BOOST_TEST(peers.routeVersion() == 2u);
}

// Guards against 404 from an instance that is cut off from the registry and from its peers.
BOOST_FIXTURE_TEST_CASE(routesAreOutdatedWithoutContact, WatcherFixture)
{
    registry.isFailing = true;
    io.run_for(2s);
    BOOST_TEST(!watcher.mayBeOutdated());
    io.run_for(2s);
    BOOST_TEST(watcher.mayBeOutdated());
    watcher.notePeerContact();
    BOOST_TEST(!watcher.mayBeOutdated());
}

// Guards against 404 for a request that newer routes may allow.
BOOST_FIXTURE_TEST_CASE(unmatchedRequestGetsRetryAfterWhileRoutesMayBeOutdated, test::FlowFixture)
{
    auto snapshot = *snapshots.read();
    const auto publishOutdated = [&](bool mayBeOutdated) {
        snapshot.mayBeOutdated = mayBeOutdated;
        snapshots.publish(std::make_shared<const gateway::GatewaySnapshot>(snapshot));
    };
    const auto unmatched = fmt::format("GET /other HTTP/1.1\r\nHost: h\r\n{}: 1\r\n\r\n", names.requestId);
    publishOutdated(true);
    const auto caller = start();
    caller->send(unmatched);
    const auto message = caller->readMessage();
    BOOST_TEST(message.starts_with("HTTP/1.1 503"));
    BOOST_TEST(!test::headerOf(message, "Retry-After").empty());
    publishOutdated(false);
    caller->send(unmatched);
    BOOST_TEST(caller->readMessage().starts_with("HTTP/1.1 404"));
}

// Guards against 401 for a key that newer routes may contain. A request without a key is rejected in any case.
BOOST_FIXTURE_TEST_CASE(unknownKeyGetsRetryAfterWhileRoutesMayBeOutdated, test::FlowFixture)
{
    routing::Workspace workspace;
    workspace.name = "w1";
    workspace.keys = { gateway::digestOfKey("known") };
    workspaces = { workspace };
    publish(2, config::RequestKind::Idempotent, 2000ms);
    auto snapshot = *snapshots.read();
    snapshot.mayBeOutdated = true;
    snapshots.publish(std::make_shared<const gateway::GatewaySnapshot>(snapshot));
    const auto caller = start();
    const auto request = fmt::format("GET /r/x HTTP/1.1\r\nHost: h\r\n{}: 1\r\n", names.requestId);
    caller->send(request + "Authorization: Bearer new\r\n\r\n");
    const auto message = caller->readMessage();
    BOOST_TEST(message.starts_with("HTTP/1.1 503"));
    BOOST_TEST(!test::headerOf(message, "Retry-After").empty());
    caller->send(request + "\r\n");
    BOOST_TEST(caller->readMessage().starts_with("HTTP/1.1 401"));
    BOOST_TEST(placement.slotRequests.empty());
}
