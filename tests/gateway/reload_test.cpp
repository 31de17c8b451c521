#define BOOST_TEST_MODULE Reload
#include <boost/test/unit_test.hpp>

#include "../io/traffic_fixture.h"
#include "caller_connection.h"
#include "gateway_fleet.h"

#include <fcntl.h>

using namespace buckthorncroft;
using namespace buckthorncroft::test;
using std::chrono::milliseconds;

namespace {

/// A target that works for `workTime` on each request.
class WorkingTarget {
public:
    WorkingTarget()
        : m_target([this](RawConnection& peer, unsigned) {
            while (serve(peer)) { }
        })
    {
    }

    std::uint16_t port() const { return m_target.port(); }

    static constexpr milliseconds workTime { 1000 };

    RequestLedger ledger;

private:
    bool serve(RawConnection& peer)
    {
        const auto id = headerOf(peer.readMessage(), names::requestIdHeader);
        if (id.empty())
            return false;
        ledger.recordExecutionBegin(id);
        std::this_thread::sleep_for(workTime);
        ledger.recordExecutionEnd(id);
        peer.send(fmt::format("HTTP/1.1 200 OK\r\n{}: {}\r\n{}: proof\r\nContent-Length: 2\r\n\r\nok",
            names::requestIdHeader, id, names::signatureHeader));
        return true;
    }

    RawTarget m_target;
};

/// Gateways, a target, and callers that use kept and new connections. The target outlives its connections, which the
/// processes of the fleet close.
class ReloadFixture : public WorkingTarget, public Fleet {
public:
    ReloadFixture()
    {
        for (unsigned n = 0; n < targetCount; ++n) {
            for (const auto* service : { "s1", "s2" })
                listTarget(fmt::format("{}-{}", service, n), WorkingTarget::port(), "ready", service);
        }
        submit(R"({"service":"s1","timeout":"3s","max_attempts":2})");
    }
    ReloadFixture(const ReloadFixture&) = delete;
    ReloadFixture& operator=(const ReloadFixture&) = delete;
    ~ReloadFixture() { endCallers(); }

    /// Submits a configuration with one route that has the given action, or with none.
    void submit(const std::string& action)
    {
        const auto rules = action.empty() ? ""
                                          : R"({"name":"r","type":"unsafe","target_latency":"1s","priority":1,
                "match":{"prefix":"/p/"},"action":)"
                + action + "}";
        store.put("op", "config",
            platform::encodeBase64(fmt::format(
                R"({{"version":"{:08x}","limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,
                "header_timeout":"3s","idle_timeout":"15s"}},"listeners":[{{"host":"h","rules":[{}]}}],
                "clusters":[{{"name":"s1"}},{{"name":"s2"}}]}})",
                ++m_version, rules)));
    }

    /// Starts callers of one instance, half of them with a new connection for each request, and waits until targets
    /// work on their requests.
    void startCallers(std::size_t instance)
    {
        for (unsigned n = 0; n < callersPerInstance; ++n)
            m_callers.emplace_back([this, instance, n] { sendRequests(instance, n); });
        std::this_thread::sleep_for(workTime / 2);
    }

    /// Ends the callers and returns what they saw.
    std::vector<CallerView> endCallers()
    {
        m_ended = true;
        for (auto& it : m_callers)
            it.join();
        m_callers.clear();
        const std::lock_guard lock(m_mutex);
        return m_views;
    }

    /// Checks that no request was lost. `timeout` is that of the route from `changedAt` on.
    void checkLedger(Clock::time_point changedAt, std::chrono::milliseconds timeout)
    {
        for (auto it : endCallers()) {
            if (it.sentAt >= changedAt)
                it.deadline = std::min(it.deadline, timeout);
            ledger.recordCaller(it);
        }
        for (const auto& it : ledger.lostRequests())
            BOOST_ERROR(it);
    }

    /// Checks that the target's response arrived for each request that was sent from `from` to `until`.
    void checkAllServed(Clock::time_point from, Clock::time_point until)
    {
        unsigned count = 0;
        for (const auto& it : endCallers()) {
            if (it.sentAt < from || it.sentAt > until)
                continue;
            ++count;
            BOOST_TEST((it.status == 200 && it.isFromTarget), it.id << " ended with " << it.status);
        }
        BOOST_TEST(count >= callersPerInstance);
    }

    static constexpr unsigned callersPerInstance = 6;

private:
    static constexpr unsigned targetCount = 12;

    void sendRequests(std::size_t instance, unsigned caller)
    {
        for (unsigned n = 0; !m_ended; std::this_thread::sleep_for(20ms)) {
            CallerConnection connection(callerPorts[instance]);
            do {
                if (!connection.isOpen())
                    break;
                auto view = connection.send(fmt::format("{}-{}-{}", instance, caller, n++), instance, "/p/x", 3s);
                const std::lock_guard lock(m_mutex);
                m_views.push_back(std::move(view));
            } while (caller % 2 == 0 && !m_ended);
        }
    }

    std::mutex m_mutex;
    std::vector<CallerView> m_views;
    unsigned m_version = 1;
    std::atomic<bool> m_ended { false };
    std::vector<std::thread> m_callers;
};

/// Writes the output of processes that are started during its lifetime to a file.
class OutputCapture {
public:
    explicit OutputCapture(const std::string& file)
        : m_saved(::dup(STDOUT_FILENO))
    {
        const int fd = ::open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(fd, STDOUT_FILENO);
        ::close(fd);
    }
    OutputCapture(const OutputCapture&) = delete;
    OutputCapture& operator=(const OutputCapture&) = delete;
    ~OutputCapture()
    {
        ::dup2(m_saved, STDOUT_FILENO);
        ::close(m_saved);
    }

private:
    int m_saved;
};

std::string readFile(const std::string& file)
{
    std::stringstream result;
    result << std::ifstream(file).rdbuf();
    return result.str();
}

unsigned countOf(const std::string& text, const std::string& part)
{
    unsigned result = 0;
    for (auto pos = text.find(part); pos != std::string::npos; pos = text.find(part, pos + 1))
        ++result;
    return result;
}

} // namespace

// Guards against requests in flight that are broken off when their route moves to another service, is dropped, or gets
// a timeout that they have already exceeded.
BOOST_AUTO_TEST_CASE(newConfigurationBreaksOffNoRequest)
{
    struct Change {
        const char* action;
        milliseconds timeout;
        unsigned laterStatus;
    };
    for (const auto& change :
        { Change { R"({"service":"s2","timeout":"3s","max_attempts":2})", 3000ms, 200 }, Change { "", 3000ms, 404 },
            Change { R"({"service":"s1","timeout":"500ms","max_attempts":2})", 500ms, 504 } }) {
        ReloadFixture fixture;
        fixture.startReady(1);
        fixture.startCallers(0);
        const auto changedAt = Clock::now();
        fixture.submit(change.action);
        std::this_thread::sleep_for(configurationBound + 1s);
        fixture.checkAllServed(changedAt - 3s, changedAt);
        fixture.checkLedger(changedAt, change.timeout);
        BOOST_TEST(fixture.ledger.countStatus(change.laterStatus) > 0U);
    }
}

// Guards against SIGHUP that breaks off requests or ends the process, whatever the settings file has become.
BOOST_FIXTURE_TEST_CASE(hangupBreaksOffNoRequest, ReloadFixture)
{
    const auto log = fmt::format("{}/reload-{}.log", BINARY_DIR, ::getpid());
    {
        const OutputCapture capture(log);
        startReady(1);
    }
    const auto file = settingsFile(0);
    const auto original = readFile(file);
    const auto hangUp = [&](const std::string& event) {
        const auto before = countOf(readFile(log), event);
        process(0).signal(SIGHUP);
        const auto end = Clock::now() + 1s;
        while (countOf(readFile(log), event) == before && Clock::now() < end)
            std::this_thread::sleep_for(10ms);
        BOOST_TEST(countOf(readFile(log), event) > before, "no " << event);
        std::this_thread::sleep_for(workTime / 2);
    };
    startCallers(0);
    const auto startedAt = Clock::now();
    hangUp("settings_read");
    std::ofstream(file, std::ios::app) << "unknown = 1\n";
    hangUp("settings_rejected");
    std::ofstream(file) << "log_level = \"error\"\n" << original;
    hangUp("settings_read");
    std::ofstream(file) << "instance = [\n";
    hangUp("settings_rejected");
    std::filesystem::remove(file);
    hangUp("settings_rejected");
    std::this_thread::sleep_for(configurationBound);
    checkAllServed(startedAt - workTime, Clock::now());
    checkLedger(startedAt, 3s);
    process(0).signal(SIGTERM);
    BOOST_TEST(process(0).wait() == 0);
    std::filesystem::remove(log);
}

// Guards against a stop that breaks off requests or takes too long while the store is silent, fails or ends its long
// polls.
BOOST_AUTO_TEST_CASE(stopDuringAnOutageOfTheStoreBreaksOffNoRequest)
{
    for (const auto fault :
        { standin::StoreFault::NeverResponds, standin::StoreFault::Returns503, standin::StoreFault::DropsResponses }) {
        ReloadFixture fixture;
        fixture.startReady(2);
        fixture.startCallers(0);
        fixture.startCallers(1);
        fixture.store.setFault(fault);
        std::this_thread::sleep_for(300ms);
        const auto stoppedAt = Clock::now();
        fixture.ledger.recordStop(0, stoppedAt);
        fixture.process(0).signal(SIGTERM);
        BOOST_TEST(fixture.process(0).wait() == 0);
        BOOST_TEST((Clock::now() - stoppedAt < grace));
        for (const auto& it : fixture.endCallers())
            BOOST_TEST((it.instance == 0 || it.status == 200), it.id << " ended with " << it.status);
        fixture.checkLedger(stoppedAt, 3s);
        fixture.store.setFault(standin::StoreFault::None);
    }
}

// Guards against requests of the other instances that wait for their slots, or fail, while the instance with the
// dispatch point of their service stops together with another.
BOOST_FIXTURE_TEST_CASE(stopOfTheDispatchPointDelaysNoRequestOfOthers, ReloadFixture)
{
    constexpr unsigned instanceCount = 4;
    constexpr auto slotBound = 1s;
    const auto log = fmt::format("{}/reload-{}.log", BINARY_DIR, ::getpid());
    {
        const OutputCapture capture(log);
        startReady(instanceCount);
    }
    for (unsigned n = 0; n < instanceCount; ++n)
        startCallers(n);
    unsigned point = 0;
    const auto text = readFile(log);
    while (point + 1 < instanceCount && text.find(fmt::format("point=g{}", point)) == std::string::npos)
        ++point;
    const unsigned other = (point + 1) % instanceCount;
    const auto stoppedAt = Clock::now();
    for (const auto n : { point, other }) {
        ledger.recordStop(n, stoppedAt);
        process(n).signal(SIGTERM);
    }
    for (const auto n : { point, other }) {
        BOOST_TEST(process(n).wait() == 0);
        BOOST_TEST((Clock::now() - stoppedAt < grace));
    }
    for (const auto& it : endCallers()) {
        if (it.instance == point || it.instance == other)
            continue;
        BOOST_TEST(it.status == 200U, it.id << " ended with " << it.status);
        BOOST_TEST((it.endedAt - it.sentAt < workTime + slotBound), it.id << " waited for its slot");
    }
    checkLedger(stoppedAt, 3s);
    BOOST_TEST(ledger.countStatus(200) > 40U);
    std::filesystem::remove(log);
}
