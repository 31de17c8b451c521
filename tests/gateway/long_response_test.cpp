#define BOOST_TEST_MODULE LongResponse
#include <boost/test/unit_test.hpp>

#include "flow_fixture.h"

#include <fmt/format.h>
#include <future>

using namespace buckthorncroft;
using namespace buckthorncroft::test;
using config::RequestKind;

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using Callers = std::vector<std::unique_ptr<RawConnection>>;

/// Lets `count` new callers send a request each. Returns the number of bytes by which this process has grown after
/// `time`.
std::size_t measureGrowth(FlowFixture& fixture, unsigned count, std::chrono::milliseconds time, Callers& callers)
{
    callers.push_back(fixture.start());
    const auto before = FlowFixture::residentBytes();
    for (unsigned n = 1; n < count; ++n)
        callers.push_back(fixture.connectCaller());
    for (auto& it : callers)
        it->send(fixture.request("1", "POST", "a"));
    std::this_thread::sleep_for(time);
    const auto growth = FlowFixture::residentBytes() - before;
    BOOST_TEST_MESSAGE("memory grew by " << (growth >> 20) << " MB");
    return growth;
}

} // namespace

// Guards against a long response that is incomplete or corrupted at the caller, with and without a declared length.
BOOST_FIXTURE_TEST_CASE(longResponsesAreRelayedWhole, FlowFixture)
{
    std::string body(3'000'000, 'x');
    for (std::size_t i = 0; i < body.size(); i += 1000)
        body[i] = static_cast<char>('a' + i / 1000 % 26);
    RawTarget target(answering([&](const std::string& text) {
        const auto id = headerOf(text, names.requestId);
        if (id == "1")
            return response(id, body);
        return "HTTP/1.1 200 OK\r\n" + names.requestId + ": " + id + "\r\n" + names.signature
            + ": proof\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt::format("{:x}", body.size()) + "\r\n" + body
            + "\r\n0\r\n\r\n";
    }));
    ports = { { "t", target.port() } };
    publish(1, RequestKind::NonIdempotent, 5000ms);
    placement.grants = { "t", "t", "t" };
    const auto caller = start();
    caller->send(request("1", "POST", "a"));
    const auto first = caller->readMessage();
    BOOST_TEST((first.substr(first.find("\r\n\r\n") + 4) == body));
    caller->send(request("2", "POST", "b"));
    const auto head = caller->readUntil("\r\n\r\n");
    BOOST_TEST(headerOf(head, "Transfer-Encoding") == "chunked");
    std::string received;
    while (true) {
        const auto size = std::stoul(caller->readUntil("\r\n"), nullptr, 16);
        received += caller->readBytes(size);
        caller->readBytes(2);
        if (size == 0)
            break;
    }
    BOOST_TEST((received == body));
    caller->send(request("1", "POST", "c"));
    BOOST_TEST(caller->readMessage().size() > body.size());
    for (int n = 0; n < 1000 && memory.used() != 0; ++n)
        std::this_thread::sleep_for(1ms);
    stopTraffic();
    BOOST_TEST(target.connections() == 1u);
    BOOST_TEST(placement.outcomes.size() == 3u);
    BOOST_TEST(memory.used() == 0u);
}

// Guards against a long response that breaks off and looks complete at the caller.
BOOST_FIXTURE_TEST_CASE(longResponseThatBreaksOffIsIncomplete, FlowFixture)
{
    const std::string part(200'000, 'x');
    for (const bool chunked : { false, true }) {
        FlowFixture f;
        RawTarget target([&](RawConnection& peer, unsigned) {
            peer.readMessage();
            const auto framing
                = chunked ? "Transfer-Encoding: chunked\r\n\r\nf4240\r\n" : "Content-Length: 1000000\r\n\r\n";
            peer.send(
                "HTTP/1.1 200 OK\r\n" + names.requestId + ": 1\r\n" + names.signature + ": proof\r\n" + framing + part);
        });
        f.ports = { { "t", target.port() } };
        f.publish(1, RequestKind::NonIdempotent, 2000ms);
        f.placement.grants = { "t" };
        const auto caller = f.start();
        caller->send(f.request("1", "POST", "a"));
        const auto received = caller->readAll();
        BOOST_TEST(received.size() < 1'000'000u);
        BOOST_TEST(!received.ends_with("0\r\n\r\n"));
        f.stopTraffic();
        BOOST_REQUIRE(f.placement.outcomes.size() == 1u);
        BOOST_TEST((f.placement.outcomes.front().verdict == health::Verdict::Truncated));
    }
}

// Guards against responses without end that fill the memory: 200 at once, with a declared length, in chunks, and ended
// by the connection. No caller takes more than the first bytes, so back pressure must stop the targets.
BOOST_FIXTURE_TEST_CASE(responsesWithoutEndDoNotFillTheMemory, FlowFixture)
{
    constexpr unsigned callerCount = 200;
    constexpr std::size_t maxGrowth = std::size_t { 64 } << 20;
    std::atomic<std::uint64_t> sentBytes { 0 };
    RawTarget target([&](RawConnection& peer, unsigned n) {
        peer.readMessage();
        const std::vector<std::string> framings { "Content-Length: 100000000000000\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n", "Connection: close\r\n\r\n" };
        peer.send(
            "HTTP/1.1 200 OK\r\n" + names.requestId + ": 1\r\n" + names.signature + ": proof\r\n" + framings[n % 3]);
        const std::string piece(65'536, 'x');
        while (peer.sendFor(piece, 300ms))
            sentBytes += piece.size();
    });
    ports = { { "t", target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants.assign(callerCount, "t");
    Callers callers;
    BOOST_TEST(measureGrowth(*this, callerCount, 1500ms, callers) < maxGrowth);
    BOOST_TEST(target.connections() == callerCount);
    callers.clear();
}

// Guards against a slow caller that does not receive a long response whole although the deadline has not passed.
BOOST_FIXTURE_TEST_CASE(slowCallerReceivesTheWholeResponse, FlowFixture)
{
    std::string body;
    body.assign(20'000'000, 'y');
    RawTarget target(answering([&](const std::string&) { return response("1", body); }));
    ports = { { "t", target.port() } };
    callerDeadline = 9s;
    publish(1, RequestKind::NonIdempotent, 9s);
    placement.grants = { "t" };
    const auto caller = start();
    caller->send(request("1", "POST", "a"));
    std::this_thread::sleep_for(1000ms);
    BOOST_TEST(caller->readMessage().size() > body.size());
}

// Guards against a body without end that is relayed beyond the deadline, which is the earlier one of the route's
// timeout and the caller's deadline, and against a broken-off response that looks complete.
BOOST_FIXTURE_TEST_CASE(responseWithoutEndBreaksOffAtTheDeadline, FlowFixture)
{
    constexpr auto maxDelay = 500ms;
    constexpr auto deadline = 800ms;
    const std::vector<std::string> framings { "Content-Length: 100000000000000\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n", "Connection: close\r\n\r\n" };
    const std::vector<std::size_t> pieceSizes { 65'536, 1 };
    for (const auto& framing : framings) {
        for (const auto pieceSize : pieceSizes) {
            for (const bool isRouteTimeout : { false, true }) {
                std::promise<Clock::time_point> closed;
                RawTarget target([&](RawConnection& peer, unsigned) {
                    peer.readMessage();
                    peer.send("HTTP/1.1 200 OK\r\n" + names.requestId + ": 1\r\n" + names.signature + ": proof\r\n"
                        + framing + std::string(300'000, 'x'));
                    const std::string piece(pieceSize, 'x');
                    while (peer.sendFor(piece, 5s))
                        std::this_thread::sleep_for(10ms);
                    closed.set_value(Clock::now());
                });
                FlowFixture f;
                f.ports = { { "t", target.port() } };
                f.callerDeadline = isRouteTimeout ? 8s : milliseconds(deadline);
                f.publish(1, RequestKind::NonIdempotent, isRouteTimeout ? milliseconds(deadline) : 8s);
                f.placement.grants = { "t" };
                const auto caller = f.start();
                const auto startedAt = Clock::now();
                caller->send(f.request("1", "POST", "a"));
                const auto received = caller->readAll();
                BOOST_TEST((Clock::now() - startedAt < deadline + maxDelay));
                BOOST_TEST(received.starts_with("HTTP/1.1 200"));
                BOOST_TEST(caller->wasReset());
                BOOST_TEST((closed.get_future().get() - startedAt < deadline + maxDelay));
                f.waitUntilDone();
                BOOST_REQUIRE(f.placement.outcomes.size() == 1u);
                BOOST_TEST((f.placement.outcomes.front().verdict != health::Verdict::Good));
            }
        }
    }
}

// Guards against a connection to a target that stays open after the deadline, because the caller takes nothing.
BOOST_FIXTURE_TEST_CASE(longResponseEndsAtTheDeadlineIfTheCallerTakesNothing, FlowFixture)
{
    std::promise<Clock::time_point> closed;
    RawTarget target([&](RawConnection& peer, unsigned) {
        peer.readMessage();
        peer.send("HTTP/1.1 200 OK\r\n" + names.requestId + ": 1\r\n" + names.signature
            + ": proof\r\nContent-Length: 1000000000\r\n\r\n");
        while (peer.sendFor(std::string(65'536, 'x'), 5s)) { }
        closed.set_value(Clock::now());
    });
    ports = { { "t", target.port() } };
    publish(1, RequestKind::NonIdempotent, 800ms);
    placement.grants = { "t" };
    const auto caller = start();
    const auto startedAt = Clock::now();
    caller->send(request("1", "POST", "a"));
    BOOST_TEST((closed.get_future().get() - startedAt < 800ms + 500ms));
    BOOST_TEST(caller->readAll().size() < 1'000'000'000u);
    BOOST_TEST(caller->wasReset());
    waitUntilDone();
    BOOST_REQUIRE(placement.outcomes.size() == 1u);
    BOOST_TEST((placement.outcomes.front().verdict == health::Verdict::Cancelled));
}

// Guards against a long response that waits for an earlier one beyond its deadline, and then ends the connection.
BOOST_FIXTURE_TEST_CASE(overdueLongResponseIsReplaced, FlowFixture)
{
    const std::string body(3'000'000, 'x');
    RawTarget target(answering([&](const std::string& text) {
        const auto id = headerOf(text, names.requestId);
        if (id == "1")
            std::this_thread::sleep_for(900ms);
        return response(id, id == "2" ? body : "short");
    }));
    ports = { { "t", target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "t", "t", "t" };
    const auto caller = start();
    caller->send(request("1", "POST", "a"));
    callerDeadline = 400ms;
    caller->send(request("2", "POST", "b"));
    callerDeadline = 1500ms;
    caller->send(request("3", "POST", "c"));
    BOOST_TEST(caller->readMessage().starts_with("HTTP/1.1 200"));
    const auto second = caller->readMessage();
    BOOST_TEST(second.starts_with("HTTP/1.1 504"));
    BOOST_TEST(headerOf(second, names.requestId) == "2");
    BOOST_TEST(caller->readMessage().starts_with("HTTP/1.1 200"));
}

// Guards against a target that fills the memory of the process with bytes that are no response and have no end: in a
// head, in interim responses, in responses to other requests, and in the framing of a body.
BOOST_FIXTURE_TEST_CASE(headsWithoutEndDoNotFillTheMemory, FlowFixture)
{
    constexpr unsigned callerCount = 200;
    constexpr std::size_t maxGrowth = std::size_t { 64 } << 20;
    const std::string head = "HTTP/1.1 200 OK\r\n" + names.requestId + ": 1\r\n" + names.signature + ": proof\r\n";
    const std::string filler(65'536, 'x');
    const std::vector<std::pair<std::string, std::string>> streams { { "", filler }, { head + "X-Long: ", filler },
        { "", "HTTP/1.1 103 Early Hints\r\nX-Long: " + filler.substr(0, 32'768) + "\r\n\r\n" },
        { "HTTP/1.1 200 OK\r\n" + names.requestId + ": 2\r\nTransfer-Encoding: chunked\r\n\r\n",
            "10000\r\n" + filler + "\r\n" },
        { head + "Transfer-Encoding: chunked\r\n\r\n1;a=", filler } };
    RawTarget target([&](RawConnection& peer, unsigned n) {
        peer.readMessage();
        const auto& [begin, piece] = streams[n % streams.size()];
        peer.send(begin);
        while (peer.sendFor(piece, 300ms)) { }
    });
    ports = { { "t", target.port() } };
    publish(1, RequestKind::NonIdempotent, 1500ms);
    placement.grants.assign(callerCount, "t");
    Callers callers;
    BOOST_TEST(measureGrowth(*this, callerCount, 1000ms, callers) < maxGrowth);
    for (auto& it : callers)
        BOOST_TEST(!it->readMessage().starts_with("HTTP/1.1 2"));
}
