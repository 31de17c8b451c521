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
    unsigned from, const std::string& target, std::uint64_t index, health::Duration age, health::AttemptCounts counts)
{
    return { reporter(from), target, config::RequestKind::Idempotent, index, age, counts, {} };
}

health::PooledScore scoreOf(const health::PooledScores& scores, const std::string& target)
{
    for (const auto& it : scores.scores)
        if (it.target == target)
            return it;
    return {};
}

/// Twelve reporters over the last 4 s, with what each sees of a target per window.
template <typename Seen> std::vector<health::EvidenceWindow> fleetWindows(Seen seen)
{
    std::vector<health::EvidenceWindow> result;
    for (unsigned from = 0; from < 12; ++from)
        for (unsigned target = 0; target < 6; ++target)
            for (std::uint64_t index = 0; index < 8; ++index)
                result.push_back(
                    window(from, "t" + std::to_string(target), index, 4s - 500ms * index, seen(from, target)));
    return result;
}

constexpr health::AttemptCounts good { 1, 0, 0 };
constexpr health::AttemptCounts bad { 0, 0, 1 };

} // namespace

// Guards against evidence that counts twice, or differently, when messages are doubled, reordered, relayed or split.
BOOST_AUTO_TEST_CASE(scoresDoNotDependOnRepetitionOrderOrRelay)
{
    BOOST_TEST(rc::check("scores are independent of transport", [] {
        const auto cells = *rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned, unsigned, bool>>>(
            rc::gen::tuple(rc::gen::inRange(0U, 5U), rc::gen::inRange(0U, 6U), rc::gen::inRange(0U, 16U),
                rc::gen::inRange(1U, 4U), rc::gen::arbitrary<bool>()));
        std::map<std::tuple<unsigned, unsigned, unsigned>, health::EvidenceWindow> unique;
        for (const auto& [from, target, index, n, isBad] : cells)
            unique[{ from, target, index }] = window(from, "t" + std::to_string(target), index, 8s - 500ms * index,
                isBad ? health::AttemptCounts { 0, n, 0 } : health::AttemptCounts { n, 0, 0 });
        std::vector<health::EvidenceWindow> once;
        once.reserve(unique.size());
        for (const auto& [key, it] : unique)
            once.push_back(it);

        std::vector<health::EvidenceWindow> shuffled = once;
        shuffled.insert(shuffled.end(), once.begin(), once.end());
        for (auto it : once) { // The window when it was partly filled.
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

// Guards against stale reports, for example of an instance that was paused and resumed.
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

// Guards against one faulty instance that ejects a target for everybody.
BOOST_AUTO_TEST_CASE(oneReporterCannotReachTheEjectionThreshold)
{
    health::EvidencePool pool(makeService(), reporter(0));
    for (unsigned from = 1; from < 12; ++from)
        pool.merge({ window(from, "t1", 1, 1s, good) }, start);
    pool.merge({ window(0, "t0", 1, 1s, { 0, 0, 1000 }) }, start);
    const auto score = scoreOf(pool.evaluate(start), "t0").score;
    BOOST_TEST(score <= health::Settings {}.reporterCap);
    BOOST_TEST(score > 0);
}

// Guards against a path fault of one reporter that counts against the target.
BOOST_AUTO_TEST_CASE(reporterThatOthersRefuteIsExcludedForThatTarget)
{
    health::EvidencePool pool(makeService(), reporter(0));
    pool.merge(
        fleetWindows([](unsigned from, unsigned target) { return from == 3 && target == 2 ? bad : good; }), start);
    const auto& scores = pool.evaluate(start);
    BOOST_TEST(scoreOf(scores, "t2").score == 0.0);
    BOOST_TEST(scoreOf(scores, "t2").counts.slowOrBad() == 0u);
    BOOST_TEST(scores.ignored.empty());
    BOOST_TEST(pool.deviatingReporters().contains(reporter(3)));
}

// Guards against an instance with a bad network that brings several targets down.
BOOST_AUTO_TEST_CASE(reporterThatFindsSeveralTargetsBadIsIgnored)
{
    health::EvidencePool pool(makeService(), reporter(0));
    pool.merge(
        fleetWindows([](unsigned from, unsigned target) { return from == 3 && target < 3 ? bad : good; }), start);
    const auto& scores = pool.evaluate(start);
    BOOST_REQUIRE(scores.ignored.size() == 1u);
    BOOST_TEST(scores.ignored.front().instance == "i3");
}

// Guards against a one-way partition of a zone that is taken for a failure of the targets behind it.
BOOST_AUTO_TEST_CASE(zoneThatOtherZonesRefuteIsAPathFault)
{
    health::EvidencePool pool(makeService(), reporter(0));
    pool.merge(
        fleetWindows([](unsigned from, unsigned target) { return from % 3 == 1 && target == 2 ? bad : good; }), start);
    const auto score = scoreOf(pool.evaluate(start), "t2");
    BOOST_TEST(score.score == 0.0);
    BOOST_TEST(score.pathFaultZone == "z1");
    BOOST_TEST(score.pathFaultScore > 12.0);
}

// Guards against mass ejection when a whole service slows down under load.
BOOST_AUTO_TEST_CASE(slowdownOfTheWholeServiceIsNoEvidence)
{
    health::EvidencePool pool(makeService(), reporter(0));
    pool.merge(fleetWindows([](unsigned from, unsigned target) {
        return (from + target) % 2 ? health::AttemptCounts { 0, 1, 0 } : good;
    }),
        start);
    for (const auto& it : pool.evaluate(start).scores)
        BOOST_TEST(it.score < health::Settings {}.suspectScore);
}

// Guards against ejecting a healthy target in a load peak at a low rate, where the others' bad share is often seen as
// 0: four of a target's seven answers are slow while five of the others' 28 are, all of them from one other target.
BOOST_AUTO_TEST_CASE(loadPeakAtALowRateEjectsNoHealthyTarget)
{
    auto service = makeService();
    service.bias = 0.1;
    const health::Settings settings;
    const auto scoreWith = [&](unsigned othersBad, unsigned targetBad) {
        health::EvidencePool pool(service, reporter(0));
        for (unsigned from = 0; from < 7; ++from) {
            const auto seen = [&](bool isBad) { return isBad ? health::AttemptCounts { 0, 1, 0 } : good; };
            pool.merge({ window(from, "t0", from, 5s - 500ms * from, seen(from < targetBad)) }, start);
            pool.merge({ window(from, "t1", from, 5s - 500ms * from, seen(from < othersBad)) }, start);
            for (const auto* other : { "t2", "t3", "t4" })
                pool.merge({ window(from, other, from, 5s - 500ms * from, good) }, start);
        }
        return scoreOf(pool.evaluate(start), "t0").score;
    };
    BOOST_TEST(scoreWith(5, 4) < settings.suspectScore);
    // The same evidence still ejects a target that is bad throughout while the others are good.
    BOOST_TEST(scoreWith(0, 7) >= health::ejectScore(settings, service.bias));
}

// Guards against a gray target that hides in a service that is otherwise well.
BOOST_AUTO_TEST_CASE(targetThatAllReportersFindBadReachesTheThreshold)
{
    health::EvidencePool pool(makeService(), reporter(0));
    pool.merge(
        fleetWindows([](unsigned from, unsigned target) { return target == 2 && from % 3 ? bad : good; }), start);
    const auto& scores = pool.evaluate(start);
    BOOST_TEST(scores.scores.front().target == "t2");
    BOOST_TEST(scores.scores.front().score > 18.0);
    BOOST_TEST(scores.scores.front().reporters == 12u);
}

// Guards against ignoring a reporter because of one service alone.
BOOST_AUTO_TEST_CASE(selfCheckNeedsSeveralServices)
{
    const std::map<health::Reporter, std::set<std::string>> one { { reporter(1), { "t0" } },
        { reporter(2), { "t0" } } };
    const std::map<health::Reporter, std::set<std::string>> two { { reporter(2), { "u0" } } };
    BOOST_TEST(health::ReporterCheck::faultyReporters({ one }).empty());
    const auto faultyReporters = health::ReporterCheck::faultyReporters({ one, two });
    BOOST_REQUIRE(faultyReporters.size() == 1u);
    BOOST_TEST(faultyReporters.begin()->instance == "i2");
}
