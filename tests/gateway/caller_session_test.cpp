#define BOOST_TEST_MODULE CallerSession
#include <boost/test/unit_test.hpp>

#include "flow_fixture.h"

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
