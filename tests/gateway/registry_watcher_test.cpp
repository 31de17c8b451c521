#define BOOST_TEST_MODULE RegistryWatcher
#include <boost/test/unit_test.hpp>

#include "../../src/gateway/registry_watcher.h"

#include <algorithm>
#include <map>
#include <optional>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/// A registry in memory. Its calls fail, are late or return outdated responses as the test demands.
class FakeRegistry final : public gateway::Registry {
public:
    explicit FakeRegistry(http::asio::io_context& io)
        : m_io(io)
    {
    }

    void put(const std::string& id)
    {
        membership::TargetRecord record { id, "s", "127.0.0.1", 80, "z1" };
        record.sequence = ++m_version;
        m_rows[id] = { m_version, { id, record } };
    }

    void remove(const std::string& id) { m_rows[id] = { ++m_version, { id, std::nullopt } }; }

    gateway::RegistryVersion version() const { return m_version; }

    http::Awaitable<base::Result<gateway::RoutesUpdate>> readRoutes() override
    {
        co_return gateway::RoutesUpdate { m_version, std::nullopt, {}, {} };
    }

    http::Awaitable<base::Result<gateway::RoutesUpdate>> waitForRoutes(
        gateway::RegistryVersion, milliseconds wait) override
    {
        co_await sleepFor(wait);
        co_return gateway::RoutesUpdate { m_version, std::nullopt, {}, {} };
    }

    base::Result<routing::RouteSet> decodeRoutes(const std::string&) const override { return routing::RouteSet {}; }

    http::Awaitable<base::Result<gateway::TargetsUpdate>> readTargets() override { return waitForTargets(0, 0ms); }

    http::Awaitable<base::Result<gateway::TargetsUpdate>> waitForTargets(
        gateway::RegistryVersion after, milliseconds wait) override
    {
        for (auto left = wait; left > 0ms && !isFailing && m_version == after; left -= pollInterval)
            co_await sleepFor(pollInterval);
        if (isFailing)
            co_return base::Error { base::ErrorCode::Unavailable, "the test lets the call fail" };
        gateway::TargetsUpdate result { m_version, {}, {} };
        for (const auto& [id, row] : m_rows) {
            if (row.version > after)
                result.changes.push_back(row.change);
        }
        pendingVersion = m_version;
        co_await sleepFor(responseDelay);
        pendingVersion.reset();
        co_return result;
    }

    http::Awaitable<base::Result<std::vector<gateway::PeerRecord>>> listPeers() override
    {
        co_return std::vector<gateway::PeerRecord> {};
    }

    http::Awaitable<base::Result<void>> announce(const gateway::PeerRecord&) override
    {
        co_return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    bool isFailing = false; ///< Reads of targets fail.
    std::optional<gateway::RegistryVersion> pendingVersion; ///< State that a delayed response returns.
    milliseconds responseDelay { 0 }; ///< Time between the state that a read of targets returns and its response.

private:
    struct Row {
        gateway::RegistryVersion version = 0;
        gateway::TargetChange change;
    };

    static constexpr milliseconds pollInterval { 5 };

    http::Awaitable<void> sleepFor(milliseconds time)
    {
        http::asio::steady_timer timer(m_io, time);
        http::error_code ec;
        co_await timer.async_wait(http::captureError(ec));
    }

    http::asio::io_context& m_io;
    gateway::RegistryVersion m_version = 1;
    std::map<std::string, Row> m_rows;
};

/// An event loop whose pending operations can be destroyed before the objects that they refer to.
class TestContext : public http::asio::io_context {
public:
    using io_context::io_context;

    void destroyHandlers() { shutdown(); }
};

/// A watcher that reads the registry for its fleet, and one peer, which the test plays.
struct Fixture {
    Fixture()
        : log(clock, "self", "z1", observe::Level::Error, stderr)
        , channel(io)
        , peerChannel(io)
        , peers(settings(), clock, channel, 1)
        , relay(clock, peers)
        , registry(io)
        , watcher(io, clock, registry, log, metrics, relay, { "self", "z1", "127.0.0.1", 0, 1 }, makeHandlers())
    {
        BOOST_REQUIRE(channel.open({ "127.0.0.1", 0 }));
        registry.put("a");
        registry.put("b");
        peers.add({ "peer", "z1", "127.0.0.1", openPeer(), 0 });
        watcher.start();
        runFor(500ms);
        BOOST_REQUIRE(isListed("b"));
        BOOST_REQUIRE((relay.role() == gateway::ReaderRole::Reader));
    }

    ~Fixture() { io.destroyHandlers(); }
    Fixture(const Fixture&) = delete;
    Fixture& operator=(const Fixture&) = delete;

    static const gateway::GatewaySettings& settings()
    {
        static const gateway::GatewaySettings result = [] {
            gateway::GatewaySettings it;
            it.instance = "self";
            it.zone = "z1";
            return it;
        }();
        return result;
    }

    gateway::RegistryWatcher::Handlers makeHandlers()
    {
        gateway::RegistryWatcher::Handlers result;
        result.onRoutes = [](const auto&) {};
        result.onTargets = [this](std::shared_ptr<const membership::TargetSet> it) { targets = std::move(it); };
        result.onPeer = [](const auto&) {};
        return result;
    }

    /// Opens the socket of the peer, which records the datagrams that it receives. Returns its port.
    std::uint16_t openPeer()
    {
        gateway::udp::socket probe(io, { http::asio::ip::address_v4::loopback(), 0 });
        const auto port = probe.local_endpoint().port();
        probe.close();
        BOOST_REQUIRE(peerChannel.open({ "127.0.0.1", port }));
        peerChannel.startReceiving(
            [this](const wire::proto::PeerDatagram& it, const auto&) { received.push_back(it); });
        peerAddress = { http::asio::ip::address_v4::loopback(), port };
        return port;
    }

    /// Runs the event loop for `time`.
    void runFor(milliseconds time) { io.run_for(time); }

    /// Delivers a delta of the peer.
    void receive(gateway::RegistryVersion from, gateway::RegistryVersion to, const std::string& removed = "")
    {
        wire::proto::PeerDatagram datagram;
        datagram.set_sender("peer");
        auto& news = *datagram.mutable_news();
        news.set_from(from);
        news.set_to(to);
        if (!removed.empty()) {
            auto& entry = *news.add_entries();
            entry.set_id(removed);
            entry.set_gone(true);
        }
        const auto delta = relay.handle(datagram);
        BOOST_REQUIRE(delta);
        watcher.applyDelta(*delta);
    }

    bool isListed(const std::string& id) const { return targets && targets->find("s", id); }

    /// Whether the delta that covers `version` contains the removal of `id`.
    bool wasRemovalRelayed(const std::string& id, gateway::RegistryVersion version) const
    {
        return std::any_of(received.begin(), received.end(), [&](const auto& datagram) {
            const auto& news = datagram.news();
            return news.from() < version && version <= news.to()
                && std::any_of(news.entries().begin(), news.entries().end(),
                    [&](const auto& entry) { return entry.id() == id && entry.gone(); });
        });
    }

    /// Number of received datagrams, of deltas or of presence, that announce that the target leaves.
    template <typename Predicate> std::size_t announcements(const std::string& id, Predicate isCounted) const
    {
        return static_cast<std::size_t>(std::count_if(received.begin(), received.end(), [&](const auto& datagram) {
            return isCounted(datagram)
                && std::any_of(datagram.leaving().begin(), datagram.leaving().end(),
                    [&](const auto& target) { return target.id() == id; });
        }));
    }

    base::SystemClock clock;
    observe::Logger log;
    observe::Metrics metrics;
    TestContext io { 1 };
    gateway::PeerChannel channel;
    gateway::PeerChannel peerChannel;
    gateway::PeerGroup peers;
    gateway::RegistryRelay relay;
    FakeRegistry registry;
    gateway::RegistryWatcher watcher;
    std::shared_ptr<const membership::TargetSet> targets;
    gateway::udp::endpoint peerAddress;
    std::vector<wire::proto::PeerDatagram> received; ///< By the peer.
};

constexpr auto outage = 2s;
constexpr auto readTime = 1200ms; // Within this time, a reader has read and relayed a change.

} // namespace

// Guards against a removal that no instance learns of: the reader delays it after an outage and leaves it out of the
// delta that covers its version.
BOOST_FIXTURE_TEST_CASE(delayedRemovalIsRelayedWithItsVersion, Fixture)
{
    registry.isFailing = true;
    runFor(outage);
    registry.remove("b");
    const auto version = registry.version();
    registry.isFailing = false;
    runFor(readTime);
    BOOST_TEST(isListed("b"));
    BOOST_TEST(wasRemovalRelayed("b", version));
}

// Guards against requests to a target that left, from an instance which knows of it from a peer, because the registry
// turned this instance away. An outage, in which entries of running targets expire, would also stop the peer's reads.
BOOST_FIXTURE_TEST_CASE(removalTakesEffectAtOnceWhileThePeersAreServed, Fixture)
{
    registry.isFailing = true;
    const auto version = registry.version();
    for (unsigned n = 0; n < 8; ++n) {
        receive(version, version);
        runFor(250ms);
    }
    receive(version, version + 1, "b");
    BOOST_TEST(!isListed("b"));
}

// Guards against a delayed removal that waits for a read which the registry does not answer.
BOOST_FIXTURE_TEST_CASE(delayedRemovalNeedsNoFurtherRead, Fixture)
{
    registry.isFailing = true;
    runFor(outage);
    registry.isFailing = false;
    registry.remove("b");
    runFor(readTime);
    BOOST_REQUIRE(isListed("b"));
    registry.responseDelay = 10s;
    runFor(membership::RegistryOutageDetector::reregistrationTime);
    BOOST_TEST(!isListed("b"));
}

// Guards against a target that left and is used again: a read that began before it left returns after a peer has
// relayed its removal.
BOOST_FIXTURE_TEST_CASE(outdatedReadDoesNotRestoreATarget, Fixture)
{
    registry.responseDelay = 200ms;
    registry.put("b");
    const auto version = registry.version();
    while (registry.pendingVersion != version)
        runFor(5ms);
    receive(version - 1, version + 1, "b");
    BOOST_TEST(!isListed("b"));
    while (registry.pendingVersion)
        runFor(5ms);
    BOOST_TEST(!isListed("b"));
}

// Guards against requests to a leaving target from an instance that the single datagram of the announcement did not
// reach.
BOOST_FIXTURE_TEST_CASE(leavingTargetIsAnnouncedRepeatedly, Fixture)
{
    const auto isDelta = [](const wire::proto::PeerDatagram& it) { return it.has_news(); };
    watcher.markLeaving({ "b", 0 });
    runFor(readTime);
    BOOST_TEST(announcements("b", isDelta) >= 1u);
    runFor(gateway::RegistryRelay::leavingRepeatTime);
    received.clear();
    runFor(readTime);
    BOOST_TEST(announcements("b", isDelta) == 0u);
}

// Guards against requests to a leaving target from an instance that started after the announcement.
BOOST_FIXTURE_TEST_CASE(newInstanceReceivesTheLeavingTargets, Fixture)
{
    const auto isPresence = [](const wire::proto::PeerDatagram& it) { return it.has_presence(); };
    peers.setLeavingTargetsSource([this] { return watcher.leavingTargets(); });
    watcher.markLeaving({ "b", 0 });
    wire::proto::PeerDatagram datagram;
    datagram.set_sender("new");
    for (const unsigned incarnation : { 1, 2 }) {
        datagram.set_incarnation(incarnation);
        for (unsigned n = 0; n < 2; ++n) {
            peers.handle(datagram, peerAddress);
            runFor(100ms);
            BOOST_TEST(announcements("b", isPresence) == incarnation);
        }
    }
}
