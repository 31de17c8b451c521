#define BOOST_TEST_MODULE DrainTracker
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/membership/drain_tracker.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using membership::DrainProbeResult;
using membership::DrainTracker;

namespace {

const membership::TargetName target { "bookdesk", "b1" };

struct Fixture {
    base::ManualClock clock;
    DrainTracker a;
    DrainTracker b;
};

} // namespace

// Guards against a drain that never ends because two instances relay its observation to each other.
BOOST_FIXTURE_TEST_CASE(echoedObservationsExpire, Fixture)
{
    a.recordRelayedObservation({ target, 100ms }, clock.now());
    for (int i = 0; i < 40; ++i) {
        clock.advance(500ms);
        for (const auto& it : a.observationsToRelay(clock.now()))
            b.recordRelayedObservation(it, clock.now());
        for (const auto& it : b.observationsToRelay(clock.now()))
            a.recordRelayedObservation(it, clock.now());
        a.takeEndedDrains(clock.now());
        b.takeEndedDrains(clock.now());
    }
    BOOST_TEST(!a.isDraining(target));
    BOOST_TEST(!b.isDraining(target));
}

// Guards against new requests to a draining target whose lagging health endpoint does not report the drain yet.
BOOST_FIXTURE_TEST_CASE(laggingHealthEndpointDoesNotEndADrainEarly, Fixture)
{
    a.recordAnnouncement(target, clock.now());
    for (int i = 0; i < 5; ++i) {
        clock.advance(5s);
        BOOST_REQUIRE_EQUAL(a.takeDueProbes(clock.now()).size(), 1u);
        a.recordProbe(target, DrainProbeResult::NotDraining, clock.now());
        BOOST_TEST(a.takeEndedDrains(clock.now()).empty());
    }
    clock.advance(5s);
    BOOST_TEST(a.takeEndedDrains(clock.now()).size() == 1u);
}

// Guards against a restarted target that never receives requests again, and against a drain that ends although its
// probes did not succeed consecutively.
BOOST_FIXTURE_TEST_CASE(targetReturnsAfterConsecutiveProbesOnly, Fixture)
{
    a.recordAnnouncement(target, clock.now());
    clock.advance(60s);
    a.recordProbe(target, DrainProbeResult::NotDraining, clock.now());
    a.recordProbe(target, DrainProbeResult::NotDraining, clock.now());
    a.recordProbe(target, DrainProbeResult::NoResponse, clock.now());
    a.recordProbe(target, DrainProbeResult::NotDraining, clock.now());
    BOOST_TEST(a.takeEndedDrains(clock.now()).empty());
    a.recordProbe(target, DrainProbeResult::NotDraining, clock.now());
    a.recordProbe(target, DrainProbeResult::NotDraining, clock.now());
    BOOST_TEST(a.takeEndedDrains(clock.now()).size() == 1u);
}
