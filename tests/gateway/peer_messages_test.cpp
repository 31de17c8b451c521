#define BOOST_TEST_MODULE PeerMessages
#include <boost/test/unit_test.hpp>

#include "../../src/gateway/placement_client.h"
#include "../../src/gateway/registry_relay.h"
#include "../../src/gateway/usage_client.h"

#include <limits>
#include <optional>
#include <rapidcheck.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;

namespace {

/// The handlers of datagrams of one instance, with one service of one target.
struct Fixture {
    Fixture()
        : log(clock, "self", "z1", observe::Level::Error, stderr)
        , channel(io)
        , peers(settings(), clock, channel, 1)
        , relay(clock, peers)
        , placement(settings(), clock, peers, log, 1)
        , usage(clock, peers, log, metrics, 1)
    {
        BOOST_REQUIRE(channel.open({ "127.0.0.1", 0 }));
        auto targets = std::make_shared<membership::TargetSet>();
        membership::DirectoryEntry entry;
        entry.record = { "t", "s", "127.0.0.1", 80, "z1" };
        targets->services["s"]["t"] = entry;
        placement.setTargets(targets);
        routing::Workspace workspace;
        workspace.name = "w";
        workspace.quota = { 10, 5 };
        usage.setWorkspaces({ workspace });
    }

    static const gateway::GatewaySettings& settings()
    {
        static const gateway::GatewaySettings result = [] {
            gateway::GatewaySettings it;
            it.instance = "self";
            it.zone = "z1";
            it.peers = { "127.0.0.1", 7620 };
            return it;
        }();
        return result;
    }

    /// Handles a datagram like `GatewayControl`. Returns the target changes that it contains.
    std::optional<gateway::TargetDelta> handle(const wire::proto::PeerDatagram& datagram)
    {
        const gateway::udp::endpoint from(http::asio::ip::address_v4::loopback(), 9);
        if (!peers.handle(datagram, from))
            return std::nullopt;
        auto delta = relay.handle(datagram);
        placement.handle(datagram);
        placement.tick();
        usage.handle(datagram);
        usage.tick();
        return delta;
    }

    /// Requests a slot of service `s` and returns the decision, if there is one at once.
    std::optional<routing::DispatchDecision> requestSlot()
    {
        std::optional<routing::DispatchDecision> result;
        gateway::SlotQuery query;
        query.service = "s";
        query.request.objectiveDeadline = clock.now() + 1s;
        query.request.deadline = clock.now() + 5s;
        placement.requestSlot(std::move(query), [&](const gateway::SlotResult& it) { result = it.decision; });
        return result;
    }

    base::ManualClock clock;
    observe::Logger log;
    observe::Metrics metrics;
    http::asio::io_context io { 1 };
    gateway::PeerChannel channel;
    gateway::PeerGroup peers;
    gateway::RegistryRelay relay;
    gateway::PlacementClient placement;
    gateway::UsageClient usage;
};

/// A datagram with every part.
wire::proto::PeerDatagram makeDatagram()
{
    wire::proto::PeerDatagram result;
    result.set_sender("peer");
    result.set_incarnation(7);
    result.mutable_presence()->set_zone("z2");
    result.mutable_presence()->set_capacity(0.5F);
    auto& service = *result.add_services();
    service.set_service("s");
    auto& request = *service.add_requests();
    request.set_request(1);
    request.set_deadline_ms(1000);
    request.add_held()->set_target("t");
    service.add_decisions()->set_request(1);
    service.add_withdrawals()->set_request(1);
    service.add_outcomes()->set_target("t");
    service.add_risks()->set_target("t");
    result.mutable_news()->set_from(1);
    result.mutable_news()->set_to(2);
    auto& entry = *result.mutable_news()->add_entries();
    entry.set_id("t");
    entry.set_service("s");
    entry.set_host("127.0.0.1");
    entry.set_port(80);
    entry.set_zone("z1");
    entry.set_slots(3);
    result.add_leaving()->set_id("t");
    result.mutable_routes()->set_document("{}");
    auto& usage = *result.mutable_usage();
    usage.add_requests()->set_workspace("w");
    usage.add_decisions()->set_request(1);
    usage.add_balances()->set_workspace("w");
    usage.set_heartbeat(true);
    return result;
}

} // namespace

// Guards against a datagram that ends the process or keeps the instance from serving afterwards.
BOOST_AUTO_TEST_CASE(anyDatagramIsHandled)
{
    Fixture f;
    const auto valid = makeDatagram().SerializeAsString();
    BOOST_TEST(rc::check("changed bytes of a valid datagram", [&] {
        auto bytes = valid;
        const auto changes = *rc::gen::inRange(1, 8);
        for (int n = 0; n < changes; ++n)
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        wire::proto::PeerDatagram datagram;
        if (datagram.ParseFromString(bytes) && !datagram.sender().empty())
            f.handle(datagram);
    }));
    BOOST_TEST(rc::check("arbitrary bytes", [&](const std::string& bytes) {
        wire::proto::PeerDatagram datagram;
        if (datagram.ParseFromString(bytes) && !datagram.sender().empty())
            f.handle(datagram);
    }));
    f.clock.advance(100s);
    Fixture fresh;
    BOOST_TEST(fresh.requestSlot().has_value());
}

// Guards against numbers of a peer that make it rank first for every role, or that have no order.
BOOST_AUTO_TEST_CASE(implausibleCapacityIsIgnored)
{
    for (const float capacity : { std::numeric_limits<float>::infinity(), std::numeric_limits<float>::quiet_NaN(),
             -1.0F, std::numeric_limits<float>::max() }) {
        Fixture f;
        wire::proto::PeerDatagram datagram;
        datagram.set_sender("peer");
        datagram.mutable_presence()->set_capacity(capacity);
        f.handle(datagram);
        BOOST_TEST(f.peers.ranking().first("s", f.clock.now()) == "self");
    }
}

// Guards against a target that a peer relays with values which the registry's own entries may not have.
BOOST_AUTO_TEST_CASE(relayedEntriesAreChecked)
{
    const auto changesOf = [](const std::function<void(wire::proto::TargetEntry&)>& change) {
        Fixture f;
        auto datagram = makeDatagram();
        change(*datagram.mutable_news()->mutable_entries(0));
        const auto delta = f.handle(datagram);
        return delta ? delta->changes.size() : std::numeric_limits<std::size_t>::max();
    };
    BOOST_TEST(changesOf([](auto&) {}) == 1u);
    BOOST_TEST(changesOf([](auto& it) { it.set_port(0); }) == 0u);
    BOOST_TEST(changesOf([](auto& it) { it.set_port(65'616); }) == 0u);
    BOOST_TEST(changesOf([](auto& it) { it.set_slots(0); }) == 0u);
    BOOST_TEST(changesOf([](auto& it) { it.set_slots(1'000'000); }) == 0u);
    BOOST_TEST(changesOf([](auto& it) { it.set_born(-1); }) == 0u);
    BOOST_TEST(changesOf([](auto& it) { it.set_cold_ms(UINT32_MAX); }) == 0u);
    BOOST_TEST(changesOf([](auto& it) { it.set_host("0.0.0.0"); }) == 0u);
    BOOST_TEST(changesOf([](auto& it) { it.set_id("a\r\nX: 1"); }) == 0u);
    BOOST_TEST(changesOf([](auto& it) { it.set_zone(std::string(300, 'z')); }) == 0u);
}

// Guards against a queued request that never completes, because its dispatch point was discarded after a suspension of
// the machine.
BOOST_AUTO_TEST_CASE(queuedRequestsSurviveDiscardedPoints)
{
    Fixture f;
    unsigned granted = 0;
    for (unsigned n = 0; n < 2; ++n) {
        gateway::SlotQuery query;
        query.service = "s";
        query.request.objectiveDeadline = f.clock.now() + 10s;
        query.request.deadline = f.clock.now() + 20s;
        f.placement.requestSlot(
            std::move(query), [&](const gateway::SlotResult& it) { granted += it.decision.grant != 0; });
    }
    BOOST_TEST(granted == 1u);
    f.placement.discardDispatchPoints();
    const auto end = f.clock.now() + 15s;
    while (f.clock.now() < end && granted < 2) {
        f.clock.advance(20ms);
        f.placement.tick();
    }
    BOOST_TEST(granted == 2u);
}

// Guards against two readers at the start: an instance that does not know the others yet must not act as one of them.
BOOST_AUTO_TEST_CASE(instanceIsNoReaderUntilThePeersAreKnown)
{
    Fixture f;
    BOOST_TEST((f.relay.role() == gateway::ReaderRole::None));
    f.relay.setPeersKnown();
    BOOST_TEST((f.relay.role() == gateway::ReaderRole::Reader));
    Fixture alone;
    alone.clock.advance(2s);
    BOOST_TEST((alone.relay.role() == gateway::ReaderRole::Reader));
}
