#define BOOST_TEST_MODULE GatewaySoak
#include <boost/test/unit_test.hpp>

#include "../../standins/silencing_proxy.h"
#include "faulty_target.h"

#include <cstdlib>
#include <future>
#include <iostream>
#include <random>

using namespace buckthorncroft;
using namespace buckthorncroft::soak;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

unsigned long environmentNumber(const char* name, unsigned long fallback)
{
    const char* text = std::getenv(name);
    return text ? std::stoul(text) : fallback;
}

/// A connection on which a caller sends requests until the instance closes it.
class CallerConnection {
public:
    explicit CallerConnection(std::uint16_t port)
    {
        boost::system::error_code ec;
        m_stream.connect({ boost::asio::ip::address_v4::loopback(), port }, ec);
        m_isOpen = !ec;
    }

    bool isOpen() const { return m_isOpen; }

    /// Sends the request of `record`, and records its end.
    void send(CallerRecord& record)
    {
        namespace http = boost::beast::http;
        http::request<http::string_body> request(
            record.mayRepeat ? http::verb::get : http::verb::post, record.mayRepeat ? "/safe/x" : "/once/x", 11);
        request.set(http::field::host, "h");
        request.set(test::names::requestIdHeader, record.id);
        request.set(test::names::deadlineHeader, "3000");
        if (!record.mayRepeat)
            request.body() = "data";
        request.prepare_payload();
        record.sentAt = Clock::now();
        boost::system::error_code ec;
        http::response_parser<http::string_body> parser;
        parser.body_limit(1ULL << 30);
        http::write(m_stream, request, ec);
        if (!ec)
            http::read(m_stream, m_buffer, parser, ec);
        record.endedAt = Clock::now();
        record.brokenOff = ec && parser.is_header_done();
        record.status = ec ? 0 : parser.get().result_int();
        record.body = ec ? "" : parser.get().body();
        m_isOpen = !ec && parser.get().keep_alive();
    }

private:
    boost::asio::io_context m_context;
    boost::beast::tcp_stream m_stream { m_context };
    boost::beast::flat_buffer m_buffer;
    bool m_isOpen = false;
};

/// Gateways, targets and callers of one run. Faults are drawn from the seed.
class Soak {
public:
    explicit Soak(unsigned long seed)
        : m_seed(seed)
        , m_random(seed)
    {
        for (unsigned n = 0; n < targetCount; ++n)
            m_targets.push_back(std::make_unique<FaultyTarget>(m_model));
        m_fleet = std::make_unique<test::Fleet>();
        if (const char* program = std::getenv("SOAK_GATEWAY"))
            m_fleet->program = program;
        m_storeProxy = std::make_unique<standin::SilencingProxy>(m_fleet->store.port());
        submitConfiguration(3000ms);
        for (unsigned n = 0; n < targetCount; ++n)
            m_fleet->listTarget(fmt::format("i-{}", n), m_targets[n]->port());
        for (unsigned n = 0; n < instanceCount; ++n) {
            m_model.recordStart(n);
            m_fleet->start(m_storeProxy->port());
        }
        for (unsigned n = 0; n < instanceCount; ++n)
            BOOST_REQUIRE(m_fleet->waitForStatus(n, 200, test::startTimeout));
    }
    Soak(const Soak&) = delete;
    Soak& operator=(const Soak&) = delete;
    ~Soak()
    {
        endPlannedWork();
        endCallers();
    }

    /// Injects faults for `time` while callers send requests, then checks all promises.
    void run(std::chrono::seconds time)
    {
        for (unsigned n = 0; n < instanceCount * callersPerInstance; ++n)
            m_callers.emplace_back([this, n] { sendRequests(n); });
        startPlannedWork();
        const auto end = Clock::now() + time;
        while (Clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(draw(100, 700)));
            injectFault();
        }
        m_pending.clear(); // Waits for the end of all faults.
        endPlannedWork();
        checkRecovery();
        endCallers();
        for (unsigned n = 0; n < instanceCount; ++n)
            checkStop(n, false);
        // Requests that a target runs late would break a promise given before.
        std::this_thread::sleep_for(1s);
        for (const auto& it : m_model.brokenPromises())
            BOOST_ERROR(it);
        BOOST_TEST_MESSAGE("served " << m_model.served());
        BOOST_TEST(m_model.served() > 100U);
    }

private:
    static constexpr unsigned instanceCount = 4;
    static constexpr unsigned targetCount = 8;
    static constexpr unsigned callersPerInstance = 4;
    static constexpr unsigned maxInstancesDown = 2;
    static constexpr auto recoveryBound = 15s;

    static unsigned long draw(std::mt19937_64& random, unsigned long from, unsigned long to)
    {
        return std::uniform_int_distribution<unsigned long>(from, to)(random);
    }

    unsigned long draw(unsigned long from, unsigned long to) { return draw(m_random, from, to); }

    void submitConfiguration(milliseconds timeout)
    {
        const auto rule = [&](const std::string& name, const std::string& kind) {
            return fmt::format(
                R"({{"name":"{0}","type":"{1}","target_latency":"1s","priority":1,"match":{{"prefix":"/{0}/"}},
                "action":{{"service":"s1","timeout":"{2}ms","max_attempts":2}}}})",
                name, kind, timeout.count());
        };
        m_fleet->store.put("op", "config",
            platform::encodeBase64(fmt::format(
                R"({{"version":"{:08x}","limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,
                "header_timeout":"3s","idle_timeout":"15s"}},"listeners":[{{"host":"h","rules":[{},{}]}}],
                "clusters":[{{"name":"s1"}}]}})",
                m_version++, rule("safe", "safe"), rule("once", "unsafe"))));
    }

    // Each kind of planned work has random numbers of its own, so that the faults of a seed do not depend on it.
    void startPlannedWork()
    {
        repeatInSeries(1, [this](std::mt19937_64& random) { hangUp(draw(random, 0, instanceCount - 1)); });
        repeatInSeries(2, [this](std::mt19937_64& random) {
            submitConfiguration(milliseconds(draw(random, RequestModel::minTimeout.count(), 4000)));
        });
        repeatInSeries(3, [this](std::mt19937_64&) {
            m_fleet->store.setFault(standin::StoreFault::DropsResponses);
            std::this_thread::sleep_for(30ms);
            m_fleet->store.setFault(standin::StoreFault::None);
        });
    }

    template <typename Action> void repeatInSeries(unsigned stream, Action action)
    {
        m_plannedWork.emplace_back([this, stream, action] {
            std::seed_seq seed { m_seed, static_cast<unsigned long>(stream) };
            std::mt19937_64 random(seed);
            while (!m_plannedWorkEnded) {
                std::this_thread::sleep_for(milliseconds(draw(random, 100, 1500)));
                const auto interval = milliseconds(draw(random, 1, 200));
                for (auto n = draw(random, 1, 8); n != 0 && !m_plannedWorkEnded; --n) {
                    action(random);
                    std::this_thread::sleep_for(interval);
                }
            }
        });
    }

    void endPlannedWork()
    {
        m_plannedWorkEnded = true;
        for (auto& it : m_plannedWork)
            it.join();
        m_plannedWork.clear();
    }

    // Until a process has set up its signal handlers, SIGHUP ends it. It listens only after that.
    void hangUp(std::size_t n)
    {
        const std::lock_guard lock(m_processMutexes[n]);
        if (test::get(m_fleet->readyPorts[n], test::names::readyPath).first != 0)
            m_fleet->process(n).signal(SIGHUP);
    }

    void sendRequests(unsigned caller)
    {
        const std::size_t instance = caller % instanceCount;
        for (unsigned n = 0; !m_ended; std::this_thread::sleep_for(20ms)) {
            CallerConnection connection(m_fleet->callerPorts[instance]);
            while (connection.isOpen() && !m_ended) {
                CallerRecord it { fmt::format("{}-{}", caller, n), n % 2 == 0, instance, {}, {}, 0, false, "" };
                ++n;
                connection.send(it);
                m_model.recordCaller(std::move(it));
                std::this_thread::sleep_for(10ms);
            }
        }
    }

    void endCallers()
    {
        m_ended = true;
        for (auto& it : m_callers)
            it.join();
        m_callers.clear();
    }

    void log(const std::string& text) const
    {
        const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - m_startedAt).count();
        std::cout << fmt::format("{:6} ms  {}\n", ms, text);
    }

    void later(std::function<void()> action) { m_pending.push_back(std::async(std::launch::async, std::move(action))); }

    void injectFault()
    {
        const auto duration = milliseconds(draw(300, 1800));
        const auto instance = draw(0, instanceCount - 1);
        const auto target = draw(0, targetCount - 1);
        const auto fault = allTargetFaults.at(draw(1, allTargetFaults.size() - 1));
        switch (draw(0, 8)) {
        case 0:
            return stopInstance(instance, duration, false);
        case 1:
            return stopInstance(instance, duration, true);
        case 2:
            return pauseInstance(instance, duration);
        case 3:
            log(fmt::format("store silent for {} ms", duration.count()));
            m_storeProxy->setSilent(true);
            std::this_thread::sleep_for(duration);
            m_storeProxy->setSilent(false);
            return;
        case 4:
            log(fmt::format("all targets slow for {} ms", duration.count()));
            return later([this, duration] {
                for (const auto& it : m_targets)
                    it->setFault(TargetFault::Slow);
                std::this_thread::sleep_for(duration);
                for (const auto& it : m_targets)
                    it->setFault(TargetFault::None);
            });
        default:
            log(fmt::format("target {} fault {} for {} ms", target, static_cast<int>(fault), duration.count()));
            m_targets[target]->setFault(fault);
            return later([this, target, duration] {
                std::this_thread::sleep_for(duration);
                m_targets[target]->setFault(TargetFault::None);
            });
        }
    }

    bool takeInstance(std::size_t n)
    {
        return m_down.load() < maxInstancesDown && !m_busy[n].exchange(true) && ++m_down;
    }

    void releaseInstance(std::size_t n)
    {
        --m_down;
        m_busy[n] = false;
    }

    void stopInstance(std::size_t n, milliseconds duration, bool kill)
    {
        if (!takeInstance(n))
            return;
        log(fmt::format("instance {} {}", n, kill ? "SIGKILL" : "SIGTERM"));
        later([this, n, duration, kill] {
            checkStop(n, kill);
            std::this_thread::sleep_for(duration / 4);
            m_model.recordStart(n);
            {
                const std::lock_guard lock(m_processMutexes[n]);
                m_fleet->restart(n);
            }
            releaseInstance(n);
        });
    }

    void pauseInstance(std::size_t n, milliseconds duration)
    {
        if (!takeInstance(n))
            return;
        log(fmt::format("instance {} SIGSTOP for {} ms", n, duration.count()));
        later([this, n, duration] {
            m_model.changeRun(n, [](ProcessRun& it) { it.paused = true; });
            m_fleet->process(n).signal(SIGSTOP);
            std::this_thread::sleep_for(duration);
            m_fleet->process(n).signal(SIGCONT);
            releaseInstance(n);
        });
    }

    // Ends a process and checks how it ended.
    void checkStop(std::size_t n, bool kill)
    {
        // Until a process has set up its signal handlers, SIGTERM ends it. It listens only after that.
        const bool isListening = test::get(m_fleet->readyPorts[n], test::names::readyPath).first != 0;
        const auto stoppedAt = Clock::now();
        m_model.changeRun(n, [&](ProcessRun& it) { (kill ? it.killedAt : it.stoppedAt) = stoppedAt; });
        m_fleet->process(n).signal(kill ? SIGKILL : SIGTERM);
        const auto status = m_fleet->process(n).wait();
        const std::lock_guard lock(m_checkMutex);
        if (!kill && isListening)
            BOOST_TEST(status == 0, "instance " << n << " ended with " << status);
        BOOST_TEST((Clock::now() - stoppedAt < test::grace), "instance " << n << " exceeded the grace period");
    }

    // Each instance must serve requests again when all faults have ended.
    void checkRecovery()
    {
        const auto end = Clock::now() + recoveryBound;
        for (unsigned n = 0; n < instanceCount; ++n) {
            BOOST_TEST(m_fleet->waitForStatus(n, 200, recoveryBound));
            unsigned inARow = 0;
            for (unsigned i = 0; inARow < 10 && Clock::now() < end; ++i) {
                CallerConnection connection(m_fleet->callerPorts[n]);
                CallerRecord it { fmt::format("recovery-{}-{}", n, i), true, n, {}, {}, 0, false, "" };
                if (connection.isOpen())
                    connection.send(it);
                inARow = it.status == 200 ? inARow + 1 : 0;
            }
            BOOST_TEST(inARow == 10U, "instance " << n << " does not serve after the faults");
        }
    }

    unsigned long m_seed;
    std::mt19937_64 m_random;
    unsigned m_version = 2;
    Clock::time_point m_startedAt = Clock::now();
    RequestModel m_model { instanceCount };
    std::vector<std::unique_ptr<FaultyTarget>> m_targets;
    std::unique_ptr<test::Fleet> m_fleet;
    std::unique_ptr<standin::SilencingProxy> m_storeProxy;
    std::array<std::atomic<bool>, instanceCount> m_busy {}; ///< A fault of the instance is in effect.
    std::atomic<unsigned> m_down { 0 };
    std::atomic<bool> m_ended { false };
    std::atomic<bool> m_plannedWorkEnded { false };
    std::mutex m_checkMutex;
    std::array<std::mutex, instanceCount> m_processMutexes; ///< Locked while a process is replaced or gets SIGHUP.
    std::vector<std::thread> m_callers;
    std::vector<std::thread> m_plannedWork;
    std::vector<std::future<void>> m_pending; ///< Faults that end by themselves.
};

} // namespace

// Guards against a check of the soak that cannot fail.
BOOST_AUTO_TEST_CASE(modelFindsEachBrokenPromise)
{
    struct Request {
        bool mayRepeat;
        unsigned status;
        std::string body;
        unsigned executions;
        std::optional<milliseconds> stoppedBefore = {};
        milliseconds took = 100ms;
        bool isHealthy = true;
    };
    const auto count = [](const Request& it) {
        RequestModel model(1);
        model.recordStart(0);
        const auto sentAt = Clock::now();
        if (it.stoppedBefore)
            model.changeRun(0, [&](ProcessRun& run) {
                run.startedAt = sentAt - 10s;
                run.stoppedAt = sentAt - *it.stoppedBefore;
            });
        for (unsigned n = 0; n < it.executions; ++n)
            model.recordExecution("id", it.isHealthy);
        model.recordCaller({ "id", it.mayRepeat, 0, sentAt, sentAt + it.took, it.status, false, it.body });
        return model.brokenPromises().size();
    };
    BOOST_TEST(count({ false, 200, "id", 1 }) == 0U);
    BOOST_TEST(count({ true, 200, "id", 2 }) == 0U);
    BOOST_TEST(count({ false, 503, "", 0 }) == 0U);
    BOOST_TEST(count({ false, 502, "", 1, {}, 100ms, false }) == 0U);
    BOOST_TEST(count({ false, 504, "", 1, {}, RequestModel::minTimeout }) == 0U);
    BOOST_TEST(count({ false, 0, "", 1, 2900ms, 2200ms }) == 0U);
    BOOST_TEST(count({ false, 502, "", 1, 2900ms, 2200ms }) == 0U);
    BOOST_TEST(count({ false, 200, "id", 2 }) == 1U);
    BOOST_TEST(count({ true, 503, "", 1 }) == 1U);
    BOOST_TEST(count({ false, 200, "other", 1 }) == 1U);
    BOOST_TEST(count({ false, 200, "id", 0 }) == 1U);
    BOOST_TEST(count({ false, 0, "", 1 }) == 1U);
    BOOST_TEST(count({ false, 0, "", 1, 1s }) == 1U);
    BOOST_TEST(count({ false, 0, "", 1, 4s }) == 1U);
    BOOST_TEST(count({ false, 502, "", 1 }) == 1U);
    BOOST_TEST(count({ false, 502, "", 1, 1s }) == 1U);
    BOOST_TEST(count({ false, 502, "", 1, 4s }) == 1U);
    BOOST_TEST(count({ false, 0, "", 1, 4s, 1500ms, false }) == 1U);
}

// Plays random faults against real processes. SOAK_SEED chooses the faults, SOAK_SECONDS the duration, and SOAK_GATEWAY
// another program than that of this build.
BOOST_AUTO_TEST_CASE(promisesHoldUnderRandomFaults)
{
    const auto seed = environmentNumber("SOAK_SEED", 1);
    std::cout << "SOAK_SEED=" << seed << '\n';
    Soak(seed).run(std::chrono::seconds(environmentNumber("SOAK_SECONDS", 20)));
}
