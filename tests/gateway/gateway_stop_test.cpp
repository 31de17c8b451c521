#define BOOST_TEST_MODULE GatewayStop
#include <boost/test/unit_test.hpp>

#include "gateway_fleet.h"

#include <future>

using namespace buckthorncroft;
using namespace buckthorncroft::test;

// Guards against a graceful stop that aborts requests in flight, leaves the instance ready, or exceeds the grace
// period.
BOOST_FIXTURE_TEST_CASE(gracefulStopCompletesRequestsInFlight, Fleet)
{
    const Target slow(1500ms);
    configure("unsafe");
    listTarget("i-1", slow);
    start();
    BOOST_REQUIRE(waitForStatus(0, 200, startTimeout));
    auto response = std::async(std::launch::async, [this] { return send(0); });
    const auto startedAt = Clock::now();
    while (slow.requestCount() == 0 && Clock::now() - startedAt < startTimeout)
        std::this_thread::sleep_for(10ms);
    const auto stopRequestedAt = Clock::now();
    process(0).signal(SIGTERM);
    BOOST_TEST(waitForStatus(0, 503, 1s));
    BOOST_TEST(response.get() == 200u);
    BOOST_TEST(process(0).wait() == 0);
    BOOST_TEST((Clock::now() - stopRequestedAt < grace));
}

// Guards against requests that get no response during a planned stop under load: accepted before and after the signal,
// sent at once or a moment after the connection was established. The load balancer stops using the instance within 3 s.
BOOST_FIXTURE_TEST_CASE(stopUnderLoadAnswersEveryAcceptedRequest, Fleet)
{
    constexpr unsigned callerCount = 24;
    const Target target(150ms);
    configure("unsafe");
    listTarget("i-1", target);
    listTarget("i-2", target);
    startReady(2);
    std::atomic<bool> stopped { false };
    std::atomic<unsigned> unanswered { 0 };
    std::atomic<unsigned> answered { 0 };
    std::vector<std::thread> callers;
    for (unsigned n = 0; n < callerCount; ++n) {
        callers.emplace_back([&, n] {
            while (!stopped)
                ++(send(0, 20ms * (n % 8)) == 0 ? unanswered : answered);
        });
    }
    std::this_thread::sleep_for(500ms);
    process(0).signal(SIGTERM);
    std::this_thread::sleep_for(3s);
    stopped = true;
    for (auto& it : callers)
        it.join();
    BOOST_TEST(process(0).wait() == 0);
    BOOST_TEST(unanswered == 0u);
    BOOST_TEST(answered > 100u);
}

// Guards against requests that are accepted late in a planned stop and broken off at its end while their target works.
// The load balancer uses stopping instances when it has too few others.
BOOST_FIXTURE_TEST_CASE(requestsThatArriveLateInAStopAreRejected, Fleet)
{
    const Target slow(2800ms);
    configure("unsafe");
    listTarget("i-1", slow);
    startReady(1);
    process(0).signal(SIGTERM);
    std::this_thread::sleep_for(lastRequestBound);
    BOOST_TEST(send(0) == 503u);
    BOOST_TEST(slow.requestCount() == 0u);
    BOOST_TEST(process(0).wait() == 0);
}
