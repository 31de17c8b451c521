#define BOOST_TEST_MODULE PlannedWork
#include <boost/test/unit_test.hpp>

#include "../../standins/silencing_proxy.h"
#include "../io/traffic_fixture.h"
#include "caller_connection.h"
#include "gateway_fleet.h"

#include <array>
#include <cmath>
#include <cstdlib>
#include <future>
#include <iostream>
#include <random>

using namespace buckthorncroft;
using namespace buckthorncroft::test;
using std::chrono::milliseconds;

namespace {

unsigned long environmentNumber(const char* name, unsigned long fallback)
{
    const char* text = std::getenv(name);
    return text ? std::stoul(text) : fallback;
}

/// Random numbers from one seed. Safe for concurrent use.
class Random {
public:
    explicit Random(unsigned long seed)
        : m_engine(seed)
    {
    }

    unsigned long draw(unsigned long from, unsigned long to)
    {
        const std::lock_guard lock(m_mutex);
        return std::uniform_int_distribution<unsigned long>(from, to)(m_engine);
    }

    /// Draws from a log-normal distribution with the given mean, cut off at `most`.
    std::chrono::milliseconds drawWorkTime(double meanMs, double sigma, double most)
    {
        const std::lock_guard lock(m_mutex);
        std::lognormal_distribution<double> distribution(std::log(meanMs) - sigma * sigma / 2, sigma);
        return std::chrono::milliseconds(static_cast<long>(std::min(most, distribution(m_engine))));
    }

private:
    std::mutex m_mutex;
    std::mt19937_64 m_engine;
};

/// Which work is done besides the stops, and in which state the store is.
struct Plan {
    bool hangups = false; ///< SIGHUP to instances, also while they stop.
    bool configurations = false; ///< New versions that change timeouts, move a route and drop one.
    bool endedPolls = false; ///< The store closes connections without a response, also those of long polls.
    bool silentStore = false;
};

/// One zone of gateways that are stopped and started again in turn, two at a time, while callers use them.
class PlannedWork {
public:
    explicit PlannedWork(Plan plan)
        : m_plan(plan)
        , m_seed(environmentNumber("PLANNED_WORK_SEED", 1))
        , m_random(m_seed)
        , m_target([this](RawConnection& peer, unsigned) {
            while (serve(peer)) { }
        })
        , m_storeProxy(m_fleet.store.port())
    {
        std::cout << "PLANNED_WORK_SEED=" << m_seed << '\n';
        if (const char* program = std::getenv("PLANNED_WORK_GATEWAY"))
            m_fleet.program = program;
        submitConfiguration();
        for (unsigned n = 0; n < targetCount; ++n) {
            for (const auto* service : { "s1", "s2" })
                m_fleet.listTarget(fmt::format("{}-{}", service, n), m_target.port(), "ready", service);
        }
        for (unsigned n = 0; n < instanceCount; ++n) {
            m_fleet.start(m_storeProxy.port());
            m_inRotation[n] = true;
            m_isListening[n] = true;
        }
        for (unsigned n = 0; n < instanceCount; ++n)
            BOOST_REQUIRE(m_fleet.waitForStatus(n, 200, startTimeout));
    }
    PlannedWork(const PlannedWork&) = delete;
    PlannedWork& operator=(const PlannedWork&) = delete;
    ~PlannedWork() { endThreads(); }

    /// Stops each instance once in each round, then checks that no request was lost.
    void run(unsigned long rounds)
    {
        for (unsigned n = 0; n < instanceCount; ++n)
            m_threads.emplace_back([this, n] { checkReadiness(n); });
        for (unsigned n = 0; n < keptCallerCount; ++n)
            m_threads.emplace_back([this, n] { useKeptConnections(n); });
        for (unsigned n = 0; n < newCallerCount; ++n)
            m_threads.emplace_back([this, n] { useNewConnections(n); });
        startDisturbances();
        std::this_thread::sleep_for(1s);
        for (unsigned long n = 0; n < rounds; ++n)
            stopAllInTurn();
        std::this_thread::sleep_for(1s);
        endThreads();
        const auto lost = m_ledger.lostRequests();
        for (const auto& it : lost)
            BOOST_ERROR(it);
        std::cout << fmt::format("served {}, 404 {}, 502 {}, 503 {}, 504 {}, none {}, lost {}\n",
            m_ledger.countStatus(200), m_ledger.countStatus(404), m_ledger.countStatus(502), m_ledger.countStatus(503),
            m_ledger.countStatus(504), m_ledger.countStatus(0), lost.size());
        BOOST_TEST(m_ledger.countStatus(200) > 500U);
    }

private:
    static constexpr unsigned instanceCount = 8;
    static constexpr unsigned stoppedAtOnce = 2;
    static constexpr auto stopInterval = 1280ms;
    static constexpr unsigned targetCount = 80;
    static constexpr unsigned keptCallerCount = 64;
    static constexpr unsigned newCallerCount = 64;

    struct Kind {
        const char* path;
        double meanMs;
        double sigma;
        double mostMs;
        std::chrono::milliseconds deadline;
        std::size_t bodyBytes;
    };
    static constexpr std::array kinds { Kind { "/safe/x", 880, 0.8, 6600, 15s, 0 },
        Kind { "/up/x", 260, 0.5, 2000, 5s, 60'000 }, Kind { "/once/x", 220, 0.5, 2000, 5s, 300 } };

    // Returns whether the connection remains open.
    bool serve(RawConnection& peer)
    {
        const auto request = peer.readMessage();
        const auto id = headerOf(request, names::requestIdHeader);
        if (id.empty())
            return false;
        const auto path = request.substr(request.find(' ') + 1, request.find(" HTTP") - request.find(' ') - 1);
        const auto& kind = *std::find_if(kinds.begin(), kinds.end(), [&](const Kind& it) { return it.path == path; });
        m_ledger.recordExecutionBegin(id);
        std::this_thread::sleep_for(m_random.drawWorkTime(kind.meanMs, kind.sigma, kind.mostMs));
        m_ledger.recordExecutionEnd(id);
        peer.send(fmt::format(
            "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: proof\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{}",
            names::requestIdHeader, id, names::signatureHeader, id.size(), id));
        return true;
    }

    void submitConfiguration()
    {
        const auto rule = [](const std::string& name, const std::string& kind, const std::string& service,
                              const std::string& timeout) {
            return fmt::format(
                R"({{"name":"{0}","type":"{1}","target_latency":"2500ms","priority":1,"match":{{"prefix":"/{0}/"}},
                "action":{{"service":"{2}","timeout":"{3}","max_attempts":2}}}})",
                name, kind, service, timeout);
        };
        const auto version = m_version++;
        auto rules = rule("once", "unsafe", "s1", version % 2 ? "5s" : "5500ms") + ","
            + rule("up", "upload", version % 3 ? "s1" : "s2", "5s");
        // Every fourth version drops the route of lookups.
        if (version % 4 != 3)
            rules += "," + rule("safe", "safe", version % 4 == 1 ? "s2" : "s1", "15s");
        m_fleet.store.put("op", "config",
            platform::encodeBase64(fmt::format(
                R"({{"version":"{:08x}","limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,
                "header_timeout":"3s","idle_timeout":"15s"}},"listeners":[{{"host":"h","rules":[{}]}}],
                "clusters":[{{"name":"s1"}},{{"name":"s2"}}]}})",
                version, rules)));
    }

    void startDisturbances()
    {
        if (m_plan.hangups)
            repeat(150ms, [this] { hangUp(m_random.draw(0, instanceCount - 1)); });
        if (m_plan.configurations)
            repeat(700ms, [this] { submitConfiguration(); });
        if (m_plan.endedPolls) {
            repeat(400ms, [this] {
                m_fleet.store.setFault(standin::StoreFault::DropsResponses);
                std::this_thread::sleep_for(30ms);
                m_fleet.store.setFault(standin::StoreFault::None);
            });
        }
        if (m_plan.silentStore) {
            repeat(2s, [this] {
                m_storeProxy.setSilent(true);
                std::this_thread::sleep_for(milliseconds(m_random.draw(300, 2500)));
                m_storeProxy.setSilent(false);
            });
        }
    }

    template <typename Action> void repeat(std::chrono::milliseconds interval, Action action)
    {
        m_threads.emplace_back([this, interval, action] {
            while (!m_ended) {
                std::this_thread::sleep_for(interval);
                action();
            }
        });
    }

    // The platform's balancer asks each instance once a second and takes it out after two misses.
    void checkReadiness(std::size_t n)
    {
        unsigned misses = 0;
        while (!m_ended) {
            misses = get(m_fleet.readyPorts[n], names::readyPath).first == 200 ? 0 : misses + 1;
            m_inRotation[n] = misses < 2;
            std::this_thread::sleep_for(1s);
        }
    }

    // If fewer than half of the instances are in rotation, the balancer uses all.
    std::size_t chooseInstance()
    {
        std::vector<std::size_t> candidates;
        for (std::size_t n = 0; n < instanceCount; ++n) {
            if (m_inRotation[n])
                candidates.push_back(n);
        }
        if (candidates.size() < instanceCount / 2)
            return m_random.draw(0, instanceCount - 1);
        return candidates[m_random.draw(0, candidates.size() - 1)];
    }

    void useKeptConnections(unsigned caller)
    {
        const std::size_t instance = caller % instanceCount;
        for (unsigned n = 0; !m_ended; std::this_thread::sleep_for(20ms)) {
            CallerConnection connection(m_fleet.callerPorts[instance]);
            while (connection.isOpen() && !m_ended)
                send(connection, fmt::format("kept-{}-{}", caller, n++), instance);
        }
    }

    void useNewConnections(unsigned caller)
    {
        for (unsigned n = 0; !m_ended; ++n) {
            const auto instance = chooseInstance();
            CallerConnection connection(m_fleet.callerPorts[instance]);
            if (connection.isOpen())
                send(connection, fmt::format("new-{}-{}", caller, n), instance);
            std::this_thread::sleep_for(milliseconds(m_random.draw(10, 100)));
        }
    }

    void send(CallerConnection& connection, const std::string& id, std::size_t instance)
    {
        const auto drawn = m_random.draw(0, 9);
        const auto& kind = kinds[drawn < 7 ? 0 : drawn < 9 ? 1 : 2];
        m_ledger.recordCaller(
            connection.send(id, instance, kind.path, kind.deadline, kind.bodyBytes, kind.bodyBytes == 0));
    }

    void stopAllInTurn()
    {
        std::vector<std::future<void>> stops;
        for (std::size_t n = 0; n < instanceCount; n += stoppedAtOnce) {
            for (std::size_t i = 0; i < stoppedAtOnce; ++i)
                stops.push_back(std::async(std::launch::async, [this, instance = n + i] { stopAndRestart(instance); }));
            std::this_thread::sleep_for(stopInterval);
        }
    }

    void stopAndRestart(std::size_t n)
    {
        const auto stoppedAt = Clock::now();
        m_ledger.recordStop(n, stoppedAt);
        m_fleet.process(n).signal(SIGTERM);
        const auto status = m_fleet.process(n).wait();
        const auto took = Clock::now() - stoppedAt;
        {
            const std::lock_guard lock(m_checkMutex);
            BOOST_TEST(status == 0, "instance " << n << " ended with " << status);
            BOOST_TEST((took < grace), "instance " << n << " exceeded the grace period");
        }
        {
            const std::lock_guard lock(m_processMutex);
            m_isListening[n] = false;
            m_fleet.restart(n);
        }
        while (get(m_fleet.readyPorts[n], names::readyPath).first == 0 && !m_ended)
            std::this_thread::sleep_for(20ms);
        m_isListening[n] = true;
    }

    // Until a process has set up its signal handlers, SIGHUP ends it. It listens only after that.
    void hangUp(std::size_t n)
    {
        const std::lock_guard lock(m_processMutex);
        if (m_isListening[n])
            m_fleet.process(n).signal(SIGHUP);
    }

    void endThreads()
    {
        m_ended = true;
        for (auto& it : m_threads)
            it.join();
        m_threads.clear();
    }

    Plan m_plan;
    unsigned long m_seed;
    Random m_random;
    RequestLedger m_ledger;
    unsigned m_version = 2;
    std::atomic<bool> m_ended { false };
    RawTarget m_target;
    Fleet m_fleet;
    standin::SilencingProxy m_storeProxy;
    std::array<std::atomic<bool>, instanceCount> m_inRotation {};
    std::array<std::atomic<bool>, instanceCount> m_isListening {};
    std::mutex m_processMutex; ///< Locked while a process is replaced or gets SIGHUP.
    std::mutex m_checkMutex;
    std::vector<std::thread> m_threads;
};

} // namespace

// Guards against checks of the ledger that cannot fail.
BOOST_AUTO_TEST_CASE(ledgerFindsEachLostRequest)
{
    struct Case {
        std::chrono::milliseconds sent; ///< All times count from the stop.
        std::chrono::milliseconds workEnds; ///< 0: not passed on.
        std::chrono::milliseconds ended;
        unsigned status;
        bool isFromTarget;
        bool isLost;
    };
    const auto count = [](const Case& it) {
        RequestLedger ledger;
        const auto stop = Clock::now() - 10s;
        ledger.recordStop(0, stop);
        if (it.workEnds != 0ms) {
            ledger.recordExecutionBegin("id", stop + it.sent);
            ledger.recordExecutionEnd("id", stop + it.workEnds);
        }
        ledger.recordCaller({ "id", 0, stop + it.sent, stop + it.ended, 15s, it.status, it.isFromTarget });
        return ledger.lostRequests().size();
    };
    for (const auto& it : {
             Case { 1000ms, 2000ms, 2000ms, 200, true, false },
             Case { 1000ms, 2000ms, 2000ms, 200, false, true },
             Case { 1000ms, 0ms, 1100ms, 503, false, false },
             Case { 1000ms, 2000ms, 1100ms, 503, false, true },
             Case { 1000ms, 5500ms, 5600ms, 502, false, false },
             Case { 1000ms, 5500ms, 5600ms, 0, false, false },
             Case { 1000ms, 4500ms, 5600ms, 502, false, true },
             Case { 1000ms, 5500ms, 4900ms, 502, false, true },
             Case { 3100ms, 5500ms, 5600ms, 502, false, true },
             Case { -4000ms, -100ms, 100ms, 0, false, true },
             Case { 1000ms, 0ms, 1100ms, 0, false, false },
             Case { 1000ms, 0ms, 1300ms, 0, false, true },
         })
        BOOST_TEST(count(it) == (it.isLost ? 1U : 0U), "sent " << it.sent.count() << " ended " << it.ended.count());
}

// Guards against excusing a lost response because a second target still works, and against a check for doubled requests
// that cannot fail.
BOOST_AUTO_TEST_CASE(ledgerFindsLostResponsesAndDoubledRequests)
{
    const auto count = [](std::chrono::milliseconds firstEnds, unsigned status, bool mayRepeat) {
        RequestLedger ledger;
        const auto stop = Clock::now() - 10s;
        ledger.recordStop(0, stop);
        for (const auto end : { firstEnds, milliseconds(5500) }) {
            ledger.recordExecutionBegin("id", stop + 2s);
            ledger.recordExecutionEnd("id", stop + end);
        }
        ledger.recordCaller({ "id", 0, stop + 2s, stop + 5600ms, 15s, status, status == 200, mayRepeat });
        return ledger.lostRequests().size();
    };
    BOOST_TEST(count(5400ms, 502, true) == 0U);
    BOOST_TEST(count(4500ms, 502, true) == 1U);
    BOOST_TEST(count(4500ms, 200, true) == 0U);
    BOOST_TEST(count(4500ms, 200, false) == 1U);
}

// Guards against requests that are broken off while the instances of a zone stop in turn.
BOOST_AUTO_TEST_CASE(rollingStopsLoseNoRequest)
{
    PlannedWork({}).run(environmentNumber("PLANNED_WORK_ROUNDS", 1));
}

// Guards against requests that are broken off by SIGHUP or by a new configuration, also one without their route.
BOOST_AUTO_TEST_CASE(reloadsAndConfigurationsLoseNoRequest)
{
    Plan plan;
    plan.hangups = plan.configurations = true;
    PlannedWork(plan).run(environmentNumber("PLANNED_WORK_ROUNDS", 1));
}

// Guards against requests that are broken off because the store is lost during a stop.
BOOST_AUTO_TEST_CASE(storeOutagesDuringStopsLoseNoRequest)
{
    Plan plan;
    plan.hangups = plan.configurations = plan.endedPolls = plan.silentStore = true;
    PlannedWork(plan).run(environmentNumber("PLANNED_WORK_ROUNDS", 1));
}
