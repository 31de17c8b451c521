#define BOOST_TEST_MODULE TargetRisk
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/health/target_risk.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using health::TargetRisk;
using health::Verdict;

namespace {

struct Fixture {
    double now() const { return risk.failureProbability(clock.now()); }

    base::ManualClock clock;
    TargetRisk risk;
};

} // namespace

// Guards against sending on to a target that has just lost a connection.
BOOST_FIXTURE_TEST_CASE(oneLostAnswerMakesATargetRisky, Fixture)
{
    risk.observe(Verdict::Truncated, clock.now(), clock.now());
    BOOST_TEST(now() > 0.8);
    BOOST_TEST(risk.isUnproven());
}

// Guards against avoiding a target for ever, or after it has proved itself.
BOOST_FIXTURE_TEST_CASE(riskFadesWithTimeAndWithGoodAnswers, Fixture)
{
    risk.observe(Verdict::Truncated, clock.now(), clock.now());
    clock.advance(10s);
    BOOST_TEST(now() < 0.05);
    risk.observe(Verdict::Truncated, clock.now(), clock.now());
    for (int n = 0; n < 3; ++n)
        risk.observe(Verdict::Good, clock.now(), clock.now());
    BOOST_TEST(now() < 0.05);
    BOOST_TEST(!risk.isUnproven());
}

// Guards against a flapping target that is trusted again as quickly each time.
BOOST_FIXTURE_TEST_CASE(repeatedFailuresFadeMoreSlowly, Fixture)
{
    TargetRisk once;
    once.observe(Verdict::TimedOut, clock.now(), clock.now());
    for (int n = 0; n < 4; ++n)
        risk.observe(Verdict::TimedOut, clock.now(), clock.now());
    clock.advance(4s);
    BOOST_TEST(now() > 1.5 * once.failureProbability(clock.now()));
}

// Guards against judging a target by attempts that this side gave up, or that it announced it would not serve.
BOOST_FIXTURE_TEST_CASE(cancelledAttemptsAreNoEvidence, Fixture)
{
    risk.observe(Verdict::Cancelled, clock.now(), clock.now());
    risk.observe(Verdict::Draining, clock.now(), clock.now());
    BOOST_TEST(now() == 0);
}

// Guards against treating one stated failure, which healthy targets have too, like a lost connection.
BOOST_FIXTURE_TEST_CASE(statedFailureWeighsLess, Fixture)
{
    risk.observe(Verdict::Error, clock.now(), clock.now());
    BOOST_TEST(now() < 0.5);
    BOOST_TEST(!risk.isUnproven());
    risk.observe(Verdict::Error, clock.now(), clock.now());
    BOOST_TEST(now() > 0.8);
}

// Guards against a pause of trials at targets that refuse some requests, which costs nothing; seen on a played day as
// 550 refused bookings while all 13 targets refused half of their requests.
BOOST_FIXTURE_TEST_CASE(refusalIsNoFailure, Fixture)
{
    risk.observe(Verdict::Shed, clock.now(), clock.now());
    BOOST_TEST(now() > 0.2);
    BOOST_TEST(!risk.isUnproven());
    BOOST_TEST(risk.failureCount() == 0u);
}

// Guards against one pause for each request of a group that a target resets together.
BOOST_FIXTURE_TEST_CASE(failuresThatComeTogetherCountOnce, Fixture)
{
    for (int n = 0; n < 3; ++n)
        risk.observe(Verdict::Truncated, clock.now(), clock.now());
    BOOST_TEST(risk.failureCount() == 1u);
    clock.advance(1s);
    risk.observe(Verdict::Truncated, clock.now(), clock.now());
    BOOST_TEST(risk.failureCount() == 2u);
    risk.observe(Verdict::Good, clock.now(), clock.now());
    BOOST_TEST(risk.failureCount() == 0u);
}

// Guards against a failing target that counts as recovered when it completes the requests that it took before it
// failed; seen on a played day as a second lost request 0.13 s after the first.
BOOST_FIXTURE_TEST_CASE(answerToAnEarlierRequestIsNoRecovery, Fixture)
{
    const auto earlier = clock.now();
    clock.advance(100ms);
    const auto failing = clock.now();
    clock.advance(2ms);
    risk.observe(Verdict::Truncated, failing, clock.now());
    clock.advance(50ms);
    risk.observe(Verdict::Good, earlier, clock.now());
    BOOST_TEST(risk.isUnproven());
    BOOST_TEST(now() > 0.8);
    risk.observe(Verdict::Good, failing + 50ms, clock.now());
    BOOST_TEST(!risk.isUnproven());
}
