#define BOOST_TEST_MODULE RateMeter
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/limits/rate_meter.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;

// Guards against a wrong rate, from which expected waits are computed.
BOOST_AUTO_TEST_CASE(steadyEventsGiveTheirRate)
{
    limits::RateMeter meter(1s);
    base::ManualClock clock;
    for (int n = 0; n < 500; ++n) {
        clock.advance(20ms);
        meter.recordEvent(clock.now());
    }
    BOOST_TEST(meter.perSecond(clock.now()) == 50, boost::test_tools::tolerance(0.05));
}

// Guards against a rate that does not decay after the last event.
BOOST_AUTO_TEST_CASE(rateDecaysWithoutEvents)
{
    limits::RateMeter meter(1s);
    base::ManualClock clock;
    BOOST_TEST(meter.perSecond(clock.now()) == 0);
    meter.recordEvent(clock.now());
    clock.advance(5s);
    BOOST_TEST(meter.perSecond(clock.now()) < 0.01);
}
