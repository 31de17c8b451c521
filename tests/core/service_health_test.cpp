#define BOOST_TEST_MODULE ServiceHealth
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/health/service_health.h>

#include <algorithm>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using health::Stage;
using health::Verdict;

namespace {

constexpr auto reading = config::RequestKind::Idempotent;
constexpr auto booking = config::RequestKind::NonIdempotent;
constexpr auto bookingIndex = static_cast<std::size_t>(booking);

config::Service makeService()
{
    config::Service result;
    result.name = "bookdesk";
    result.bias = 1;
    result.floorFraction = 0.5;
    result.coldStart = 5s;
    result.routes.push_back({ "read", "/", {}, reading });
    result.routes.push_back({ "book", "/bookings", {}, booking });
    for (unsigned it = 0; it < 6; ++it)
        result.targets.push_back({ "t" + std::to_string(it), "127.0.0.1", 0, "z0" });
    return result;
}

struct Fixture {
    config::Service service = makeService();
    base::SteadyTime now { 1000h };
    health::ServiceHealth health { service, { "i0", "z0", 1 }, now };
    std::vector<health::StageChange> changes;

    void send(std::size_t target, Verdict verdict, unsigned n = 1, config::RequestKind kind = reading,
        health::Duration latency = 20ms)
    {
        now += 20ms; // Attempts take time; without this step they would start before the current stage.
        for (unsigned it = 0; it < n; ++it)
            health.observe({ target, kind, verdict, latency, 1s, now });
    }

    void tick(health::Duration step = 500ms)
    {
        now += step;
        const auto more = health.tick(now);
        changes.insert(changes.end(), more.begin(), more.end());
    }

    /// Ticks until the target reaches the stage, for at most `limit`. Returns the elapsed time.
    health::Duration waitFor(std::size_t target, Stage stage, health::Duration limit)
    {
        const auto from = now;
        while (stageOf(target) != stage && now - from < limit)
            tick();
        BOOST_TEST(health::toString(stageOf(target)) == health::toString(stage));
        return std::chrono::duration_cast<health::Duration>(now - from);
    }

    Stage stageOf(std::size_t target) const { return health.views(now)[target].stage; }

    void mergeScores(std::vector<health::PooledScore> scores, std::vector<health::Reporter> ignored = {})
    {
        health.mergePooledScores({ { "c", "z0", 7 }, ++sequence, std::move(scores), std::move(ignored) }, 0ms, now);
    }

    std::uint64_t sequence = 0;
};

health::PooledScore pooledScore(const std::string& target, double score, std::uint32_t good)
{
    health::PooledScore result;
    result.target = target;
    result.score = score;
    result.reporters = 5;
    result.counts.good = good;
    return result;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(stages, Fixture)

// Guards against hanging targets that are detected only when their requests time out.
BOOST_AUTO_TEST_CASE(pendingAttemptsRevealAHangingTarget)
{
    BOOST_TEST(!health.slowLimit(0, reading).has_value());
    BOOST_TEST(!health.countPendingAsSlow(0, reading, 10s, now));
    for (unsigned it = 0; it < 60; ++it)
        send(it % 6, Verdict::Good, 1, reading, 20ms + 100us * (it % 30));
    tick();
    const auto limit = health.slowLimit(0, reading);
    BOOST_REQUIRE(limit.has_value());
    BOOST_TEST(!health.countPendingAsSlow(0, reading, *limit - 1us, now));
    for (unsigned it = 0; it < 5; ++it)
        BOOST_TEST(health.countPendingAsSlow(0, reading, *limit, now));
    BOOST_TEST(health.hasUrgentEvidence());
    tick(100ms);
    BOOST_TEST((stageOf(0) == Stage::Ejected));
    const auto before = health.explain()[0].own[0];
    health.observe({ 0, reading, Verdict::TimedOut, 1s, 1s, now, true });
    tick(100ms);
    BOOST_TEST(health.explain()[0].own[0] <= before);
}

// Guards against traffic that returns at full rate, or not at all, after an ejection.
BOOST_AUTO_TEST_CASE(ejectedTargetReturnsThroughTrialAndRampUp)
{
    send(0, Verdict::Error, 5);
    tick();
    BOOST_TEST((stageOf(0) == Stage::Ejected));
    BOOST_TEST(health.views(now)[0].weight == 0.0);
    BOOST_TEST((waitFor(0, Stage::Trial, 30s) >= 4500ms));
    tick(60s);
    BOOST_TEST((stageOf(0) == Stage::Trial));
    send(0, Verdict::Good, 3);
    tick();
    BOOST_TEST((stageOf(0) == Stage::RampUp));
    BOOST_TEST(health.views(now)[0].weight < 0.1);
    tick(5s);
    BOOST_TEST(health.views(now)[0].weight > 0.4);
    waitFor(0, Stage::Healthy, 10s);
}

// Guards against traffic that oscillates with a flapping target: each ejection is longer than the last one, and only
// healthy time shortens the next one.
BOOST_AUTO_TEST_CASE(repeatedEjectionsGetLongerAndHealthyTimeShortensThem)
{
    health::Duration last { 0 };
    for (unsigned round = 0; round < 4; ++round) {
        send(0, Verdict::Error, 5);
        tick();
        const auto length = waitFor(0, Stage::Trial, 400s);
        BOOST_TEST((length >= 2 * last - 1s));
        last = length;
        send(0, Verdict::Good, 3);
        tick();
    }
    BOOST_TEST(health.explain()[0].ejections == 4u);
    waitFor(0, Stage::Healthy, 20s);
    tick(300s);
    BOOST_TEST(health.explain()[0].ejections == 3u);
}

// Guards against a trial that ignores a bad response, or that counts an attempt that started before the trial.
BOOST_AUTO_TEST_CASE(trialFailsOnABadResponse)
{
    send(0, Verdict::Error, 5);
    tick();
    waitFor(0, Stage::Trial, 30s);
    send(0, Verdict::Good, 3, reading, 10s);
    tick();
    BOOST_TEST((stageOf(0) == Stage::Trial));
    send(0, Verdict::Good, 2);
    send(0, Verdict::Mismatched);
    tick();
    BOOST_TEST((stageOf(0) == Stage::Ejected));
    BOOST_TEST((changes.back().reason == health::StageChangeReason::TrialFailed));
}

// Guards against a target that fails only non-idempotent requests and receives all of them again because its idempotent
// requests succeed.
BOOST_AUTO_TEST_CASE(readsDoNotProveBookings)
{
    send(0, Verdict::Good, 50);
    send(0, Verdict::Error, 2, booking);
    tick();
    BOOST_TEST((stageOf(0) == Stage::Suspect));
    BOOST_TEST(health.views(now)[0].suspectFor[bookingIndex]);
    BOOST_TEST(!health.views(now)[0].suspectFor[0]);
    BOOST_TEST(health.views(now)[0].weightFor[0] == 1.0);
    send(0, Verdict::Error, 3, booking);
    tick();
    waitFor(0, Stage::Trial, 30s);
    send(0, Verdict::Good, 3);
    waitFor(0, Stage::Healthy, 30s);
    const auto view = health.views(now)[0];
    BOOST_TEST(view.weightFor[0] == 1.0);
    BOOST_TEST(view.weightFor[bookingIndex] > 0.0);
    BOOST_TEST(view.weightFor[bookingIndex] < 0.25);
    tick(60s);
    BOOST_TEST(health.views(now)[0].weightFor[bookingIndex] == 1.0);
}

// Guards against non-idempotent requests to a target that is suspect for idempotent ones.
BOOST_AUTO_TEST_CASE(suspectTargetLosesNonIdempotentRequestsFirst)
{
    send(0, Verdict::Error, 2);
    tick();
    BOOST_TEST((stageOf(0) == Stage::Suspect));
    const auto view = health.views(now)[0];
    BOOST_TEST(view.suspectFor[bookingIndex]);
    BOOST_TEST(view.weightFor[bookingIndex] == 0.0);
    BOOST_TEST(view.weightFor[0] > 0.0);
    BOOST_TEST(health.countInService() == 6u);
    tick(6s);
    BOOST_TEST(health.views(now)[0].weightFor[0] < 0.5);
}

// Guards against an instance with a path fault that ejects a target which other instances observe as good.
BOOST_AUTO_TEST_CASE(ownEvidenceThatOthersRefuteAvoidsThePathOnly)
{
    send(0, Verdict::ConnectFailed, 20);
    send(1, Verdict::ConnectFailed, 20);
    mergeScores({ pooledScore("t0", 0, 100) }, {});
    tick(100ms);
    BOOST_TEST((stageOf(0) == Stage::Suspect));
    BOOST_TEST(health.views(now)[0].avoidLocally);
    BOOST_TEST((stageOf(1) == Stage::Ejected));
}

// Guards against an instance that `ReporterCheck` reported as faulty and that still ejects targets by its own evidence.
BOOST_AUTO_TEST_CASE(ignoredReporterAvoidsLocallyInsteadOfEjecting)
{
    send(0, Verdict::TimedOut, 20);
    mergeScores({}, { { "i0", "z0", 1 } });
    tick(100ms);
    BOOST_TEST((stageOf(0) != Stage::Ejected));
    BOOST_TEST(health.views(now)[0].avoidLocally);
}

// Guards against the use of pooled scores that are stale, repeated or out of order.
BOOST_AUTO_TEST_CASE(stalePooledScoresAreNotUsed)
{
    const health::Reporter coordinator { "c", "z0", 7 };
    health.mergePooledScores({ coordinator, 5, { pooledScore("t0", 0, 0) }, {} }, 0ms, now);
    health.mergePooledScores({ coordinator, 4, { pooledScore("t0", 30, 0) }, {} }, 0ms, now);
    health.mergePooledScores({ { "d", "z1", 8 }, 1, { pooledScore("t1", 30, 0) }, {} }, 4s, now);
    tick();
    BOOST_TEST(changes.empty());
    mergeScores({ pooledScore("t0", 30, 0) });
    sequence = 5;
    mergeScores({ pooledScore("t0", 30, 0) });
    tick();
    BOOST_TEST((stageOf(0) == Stage::Ejected));
}

// Guards against health and load endpoints that cause an ejection or that clear a suspect target.
BOOST_AUTO_TEST_CASE(endpointsOnlyAddSuspicion)
{
    for (unsigned it = 0; it < 20; ++it) {
        health.recordEndpointFailure(0, now);
        tick(1s);
    }
    BOOST_TEST((stageOf(0) == Stage::Suspect));
    BOOST_TEST((changes.front().reason == health::StageChangeReason::Endpoint));
    BOOST_TEST(health.views(now)[0].weightFor[bookingIndex] == 0.0);
    waitFor(0, Stage::Healthy, 60s);
}

// Guards against failures in a cold start that count as evidence, and against repeated restarts that hide a failing
// target.
BOOST_AUTO_TEST_CASE(coldStartIsNoEvidenceButOnlyOnce)
{
    health.handleTargetStart(0, now);
    send(0, Verdict::TimedOut, 20);
    tick();
    BOOST_TEST((stageOf(0) == Stage::RampUp));
    waitFor(0, Stage::Healthy, 10s);
    BOOST_TEST(health.handleTargetStart(0, now).empty());
    send(0, Verdict::TimedOut, 20);
    tick();
    BOOST_TEST((stageOf(0) == Stage::Ejected));
}

// Guards against a restarted instance that sends requests to targets which its peers have ejected.
BOOST_AUTO_TEST_CASE(newInstanceAdoptsEjectionsOfMostPeers)
{
    health.mergePeerEjections("i1", { { "t0", 14 }, { "t1", 14 } }, now);
    health.mergePeerEjections("i2", { { "t0", 14 } }, now);
    health.mergePeerEjections("i3", {}, now);
    tick();
    BOOST_TEST((stageOf(0) == Stage::Ejected));
    BOOST_TEST((stageOf(1) == Stage::Healthy));
}

// Guards against ejections that violate the floor, and against floor decisions that are missing in the decision log.
BOOST_AUTO_TEST_CASE(floorKeepsTargetsWithTheLowestScoresAndReportsIt)
{
    for (std::size_t it = 0; it < 6; ++it)
        mergeScores(
            { pooledScore("t0", 15, 0), pooledScore("t1", 13, 0), pooledScore("t2", 20, 0), pooledScore("t3", 16, 0) });
    tick();
    BOOST_TEST(health.countInService() == 3u);
    BOOST_TEST((stageOf(1) == Stage::Suspect));
    const auto heldCount = std::count_if(changes.begin(), changes.end(), [](const auto& it) { return it.heldByFloor; });
    BOOST_TEST(heldCount == 1);
    BOOST_TEST(health.explain()[1].heldByFloor);
    const auto readmitted = health.setDown(5, true, now);
    BOOST_REQUIRE(readmitted.size() == 1u);
    BOOST_TEST(readmitted[0].target == "t0");
    BOOST_TEST((readmitted[0].reason == health::StageChangeReason::Floor));
    BOOST_TEST(health.countInService() == 3u);
}

// Guards against a drain that ends although another source still reports it, and against state that a configuration
// change discards.
BOOST_AUTO_TEST_CASE(reconfigurationKeepsStateByTargetId)
{
    send(2, Verdict::Error, 5);
    tick();
    health.setDraining(3, true, health::DrainSource::Peer, now);
    service.targets.erase(service.targets.begin());
    service.targets[2].draining = true;
    health.reconfigure(service, now);
    BOOST_TEST((stageOf(1) == Stage::Ejected));
    BOOST_TEST(health.views(now)[2].draining);
    health.setDraining(2, false, health::DrainSource::Peer, now);
    BOOST_TEST(health.views(now)[2].draining);
    service.targets[2].draining = false;
    health.reconfigure(service, now);
    BOOST_TEST(!health.views(now)[2].draining);
}

// Guards against reports of unbounded size, and against reports that omit the windows with the most failures.
BOOST_AUTO_TEST_CASE(reportIsBoundedAndMostSuspiciousFirst)
{
    for (std::size_t it = 0; it < 6; ++it)
        send(it, it == 4 ? Verdict::Error : Verdict::Good);
    const auto first = health.takeReport(now, 2);
    BOOST_REQUIRE(first.size() == 2u);
    BOOST_TEST(first.front().target == "t4");
    BOOST_TEST(health.takeReport(now, 100).size() == 4u);
    BOOST_TEST(health.takeReport(now, 100).empty());
}

BOOST_AUTO_TEST_SUITE_END()
