#define BOOST_TEST_MODULE PeerRanking
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/membership/peer_ranking.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using membership::PeerRanking;

namespace {

struct Fixture {
    Fixture()
    {
        for (const auto* name : { "a", "b", "c", "d" }) {
            for (auto* it : { &one, &two }) {
                it->setCapacity(name, 1);
                it->recordContact(name, 1, clock.now());
            }
        }
    }

    base::ManualClock clock;
    PeerRanking one { "a" };
    PeerRanking two { "b" };
};

} // namespace

// Guards against instances with the same members that choose different holders for a role.
BOOST_FIXTURE_TEST_CASE(allInstancesRankAlike, Fixture)
{
    for (const auto* key : { "stock", "hire", "results", "calib" })
        BOOST_TEST(one.first(key, clock.now()) == two.first(key, clock.now()));
}

// Guards against waiting for a stopped holder with each request, and against never trying it again.
BOOST_FIXTURE_TEST_CASE(unresponsiveInstanceIsSkippedForAWhile, Fixture)
{
    const auto holder = one.first("stock", clock.now());
    one.recordTimeout(holder, clock.now());
    if (holder != "a")
        BOOST_TEST(one.first("stock", clock.now()) != holder);
    clock.advance(1s);
    BOOST_TEST(one.first("stock", clock.now()) == holder);
}

// Guards against a role that stays with an instance that announced its stop, and against excluding the restarted
// instance of the same name.
BOOST_FIXTURE_TEST_CASE(leavingInstanceLosesItsRolesUntilItStartsAgain, Fixture)
{
    const auto holder = two.first("stock", clock.now());
    two.markLeaving(holder);
    BOOST_TEST(two.first("stock", clock.now()) != holder);
    two.recordContact(holder, 1, clock.now());
    BOOST_TEST(two.first("stock", clock.now()) != holder);
    two.recordContact(holder, 2, clock.now());
    BOOST_TEST(two.first("stock", clock.now()) == holder);
}

// Guards against an instance that finds no holder when no other instance responds.
BOOST_FIXTURE_TEST_CASE(instanceAloneHoldsEveryRole, Fixture)
{
    for (const auto* name : { "b", "c", "d" })
        one.recordTimeout(name, clock.now());
    BOOST_TEST(one.first("stock", clock.now()) == "a");
    BOOST_TEST(one.successors("stock", 2, clock.now()).empty());
}

// Guards against assigning a role, which carries the load of many instances, to one with little processor time.
BOOST_FIXTURE_TEST_CASE(highCapacityInstancesComeFirst, Fixture)
{
    one.setCapacity("strong", 5);
    for (const auto* key : { "stock", "hire", "results", "calib" })
        BOOST_TEST(one.first(key, clock.now()) == "strong");
    one.markLeaving("strong");
    BOOST_TEST(one.first("stock", clock.now()) == two.first("stock", clock.now()));
}

// Guards against an instance that a timeout adds to the fleet without a place in the rankings.
BOOST_FIXTURE_TEST_CASE(timeoutDoesNotAddAnInstance, Fixture)
{
    const auto before = one.top("stock", 100, clock.now());
    one.recordTimeout("unknown", clock.now());
    clock.advance(10s);
    one.setCapacity("b", 1.5);
    one.setCapacity("b", 1);
    BOOST_TEST(one.top("stock", 100, clock.now()).size() == before.size());
}
