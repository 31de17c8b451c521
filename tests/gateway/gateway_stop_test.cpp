#define BOOST_TEST_MODULE GatewayStop
#include <boost/test/unit_test.hpp>

#include "../../src/gateway/signal_receiver.h"
#include "../io/traffic_fixture.h"
#include "caller_connection.h"
#include "gateway_fleet.h"

#include <future>
#include <sys/stat.h>

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

// Guards against a stop that counts from the receipt of its signal on a machine that delays it, so that the instance
// passes on requests which it breaks off later, and exceeds the grace period.
BOOST_FIXTURE_TEST_CASE(stopCountsFromWhenItsSignalWasSent, Fleet)
{
    constexpr auto delay = 400ms;
    const Target slow(2800ms);
    configure("unsafe");
    listTarget("i-1", slow);
    startReady(1);
    process(0).signal(SIGSTOP);
    const auto sentAt = Clock::now();
    process(0).signal(SIGTERM);
    std::this_thread::sleep_for(delay);
    process(0).signal(SIGCONT);
    std::this_thread::sleep_until(sentAt + lastRequestBound + delay / 4);
    BOOST_TEST(send(0) == 503u);
    BOOST_TEST(slow.requestCount() == 0u);
    BOOST_TEST(process(0).wait() == 0);
    BOOST_TEST((Clock::now() - sentAt < grace));
}

// Guards against a queued request that a stopping instance passes on, or rejects only when its slot is granted.
BOOST_FIXTURE_TEST_CASE(queuedRequestsAreRejectedLateInAStop, Fleet)
{
    constexpr unsigned slots = 3;
    const Target slow(900ms);
    configure("unsafe");
    listTarget("i-1", slow);
    startReady(1);
    process(0).signal(SIGTERM);
    const auto stoppedAt = Clock::now();
    std::this_thread::sleep_until(stoppedAt + 2400ms);
    std::vector<std::future<unsigned>> running;
    for (unsigned n = 0; n < slots; ++n)
        running.push_back(std::async(std::launch::async, [this] { return send(0); }));
    std::this_thread::sleep_until(stoppedAt + 2700ms);
    BOOST_TEST(send(0) == 503U);
    const auto rejectedAfter = Clock::now() - stoppedAt;
    BOOST_TEST((rejectedAfter > 2800ms));
    BOOST_TEST((rejectedAfter < 3200ms));
    for (auto& it : running)
        BOOST_TEST(it.get() == 200U);
    BOOST_TEST(slow.requestCount() == slots);
    BOOST_TEST(process(0).wait() == 0);
}

// Guards against requests that targets ran and callers got no response of, or one of the stopping instance instead,
// while two instances of a zone stop at once. Callers keep using their connections until the processes are gone, and
// targets work for longer than the rest of the grace period. Runs of the users with real processes showed it.
BOOST_FIXTURE_TEST_CASE(stopsBreakOffNoRequestThatWasPassedOn, Fleet)
{
    constexpr unsigned instanceCount = 4;
    constexpr unsigned stoppedCount = 2;
    constexpr unsigned callersPerInstance = 5;
    constexpr unsigned targetCount = 10;
    RequestLedger ledger;
    RawTarget target([&](RawConnection& peer, unsigned n) {
        const auto id = headerOf(peer.readMessage(), names::requestIdHeader);
        ledger.recordExecutionBegin(id);
        std::this_thread::sleep_for(n % 2 ? 2200ms : 700ms);
        ledger.recordExecutionEnd(id);
        peer.send(
            fmt::format("HTTP/1.1 200 OK\r\n{}: {}\r\n{}: proof\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
                names::requestIdHeader, id, names::signatureHeader));
    });
    configure("unsafe");
    for (unsigned n = 0; n < targetCount; ++n)
        listTarget(fmt::format("i-{}", n), target.port());
    startReady(instanceCount);
    std::atomic<bool> ended { false };
    std::vector<std::thread> callers;
    for (unsigned caller = 0; caller < instanceCount * callersPerInstance; ++caller) {
        callers.emplace_back([&, caller] {
            const std::size_t instance = caller % instanceCount;
            for (unsigned n = 0; !ended; std::this_thread::sleep_for(20ms)) {
                CallerConnection connection(callerPorts[instance]);
                while (connection.isOpen() && !ended)
                    ledger.recordCaller(
                        connection.send(fmt::format("{}-{}", caller, n++), instance, "/p/x", 3s, 0, false));
            }
        });
    }
    std::this_thread::sleep_for(1s);
    const auto stoppedAt = Clock::now();
    for (unsigned n = 0; n < stoppedCount; ++n) {
        ledger.recordStop(n, stoppedAt);
        process(n).signal(SIGTERM);
    }
    for (unsigned n = 0; n < stoppedCount; ++n)
        BOOST_TEST(process(n).wait() == 0);
    BOOST_TEST((Clock::now() - stoppedAt < grace));
    ended = true;
    for (auto& it : callers)
        it.join();
    for (const auto& it : ledger.lostRequests())
        BOOST_ERROR(it);
    BOOST_TEST(ledger.countStatus(504) == 0U);
    BOOST_TEST(ledger.countStatus(200) > 40U);
}

namespace {

/// A target whose responses are too long for the buffers of a connection.
struct LongResponseTarget {
    LongResponseTarget()
        : target([this](RawConnection& peer, unsigned) {
            const auto id = headerOf(peer.readMessage(), names::requestIdHeader);
            peer.send(fmt::format(
                "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: proof\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}",
                names::requestIdHeader, id, names::signatureHeader, body.size(), body));
        })
    {
    }

    const std::string body = std::string(6 << 20, 'x');
    RawTarget target;
};

std::string requestText(const std::string& id, const std::string& method = "GET", std::size_t bodyBytes = 0)
{
    return fmt::format("{} /p/x HTTP/1.1\r\nHost: h\r\n{}: {}\r\n{}: 9000\r\nContent-Length: {}\r\n\r\n", method,
        names::requestIdHeader, id, names::deadlineHeader, bodyBytes);
}

// When requests in flight have got their final response, and time remains to write it.
constexpr auto requestsEnded = 5680ms;

} // namespace

// Guards against a long response that is broken off when requests end although the grace period leaves time to read it.
BOOST_FIXTURE_TEST_CASE(longResponseToASlowCallerGetsTheRestOfTheGracePeriod, Fleet)
{
    const LongResponseTarget slow;
    configure("unsafe", 2, "/p/", "9s");
    listTarget("i-1", slow.target.port());
    startReady(1);
    const auto caller = RawConnection::connectTo(callerPorts[0]);
    caller->send(requestText("1"));
    const auto head = caller->readUntil("\r\n\r\n");
    const auto stoppedAt = Clock::now();
    process(0).signal(SIGTERM);
    std::this_thread::sleep_until(stoppedAt + requestsEnded);
    BOOST_TEST(caller->readAll().size() == slow.body.size());
    BOOST_TEST(!caller->wasReset());
    BOOST_TEST(process(0).wait() == 0);
    BOOST_TEST((Clock::now() - stoppedAt < grace));
}

// Guards against a caller that reads nothing and keeps the process beyond its grace period, and against a response that
// ends with the connection and looks complete although the end of the process broke it off.
BOOST_FIXTURE_TEST_CASE(callerThatNeverReadsDoesNotDelayTheEndOfTheProcess, Fleet)
{
    const LongResponseTarget slow;
    configure("unsafe", 2, "/p/", "9s");
    listTarget("i-1", slow.target.port());
    startReady(1);
    const auto caller = RawConnection::connectTo(callerPorts[0]);
    caller->send(requestText("1").replace(0, 17, "GET /p/x HTTP/1.0"));
    caller->readUntil("\r\n\r\n");
    const auto stoppedAt = Clock::now();
    process(0).signal(SIGTERM);
    BOOST_TEST(process(0).wait() == 0);
    BOOST_TEST((Clock::now() - stoppedAt < grace));
    BOOST_TEST(caller->readAll().size() < slow.body.size());
    BOOST_TEST(caller->wasReset());
}

// Guards against a response that the exit of the process takes along because the caller still sends. The kernel holds
// it until the caller reads, and resets the connection when bytes arrive for a process that has ended.
BOOST_FIXTURE_TEST_CASE(responseToACallerThatStillSendsIsNotLostAtTheEndOfAStop, Fleet)
{
    const std::string body(1 << 20, 'x');
    RawTarget target([&](RawConnection& peer, unsigned) {
        const auto id = headerOf(peer.readMessage(), names::requestIdHeader);
        std::this_thread::sleep_for(5400ms);
        peer.send(
            fmt::format("HTTP/1.1 200 OK\r\n{}: {}\r\n{}: proof\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}",
                names::requestIdHeader, id, names::signatureHeader, body.size(), body));
    });
    configure("unsafe", 2, "/p/", "9s");
    listTarget("i-1", target.port());
    startReady(1);
    const auto caller = RawConnection::connectTo(callerPorts[0]);
    caller->send(requestText("1"));
    while (target.connections() == 0)
        std::this_thread::sleep_for(1ms);
    const auto stoppedAt = Clock::now();
    process(0).signal(SIGTERM);
    std::atomic<bool> ended { false };
    std::thread sender([&] {
        std::this_thread::sleep_until(stoppedAt + 5500ms);
        for (; !ended; std::this_thread::sleep_for(5ms))
            caller->send("x");
    });
    std::this_thread::sleep_until(stoppedAt + requestsEnded);
    const auto message = caller->readMessage();
    ended = true;
    sender.join();
    BOOST_TEST(message.size() > body.size());
    BOOST_TEST(process(0).wait() == 0);
}

// Guards against a stop that counts from when a busy event loop handles the signal instead of from its receipt.
BOOST_AUTO_TEST_CASE(busyEventLoopDoesNotDelayTheTimeOfASignal)
{
    const base::SystemClock clock;
    const observe::Logger log(clock, "test", "z1", observe::Level::Error, stderr);
    http::asio::io_context io { 1 };
    base::SteadyTime receivedAt;
    int received = 0;
    gateway::SignalReceiver receiver(io, clock, log, [&](int signal, base::SteadyTime time) {
        received = signal;
        receivedAt = time;
    });
    const auto sentAt = clock.now();
    ::kill(::getpid(), SIGTERM);
    std::this_thread::sleep_for(500ms);
    io.run();
    BOOST_TEST(received == SIGTERM);
    BOOST_TEST((receivedAt - sentAt < 250ms));
}

// Guards against SIGTERM that ends a process by the signal, or is ignored, because its event loop does not run yet.
BOOST_FIXTURE_TEST_CASE(stopSignalDuringTheStartIsHandled, Fleet)
{
    configure();
    for (std::size_t n = 0; n < 8; ++n) {
        start();
        // The kernel lists the signals that a process handles as a mask, bit 14 being SIGTERM.
        const auto startedAt = Clock::now();
        while (!(process(n).caughtSignals() >> (SIGTERM - 1) & 1) && Clock::now() - startedAt < startTimeout) { }
        process(n).signal(SIGTERM);
    }
    for (std::size_t n = 0; n < 8; ++n)
        BOOST_TEST(process(n).wait() == 0);
}

// Guards against a settings file that is missing, broken, a directory or a pipe without a writer, and that ends the
// process after SIGHUP, blocks its traffic or keeps it from handling SIGTERM.
BOOST_FIXTURE_TEST_CASE(unreadableSettingsFilesNeitherBlockNorEndTheProcess, Fleet)
{
    configure();
    const std::vector<std::function<void(const std::string&)>> replacements {
        [](const std::string&) {},
        [](const std::string& name) { std::ofstream(name) << "instance = ["; },
        [](const std::string& name) { std::filesystem::create_directory(name); },
        [](const std::string& name) { ::mkfifo(name.c_str(), 0600); },
    };
    startReady(static_cast<unsigned>(replacements.size()));
    for (std::size_t n = 0; n < replacements.size(); ++n) {
        std::filesystem::remove(settingsFile(n));
        replacements[n](settingsFile(n));
        process(n).signal(SIGHUP);
    }
    std::this_thread::sleep_for(200ms);
    for (std::size_t n = 0; n < replacements.size(); ++n) {
        // A blocked process would not respond at all.
        auto ready = std::async(std::launch::async, [&] { return waitForStatus(n, 200, 2s); });
        if (ready.wait_for(3s) != std::future_status::ready) {
            BOOST_ERROR("instance " << n << " is blocked after SIGHUP");
            process(n).signal(SIGKILL);
            continue;
        }
        BOOST_TEST(ready.get());
        process(n).signal(SIGTERM);
        const bool stopping = waitForStatus(n, 503, 2s);
        BOOST_TEST(stopping, "instance " << n << " does not handle SIGTERM after SIGHUP");
        if (!stopping)
            process(n).signal(SIGKILL);
    }
    for (std::size_t n = 0; n < replacements.size(); ++n)
        BOOST_TEST(process(n).wait() == 0);
}
