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

/// Responds to each request with the result of `make`.
RawTarget::Script answering(std::function<std::string(const std::string& request)> make)
{
    return [make = std::move(make)](RawConnection& peer, unsigned) {
        while (true) {
            const auto request = peer.readMessage();
            if (request.empty())
                return;
            peer.send(make(request));
        }
    };
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
