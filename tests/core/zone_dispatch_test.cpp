#define BOOST_TEST_MODULE ZoneDispatch
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <buckthorncroft/routing/dispatch_point.h>
#include <cmath>
#include <functional>
#include <map>
#include <numbers>
#include <numeric>
#include <queue>
#include <set>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using config::RequestKind;
using health::Verdict;
using routing::ZonePlacement;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

namespace {

using Targets = std::map<std::string, membership::DirectoryEntry>;

std::string zoneName(unsigned zone)
{
    return "z" + std::to_string(zone);
}

Targets makeTargets(const std::vector<unsigned>& perZone, base::SteadyTime now, unsigned slots = 4)
{
    Targets result;
    for (unsigned zone = 0; zone < perZone.size(); ++zone) {
        for (unsigned n = 0; n < perZone[zone]; ++n) {
            membership::DirectoryEntry entry;
            entry.record.id = zoneName(zone) + "-t" + std::to_string(n);
            entry.record.zone = zoneName(zone);
            entry.record.slots = slots;
            entry.record.startedAtUnixMs = 1;
            entry.firstSeenAt = entry.coldUntil = now;
            result[entry.record.id] = entry;
        }
    }
    return result;
}

/// Simulates callers and targets of one service in several zones, in virtual time and with a fixed seed.
struct ZoneSimulation {
    struct Event {
        base::SteadyTime at;
        std::uint64_t number = 0;
        std::function<void()> run;
        bool operator<(const Event& other) const { return std::pair(at, number) > std::pair(other.at, other.number); }
    };
    struct Sent {
        unsigned zone = 0;
        unsigned instance = 0;
        base::SteadyTime at;
    };
    struct ZoneResult {
        int arrivals = 0;
        int served = 0;
        int refused = 0;
        int failed = 0;
        std::vector<double> waits; ///< Seconds from the request to the grant.
        std::vector<double> latencies; ///< Seconds from the request to the good response.

        static double mean(const std::vector<double>& values)
        {
            const double sum = std::accumulate(values.begin(), values.end(), 0.0);
            return values.empty() ? 0 : sum / static_cast<double>(values.size());
        }
        double meanWait() const { return mean(waits); }
        double meanLatency() const { return mean(latencies); }
        /// Percentile of the response time, in seconds.
        double p99() const
        {
            auto sorted = latencies;
            std::sort(sorted.begin(), sorted.end());
            return sorted.empty() ? 0 : sorted[sorted.size() * 99 / 100];
        }
    };

    ZoneSimulation(const std::vector<unsigned>& targetsPerZone, std::function<double(unsigned, Seconds)> demand)
        : targets(makeTargets(targetsPerZone, clock.now()))
        , rate(std::move(demand))
        , results(targetsPerZone.size())
    {
        point.setTargets(targets, clock.now());
        start = clock.now();
    }

    void schedule(base::SteadyTime at, std::function<void()> action)
    {
        events.push({ at, ++eventCount, std::move(action) });
    }

    /// Thins a Poisson process of the maximum rate to the rate of the zone at that time.
    void scheduleArrival(unsigned zone)
    {
        const Seconds gap(std::exponential_distribution<double>(maxRate)(random));
        const auto at = clock.now() + std::chrono::duration_cast<base::SteadyTime::duration>(gap);
        if (at >= end)
            return;
        schedule(at, [this, zone] {
            const double share = rate(zone, Seconds(clock.now() - start)) / maxRate;
            if (std::bernoulli_distribution(std::clamp(share, 0.0, 1.0))(random))
                send(zone);
            scheduleArrival(zone);
        });
    }

    void send(unsigned zone)
    {
        routing::DispatchRequest request;
        const unsigned instance = zone * instancesPerZone + static_cast<unsigned>(random() % instancesPerZone);
        request.key = { "i" + std::to_string(instance), ++requestCount };
        request.zone = zoneName(zone);
        request.kind = kind;
        request.objectiveDeadline = clock.now() + 2500ms;
        request.deadline = clock.now() + 6000ms;
        request.requestBytes = requestBytes;
        request.responseBytes = responseBytes;
        request.connectedTargets.assign(connections[instance].begin(), connections[instance].end());
        sent[request.key.request] = { zone, instance, clock.now() };
        ++results[zone].arrivals;
        point.requestSlot(request, clock.now());
    }

    bool isFailing(const std::string& target, Seconds ago = Seconds(0)) const
    {
        if (failingFraction <= 0)
            return false;
        const auto period = static_cast<std::size_t>((Seconds(clock.now() - start) - ago).count() / 4);
        return static_cast<double>(std::hash<std::string> {}(target + std::to_string(period * 7919)) % 1000)
            < failingFraction * 1000;
    }

    void takeDecisions()
    {
        for (const auto& it : point.takeDecisions()) {
            const auto request = sent.at(it.key.request);
            auto& result = results[request.zone];
            if (!it.grant) {
                ++result.refused;
                continue;
            }
            const auto& zone = targets.at(it.target).record.zone;
            if (zone != zoneName(request.zone)) {
                crossings[it.placement]++;
                crossingBytes += requestBytes + responseBytes;
                lastCrossingAt[request.zone] = clock.now();
                ++crossingsPerSecond[request.zone][static_cast<int>(Seconds(clock.now() - start).count())];
                ++taken[zone];
            }
            lastGrantAt[it.target] = clock.now();
            result.waits.push_back(Seconds(clock.now() - request.at).count());
            connections[request.instance].insert(it.target);
            const bool fails = isFailing(it.target) && std::bernoulli_distribution(0.85)(random);
            const auto latency = fails
                ? std::chrono::microseconds(5000)
                : std::chrono::microseconds(std::uniform_int_distribution<int>(220'000, 420'000)(random));
            schedule(clock.now() + latency, [this, it, request, latency, fails] {
                auto& ended = results[request.zone];
                ++(fails ? ended.failed : ended.served);
                if (!fails)
                    ended.latencies.push_back(Seconds(clock.now() - request.at).count());
                point.recordOutcome(
                    { it.key.instance, it.grant, it.target, kind, fails ? Verdict::Truncated : Verdict::Good, latency },
                    clock.now());
            });
        }
    }

    void scheduleTick()
    {
        schedule(clock.now() + 50ms, [this] {
            point.tick(clock.now());
            updateCoverage();
            if (clock.now() < end)
                scheduleTick();
        });
    }

    void updateCoverage()
    {
        unsigned sound = 0;
        unsigned covered = 0;
        for (const auto& [id, entry] : targets) {
            if (isFailing(id) || isFailing(id, Seconds(4)))
                continue;
            ++sound;
            covered += clock.now() - lastGrantAt[id] < 2s;
        }
        if (clock.now() - start > 4s && sound > 0)
            lowestCoverage = std::min(lowestCoverage, covered / static_cast<double>(sound));
    }

    void run(std::chrono::seconds length)
    {
        end = clock.now() + length;
        for (unsigned zone = 0; zone < results.size(); ++zone)
            scheduleArrival(zone);
        scheduleTick();
        while (!events.empty()) {
            const auto event = events.top();
            events.pop();
            clock.advance(event.at - clock.now());
            event.run();
            takeDecisions();
        }
    }

    int crossingCount() const
    {
        int sum = 0;
        for (const auto& [reason, n] : crossings)
            sum += n;
        return sum;
    }

    int arrivals() const
    {
        int sum = 0;
        for (const auto& it : results)
            sum += it.arrivals;
        return sum;
    }

    std::string describe() const
    {
        std::string text = "crossing " + std::to_string(crossingCount()) + " of " + std::to_string(arrivals()) + ", "
            + std::to_string(crossingBytes / 1000) + " kB, lowest coverage " + std::to_string(lowestCoverage) + ";";
        for (const auto& [reason, n] : crossings)
            text += std::string(" ") + routing::toString(reason) + "=" + std::to_string(n);
        for (const auto& it : results)
            text += "; arrivals " + std::to_string(it.arrivals) + " failed " + std::to_string(it.failed) + " refused "
                + std::to_string(it.refused) + " mean wait " + std::to_string(it.meanWait()) + " p99 "
                + std::to_string(it.p99());
        return text;
    }

    static constexpr unsigned instancesPerZone = 6;
    static constexpr double maxRate = 200;

    base::ManualClock clock;
    routing::DispatchPoint point { {}, 1 };
    Targets targets;
    std::function<double(unsigned, Seconds)> rate;
    RequestKind kind = RequestKind::Upload;
    std::uint32_t requestBytes = 60'000;
    std::uint32_t responseBytes = 200;
    double failingFraction = 0;
    std::mt19937_64 random { 7 };
    std::priority_queue<Event> events;
    std::uint64_t eventCount = 0;
    std::uint64_t requestCount = 0;
    base::SteadyTime start;
    base::SteadyTime end;
    std::map<std::uint64_t, Sent> sent;
    std::map<unsigned, std::set<std::string>> connections;
    std::map<ZonePlacement, int> crossings;
    std::uint64_t crossingBytes = 0;
    std::map<unsigned, base::SteadyTime> lastCrossingAt;
    std::map<unsigned, std::map<int, int>> crossingsPerSecond;
    std::map<std::string, int> taken;
    std::map<std::string, base::SteadyTime> lastGrantAt;
    double lowestCoverage = 1; ///< Of the sound targets, the fraction that had a request within 2 s.
    std::vector<ZoneResult> results;
};

std::function<double(unsigned, Seconds)> constantDemand(const std::vector<double>& perZone)
{
    return [perZone](unsigned zone, Seconds) { return perZone[zone]; };
}

/// A wave with the phases of three zones.
std::function<double(unsigned, Seconds)> wave(double mean, double swing)
{
    return [=](unsigned zone, Seconds t) {
        return mean * (1 + swing * std::sin(2 * std::numbers::pi * (t.count() / 13 + zone / 3.0)));
    };
}

} // namespace

// Guards against uploads that leave a zone whose targets have room.
BOOST_AUTO_TEST_CASE(uploadsStayWhileTheirZoneHasRoom)
{
    ZoneSimulation load({ 5, 5, 4 }, constantDemand({ 14, 14, 14 }));
    load.run(60s);
    BOOST_TEST_MESSAGE(load.describe());
    BOOST_TEST(load.crossingCount() <= 0.01 * load.arrivals());
    BOOST_TEST(load.lowestCoverage >= 0.9);
}

// Guards against uploads that leave a zone in which some of the targets fail most of their requests.
BOOST_AUTO_TEST_CASE(failingTargetsSendFewUploadsAway)
{
    ZoneSimulation load({ 5, 5, 4 }, constantDemand({ 14, 14, 14 }));
    load.failingFraction = 0.3;
    load.run(60s);
    BOOST_TEST_MESSAGE(load.describe());
    BOOST_TEST(load.crossingCount() <= 0.06 * load.arrivals());
    BOOST_TEST(load.lowestCoverage >= 0.7);
}

// Guards against callers of a short zone that wait while other zones have room, and against visitors that delay the
// callers of those zones. The zone's 16 slots can serve 50 of its 75 requests per second.
BOOST_AUTO_TEST_CASE(shortZoneUsesTheRoomOfTheOthers)
{
    for (const auto kind : { RequestKind::Idempotent, RequestKind::Upload }) {
        ZoneSimulation alone({ 4, 12, 12 }, constantDemand({ 0, 60, 60 }));
        ZoneSimulation load({ 4, 12, 12 }, constantDemand({ 75, 60, 60 }));
        for (auto* it : { &alone, &load }) {
            it->kind = kind;
            it->requestBytes = kind == RequestKind::Upload ? 60'000 : 400;
            it->run(40s);
            BOOST_TEST_MESSAGE(it->describe());
        }
        BOOST_TEST(load.results[0].refused == 0);
        for (const unsigned guest : { 1u, 2u }) {
            BOOST_TEST(load.results[guest].p99() <= 1.1 * alone.results[guest].p99());
            BOOST_TEST(load.results[0].meanLatency() <= 1.3 * load.results[guest].meanLatency());
            BOOST_TEST(load.taken[zoneName(guest)] >= 0.3 * load.crossingCount());
        }
        // A lookup leaves at once, an upload waits for a slot that becomes free soon.
        if (kind == RequestKind::Idempotent)
            BOOST_TEST(load.results[0].meanWait() <= 0.005);
        else
            BOOST_TEST(load.results[0].meanWait() >= 0.02);
    }
}

// Guards against requests that leave by turns all and not at all while a wave passes, and against requests that still
// leave once their zone has room again.
BOOST_AUTO_TEST_CASE(spillFollowsTheWave)
{
    ZoneSimulation load({ 6, 6, 6 }, wave(60, 0.55));
    load.run(52s);
    BOOST_TEST_MESSAGE(load.describe());
    // One spell of leaving for each of the 4 periods; short gaps count as the same spell.
    for (unsigned zone = 0; zone < 3; ++zone) {
        int spells = 0;
        int last = -10;
        for (const auto& [second, n] : load.crossingsPerSecond[zone]) {
            if (n < 3)
                continue;
            spells += second - last > 2;
            last = second;
        }
        BOOST_TEST(spells <= 5);
    }
    BOOST_TEST(load.crossingCount() <= 0.1 * load.arrivals());
    for (const auto& it : load.results)
        BOOST_TEST(it.refused == 0);
}
