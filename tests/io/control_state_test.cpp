#define BOOST_TEST_MODULE ControlState
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/daemon/control_state.h>
#include <buckthorncroft/wire/codec.h>
#include <functional>
#include <set>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using daemon::ControlState;

namespace {

constexpr unsigned instancesPerZone = 4;

config::Configuration configuration(std::uint64_t changeNumber)
{
    config::Configuration result;
    result.changeNumber = changeNumber;
    for (const std::string name : { "bookdesk", "quotebook" }) {
        config::Service service;
        service.name = name;
        service.bias = 1;
        for (int i = 0; i < 12; ++i) {
            config::Target target;
            target.id = name + std::to_string(i);
            target.host = "127.0.0.1";
            target.port = static_cast<std::uint16_t>(9000 + i + (name == "bookdesk" ? 0 : 100));
            target.zone = "z" + std::to_string(i % 3 + 1);
            service.targets.push_back(target);
        }
        result.services.push_back(service);
    }
    return result;
}

// Instances that exchange encoded reports in virtual time. `canReach` decides whether a message from one to another
// arrives; a report still arrives if only its reply is lost.
struct Fleet {
    struct Node {
        std::string name;
        std::string address;
        std::unique_ptr<ControlState> state;
    };

    explicit Fleet(const daemon::ControlSettings& settings = {})
    {
        for (unsigned i = 0; i < 3 * instancesPerZone; ++i) {
            const membership::Peer self { "e" + std::to_string(i), "z" + std::to_string(i % 3 + 1),
                "127.0.0.1:" + std::to_string(7000 + i), 100 + i, false };
            peers.push_back(self);
            nodes.push_back({ self.instance, self.address, std::make_unique<ControlState>(self, i, settings) });
        }
        for (auto& it : nodes) {
            it.state->applyConfiguration(configuration(1), clock.now());
            it.state->applyInstanceList(peers, clock.now());
        }
    }

    Node& findNode(const std::string& address)
    {
        for (auto& it : nodes) {
            if (it.address == address)
                return it;
        }
        BOOST_FAIL("no node at " << address);
        return nodes.front();
    }

    void deliver(Node& from, const daemon::OutgoingReport& outgoing)
    {
        auto& to = findNode(outgoing.address);
        if (!canReach(from.name, to.name))
            return;
        const auto report = wire::decode(wire::encode(outgoing.report));
        BOOST_REQUIRE(report.has_value());
        bool accepted = false;
        auto reply = to.state->handleReport(report.value(), accepted, clock.now());
        if (duplicatesReports)
            to.state->handleReport(report.value(), accepted, clock.now());
        if (!canReach(to.name, from.name))
            return;
        const auto decoded = wire::decode(wire::encode(reply));
        BOOST_REQUIRE(decoded.has_value());
        from.state->handleReply(decoded.value(), clock.now());
    }

    void run(std::chrono::milliseconds duration, const std::function<void()>& load = {})
    {
        constexpr auto step = 100ms;
        for (auto elapsed = 0ms; elapsed < duration; elapsed += step) {
            clock.advance(step);
            if (load)
                load();
            for (auto& it : nodes) {
                it.state->tick(clock.now());
                for (const auto& report : it.state->takeReports(clock.now()))
                    deliver(it, report);
            }
        }
    }

    // Every instance observes one attempt at each target of bookdesk, once in `roundsPerAttempt` calls. Attempts at the
    // first target have the verdict `first`, all others are good.
    void observeAll(health::Verdict first, unsigned roundsPerAttempt)
    {
        ++round;
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            if ((round + n) % roundsPerAttempt)
                continue;
            const auto service = nodes[n].state->snapshot(clock.now())->find("bookdesk")->service;
            std::vector<daemon::ReportedObservation> observations;
            for (std::size_t i = 0; i < service->targets.size(); ++i)
                observations.push_back({ service,
                    { i, config::RequestKind::Idempotent, i == 0 ? first : health::Verdict::Good, 50ms, 2000ms,
                        clock.now() } });
            nodes[n].state->observe(observations);
        }
    }

    const health::TargetView& view(const Node& node, std::size_t target)
    {
        snapshot = node.state->snapshot(clock.now());
        return snapshot->find("bookdesk")->targets[target];
    }

    base::ManualClock clock;
    std::vector<membership::Peer> peers;
    std::vector<Node> nodes;
    std::function<bool(const std::string&, const std::string&)> canReach
        = [](const auto&, const auto&) { return true; };
    std::shared_ptr<const daemon::Snapshot> snapshot;
    bool duplicatesReports = false;
    unsigned round = 0;
};

} // namespace

// Guards against a failing target that keeps receiving traffic from instances with little evidence of their own.
BOOST_FIXTURE_TEST_CASE(failingTargetIsEjectedByEveryInstance, Fleet)
{
    run(3s, [&] { observeAll(health::Verdict::Good, 5); });
    run(3s, [&] { observeAll(health::Verdict::Error, 5); });
    for (auto& it : nodes) {
        const auto& first = view(it, 0);
        BOOST_TEST((first.stage == health::Stage::Ejected || first.stage == health::Stage::Trial), it.name);
    }
}

// Guards against a hanging target that stays in service until the deadline of its requests. A pending attempt counts as
// evidence once, and an attempt that was cancelled because a hedge won counts too.
BOOST_FIXTURE_TEST_CASE(hangingTargetIsDetectedBeforeItsDeadline, Fleet)
{
    run(12s, [&] { observeAll(health::Verdict::Good, 5); });
    std::uint64_t attempt = 0;
    run(2500ms, [&] {
        observeAll(health::Verdict::Good, 5);
        for (auto& it : nodes) {
            const auto service = it.state->snapshot(clock.now())->find("bookdesk")->service;
            const health::Observation hanging { 3, config::RequestKind::Idempotent, health::Verdict::Cancelled, 1500ms,
                5000ms, clock.now() };
            it.state->observe({ { service, hanging, ++attempt, true }, { service, hanging, attempt, true } });
        }
    });
    for (auto& it : nodes) {
        const auto& hanging = view(it, 3);
        BOOST_TEST((hanging.stage == health::Stage::Ejected || hanging.stage == health::Stage::Trial), it.name);
    }
}

// Guards against repeated messages that count the same evidence twice.
// The byte budget is unlimited here, because replies to repeated messages use it up and would delay other evidence.
BOOST_AUTO_TEST_CASE(repeatedReportsChangeNothing)
{
    daemon::ControlSettings settings;
    settings.maxSentBytesPerSecond = 1e9;
    Fleet baselineFleet(settings);
    Fleet repeatingFleet(settings);
    repeatingFleet.duplicatesReports = true;
    for (auto* it : { &baselineFleet, &repeatingFleet }) {
        it->run(2s, [&] { it->observeAll(health::Verdict::Good, 5); });
        it->run(1s, [&] { it->observeAll(health::Verdict::Error, 10); });
        it->run(3s); // Until every window has reached every coordinator.
    }
    for (std::size_t i = 0; i < repeatingFleet.nodes.size(); ++i) {
        const auto plain = baselineFleet.nodes[i].state->explain("bookdesk").at(0);
        const auto doubled = repeatingFleet.nodes[i].state->explain("bookdesk").at(0);
        BOOST_TEST(plain.pooled[0] == doubled.pooled[0]);
        BOOST_TEST((plain.stage == doubled.stage));
    }
}

// Guards against a leaving target that other instances still use 3 s after one instance observed its announcement.
BOOST_FIXTURE_TEST_CASE(announcedDrainReachesEveryInstanceWithinThreeSeconds, Fleet)
{
    run(3s);
    const auto service = nodes[0].state->snapshot(clock.now())->find("bookdesk")->service;
    nodes[0].state->observe(
        { { service, { 4, config::RequestKind::Idempotent, health::Verdict::Draining, 10ms, 1000ms, clock.now() } } });
    run(3s);
    for (auto& it : nodes)
        BOOST_TEST(view(it, 4).draining, it.name);
}

// Guards against a drain that ends while the target's health endpoint still reports that it is leaving, and against one
// that never ends.
BOOST_FIXTURE_TEST_CASE(drainEndsEverywhereAfterTheTargetIsBack, Fleet)
{
    const auto service = nodes[0].state->snapshot(clock.now())->find("bookdesk")->service;
    nodes[0].state->observe(
        { { service, { 4, config::RequestKind::Idempotent, health::Verdict::Draining, 10ms, 1000ms, clock.now() } } });
    auto result = membership::DrainProbeResult::StillDraining;
    const auto probe = [&] {
        for (const auto& it : nodes[0].state->takeDrainProbes(clock.now()))
            nodes[0].state->recordDrainProbe(it.name, result, clock.now());
    };
    run(60s, probe);
    for (auto& it : nodes)
        BOOST_TEST(view(it, 4).draining, it.name);
    result = membership::DrainProbeResult::NotDraining;
    run(60s, probe);
    for (auto& it : nodes)
        BOOST_TEST(!view(it, 4).draining, it.name);
}

// Guards against a one-way partition between two instances that removes one of them from membership.
BOOST_FIXTURE_TEST_CASE(oneWayPartitionBetweenInstancesKeepsBothLive, Fleet)
{
    run(5s);
    canReach = [](const std::string& from, const std::string& to) { return !(from == "e0" && to == "e1"); };
    run(20s);
    for (auto& it : nodes)
        BOOST_TEST(it.state->members().live(clock.now()).size() == nodes.size(), it.name);
}

// Guards against an instance that applies an older configuration, from a stale read or a slow peer.
BOOST_FIXTURE_TEST_CASE(configurationNeverReverts, Fleet)
{
    BOOST_TEST(nodes[0].state->applyConfiguration(configuration(5), clock.now()));
    BOOST_TEST(!nodes[0].state->applyConfiguration(configuration(4), clock.now()));
    BOOST_TEST(!nodes[0].state->applyConfiguration(configuration(5), clock.now()));
    BOOST_TEST(nodes[0].state->changeNumber() == 5u);
    run(3s);
    unsigned informed = 0;
    for (auto& it : nodes)
        informed += it.state->newerConfiguration().changeNumber == 5 ? 1 : 0;
    BOOST_TEST(informed >= 2u);
}

// Guards against control traffic above the limit of 10 KB/s, also while every instance has new evidence in every round.
BOOST_FIXTURE_TEST_CASE(controlBytesStayWithinTheBudget, Fleet)
{
    run(10s, [&] { observeAll(health::Verdict::Error, 1); });
    std::vector<std::uint64_t> before;
    for (auto& it : nodes)
        before.push_back(it.state->bytesSent());
    run(60s, [&] { observeAll(health::Verdict::Error, 1); });
    for (std::size_t i = 0; i < nodes.size(); ++i)
        BOOST_TEST(nodes[i].state->bytesSent() - before[i] < 60u * 10'000u,
            nodes[i].name << " sent " << nodes[i].state->bytesSent() - before[i]);
}

// Guards against observations that are attributed to another target after the record of a service changed.
BOOST_FIXTURE_TEST_CASE(observationsFollowTheTargetIdOverAChange, Fleet)
{
    const auto old = nodes[0].state->snapshot(clock.now())->find("bookdesk")->service;
    auto changed = configuration(2);
    auto& targets = changed.services[0].targets;
    targets.erase(targets.begin());
    nodes[0].state->applyConfiguration(changed, clock.now());
    nodes[0].state->observe(
        { { old, { 0, config::RequestKind::Idempotent, health::Verdict::Draining, 10ms, 1000ms, clock.now() } },
            { old, { 5, config::RequestKind::Idempotent, health::Verdict::Draining, 10ms, 1000ms, clock.now() } } });
    BOOST_TEST(!view(nodes[0], 0).draining);
    BOOST_TEST(view(nodes[0], 4).draining);
}
