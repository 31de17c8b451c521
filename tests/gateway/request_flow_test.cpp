#define BOOST_TEST_MODULE RequestFlow
#include <boost/test/unit_test.hpp>

#include "flow_fixture.h"

using namespace buckthorncroft;
using namespace buckthorncroft::test;
using config::RequestKind;

namespace {

std::string statusOf(const std::string& message)
{
    return message.substr(0, 12);
}

/// Closes the connection after reading a request.
RawTarget::Script closingWithoutResponse()
{
    return [](RawConnection& peer, unsigned) { peer.readMessage(); };
}

} // namespace

// Guards against a crash that a simulated day found: new routes were published during a request, and its retry took
// them while the request still used its old route.
BOOST_FIXTURE_TEST_CASE(newRoutesDuringARequestDoNotAffectIt, FlowFixture)
{
    RawTarget bad(closingWithoutResponse());
    RawTarget good(answering([&](const std::string&) { return response("1", "whole"); }));
    ports = { { "bad", bad.port() }, { "good", good.port() } };
    publish(1, RequestKind::Idempotent, 2000ms);
    placement.grants = { "bad", "good" };
    std::uint64_t version = 1;
    placement.beforeSlotResult = [&] { publish(++version, RequestKind::Idempotent, 2000ms); };
    const auto caller = start();
    caller->send(request("1"));
    BOOST_TEST(caller->readMessage().ends_with("whole"));
}

// Guards against rejecting requests that arrive after a start, before the first routes. In a simulated day, 19 requests
// were rejected in the second after all instances had lost power.
BOOST_FIXTURE_TEST_CASE(requestBeforeTheFirstRoutesWaitsForThem, FlowFixture)
{
    RawTarget target(answering([&](const std::string&) { return response("1", "whole"); }));
    ports = { { "t", target.port() } };
    placement.grants = { "t" };
    snapshots.publish(std::make_shared<const gateway::GatewaySnapshot>());
    const auto caller = start();
    caller->send(request("1"));
    std::this_thread::sleep_for(100ms);
    publish(1, RequestKind::Idempotent, 2000ms);
    BOOST_TEST(caller->readMessage().ends_with("whole"));
}

// Guards against a retry that no retry budget counts: after a reset on a reused connection, the request was sent to the
// same target again.
BOOST_FIXTURE_TEST_CASE(resetOfAReusedConnectionIsAFailedAttempt, FlowFixture)
{
    RawTarget target([&](RawConnection& peer, unsigned) {
        peer.readMessage();
        peer.send(response("1", "first"));
        peer.readMessage();
    });
    ports = { { "t", target.port() } };
    publish(1, RequestKind::Idempotent, 2000ms);
    placement.grants = { "t", "t" };
    const auto caller = start();
    caller->send(request("1"));
    caller->readMessage();
    caller->send(request("2"));
    BOOST_TEST(statusOf(caller->readMessage()) == "HTTP/1.1 502");
    BOOST_TEST(target.connections() == 1u);
}

// Guards against sending a non-idempotent request to a second target although the first may have run it.
BOOST_FIXTURE_TEST_CASE(requestThatMayHaveRunIsNotRepeated, FlowFixture)
{
    RawTarget bad(closingWithoutResponse());
    RawTarget good(answering([&](const std::string&) { return response("1", "twice"); }));
    ports = { { "bad", bad.port() }, { "good", good.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "bad", "good" };
    const auto caller = start();
    caller->send(request("1", "POST", "book"));
    BOOST_TEST(statusOf(caller->readMessage()) == "HTTP/1.1 502");
    BOOST_TEST(good.connections() == 0u);
}

// Guards against losing a non-idempotent request that a target has refused without running it.
BOOST_FIXTURE_TEST_CASE(requestThatDidNotRunGoesToAnotherTarget, FlowFixture)
{
    RawTarget full(answering([&](const std::string&) {
        return "HTTP/1.1 503 Busy\r\n" + names.notRun + ": 1\r\nContent-Length: 0\r\n\r\n";
    }));
    RawTarget good(answering([&](const std::string&) { return response("1", "booked"); }));
    ports = { { "full", full.port() }, { "good", good.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "full", "good" };
    const auto caller = start();
    caller->send(request("1", "POST", "book"));
    BOOST_TEST(caller->readMessage().ends_with("booked"));
}

// Guards against a rejection without Retry-After.
BOOST_FIXTURE_TEST_CASE(rejectionHasRetryAfter, FlowFixture)
{
    const auto caller = start();
    caller->send(request("1"));
    const auto message = caller->readMessage();
    BOOST_TEST(statusOf(message) == "HTTP/1.1 503");
    BOOST_TEST(headerOf(message, "Retry-After") == "0.250");
}

// Guards against relaying a response as successful that is unsigned, belongs to another request, was re-encoded in
// transit or is truncated.
BOOST_FIXTURE_TEST_CASE(unverifiedResponsesAreFailures, FlowFixture)
{
    const std::vector<std::string> bad {
        "HTTP/1.1 200 OK\r\n" + names.requestId + ": 1\r\nContent-Length: 2\r\n\r\nno",
        "HTTP/1.1 200 OK\r\n" + names.signature + ": proof\r\nContent-Length: 2\r\n\r\nno",
        response("other", "no"),
        "HTTP/1.1 200 OK\r\n" + names.requestId + ": 1\r\n" + names.signature
            + ": proof\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno",
        "HTTP/1.1 200 OK\r\n" + names.requestId + ": 1\r\n" + names.signature
            + ": proof\r\nContent-Length: 9\r\n\r\nno",
    };
    std::size_t next = 0;
    RawTarget target([&](RawConnection& peer, unsigned) {
        peer.readMessage();
        peer.send(bad[next++]);
    });
    ports = { { "t", target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants.assign(bad.size(), "t");
    const auto caller = start();
    for (std::size_t n = 0; n < bad.size(); ++n) {
        caller->send(request("1", "POST", "book"));
        BOOST_TEST(statusOf(caller->readMessage()) == "HTTP/1.1 502");
    }
}

// Guards against losing a response because a late response to another request precedes it.
BOOST_FIXTURE_TEST_CASE(responseToAnotherRequestIsSkipped, FlowFixture)
{
    RawTarget target(answering([&](const std::string&) { return response("0", "late") + response("1", "own"); }));
    ports = { { "t", target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "t" };
    const auto caller = start();
    caller->send(request("1", "POST", "book"));
    BOOST_TEST(caller->readMessage().ends_with("own"));
}

// Guards against a response to the caller that is sent after the route's timeout.
BOOST_FIXTURE_TEST_CASE(unresponsiveTargetFailsAtTheTimeout, FlowFixture)
{
    RawTarget target([](RawConnection& peer, unsigned) {
        peer.readMessage();
        peer.readAll();
    });
    ports = { { "t", target.port() } };
    publish(1, RequestKind::NonIdempotent, 300ms);
    placement.grants = { "t" };
    const auto caller = start();
    caller->send(request("1", "POST", "book"));
    BOOST_TEST(statusOf(caller->readMessage()) == "HTTP/1.1 504");
    stopTraffic();
    BOOST_TEST((placement.outcomes.back().verdict == health::Verdict::Cancelled
        || placement.outcomes.back().verdict == health::Verdict::TimedOut));
}

// Guards against sending a target more time than remains, and against a request that is served by a target other than
// the chosen one.
BOOST_FIXTURE_TEST_CASE(targetsReceiveTheRemainingTimeAndTheirId, FlowFixture)
{
    std::string seen;
    RawTarget target(answering([&](const std::string& text) {
        seen = text;
        return response("1", "x");
    }));
    ports = { { "t", target.port() } };
    publish(1, RequestKind::Idempotent, 800ms);
    placement.grants = { "t" };
    const auto caller = start();
    caller->send(request("1"));
    caller->readMessage();
    BOOST_TEST(std::stoi(headerOf(seen, names.deadline)) <= 800);
    BOOST_TEST(headerOf(seen, names.expectedTarget) == "t");
    BOOST_TEST(headerOf(seen, names.requestId) == "1");
}

// Guards against a request that waits until its deadline, because the parser throws an exception for a field of this
// length.
BOOST_FIXTURE_TEST_CASE(longTrailerIsAFailedAttempt, FlowFixture)
{
    RawTarget target([&](RawConnection& peer, unsigned) {
        peer.readMessage();
        peer.send("HTTP/1.1 200 OK\r\n" + names.requestId + ": 1\r\n" + names.signature
            + ": proof\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n");
        peer.waitForPeerClose();
    });
    ports = { { "t", target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "t" };
    const auto caller = start();
    caller->send(request("1", "POST", "book"));
    BOOST_TEST(statusOf(caller->readMessage()) == "HTTP/1.1 502");
}

// Guards against a response that reaches another caller: the target sends a second copy late, when the connection is in
// use for the next request.
BOOST_FIXTURE_TEST_CASE(lateCopyOnAReusedConnectionIsNotTheNextResponse, FlowFixture)
{
    RawTarget target([&](RawConnection& peer, unsigned) {
        peer.readMessage();
        peer.send(response("1", "first"));
        peer.readMessage();
        peer.send(response("1", "first"));
        std::this_thread::sleep_for(50ms);
        peer.send(response("2", "second"));
        peer.readMessage();
    });
    ports = { { "t", target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "t", "t" };
    const auto caller = start();
    caller->send(request("1", "POST", "a"));
    BOOST_TEST(caller->readMessage().ends_with("first"));
    caller->send(request("2", "POST", "b"));
    BOOST_TEST(caller->readMessage().ends_with("second"));
    BOOST_TEST(target.connections() == 1u);
}

// Guards against a booking that runs at two targets, or is rejected although it runs: a target sends an earlier
// rejection once more, late and without its request id, when the connection is in use for the booking.
BOOST_FIXTURE_TEST_CASE(lateRejectionWithoutIdIsNotTrusted, FlowFixture)
{
    const std::vector<std::string> rejections { "503 Busy", "421 Misdirected Request" };
    RawTarget target([&](RawConnection& peer, unsigned n) {
        peer.send(response(headerOf(peer.readMessage(), names.requestId), "first"));
        const auto id = headerOf(peer.readMessage(), names.requestId);
        peer.send("HTTP/1.1 " + rejections.at(n) + "\r\n" + names.notRun + ": 1\r\nContent-Length: 0\r\n\r\n");
        std::this_thread::sleep_for(50ms);
        peer.send(response(id, "booked"));
        peer.readMessage();
    });
    ports = { { "t", target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants.assign(2 * rejections.size(), "t");
    const auto caller = start();
    for (std::size_t n = 0; n < rejections.size(); ++n) {
        caller->send(request("a" + std::to_string(n), "POST", "a"));
        BOOST_TEST(caller->readMessage().ends_with("first"));
        caller->send(request("b" + std::to_string(n), "POST", "b"));
        BOOST_TEST(caller->readMessage().ends_with("booked"));
    }
    stopTraffic();
    BOOST_TEST(placement.slotRequests.size() == 2 * rejections.size());
}

// Guards against a request that is reported as not run, repeated or answered by a response that may belong to an
// earlier request: without an id, on a reused connection, which the target then closes.
BOOST_FIXTURE_TEST_CASE(responseWithoutIdOnAReusedConnectionProvesNothing, FlowFixture)
{
    const auto message = [](const std::string& status, const std::string& fields) {
        return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 5\r\n\r\nstale";
    };
    const std::vector<std::string> responses { message("503 Busy", names.notRun + ": 1\r\n"),
        message("503 Busy", names.notRun + ": 1\r\nRetry-After: 1\r\n"), message("503 Busy", "Retry-After: 1\r\n"),
        message("421 Misdirected Request", ""), message("429 Too Many Requests", "Retry-After: 1\r\n"),
        message("200 OK", names.signature + ": proof\r\n"), message("500 Failed", names.signature + ": proof\r\n"),
        "HTTP/1.1 103 Early Hints\r\n" + names.notRun + ": 1\r\n\r\n" };
    RawTarget target([&](RawConnection& peer, unsigned n) {
        peer.send(response(headerOf(peer.readMessage(), names.requestId), "first"));
        peer.readMessage();
        peer.send(responses.at(n));
    });
    ports = { { "t", target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants.assign(2 * responses.size(), "t");
    const auto caller = start();
    for (std::size_t n = 0; n < responses.size(); ++n) {
        caller->send(request("a" + std::to_string(n), "POST", "a"));
        BOOST_TEST(caller->readMessage().ends_with("first"));
        caller->send(request("b" + std::to_string(n), "POST", "b"));
        const auto received = caller->readMessage();
        BOOST_TEST(statusOf(received) == "HTTP/1.1 502", responses[n] << " -> " << received);
    }
    stopTraffic();
    BOOST_TEST(target.connections() == responses.size());
    BOOST_TEST(placement.slotRequests.size() == 2 * responses.size());
}

// Guards against a response that arrived before its request was sent, with or without an id.
BOOST_FIXTURE_TEST_CASE(unsolicitedResponseEndsItsConnection, FlowFixture)
{
    RawTarget target([&](RawConnection& peer, unsigned n) {
        const auto id = headerOf(peer.readMessage(), names.requestId);
        peer.send(response(id, "booked"));
        if (n < 2)
            peer.send(n == 0 ? response("2", "stale") : "HTTP/1.1 503 Busy\r\n" + names.notRun + ": 1\r\n\r\n");
    });
    ports = { { "t", target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "t", "t", "t" };
    const auto caller = start();
    for (const auto* id : { "1", "2", "3" }) {
        caller->send(request(id, "POST", "a"));
        BOOST_TEST(caller->readMessage().ends_with("booked"));
        std::this_thread::sleep_for(50ms);
    }
    stopTraffic();
    BOOST_TEST(target.connections() == 3u);
}

// Guards against an announcement of a leaving target that is not passed on, whatever the status of the response.
BOOST_FIXTURE_TEST_CASE(leavingTargetsAreReported, FlowFixture)
{
    const auto announcing = [this](const std::string& text) {
        return text.substr(0, text.find("\r\n") + 2) + names.leaving + ": 1\r\n" + text.substr(text.find("\r\n") + 2);
    };
    const std::vector<std::string> responses { announcing(response("1", "ok")),
        announcing(response("1", "no", "500 Failed")),
        announcing(
            "HTTP/1.1 503 Busy\r\n" + names.requestId + ": 1\r\n" + names.notRun + ": 1\r\nContent-Length: 0\r\n\r\n"),
        response("1", "ok") };
    std::size_t next = 0;
    RawTarget target(answering([&](const std::string&) { return responses[next++]; }));
    ports = { { "t", target.port() } };
    publish(1, RequestKind::NonIdempotent, 2000ms);
    placement.grants = { "t", "t", "t", "t" };
    const auto caller = start();
    for (std::size_t n = 0; n < responses.size(); ++n) {
        caller->send(request("1", "POST", "book"));
        caller->readMessage();
    }
    stopTraffic();
    BOOST_REQUIRE(placement.outcomes.size() == responses.size());
    for (std::size_t n = 0; n < responses.size(); ++n)
        BOOST_TEST(placement.outcomes[n].targetLeaving == (n < 3));
}

// Guards against requests to a target inside the time that it named when it refused one, and against a slot of it that
// is never released.
BOOST_FIXTURE_TEST_CASE(pausedTargetReceivesNoRequests, FlowFixture)
{
    RawTarget full(answering([&](const std::string&) {
        return "HTTP/1.1 503 Busy\r\n" + names.notRun + ": 1\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n";
    }));
    RawTarget good(
        answering([&](const std::string& text) { return response(headerOf(text, names.requestId), "booked"); }));
    ports = { { "full", full.port() }, { "good", good.port() } };
    publish(1, RequestKind::NonIdempotent, 3000ms);
    placement.grants = { "full", "good", "full", "good" };
    const auto caller = start();
    for (const auto* id : { "1", "2" }) {
        caller->send(request(id, "POST", "book"));
        BOOST_TEST(caller->readMessage().ends_with("booked"));
    }
    stopTraffic();
    BOOST_TEST(full.connections() == 1u);
    BOOST_TEST((placement.outcomes.front().retryAfter == 1500ms));
    BOOST_TEST((placement.outcomes.front().verdict == health::Verdict::Shed));
    BOOST_TEST(placement.outcomes.size() == 4u);
    const auto& excluded = placement.slotRequests.at(2).excluded;
    BOOST_TEST((std::find(excluded.begin(), excluded.end(), "full") != excluded.end()));
}

// Guards against a caller that is asked to return before any target accepts requests, and against values of Retry-After
// that are not a time.
BOOST_FIXTURE_TEST_CASE(callerReturnsAfterTheEndOfThePause, FlowFixture)
{
    std::string retryAfter = "0.9";
    RawTarget full(answering([&](const std::string&) {
        return "HTTP/1.1 503 Busy\r\n" + names.notRun + ": 1\r\nRetry-After: " + retryAfter
            + "\r\nContent-Length: 0\r\n\r\n";
    }));
    ports = { { "full", full.port() } };
    publish(1, RequestKind::NonIdempotent, 60'000ms);
    placement.grants = { "full" };
    const auto caller = start();
    const auto send = [&] {
        auto text = request("1", "POST", "book");
        caller->send(text.replace(text.find(": 1500"), 6, ": 60000"));
        return std::stod(headerOf(caller->readMessage(), "Retry-After"));
    };
    BOOST_TEST(send() > 0.8);
    stopTraffic();
    for (const auto* value : { "-1", "nan", "inf", "soon", "1e400", "Fri, 01 Jan 2027 00:00:00 GMT" }) {
        retryAfter = value;
        FlowFixture other;
        other.ports = ports;
        other.publish(1, RequestKind::NonIdempotent, 2000ms);
        other.placement.grants = { "full" };
        const auto otherCaller = other.start();
        otherCaller->send(other.request("1", "POST", "book"));
        BOOST_TEST(headerOf(otherCaller->readMessage(), "Retry-After") == "0.250");
    }
}

// Guards against a slot that stays in use for good, because its grant arrives after the end of the request.
BOOST_FIXTURE_TEST_CASE(grantAfterTheEndOfTheRequestIsReleased, FlowFixture)
{
    RawTarget target(answering([&](const std::string&) { return response("1", "x"); }));
    ports = { { "t", target.port() } };
    publish(1, RequestKind::Idempotent, 300ms);
    placement.grants = { "t" };
    placement.slotDelay = 500ms;
    const auto caller = start();
    caller->send(request("1"));
    BOOST_TEST(statusOf(caller->readMessage()) == "HTTP/1.1 503");
    std::this_thread::sleep_for(400ms);
    stopTraffic();
    BOOST_REQUIRE(placement.outcomes.size() == 1u);
    BOOST_TEST((placement.outcomes.front().verdict == health::Verdict::Cancelled));
}
