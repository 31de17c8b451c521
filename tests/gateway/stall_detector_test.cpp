#define BOOST_TEST_MODULE StallDetector
#include <boost/test/unit_test.hpp>

#include "../../src/gateway/stall_detector.h"

using namespace buckthorncroft;
using namespace std::chrono_literals;

namespace {

constexpr auto interval = gateway::StallDetector::tickInterval;
const base::SteadyTime start { 100s };

} // namespace

BOOST_AUTO_TEST_CASE(eventOfARunningThreadHasJustOccurred)
{
    gateway::StallDetector stalls(start);
    stalls.recordTick(start + interval + 10ms);
    const auto now = start + 2 * interval + 20ms;
    BOOST_TEST((stalls.earliestEventTime(now) == now));
}

BOOST_AUTO_TEST_CASE(eventSeenBeforeTheOverdueTickCanBeAsOldAsTheLastTick)
{
    gateway::StallDetector stalls(start);
    stalls.recordTick(start + interval);
    BOOST_TEST((stalls.earliestEventTime(start + interval + 400ms) == start + interval));
}

BOOST_AUTO_TEST_CASE(eventSeenAfterTheOverdueTickCanBeAsOldAsTheTickBefore)
{
    gateway::StallDetector stalls(start);
    stalls.recordTick(start + interval);
    stalls.recordTick(start + interval + 400ms);
    BOOST_TEST((stalls.earliestEventTime(start + interval + 401ms) == start + interval));
}

BOOST_AUTO_TEST_CASE(stallEndsWithTheNextPunctualTick)
{
    gateway::StallDetector stalls(start);
    stalls.recordTick(start + 400ms);
    stalls.recordTick(start + 400ms + interval);
    const auto now = start + 410ms + interval;
    BOOST_TEST((stalls.earliestEventTime(now) == now));
}
