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

// Returns the number of `times` that are at least `to` and less than `from` before `now`.
double countBetween(
    const Times& times, base::SteadyTime now, std::chrono::milliseconds from, std::chrono::milliseconds to)
{
    return static_cast<double>(
        std::count_if(times.begin(), times.end(), [&](auto at) { return at > now - from && at <= now - to; }));
}

} // namespace

// Guards against exceeding the allowance of extra attempts in any window, whatever the order of events. The platform's
// limit counts the requests of that window, of the window before it or of the one half a window before, whichever has
// most.
BOOST_AUTO_TEST_CASE(noWindowExceedsTheAllowedExtraAttempts)
{
    const bool holds = rc::check("extra attempts stay within the allowance", [] {
        const limits::RetryAllowance allowance { 0.2, 10'000ms, 20 };
        limits::FleetRetryBudget budget(allowance, 0.5);
        base::ManualClock clock;
        Times requests;
        Times extraAttempts;
        const auto steps = *rc::gen::container<std::vector<unsigned>>(500, rc::gen::inRange(0u, 400u));
        for (const auto step : steps) {
            clock.advance(std::chrono::milliseconds(step % 97));
            const auto now = clock.now();
            if (step < 250) {
                budget.recordRequest(now);
                requests.push_back(now);
            }
            while (budget.tryTake(now))
                extraAttempts.push_back(now);
            const auto maxRequests = std::max({ countBetween(requests, now, 10'000ms, 0ms),
                countBetween(requests, now, 20'000ms, 10'000ms), countBetween(requests, now, 15'000ms, 5'000ms) });
            RC_ASSERT(countBetween(extraAttempts, now, 10'000ms, 0ms) <= 0.2 * maxRequests + 20);
        }
    });
    BOOST_TEST(holds);
}

// Guards against a budget that does not recover after it was exhausted.
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

// Guards against doubling the extra attempts of the fleet when a successor takes over.
BOOST_AUTO_TEST_CASE(fractionLeavesRoomForASuccessor)
{
    limits::FleetRetryBudget budget({ 0, 1000ms, 10 }, 0.5);
    base::ManualClock clock;
    int taken = 0;
    while (budget.tryTake(clock.now()))
        ++taken;
    BOOST_TEST(taken == 5);
}

// Guards against extra attempts beyond the allowance when a successor takes over within the window, and against an
// allowance that stays unused. The point changes every 4 s, and every third message to the successor is lost.
BOOST_AUTO_TEST_CASE(handoverUsesNearlyTheWholeAllowance)
{
    const limits::RetryAllowance allowance { 0.2, 10'000ms, 20 };
    base::ManualClock clock;
    std::vector<limits::FleetRetryBudget> points(3, limits::FleetRetryBudget(allowance, 0.5));
    for (auto& it : points)
        it.setFractionWithHandover(0.9);
    Times requests;
    Times extraAttempts;
    double maxUsed = 0;
    for (int step = 0; step < 6000; ++step) {
        clock.advance(10ms);
        const auto now = clock.now();
        auto& point = points[static_cast<std::size_t>(step / 400) % points.size()];
        point.recordRequest(now);
        requests.push_back(now);
        if (point.tryTake(now))
            extraAttempts.push_back(now);
        if (step % 25 == 24) {
            const auto usage = point.takeUsage(now);
            for (auto& it : points) {
                if (&it != &point && step % 75 != 74)
                    it.mergeUsage(usage, now + 2ms);
            }
        }
        const double used = countBetween(extraAttempts, now, 10'000ms, 0ms);
        const double allowed = 0.2 * countBetween(requests, now, 10'000ms, 0ms) + 20;
        BOOST_REQUIRE(used <= allowed);
        if (step > 2000)
            maxUsed = std::max(maxUsed, used / allowed);
    }
    BOOST_TEST_MESSAGE("largest part of the allowance in use: " << maxUsed);
    BOOST_TEST(maxUsed >= 0.8);
}

// Guards against a successor that uses more than its part although it does not know what its predecessor used.
BOOST_AUTO_TEST_CASE(successorWithoutHandoverKeepsToItsPartForOneWindow)
{
    limits::FleetRetryBudget budget({ 0, 1000ms, 10 }, 0.5);
    budget.setFractionWithHandover(0.9);
    base::ManualClock clock;
    const auto takeAll = [&] {
        int taken = 0;
        while (budget.tryTake(clock.now()))
            ++taken;
        return taken;
    };
    BOOST_TEST(takeAll() == 5);
    clock.advance(1200ms);
    BOOST_TEST(takeAll() == 9);
}
