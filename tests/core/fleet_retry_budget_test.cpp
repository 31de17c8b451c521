#define BOOST_TEST_MODULE FleetRetryBudget
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <buckthorncroft/limits/fleet_retry_budget.h>
#include <rapidcheck.h>
#include <vector>

using namespace buckthorncroft;
using namespace std::chrono_literals;

namespace {

using Times = std::vector<base::SteadyTime>;

// Number of times in (from, to] before `now`.
double between(const Times& times, base::SteadyTime now, std::chrono::milliseconds from, std::chrono::milliseconds to)
{
    return static_cast<double>(
        std::count_if(times.begin(), times.end(), [&](auto at) { return at > now - from && at <= now - to; }));
}

} // namespace

// Guards against more extra attempts in some window than the fleet may make, whatever the order of events. The users'
// rule counts the requests of that window, of the one before it or of the one half a window before, whichever has most.
BOOST_AUTO_TEST_CASE(noWindowHoldsMoreExtraAttemptsThanAllowed)
{
    const bool holds = rc::check("extra attempts stay within the allowance", [] {
        const limits::RetryAllowance allowance { 0.2, 10'000ms, 20 };
        limits::FleetRetryBudget budget(allowance, 0.5);
        base::ManualClock clock;
        Times requests;
        Times extras;
        const auto steps = *rc::gen::container<std::vector<unsigned>>(500, rc::gen::inRange(0u, 400u));
        for (const auto step : steps) {
            clock.advance(std::chrono::milliseconds(step % 97));
            const auto now = clock.now();
            if (step < 250) {
                budget.recordRequest(now);
                requests.push_back(now);
            }
            while (budget.tryTake(now))
                extras.push_back(now);
            const auto counted = std::max({ between(requests, now, 10'000ms, 0ms),
                between(requests, now, 20'000ms, 10'000ms), between(requests, now, 15'000ms, 5'000ms) });
            RC_ASSERT(between(extras, now, 10'000ms, 0ms) <= 0.2 * counted + 20);
        }
    });
    BOOST_TEST(holds);
}

// Guards against a budget that a busy second uses up for good.
BOOST_AUTO_TEST_CASE(budgetRecoversAfterTheWindow)
{
    limits::FleetRetryBudget budget({ 0, 1000ms, 2 }, 1);
    base::ManualClock clock;
    BOOST_TEST(budget.tryTake(clock.now()));
    BOOST_TEST(budget.tryTake(clock.now()));
    BOOST_TEST(!budget.tryTake(clock.now()));
    clock.advance(1200ms);
    BOOST_TEST(budget.tryTake(clock.now()));
}

// Guards against a successor that doubles the fleet's extra attempts.
BOOST_AUTO_TEST_CASE(shareLeavesRoomForASuccessor)
{
    limits::FleetRetryBudget budget({ 0, 1000ms, 10 }, 0.5);
    base::ManualClock clock;
    int taken = 0;
    while (budget.tryTake(clock.now()))
        ++taken;
    BOOST_TEST(taken == 5);
}
