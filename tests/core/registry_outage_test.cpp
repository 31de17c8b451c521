#define BOOST_TEST_MODULE RegistryOutage
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/membership/registry_outage.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using membership::RegistryOutageDetector;

namespace {

struct Fixture {
    Fixture() { detector.recordReadSuccess(clock.now()); }

    bool isRecovering() const { return detector.isRecovering(clock.now()); }

    base::ManualClock clock;
    RegistryOutageDetector detector;
};

} // namespace

// Guards against targets that are removed although their entries expired in an outage.
BOOST_FIXTURE_TEST_CASE(failedReadsWithoutAnyResponseAreAnOutage, Fixture)
{
    clock.advance(2s);
    detector.recordReadFailure();
    clock.advance(1s);
    detector.recordReadSuccess(clock.now());
    BOOST_TEST(isRecovering());
    BOOST_TEST((detector.recoveryEnd() == clock.now() + RegistryOutageDetector::reregistrationTime));
    clock.advance(RegistryOutageDetector::reregistrationTime);
    BOOST_TEST(!isRecovering());
}

// Guards against an outage that is not detected because a peer relays the first response while a read of this instance
// still waits for its own.
BOOST_FIXTURE_TEST_CASE(overdueReadIsAnOutage, Fixture)
{
    clock.advance(1s);
    detector.recordReadStart(clock.now());
    clock.advance(2s);
    detector.recordRelayedResponse(clock.now());
    BOOST_TEST(isRecovering());
}

// Guards against delayed removals because the registry turns away this instance while it serves others.
BOOST_FIXTURE_TEST_CASE(failedReadsAreNoOutageWhilePeersRelayResponses, Fixture)
{
    for (int n = 0; n < 10; ++n) {
        clock.advance(700ms);
        detector.recordReadFailure();
        detector.recordRelayedResponse(clock.now());
        BOOST_TEST(!isRecovering());
    }
}

// Guards against delayed removals on an instance that the registry serves, because its readers were turned away and it
// had to begin to read for itself.
BOOST_FIXTURE_TEST_CASE(silentReadersAreNoOutage, Fixture)
{
    clock.advance(3s);
    detector.recordReadStart(clock.now());
    clock.advance(300ms);
    detector.recordReadSuccess(clock.now());
    BOOST_TEST(!isRecovering());
}

// Guards against delayed removals after a single failed call.
BOOST_FIXTURE_TEST_CASE(shortFailureIsNoOutage, Fixture)
{
    clock.advance(700ms);
    detector.recordReadFailure();
    clock.advance(300ms);
    detector.recordReadSuccess(clock.now());
    BOOST_TEST(!isRecovering());
}
