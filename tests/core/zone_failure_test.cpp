#define BOOST_TEST_MODULE ZoneFailure
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/routing/dispatch_point.h>
#include <map>
#include <optional>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using config::RequestKind;
using health::Verdict;
using routing::ZonePlacement;

namespace {

/// Two zones with two targets of two slots each.
struct Fixture {
    Fixture()
    {
        clock.advance(60s);
        for (const std::string zone : { "a", "b" }) {
            for (const std::string n : { "1", "2" }) {
                auto& entry = targets[zone + n];
                entry.record.id = zone + n;
                entry.record.zone = zone;
                entry.record.slots = 2;
                entry.record.startedAtUnixMs = 1;
            }
        }
        point.setTargets(targets, clock.now());
        for (int n = 0; n < 8; ++n)
            finish(*request(n % 2 ? "a" : "b"), Verdict::Good);
    }

    std::optional<routing::DispatchDecision> request(const std::string& zone)
    {
        routing::DispatchRequest result;
        result.key = { "i-" + zone, ++requestCount };
        result.zone = zone;
        result.kind = RequestKind::Upload;
        result.requestBytes = 60'000;
        result.objectiveDeadline = clock.now() + 2500ms;
        result.deadline = clock.now() + 6000ms;
        point.requestSlot(result, clock.now());
        return takeDecision();
    }

    std::optional<routing::DispatchDecision> takeDecision()
    {
        auto decisions = point.takeDecisions();
        BOOST_TEST(decisions.size() <= 1u);
        return decisions.empty() ? std::nullopt : std::optional(decisions.front());
    }

    void finish(const routing::DispatchDecision& decision, Verdict verdict)
    {
        point.recordOutcome(
            { decision.key.instance, decision.grant, decision.target, RequestKind::Upload, verdict, 300ms },
            clock.now());
    }

    base::ManualClock clock;
    std::map<std::string, membership::DirectoryEntry> targets;
    routing::DispatchPoint point { {}, 1 };
    std::uint64_t requestCount = 0;
};

} // namespace

// Guards against requests that wait for a zone whose targets are gone from the registry.
BOOST_AUTO_TEST_CASE(lostZoneIsLeftAtOnce)
{
    Fixture f;
    f.targets.erase("a1");
    f.targets.erase("a2");
    f.point.setTargets(f.targets, f.clock.now());
    const auto decision = f.request("a");
    BOOST_REQUIRE(decision.has_value());
    BOOST_TEST(f.targets.at(decision->target).record.zone == "b");
    BOOST_TEST((decision->placement == ZonePlacement::NoHomeTarget));
}

// Guards against requests that wait for a zone whose targets all drain, as when it is scaled in.
BOOST_AUTO_TEST_CASE(drainingZoneIsLeftAtOnce)
{
    Fixture f;
    f.targets["a1"].record.draining = f.targets["a2"].record.draining = true;
    f.point.setTargets(f.targets, f.clock.now());
    const auto decision = f.request("a");
    BOOST_REQUIRE(decision.has_value());
    BOOST_TEST((decision->placement == ZonePlacement::NoHomeTarget));
}

// Guards against requests that stay in a zone whose targets can't be reached.
BOOST_AUTO_TEST_CASE(failingZoneIsLeftAtOnce)
{
    Fixture f;
    for (int n = 0; n < 2; ++n) {
        const auto decision = f.request("a");
        BOOST_REQUIRE(decision.has_value());
        f.finish(*decision, Verdict::Truncated);
    }
    const auto decision = f.request("a");
    BOOST_REQUIRE(decision.has_value());
    BOOST_TEST(f.targets.at(decision->target).record.zone == "b");
    BOOST_TEST((decision->placement == ZonePlacement::HomeRisky));
}

// Guards against an upload that leaves although a slot of its zone becomes free shortly, and against one that waits
// without end for a slot that stays in use.
BOOST_AUTO_TEST_CASE(uploadWaitsForItsZoneOnlyShortly)
{
    for (const bool slotBecomesFree : { true, false }) {
        Fixture f;
        std::vector<routing::DispatchDecision> granted;
        granted.reserve(4);
        for (int n = 0; n < 4; ++n)
            granted.push_back(*f.request("a"));
        BOOST_REQUIRE(!f.request("a").has_value());
        f.clock.advance(100ms);
        if (slotBecomesFree)
            f.finish(granted.front(), Verdict::Good);
        else
            f.clock.advance(300ms);
        f.point.tick(f.clock.now());
        const auto decision = f.takeDecision();
        BOOST_REQUIRE(decision.has_value());
        BOOST_TEST((decision->placement == (slotBecomesFree ? ZonePlacement::Home : ZonePlacement::HomeFull)));
    }
}

// Guards against a new dispatch point that takes a full zone for an empty one: it knows the slots that instances
// repeat.
BOOST_AUTO_TEST_CASE(newPointKnowsTheRoomFromRepeatedSlots)
{
    Fixture f;
    routing::DispatchPoint successor({}, 2);
    successor.setTargets(f.targets, f.clock.now());
    successor.reconcileHeldSlots("i-x", { { 11, "a1" }, { 12, "a1" }, { 13, "a2" }, { 14, "a2" } }, f.clock.now());
    routing::DispatchRequest request;
    request.key = { "i-a", 1 };
    request.zone = "a";
    request.objectiveDeadline = f.clock.now() + 2500ms;
    request.deadline = f.clock.now() + 6000ms;
    successor.requestSlot(request, f.clock.now());
    f.clock.advance(500ms);
    successor.tick(f.clock.now());
    const auto decisions = successor.takeDecisions();
    BOOST_REQUIRE(decisions.size() == 1u);
    BOOST_TEST(f.targets.at(decisions.front().target).record.zone == "b");
    BOOST_TEST((decisions.front().placement == ZonePlacement::HomeFull));
}
