#define BOOST_TEST_MODULE CallerSession
#include <boost/test/unit_test.hpp>

#include "flow_fixture.h"

#include <future>

using namespace buckthorncroft;
using namespace buckthorncroft::test;
using config::RequestKind;

namespace {

/// A target that echoes the id of each request in the body, and delays the response to the first request until after
/// the second.
struct ReversingTarget {
    explicit ReversingTarget(FlowFixture& fixture)
        : target([this, &fixture](RawConnection& peer, unsigned) {
            const auto request = peer.readMessage();
            const auto id = headerOf(request, fixture.names.requestId);
            if (id == "1")
                std::this_thread::sleep_for(100ms);
            peer.send(fixture.response(id, "body " + id));
        })
    {
    }

    RawTarget target;
};

} // namespace

// Guards against responses to pipelined requests that are sent out of order when targets respond out of order.
BOOST_FIXTURE_TEST_CASE(responsesKeepTheOrderOfTheRequests, FlowFixture)
{
    ReversingTarget reversing(*this);
    ports = { { "t", reversing.target.port() } };
    publish(1, RequestKind::Idempotent, 2000ms);
    placement.grants = { "t", "t", "t" };
    const auto caller = start();
    caller->send(request("1") + request("2") + request("3"));
    for (const auto* id : { "1", "2", "3" })
        BOOST_TEST(caller->readMessage().ends_with(std::string("body ") + id));
}

// Guards against an attempt that keeps running at a target after its caller has disconnected.
BOOST_FIXTURE_TEST_CASE(callerDisconnectCancelsItsAttempt, FlowFixture)
{
    std::atomic<bool> closed { false };
    RawTarget target([&](RawConnection& peer, unsigned) {
        peer.readMessage();
        closed = peer.waitForPeerClose();
    });
    ports = { { "t", target.port() } };
    publish(1, RequestKind::Idempotent, 8000ms);
    placement.grants = { "t" };
    const auto caller = start();
    caller->send(request("1"));
    while (target.connections() == 0)
        std::this_thread::sleep_for(1ms);
    caller->close();
    for (int n = 0; n < 3000 && !closed; ++n)
        std::this_thread::sleep_for(1ms);
    BOOST_TEST(closed);
}

// Guards against a malformed request that reaches a target, and against the bytes after it being parsed as a request.
BOOST_FIXTURE_TEST_CASE(malformedRequestsAreRefusedAndTheConnectionEnds, FlowFixture)
{
    const auto caller = start();
    caller->send("GET /r/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello");
    BOOST_TEST(caller->readMessage().starts_with("HTTP/1.1 400"));
    BOOST_TEST(caller->waitForPeerClose());
    stopTraffic();
    BOOST_TEST(placement.slotRequests.empty());
}

// Guards against a request inside the body of another one that is run: the coding of that body is not supported, and a
// pending response delays the rejection.
BOOST_FIXTURE_TEST_CASE(requestInsideABodyIsNotRun, FlowFixture)
{
    std::atomic<bool> released { false };
    RawTarget target([&](RawConnection& peer, unsigned) {
        peer.readMessage();
        while (!released)
            std::this_thread::sleep_for(1ms);
        peer.send(response("1", "found"));
    });
    ports = { { "t", target.port() } };
    publish(1, RequestKind::Idempotent, 2000ms);
    placement.grants = { "t", "t", "t" };
    const auto caller = start();
    caller->send(request("1") + "POST /r/x HTTP/1.1\r\nHost: h\r\n" + names.requestId
        + ": 2\r\nTransfer-Encoding: gzip\r\n\r\n" + request("3", "POST", "c"));
    std::this_thread::sleep_for(100ms);
    released = true;
    BOOST_TEST(caller->readMessage().ends_with("found"));
    const auto rejection = caller->readMessage();
    BOOST_TEST(rejection.starts_with("HTTP/1.1 400"));
    BOOST_TEST(headerOf(rejection, names.requestId) == "2");
    BOOST_TEST(caller->waitForPeerClose());
    stopTraffic();
    BOOST_TEST(placement.slotRequests.size() == 1u);
}

// Guards against 404 for a request that newer routes may allow, and against a crash when there are no routes.
BOOST_FIXTURE_TEST_CASE(requestsWithoutRoutesGetRetryAfter, FlowFixture)
{
    snapshots.publish(std::make_shared<const gateway::GatewaySnapshot>());
    const auto caller = start();
    caller->send(request("1"));
    const auto message = caller->readMessage();
    BOOST_TEST(message.starts_with("HTTP/1.1 503"));
    BOOST_TEST(!headerOf(message, "Retry-After").empty());
}

// Guards against a stop that aborts a request, or that leaves its connection open for further requests.
BOOST_FIXTURE_TEST_CASE(stopCompletesRequestsInFlightAndClosesTheConnection, FlowFixture)
{
    RawTarget target([&](RawConnection& peer, unsigned) {
        peer.readMessage();
        std::this_thread::sleep_for(100ms);
        peer.send(response("1", "whole"));
    });
    ports = { { "t", target.port() } };
    publish(1, RequestKind::Idempotent, 2000ms);
    placement.grants = { "t" };
    const auto caller = start();
    caller->send(request("1"));
    while (target.connections() == 0)
        std::this_thread::sleep_for(1ms);
    http::asio::post(io, [this] { context.stopping = context.closingIdleConnections = true; });
    const auto message = caller->readMessage();
    BOOST_TEST(message.ends_with("whole"));
    BOOST_TEST(headerOf(message, "Connection") == "close");
    BOOST_TEST(caller->waitForPeerClose());
}

namespace {

/// A target that waits for `release` before each response, and counts its requests.
struct HeldTarget {
    explicit HeldTarget(FlowFixture& fixture)
        : target([this, &fixture](RawConnection& peer, unsigned) {
            const auto request = peer.readMessage();
            ++requestCount;
            while (!released)
                std::this_thread::sleep_for(1ms);
            const auto id = headerOf(request, fixture.names.requestId);
            peer.send(fixture.response(id, "body " + id));
        })
    {
    }
    ~HeldTarget() { released = true; }
    HeldTarget(const HeldTarget&) = delete;
    HeldTarget& operator=(const HeldTarget&) = delete;

    void waitForRequests(unsigned n) const
    {
        while (requestCount < n)
            std::this_thread::sleep_for(1ms);
    }

    std::atomic<bool> released { false };
    std::atomic<unsigned> requestCount { 0 };
    RawTarget target;
};

} // namespace

// Guards against a request that reaches a target although the connection closes before its response: it was sent behind
// another one while the process stops.
BOOST_FIXTURE_TEST_CASE(requestBehindTheLastResponseIsNotStarted, FlowFixture)
{
    HeldTarget held(*this);
    ports = { { "t", held.target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "t", "t" };
    const auto caller = start();
    caller->send(request("1", "POST", "a"));
    held.waitForRequests(1);
    http::asio::post(io, [this] { context.stopping = true; });
    caller->send(request("2", "POST", "b"));
    std::this_thread::sleep_for(100ms);
    held.released = true;
    const auto message = caller->readMessage();
    BOOST_TEST(message.ends_with("body 1"));
    BOOST_TEST(headerOf(message, "Connection") == "close");
    BOOST_TEST(caller->waitForPeerClose());
    BOOST_TEST(held.requestCount == 1u);
}

// Guards against a response that is lost because the connection closes after an earlier one. Both requests were at
// their targets when the process began to stop.
BOOST_FIXTURE_TEST_CASE(stopAnswersAllRequestsThatWereStarted, FlowFixture)
{
    HeldTarget held(*this);
    ports = { { "t", held.target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "t", "t" };
    const auto caller = start();
    caller->send(request("1", "POST", "a") + request("2", "POST", "b"));
    held.waitForRequests(2);
    http::asio::post(io, [this] { context.stopping = context.closingKeptConnections = true; });
    std::this_thread::sleep_for(20ms);
    held.released = true;
    BOOST_TEST(headerOf(caller->readMessage(), "Connection").empty());
    const auto last = caller->readMessage();
    BOOST_TEST(last.ends_with("body 2"));
    BOOST_TEST(headerOf(last, "Connection") == "close");
    BOOST_TEST(caller->waitForPeerClose());
}

// Guards against a stop that closes a connection which was accepted late and whose request is on its way, and against
// one that keeps idle connections.
BOOST_FIXTURE_TEST_CASE(stopServesNewConnectionsAndClosesKeptOnes, FlowFixture)
{
    HeldTarget held(*this);
    held.released = true;
    ports = { { "t", held.target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "t", "t" };
    const auto kept = start();
    kept->send(request("1", "POST", "a"));
    BOOST_TEST(kept->readMessage().ends_with("body 1"));
    // A session that resumes after its response while the process stops may close the connection at once.
    BOOST_REQUIRE(waitUntilIdle(0));
    std::promise<std::shared_ptr<RawConnection>> accepted;
    http::asio::post(io, [&] {
        context.stopping = context.closingKeptConnections = true;
        accepted.set_value(connectCaller());
    });
    const auto late = accepted.get_future().get();
    std::this_thread::sleep_for(100ms);
    late->send(request("2", "POST", "b"));
    const auto message = late->readMessage();
    BOOST_TEST(message.ends_with("body 2"));
    BOOST_TEST(headerOf(message, "Connection") == "close");
    kept->send(request("3", "POST", "c"));
    BOOST_TEST(kept->readMessage().starts_with("HTTP/1.1 503"));
    BOOST_TEST(kept->waitForPeerClose());
}

// Guards against a request whose connection closes without a response at the end of the grace period.
BOOST_FIXTURE_TEST_CASE(requestsGetAFinalResponseBeforeTheProcessExits, FlowFixture)
{
    HeldTarget held(*this);
    ports = { { "t", held.target.port() } };
    publish(1, RequestKind::NonIdempotent, 9000ms);
    placement.grants = { "t" };
    const auto caller = start();
    caller->send(request("1", "POST", "a"));
    held.waitForRequests(1);
    http::asio::post(io, [this] {
        context.stopping = true;
        for (const auto& it : sessions) {
            if (const auto session = it.lock())
                session->endRequests();
        }
    });
    BOOST_TEST(caller->readMessage().starts_with("HTTP/1.1 502"));
    BOOST_TEST(caller->waitForPeerClose());
}

// Guards against a request that a target runs although the process ends before the response is due.
BOOST_FIXTURE_TEST_CASE(requestThatMayOutliveTheProcessIsRejected, FlowFixture)
{
    HeldTarget held(*this);
    ports = { { "t", held.target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "t" };
    context.stopping = true;
    context.stopSchedule = { clock.now(), clock.now(), clock.now() + 1000ms };
    const auto caller = start();
    caller->send(request("1", "POST", "a"));
    const auto message = caller->readMessage();
    BOOST_TEST(message.starts_with("HTTP/1.1 503"));
    BOOST_TEST(headerOf(message, "Retry-After") == "0.100");
    BOOST_TEST(caller->waitForPeerClose());
    stopTraffic();
    BOOST_TEST(placement.slotRequests.empty());
}

// Guards against a request that waits for a slot and is passed on too late for its target to finish before the process
// ends.
BOOST_FIXTURE_TEST_CASE(requestThatWaitsUntilLateInAStopIsNotPassedOn, FlowFixture)
{
    HeldTarget held(*this);
    ports = { { "t", held.target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "t" };
    placement.slotDelay = 400ms;
    context.stopping = true;
    context.stopSchedule = { clock.now(), clock.now() + 200ms, clock.now() + 1000ms };
    const auto caller = start();
    caller->send(request("1", "POST", "a"));
    const auto message = caller->readMessage();
    BOOST_TEST(message.starts_with("HTTP/1.1 503"));
    BOOST_TEST(headerOf(message, "Retry-After") == "0.100");
    BOOST_TEST(caller->waitForPeerClose());
    stopTraffic();
    BOOST_TEST(placement.slotRequests.size() == 1U);
    BOOST_TEST(held.target.connections() == 0U);
}

// Guards against callers that return too soon to a service without free slots, because the instance stops.
BOOST_FIXTURE_TEST_CASE(refusalOfAServiceKeepsItsRetryAfterInAStop, FlowFixture)
{
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.slotDelay = 400ms;
    context.stopping = true;
    context.stopSchedule = { clock.now(), clock.now() + 200ms, clock.now() + 1000ms };
    const auto caller = start();
    caller->send(request("1", "POST", "a"));
    const auto message = caller->readMessage();
    BOOST_TEST(message.starts_with("HTTP/1.1 503"));
    BOOST_TEST(headerOf(message, "Retry-After") == "0.250");
    stopTraffic();
    BOOST_TEST(placement.slotRequests.size() == 1U);
}

// Guards against a second attempt that starts when the process is about to end, and against giving up an idempotent
// request earlier.
BOOST_AUTO_TEST_CASE(idempotentRequestsAreRepeatedUntilShortlyBeforeTheEndOfAStop)
{
    for (const bool isShortlyBefore : { false, true }) {
        FlowFixture fixture;
        HeldTarget second(fixture);
        second.released = true;
        RawTarget first([](RawConnection& peer, unsigned) {
            peer.readMessage();
            std::this_thread::sleep_for(400ms);
        });
        fixture.ports = { { "f", first.port() }, { "t", second.target.port() } };
        fixture.publish(1, RequestKind::Idempotent, 2000ms);
        fixture.placement.grants = { "f", "t" };
        const auto now = fixture.clock.now();
        fixture.context.stopping = true;
        fixture.context.stopSchedule = { now, now + 200ms, now + (isShortlyBefore ? 450ms : 1200ms) };
        const auto caller = fixture.start();
        caller->send(fixture.request("1"));
        BOOST_TEST(caller->readMessage().starts_with(isShortlyBefore ? "HTTP/1.1 502" : "HTTP/1.1 200"));
        fixture.stopTraffic();
        BOOST_TEST(second.target.connections() == (isShortlyBefore ? 0U : 1U));
    }
}

// Guards against a queued request that a stopping instance rejects only when it gets a slot or its deadline passes.
BOOST_FIXTURE_TEST_CASE(waitingRequestsAreRejectedWhenItIsTooLateInAStop, FlowFixture)
{
    HeldTarget held(*this);
    ports = { { "t", held.target.port() } };
    publish(1, RequestKind::NonIdempotent, 9000ms);
    callerDeadline = 9000ms;
    placement.grants = { "t" };
    placement.slotDelay = 8000ms;
    const auto caller = start();
    caller->send(request("1", "POST", "a"));
    std::this_thread::sleep_for(100ms);
    http::asio::post(io, [this] {
        context.stopping = true;
        context.stopSchedule = { clock.now(), clock.now(), clock.now() + 1000ms };
        for (const auto& it : sessions) {
            if (const auto session = it.lock())
                session->rejectWaitingRequests();
        }
    });
    BOOST_TEST(caller->readMessage().starts_with("HTTP/1.1 503"));
    BOOST_TEST(caller->waitForPeerClose());
    stopTraffic();
    BOOST_TEST(placement.withdrawn == 1U);
}

// Guards against a request that one target rejects and that reaches another too late in a stop.
BOOST_FIXTURE_TEST_CASE(requestRejectedByItsTargetLateInAStopIsNotPassedOn, FlowFixture)
{
    HeldTarget held(*this);
    RawTarget rejecting(answering([this](const std::string& message) {
        std::this_thread::sleep_for(300ms);
        return "HTTP/1.1 503 Busy\r\n" + names.requestId + ": " + headerOf(message, names.requestId) + "\r\n"
            + names.notRun + ": 1\r\nContent-Length: 0\r\n\r\n";
    }));
    ports = { { "r", rejecting.port() }, { "t", held.target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "r", "t" };
    context.stopping = true;
    context.stopSchedule = { clock.now(), clock.now() + 200ms, clock.now() + 1000ms };
    const auto caller = start();
    caller->send(request("1", "POST", "a"));
    BOOST_TEST(caller->readMessage().starts_with("HTTP/1.1 503"));
    BOOST_TEST(caller->waitForPeerClose());
    stopTraffic();
    BOOST_TEST(rejecting.connections() == 1U);
    BOOST_TEST(held.target.connections() == 0U);
}

// Guards against a complete response of a target that is replaced by one of the instance at the end of a stop.
BOOST_FIXTURE_TEST_CASE(targetsFailureIsRelayedAtTheEndOfAStop, FlowFixture)
{
    HeldTarget held(*this);
    RawTarget failing(answering([this](const std::string& message) {
        return response(headerOf(message, names.requestId), "failed", "500 Internal Server Error");
    }));
    ports = { { "f", failing.port() }, { "t", held.target.port() } };
    publish(1, RequestKind::Idempotent, 9000ms);
    placement.grants = { "f", "t" };
    const auto caller = start();
    caller->send(request("1"));
    held.waitForRequests(1);
    http::asio::post(io, [this] {
        context.stopping = true;
        for (const auto& it : sessions) {
            if (const auto session = it.lock())
                session->endRequests();
        }
    });
    const auto message = caller->readMessage();
    BOOST_TEST(message.starts_with("HTTP/1.1 500"));
    BOOST_TEST(headerOf(message, names.signature) == "proof");
}

// Guards against rejecting a request that ends before the process does, whatever its target does.
BOOST_FIXTURE_TEST_CASE(requestThatEndsBeforeTheProcessIsServed, FlowFixture)
{
    HeldTarget held(*this);
    held.released = true;
    ports = { { "t", held.target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "t" };
    context.stopping = true;
    context.stopSchedule = { clock.now(), clock.now(), clock.now() + 5000ms };
    const auto caller = start();
    caller->send(request("1", "POST", "a"));
    BOOST_TEST(caller->readMessage().ends_with("body 1"));
}

namespace {

/// Calls `change` for each session on the traffic thread, after the stop of the process was scheduled.
void stopSessions(FlowFixture& fixture, std::chrono::milliseconds endsIn, void (gateway::CallerSession::*change)())
{
    std::promise<void> done;
    http::asio::post(fixture.io, [&] {
        const auto now = fixture.clock.now();
        fixture.context.stopping = true;
        fixture.context.stopSchedule = { now, now, now + endsIn };
        for (const auto& it : fixture.sessions) {
            if (const auto session = it.lock())
                (*session.*change)();
        }
        done.set_value();
    });
    done.get_future().get();
}

/// Checks the rejection of a request that has not run because the process stops.
void checkStopRejection(FlowFixture& fixture, const std::string& message, const std::string& id)
{
    BOOST_TEST(message.starts_with("HTTP/1.1 503"));
    BOOST_TEST(headerOf(message, "Retry-After") == "0.100");
    BOOST_TEST(headerOf(message, "Connection") == "close");
    BOOST_TEST(headerOf(message, fixture.names.requestId) == id);
}

} // namespace

// Guards against an upload that gets no response in a stop, or only after a wait for the rest of its body, and against
// running it or a request inside its body.
BOOST_FIXTURE_TEST_CASE(incompleteUploadIsRejectedWhenItIsTooLateInAStop, FlowFixture)
{
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "t", "t" };
    const auto caller = start();
    const auto inner = request("2", "POST", "b");
    const auto whole = request("1", "POST", inner + inner);
    caller->send(whole.substr(0, whole.size() - inner.size()));
    std::this_thread::sleep_for(50ms);
    stopSessions(*this, 1000ms, &gateway::CallerSession::rejectWaitingRequests);
    checkStopRejection(*this, caller->readMessage(), "1");
    caller->send(inner + inner);
    BOOST_TEST(caller->waitForPeerClose());
    waitUntilDone();
    BOOST_TEST(placement.slotRequests.empty());
}

// Guards against a caller that is told to send a body which will be rejected.
BOOST_FIXTURE_TEST_CASE(uploadThatBeginsTooLateInAStopIsRejectedAtOnce, FlowFixture)
{
    publish(1, RequestKind::NonIdempotent, 2000ms);
    context.stopping = true;
    context.stopSchedule = { clock.now(), clock.now(), clock.now() + 1000ms };
    const auto caller = start();
    const auto whole = request("1", "POST", "body");
    caller->send(whole.substr(0, whole.size() - 6) + "Expect: 100-continue\r\n\r\n");
    checkStopRejection(*this, caller->readMessage(), "1");
    BOOST_TEST(caller->waitForPeerClose());
}

// Guards against an upload that is cut at the end of a stop, or rejected although it could end before the process.
BOOST_FIXTURE_TEST_CASE(uploadIsRejectedOnlyWhenItCannotEndBeforeTheProcess, FlowFixture)
{
    HeldTarget held(*this);
    held.released = true;
    ports = { { "t", held.target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "t" };
    const auto caller = start();
    const auto served = request("1", "POST", "body");
    caller->send(served.substr(0, served.size() - 1));
    const auto cut = connectCaller();
    cut->send(request("2", "POST", "body").substr(0, served.size() - 1));
    std::this_thread::sleep_for(50ms);
    stopSessions(*this, 5000ms, &gateway::CallerSession::rejectWaitingRequests);
    caller->send("y");
    BOOST_TEST(caller->readMessage().ends_with("body 1"));
    stopSessions(*this, 5000ms, &gateway::CallerSession::endRequests);
    checkStopRejection(*this, cut->readMessage(), "2");
    cut->close();
    waitUntilDone();
    BOOST_TEST(placement.slotRequests.size() == 1U);
}

// Guards against running an upload whose rejection waits for the response to an earlier request.
BOOST_FIXTURE_TEST_CASE(rejectedUploadBehindAnotherRequestIsNotRun, FlowFixture)
{
    HeldTarget held(*this);
    ports = { { "t", held.target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "t", "t" };
    const auto caller = start();
    caller->send(
        request("1", "POST", "a") + request("2", "POST", "body").substr(0, request("2", "POST", "body").size() - 1));
    held.waitForRequests(1);
    std::this_thread::sleep_for(50ms);
    stopSessions(*this, 1000ms, &gateway::CallerSession::rejectWaitingRequests);
    caller->send("y");
    std::this_thread::sleep_for(50ms);
    held.released = true;
    BOOST_TEST(caller->readMessage().ends_with("body 1"));
    checkStopRejection(*this, caller->readMessage(), "2");
    BOOST_TEST(caller->waitForPeerClose());
    BOOST_TEST(held.requestCount == 1U);
}

// Guards against request bodies that fill the memory before their size is checked.
BOOST_FIXTURE_TEST_CASE(bodiesBeyondTheMemoryBudgetAreRejected, FlowFixture)
{
    const auto caller = start();
    caller->send("POST /r/x HTTP/1.1\r\nHost: h\r\n" + names.requestId
        + ": 1\r\nContent-Length: " + std::to_string(memory.limit() + 1) + "\r\n\r\nfirst bytes");
    const auto message = caller->readMessage();
    BOOST_TEST(message.starts_with("HTTP/1.1 503"));
    BOOST_TEST(!headerOf(message, "Retry-After").empty());
    const auto chunkedCaller = connectCaller();
    chunkedCaller->send(
        "POST /r/x HTTP/1.1\r\nHost: h\r\n" + names.requestId + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n2000000\r\n");
    const std::string piece(1 << 20, 'x');
    for (std::size_t n = 0; n <= memory.limit() / piece.size() && chunkedCaller->sendFor(piece, 1000ms); ++n) { }
    BOOST_TEST(chunkedCaller->readMessage().starts_with("HTTP/1.1 503"));
    BOOST_TEST(placement.slotRequests.empty());
}
