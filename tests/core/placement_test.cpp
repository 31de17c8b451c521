#define BOOST_TEST_MODULE Placement
#include <boost/test/unit_test.hpp>

#include <array>
#include <buckthorncroft/routing/placement_point.h>
#include <buckthorncroft/routing/placement_policy.h>
#include <map>
#include <rapidcheck.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using config::RequestKind;

namespace {

const base::SteadyTime start { std::chrono::hours(1) };

config::Service makeService(unsigned targets)
{
    const std::array<const char*, 3> zones { "a", "b", "c" };
    config::Service service;
    for (unsigned i = 0; i < targets; ++i)
        service.targets.push_back({ "t" + std::to_string(i), "127.0.0.1", 1, zones[i % 3], 3, 400, false });
    return service;
}

} // namespace

// Guards against granting more slots than a target has while others have free slots, and against miscounted grants.
BOOST_AUTO_TEST_CASE(grantsFillSlotsEvenlyAndAreReleased)
{
    BOOST_TEST(rc::check([] {
        const auto service = makeService(*rc::gen::inRange(1u, 7u));
        const std::vector<health::TargetView> views(service.targets.size());
        routing::PlacementPoint point(service, "a", 1);
        std::map<std::uint64_t, std::size_t> activeGrants;
        std::vector<unsigned> slotsInUse(service.targets.size());
        auto now = start;
        for (const bool place : *rc::gen::arbitrary<std::vector<bool>>()) {
            now += 1ms;
            if (place) {
                const auto grant = point.place({}, views, 50s, now);
                const bool hasFreeSlot = *std::min_element(slotsInUse.begin(), slotsInUse.end()) < 3;
                RC_ASSERT(grant.has_value() == (*std::min_element(slotsInUse.begin(), slotsInUse.end()) < 5));
                if (!grant)
                    continue;
                RC_ASSERT(!hasFreeSlot || slotsInUse[grant->target] < 3);
                RC_ASSERT(activeGrants.emplace(grant->id, grant->target).second);
                ++slotsInUse[grant->target];
            } else if (!activeGrants.empty()) {
                RC_ASSERT(point.release(activeGrants.begin()->first, health::Verdict::Good, 50ms, now));
                RC_ASSERT(!point.release(activeGrants.begin()->first, health::Verdict::Good, 50ms, now));
                --slotsInUse[activeGrants.begin()->second];
                activeGrants.erase(activeGrants.begin());
            }
            RC_ASSERT(point.grantCount() == activeGrants.size());
        }
        RC_ASSERT(!point.place({}, views, 1ms, now + 51s) || point.grantCount() == 1);
    }));
}

// Guards against slots that are never released after the holder of a grant crashed, and against grants that survive the
// removal of their target.
BOOST_AUTO_TEST_CASE(grantsExpireAndSurviveAReconfiguration)
{
    const std::vector<health::TargetView> views(2);
    routing::PlacementPoint point(makeService(2), "a", 1);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(point.place({}, views, i < 5 ? 1s : 2s, start).has_value());
    BOOST_TEST(!point.place({}, views, 1s, start).has_value());
    BOOST_TEST(point.place({}, views, 1s, start + 1s).has_value());
    auto service = makeService(2);
    service.targets.erase(service.targets.begin());
    const auto before = point.grantedSlots(start + 1s);
    point.reconfigure(service, start + 1s);
    const auto after = point.grantedSlots(start + 1s);
    BOOST_TEST(before.size() == 2u);
    BOOST_TEST(after.size() == 1u);
    BOOST_TEST(after[0].inUse == before[1].inUse);
}

// Guards against grants for draining or ejected targets, and against grants for non-idempotent requests at a target
// that is suspect for that kind.
BOOST_AUTO_TEST_CASE(grantsFollowTheHealthViews)
{
    std::vector<health::TargetView> views(4);
    views[0].draining = true;
    views[1].stage = health::Stage::Ejected;
    views[2].suspectFor[1] = true;
    routing::PlacementPoint point(makeService(4), "a", 1);
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(point.place({ RequestKind::NonIdempotent, true, {} }, views, 1s, start)->target == 3u);
    BOOST_TEST(point.place({ RequestKind::NonIdempotent, true, {} }, views, 1s, start)->target == 2u);
}

// Guards against sending the overflow of a zone to targets whose slots are already used by instances of other zones.
BOOST_AUTO_TEST_CASE(theOwnZoneIsPreferredAndGrantsOfPeersCount)
{
    const std::vector<health::TargetView> views(3);
    routing::PlacementPoint point(makeService(3), "a", 1);
    point.mergePeerGrants("b", { { "t1", 3 } }, start);
    std::array<int, 3> chosen {};
    for (int i = 0; i < 5; ++i)
        ++chosen[point.place({}, views, 1s, start)->target];
    BOOST_TEST(chosen[0] >= 2);
    BOOST_TEST(chosen[1] == 0);
    BOOST_TEST(point.place({}, views, 1s, start)->utilisation > 0.9);
}

// Guards against an instance that requests no grants under load, oscillates between both modes, or keeps waiting for an
// unreachable point.
BOOST_AUTO_TEST_CASE(anInstanceRequestsGrantsUnderLoadAndPausesAfterTimeouts)
{
    routing::PlacementPolicy policy(39, 40);
    policy.setInFlight(1, start);
    BOOST_TEST(!policy.shouldRequestGrant(start));
    BOOST_TEST(policy.shouldRequestGrant(start + 10s));
    policy.recordUtilisation(0.65, start + 10s);
    BOOST_TEST(policy.shouldRequestGrant(start + 10s));
    policy.recordUtilisation(0.55, start + 11s);
    BOOST_TEST(!policy.shouldRequestGrant(start + 11s));
    policy.recordUtilisation(0.65, start + 11s);
    BOOST_TEST(!policy.shouldRequestGrant(start + 11s));
    BOOST_TEST(policy.shouldRequestGrant(start + 20s));
    for (int i = 0; i < 3; ++i)
        policy.recordTimeout(start + 20s);
    BOOST_TEST(!policy.shouldRequestGrant(start + 20s));
    BOOST_TEST(policy.shouldRequestGrant(start + 21s));
    policy.recordTimeout(start + 21s);
    BOOST_TEST(!policy.shouldRequestGrant(start + 21s));
}
