#define BOOST_TEST_MODULE EvidencePool
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/health/evidence_pool.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace buckthorncroft;
using namespace std::chrono_literals;

namespace {

const base::SteadyTime start { 1000h };

config::Service makeService()
{
    config::Service result;
    result.name = "service";
    result.bias = 1;
    for (unsigned it = 0; it < 6; ++it)
        result.targets.push_back({ "t" + std::to_string(it), "127.0.0.1", 0, "z" + std::to_string(it % 3) });
    return result;
}

health::Reporter reporter(unsigned n)
{
    return { "i" + std::to_string(n), "z" + std::to_string(n % 3), n + 1 };
}

health::EvidenceWindow window(
    unsigned sender, const std::string& target, std::uint64_t index, health::Duration age, health::AttemptCounts counts)
{
    return { reporter(sender), target, config::RequestKind::Idempotent, index, age, counts, {} };
}

health::PooledScore scoreOf(const health::PooledScores& scores, const std::string& target)
{
    for (const auto& it : scores.scores)
        if (it.target == target)
            return it;
    return {};
}

/// Windows of twelve reporters over the last 4 s. `countsFor` returns the counts of a sender and target per window.
template <typename CountsFor> std::vector<health::EvidenceWindow> fleetWindows(CountsFor countsFor)
{
    std::vector<health::EvidenceWindow> result;
    for (unsigned sender = 0; sender < 12; ++sender)
        for (unsigned target = 0; target < 6; ++target)
            for (std::uint64_t index = 0; index < 8; ++index)
                result.push_back(
                    window(sender, "t" + std::to_string(target), index, 4s - 500ms * index, countsFor(sender, target)));
    return result;
}

constexpr health::AttemptCounts good { 1, 0, 0 };
constexpr health::AttemptCounts bad { 0, 0, 1 };

} // namespace

// Guards against evidence that is counted twice or scored differently after messages were duplicated, reordered,
// relayed or split.
BOOST_AUTO_TEST_CASE(scoresDoNotDependOnRepetitionOrderOrRelay)
{
    BOOST_TEST(rc::check("scores are independent of transport", [] {
        const auto draws = *rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned, unsigned, bool>>>(
            rc::gen::tuple(rc::gen::inRange(0U, 5U), rc::gen::inRange(0U, 6U), rc::gen::inRange(0U, 16U),
                rc::gen::inRange(1U, 4U), rc::gen::arbitrary<bool>()));
        std::map<std::tuple<unsigned, unsigned, unsigned>, health::EvidenceWindow> unique;
        for (const auto& [sender, target, index, n, isBad] : draws)
            unique[{ sender, target, index }] = window(sender, "t" + std::to_string(target), index, 8s - 500ms * index,
                isBad ? health::AttemptCounts { 0, n, 0 } : health::AttemptCounts { n, 0, 0 });
        std::vector<health::EvidenceWindow> once;
        once.reserve(unique.size());
        for (const auto& [key, it] : unique)
            once.push_back(it);

        std::vector<health::EvidenceWindow> shuffled = once;
        shuffled.insert(shuffled.end(), once.begin(), once.end());
        for (auto it : once) { // An earlier state of the window, partly filled.
            it.counts.good /= 2;
            it.counts.slow /= 2;
            shuffled.push_back(it);
        }
        std::mt19937 random(*rc::gen::arbitrary<unsigned>());
        std::shuffle(shuffled.begin(), shuffled.end(), random);

        health::EvidencePool direct(makeService(), reporter(0));
        health::EvidencePool other(makeService(), reporter(0));
        health::EvidencePool relayed(makeService(), reporter(0));
        direct.merge(once, start);
        other.merge(shuffled, start);
        other.merge(direct.windowsToRelay(start, start, 10000), start);
        relayed.merge(other.windowsToRelay(start, start, 10000), start);
        const auto expected = direct.evaluate(start);
        for (auto* pool : { &other, &relayed })
            for (const auto& it : expected.scores) {
                RC_ASSERT(scoreOf(pool->evaluate(start), it.target).score == it.score);
                RC_ASSERT(scoreOf(pool->evaluate(start), it.target).counts == it.counts);
            }
    }));
}

// Guards against stale evidence, for example from an instance that was paused and resumed.
BOOST_AUTO_TEST_CASE(oldAndUnknownEvidenceIsDropped)
{
    health::EvidencePool pool(makeService(), reporter(0));
    BOOST_TEST(pool.merge({ window(1, "t0", 1, 10001ms, bad) }, start) == 0u);
    BOOST_TEST(pool.merge({ window(1, "t0", 1, -1ms, bad) }, start) == 0u);
    BOOST_TEST(pool.merge({ window(1, "t9", 1, 1s, bad) }, start) == 0u);
    BOOST_TEST(pool.merge({ window(1, "t0", 1, 1s, bad) }, start) == 1u);
    BOOST_TEST(pool.evaluate(start).scores.size() == 1u);
    BOOST_TEST(pool.windowsToRelay(start, start + 11s, 10).empty());
}

// Guards against one faulty instance that causes all instances to eject a target.
BOOST_AUTO_TEST_CASE(oneReporterCannotReachTheEjectionThreshold)
{
    health::EvidencePool pool(makeService(), reporter(0));
    for (unsigned sender = 1; sender < 12; ++sender)
        pool.merge({ window(sender, "t1", 1, 1s, good) }, start);
    pool.merge({ window(0, "t0", 1, 1s, { 0, 0, 1000 }) }, start);
    const auto score = scoreOf(pool.evaluate(start), "t0").score;
    BOOST_TEST(score <= health::Settings {}.maxReporterScore);
    BOOST_TEST(score > 0);
}

// Guards against a fault on the path of one reporter that counts as evidence against the target.
BOOST_AUTO_TEST_CASE(reporterThatOthersRefuteIsExcludedForThatTarget)
{
    health::EvidencePool pool(makeService(), reporter(0));
    pool.merge(
        fleetWindows([](unsigned sender, unsigned target) { return sender == 3 && target == 2 ? bad : good; }), start);
    const auto& scores = pool.evaluate(start);
    BOOST_TEST(scoreOf(scores, "t2").score == 0.0);
    BOOST_TEST(scoreOf(scores, "t2").counts.slowOrBad() == 0u);
    BOOST_TEST(scores.ignored.empty());
    BOOST_TEST(pool.deviatingReporters().contains(reporter(3)));
}

// Guards against an instance with a faulty network that causes the ejection of several targets.
BOOST_AUTO_TEST_CASE(reporterThatDeviatesForSeveralTargetsIsIgnored)
{
    health::EvidencePool pool(makeService(), reporter(0));
    pool.merge(
        fleetWindows([](unsigned sender, unsigned target) { return sender == 3 && target < 3 ? bad : good; }), start);
    const auto& scores = pool.evaluate(start);
    BOOST_REQUIRE(scores.ignored.size() == 1u);
    BOOST_TEST(scores.ignored.front().instance == "i3");
}

// Guards against a one-way partition of an availability zone that is treated as a failure of the targets behind it.
BOOST_AUTO_TEST_CASE(zoneThatOtherZonesRefuteIsAPathFault)
{
    health::EvidencePool pool(makeService(), reporter(0));
    pool.merge(
        fleetWindows([](unsigned sender, unsigned target) { return sender % 3 == 1 && target == 2 ? bad : good; }),
        start);
    const auto score = scoreOf(pool.evaluate(start), "t2");
    BOOST_TEST(score.score == 0.0);
    BOOST_TEST(score.pathFaultZone == "z1");
    BOOST_TEST(score.pathFaultScore > 12.0);
}

// Guards against ejecting many targets when a whole service slows down under load.
BOOST_AUTO_TEST_CASE(slowdownOfTheWholeServiceIsNoEvidence)
{
    health::EvidencePool pool(makeService(), reporter(0));
    pool.merge(fleetWindows([](unsigned sender, unsigned target) {
        return (sender + target) % 2 ? health::AttemptCounts { 0, 1, 0 } : good;
    }),
        start);
    for (const auto& it : pool.evaluate(start).scores)
        BOOST_TEST(it.score < health::Settings {}.suspectScore);
}

// Guards against ejecting a healthy target in a load peak at a low request rate, where the failure fraction of the
// others is often measured as 0. Here four of a target's seven responses are slow, and five of the others' 28, all of
// them from one other target.
BOOST_AUTO_TEST_CASE(loadPeakAtALowRequestRateEjectsNoHealthyTarget)
{
    auto service = makeService();
    service.bias = 0.1;
    const health::Settings settings;
    const auto scoreWith = [&](unsigned othersBad, unsigned targetBad) {
        health::EvidencePool pool(service, reporter(0));
        for (unsigned sender = 0; sender < 7; ++sender) {
            const auto countsFor = [&](bool isBad) { return isBad ? health::AttemptCounts { 0, 1, 0 } : good; };
            pool.merge({ window(sender, "t0", sender, 5s - 500ms * sender, countsFor(sender < targetBad)) }, start);
            pool.merge({ window(sender, "t1", sender, 5s - 500ms * sender, countsFor(sender < othersBad)) }, start);
            for (const auto* other : { "t2", "t3", "t4" })
                pool.merge({ window(sender, other, sender, 5s - 500ms * sender, good) }, start);
        }
        return scoreOf(pool.evaluate(start), "t0").score;
    };
    BOOST_TEST(scoreWith(5, 4) < settings.suspectScore);
    // A target that is slow in all windows while the others are good still reaches the ejection threshold.
    BOOST_TEST(scoreWith(0, 7) >= health::ejectScore(settings, service.bias));
}

// Guards against a degraded target that is not detected in an otherwise healthy service.
BOOST_AUTO_TEST_CASE(targetThatFailsForAllReportersReachesTheThreshold)
{
    health::EvidencePool pool(makeService(), reporter(0));
    pool.merge(
        fleetWindows([](unsigned sender, unsigned target) { return target == 2 && sender % 3 ? bad : good; }), start);
    const auto& scores = pool.evaluate(start);
    BOOST_TEST(scores.scores.front().target == "t2");
    BOOST_TEST(scores.scores.front().score > 18.0);
    BOOST_TEST(scores.scores.front().reporters == 12u);
}

// Guards against ignoring a reporter because of a single service.
BOOST_AUTO_TEST_CASE(reporterCheckRequiresSeveralServices)
{
    const std::map<health::Reporter, std::set<std::string>> one { { reporter(1), { "t0" } },
        { reporter(2), { "t0" } } };
    const std::map<health::Reporter, std::set<std::string>> two { { reporter(2), { "u0" } } };
    BOOST_TEST(health::ReporterCheck::faultyReporters({ one }).empty());
    const auto faultyReporters = health::ReporterCheck::faultyReporters({ one, two });
    BOOST_REQUIRE(faultyReporters.size() == 1u);
    BOOST_TEST(faultyReporters.begin()->instance == "i2");
}
