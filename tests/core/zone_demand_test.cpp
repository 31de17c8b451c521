#define BOOST_TEST_MODULE ZoneDemand
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/routing/zone_demand.h>
#include <cmath>
#include <numbers>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using routing::ZoneDemand;
using Seconds = std::chrono::duration<double>;

namespace {

/// Sends evenly spaced requests at a rate that follows a wave of 13 s. Returns the rate 0.5 s after the last one.
double sendWave(ZoneDemand& demand, base::ManualClock& clock, Seconds length, double mean, double swing)
{
    const auto start = clock.now();
    const auto rateAt = [&](Seconds t) { return mean * (1 + swing * std::sin(2 * std::numbers::pi * t.count() / 13)); };
    while (clock.now() - start < length) {
        demand.recordArrival("a", clock.now());
        const Seconds gap(1 / rateAt(clock.now() - start));
        clock.advance(std::chrono::duration_cast<base::SteadyTime::duration>(gap));
    }
    return rateAt(clock.now() - start + 500ms);
}

} // namespace

// Guards against a forecast that is no better than the last seconds' average while demand rises or falls.
BOOST_AUTO_TEST_CASE(waveIsSeenComing)
{
    for (const auto length : { 26s, 32s }) {
        base::ManualClock clock;
        ZoneDemand demand;
        const double expected = sendWave(demand, clock, length, 60, 0.55);
        const double average = demand.arrivalRate("a", clock.now());
        const double forecast = demand.forecastRate("a", 500ms, clock.now());
        BOOST_TEST(std::abs(forecast - expected) < 0.5 * std::abs(average - expected));
    }
}

// Guards against a forecast far above the demand after a zone's first requests.
BOOST_AUTO_TEST_CASE(firstRequestsAreNoTrend)
{
    base::ManualClock clock;
    ZoneDemand demand;
    for (int n = 0; n < 20; ++n) {
        demand.recordArrival("a", clock.now());
        clock.advance(20ms);
    }
    BOOST_TEST(demand.forecastRate("a", 500ms, clock.now()) <= demand.arrivalRate("a", clock.now()));
}

// Guards against a decision that changes with each request while waiting and leaving cost about the same.
BOOST_AUTO_TEST_CASE(leavingHasHysteresis)
{
    base::ManualClock clock;
    ZoneDemand demand;
    BOOST_TEST(!demand.shouldLeave("a", 1.05, 1, clock.now()));
    BOOST_TEST(demand.shouldLeave("a", 1.15, 1, clock.now()));
    BOOST_TEST(demand.shouldLeave("a", 0.9, 1, clock.now()));
    BOOST_TEST(!demand.shouldLeave("a", 0.75, 1, clock.now()));
    clock.advance(2s);
    BOOST_TEST(!demand.shouldLeave("a", 0.9, 1, clock.now()));
}

// Guards against targets that are left to callers of their zone although that zone sends too little, or nothing any
// more.
BOOST_AUTO_TEST_CASE(zoneThatSendsLittleDoesNotCoverItsTargets)
{
    base::ManualClock clock;
    ZoneDemand demand;
    demand.setRoom({ { "a", { 5, 20, 0 } } }, clock.now());
    BOOST_TEST(!demand.coversOwnTargets("a", 1000ms, clock.now()));
    for (int n = 0; n < 100; ++n) {
        demand.recordArrival("a", clock.now());
        clock.advance(100ms);
    }
    BOOST_TEST(demand.coversOwnTargets("a", 1000ms, clock.now()));
    BOOST_TEST(!demand.coversOwnTargets("a", 100ms, clock.now()));
    clock.advance(4s);
    BOOST_TEST(!demand.coversOwnTargets("a", 1000ms, clock.now()));
}
