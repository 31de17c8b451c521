#define BOOST_TEST_MODULE UsageClient
#include <boost/test/unit_test.hpp>

#include "../../src/gateway/usage_client.h"

#include <array>
#include <optional>

using namespace buckthorncroft;
using namespace std::chrono_literals;

namespace {

/// The usage client of one instance with the limited workspace `w`, and a socket that stands for another instance.
struct Fixture {
    Fixture()
        : log(clock, "self", "z1", observe::Level::Error, stderr)
        , channel(io)
        , peers(settings, clock, channel, 1)
        , usage(clock, peers, log, metrics, 100)
        , peerSocket(io, { http::asio::ip::address_v4::loopback(), 0 })
    {
        BOOST_REQUIRE(channel.open({ "127.0.0.1", 0 }));
        peerSocket.non_blocking(true);
        setQuota({ 10, 5 });
    }

    void setQuota(const routing::Quota& quota)
    {
        routing::Workspace workspace;
        workspace.name = "w";
        workspace.quota = quota;
        usage.setWorkspaces({ workspace });
    }

    void run(std::chrono::milliseconds duration)
    {
        const auto end = clock.now() + duration;
        while (clock.now() < end) {
            clock.advance(gateway::PlacementClient::tickInterval);
            usage.tick();
        }
    }

    /// Starts a request for admission whose result is added to `results`.
    void admit(const std::string& workspace = "w")
    {
        usage.admit(workspace, [this](const gateway::Admission& it) { results.push_back(it); });
    }

    unsigned admittedCount() const
    {
        unsigned result = 0;
        for (const auto& it : results)
            result += it.admitted;
        return result;
    }

    /// Adds the other instance, with so much processor time that it ranks first or last.
    void addPeer(float capacity)
    {
        auto datagram = makePeerMessage();
        datagram.mutable_presence()->set_zone("z1");
        datagram.mutable_presence()->set_capacity(capacity);
        peers.handle(datagram, peerSocket.local_endpoint());
    }

    wire::proto::PeerDatagram makePeerMessage() const
    {
        wire::proto::PeerDatagram result;
        result.set_sender("peer");
        result.set_incarnation(7);
        return result;
    }

    /// Returns the next usage message that was sent to the other instance.
    std::optional<wire::proto::UsageDatagram> receive()
    {
        std::array<char, 2048> buf;
        http::error_code ec;
        gateway::udp::endpoint from;
        while (const auto n = peerSocket.receive_from(http::asio::buffer(buf), from, 0, ec)) {
            wire::proto::PeerDatagram datagram;
            if (datagram.ParseFromArray(buf.data(), static_cast<int>(n)) && datagram.has_usage())
                return datagram.usage();
        }
        return std::nullopt;
    }

    gateway::GatewaySettings settings = [] {
        gateway::GatewaySettings it;
        it.instance = "self";
        it.zone = "z1";
        it.peers = { "127.0.0.1", 7620 };
        return it;
    }();
    base::ManualClock clock;
    observe::Logger log;
    observe::Metrics metrics;
    http::asio::io_context io { 1 };
    gateway::PeerChannel channel;
    gateway::PeerGroup peers;
    gateway::UsageClient usage;
    gateway::udp::socket peerSocket;
    std::vector<gateway::Admission> results;
};

} // namespace

// Guards against delays of workspaces without a quota, and against datagrams of deployments without quotas.
BOOST_AUTO_TEST_CASE(unlimitedWorkspaceIsAdmittedAtOnce)
{
    Fixture f;
    f.admit("other");
    BOOST_TEST(f.admittedCount() == 1u);
    f.addPeer(8);
    f.setQuota({ 0, 0 });
    f.admit();
    f.run(5s);
    BOOST_TEST(f.admittedCount() == 2u);
    BOOST_TEST(!f.receive());
}

// Guards against an instance without others that grants more than the quota or refuses without a time.
BOOST_AUTO_TEST_CASE(loneInstanceKeepsToTheCap)
{
    Fixture f;
    f.run(5s);
    for (int n = 0; n < 20; ++n)
        f.admit();
    BOOST_TEST(f.admittedCount() == 5u);
    f.run(1s);
    BOOST_REQUIRE(f.results.size() == 20u);
    BOOST_TEST(f.admittedCount() <= 7u);
    for (const auto& it : f.results)
        BOOST_TEST((it.admitted || it.retryAfter > 0ms));
}

// Guards against a request that gets no decision, or several, because the point does not respond.
BOOST_AUTO_TEST_CASE(silentPointIsReplaced)
{
    Fixture f;
    f.addPeer(8);
    f.run(5s);
    f.admit();
    f.run(520ms);
    BOOST_TEST(f.results.size() == 1u);
    BOOST_TEST(f.peers.ranking().first("usage-0", f.clock.now()) == "self");
    f.run(3s);
    BOOST_TEST(f.results.size() == 1u);
}

// Guards against a request that is sent under different numbers, and against a decision that is not applied.
BOOST_AUTO_TEST_CASE(remotePointDecides)
{
    Fixture f;
    f.addPeer(8);
    f.admit();
    f.run(60ms);
    std::vector<std::uint64_t> numbers;
    bool heartbeat = false;
    while (const auto it = f.receive()) {
        heartbeat = heartbeat || it->heartbeat();
        for (const auto& request : it->requests())
            numbers.push_back(request.request());
    }
    BOOST_TEST(heartbeat);
    BOOST_TEST(numbers == (std::vector<std::uint64_t> { 100, 100 }), boost::test_tools::per_element());
    auto datagram = f.makePeerMessage();
    auto& decision = *datagram.mutable_usage()->add_decisions();
    decision.set_request(100);
    decision.set_retry_after_ms(700);
    f.usage.handle(datagram);
    f.usage.handle(datagram);
    BOOST_REQUIRE(f.results.size() == 1u);
    BOOST_TEST(!f.results[0].admitted);
    BOOST_TEST((f.results[0].retryAfter == 700ms));
}

// Guards against a point that does not answer other instances, or admits them beyond the quota.
BOOST_AUTO_TEST_CASE(localPointDecidesForOthers)
{
    Fixture f;
    f.addPeer(0.1F);
    auto heartbeat = f.makePeerMessage();
    heartbeat.mutable_usage()->set_heartbeat(true);
    for (int n = 0; n < 50; ++n) {
        f.usage.handle(heartbeat);
        f.run(100ms);
    }
    auto datagram = f.makePeerMessage();
    for (std::uint64_t n = 1; n <= 20; ++n) {
        auto& request = *datagram.mutable_usage()->add_requests();
        request.set_request(n);
        request.set_workspace("w");
    }
    f.usage.handle(datagram);
    unsigned admitted = 0;
    unsigned decided = 0;
    while (const auto it = f.receive()) {
        for (const auto& decision : it->decisions()) {
            ++decided;
            admitted += decision.admitted();
        }
    }
    BOOST_TEST(decided == 20u);
    BOOST_TEST(admitted == 5u);
}

// Guards against a waiting request that is forgotten when the quota of its workspace is removed.
BOOST_AUTO_TEST_CASE(removedCapAdmitsWaitingRequests)
{
    Fixture f;
    f.run(5s);
    for (int n = 0; n < 6; ++n)
        f.admit();
    BOOST_TEST(f.results.size() == 5u);
    f.setQuota({ 0, 0 });
    BOOST_TEST(f.admittedCount() == 6u);
}
