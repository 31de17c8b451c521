#define BOOST_TEST_MODULE CallerFraming
#include <boost/test/unit_test.hpp>

#include "traffic_fixture.h"

using namespace buckthorncroft;
using namespace buckthorncroft::test;

namespace {

bool startsWith(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

struct HealthyTargetFixture : ServerFixture {
    HealthyTargetFixture()
    {
        addTarget(target.port());
        start();
    }

    /// Sends raw bytes and returns everything that is received until the connection is closed.
    std::string exchange(const std::string& text)
    {
        const auto connection = caller();
        connection->send(text);
        return connection->readAll();
    }

    RawTarget target { [](RawConnection& peer, unsigned) { serveOkResponses(peer); } };
};

} // namespace

// Guards against request smuggling: two parsers of one stream that disagree on where a request ends.
BOOST_FIXTURE_TEST_CASE(contradictingFramingIsRefusedAndClosed, HealthyTargetFixture)
{
    const std::string head = "POST /book HTTP/1.1\r\nHost: s\r\n";
    for (const std::string it :
        { "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            "Content-Length: 3, 3\r\n\r\nabc", "Content-Length: -3\r\n\r\nabc", "Content-Length: +3\r\n\r\nabc",
            "Content-Length: 3x\r\n\r\nabc",
            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "Transfer-Encoding: gzip\r\n\r\nabc",
            "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n3\r\nabcde\r\n0\r\n\r\n", "Host: t\r\n\r\n", "Bad Header: x\r\n\r\n" }) {
        // The second request must not be served, because its start is ambiguous.
        const auto response = exchange(head + it + "GET /second HTTP/1.1\r\nHost: s\r\n\r\n");
        BOOST_TEST(startsWith(response, "HTTP/1.1 400 "), it << " -> " << response);
        BOOST_TEST(headerOf(response, "Buckthorncroft-Outcome") == "not-run", it);
        BOOST_TEST(response.find("HTTP/1.1", 8) == std::string::npos, it);
    }
    BOOST_TEST(target.connections() == 0u);
}

// Guards against a header block of unlimited size, and against closing the connection without a response.
BOOST_FIXTURE_TEST_CASE(largeHeaderBlockIsRefused, HealthyTargetFixture)
{
    const auto response = exchange("GET / HTTP/1.1\r\nHost: s\r\nX-Large: " + std::string(40000, 'x') + "\r\n\r\n");
    BOOST_TEST(startsWith(response, "HTTP/1.1 431 "));
    BOOST_TEST(headerOf(response, "Buckthorncroft-Outcome") == "not-run");
}

// Guards against a path with dot segments that matches an idempotent route, but that a target resolves to another path.
BOOST_FIXTURE_TEST_CASE(dotSegmentsAreRefused, HealthyTargetFixture)
{
    for (const std::string path : { "/a/../book", "/a/%2e%2E/book", "/a%2f..%2fbook", "/./book", "/a\\..\\book" }) {
        const auto response = call("GET", path, "Connection: close\r\n");
        BOOST_TEST(startsWith(response, "HTTP/1.1 400 "), path);
    }
    BOOST_TEST(startsWith(call("GET", "/a..b/c?x=/../y"), "HTTP/1.1 200 "));
}

// Guards against a body larger than the route allows, with Content-Length and chunked.
BOOST_FIXTURE_TEST_CASE(largeBodyIsRefused, HealthyTargetFixture)
{
    const std::string body(1001, 'x');
    BOOST_TEST(startsWith(call("POST", "/book", "", body), "HTTP/1.1 413 "));
    const auto response = exchange(
        "POST /book HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + body + "\r\n0\r\n\r\n");
    BOOST_TEST(startsWith(response, "HTTP/1.1 413 "));
    BOOST_TEST(target.connections() == 0u);
}

// Guards against a rejected request that is not reported as not run, and against a crash on an unknown service or
// route.
BOOST_FIXTURE_TEST_CASE(unknownServiceAndRouteAreNotRun, HealthyTargetFixture)
{
    auto response = call("DELETE", "/x");
    BOOST_TEST(startsWith(response, "HTTP/1.1 404 "));
    BOOST_TEST(headerOf(response, "Buckthorncroft-Outcome") == "not-run");
    response = call("GET", "/x", "Buckthorncroft-Service: other\r\n");
    BOOST_TEST(startsWith(response, "HTTP/1.1 404 "));
    response = call("GET", "/x", "Buckthorncroft-Deadline-Ms: soon\r\n");
    BOOST_TEST(startsWith(response, "HTTP/1.1 400 "));
    response = call("GET", "/x", "Buckthorncroft-Deadline-Ms: 0\r\n");
    BOOST_TEST(startsWith(response, "HTTP/1.1 503 "));
    BOOST_TEST(headerOf(response, "Buckthorncroft-Outcome") == "not-run");
}

// Guards against responses that are lost or reordered when a caller pipelines requests.
BOOST_AUTO_TEST_CASE(pipelinedRequestsAreAnsweredInOrder)
{
    RawTarget target([](RawConnection& peer, unsigned) {
        while (true) {
            const auto request = peer.readMessage();
            if (request.empty())
                return;
            peer.send(okResponse(request, request.substr(4, request.find(' ', 4) - 4)));
        }
    });
    ServerFixture fixture;
    fixture.addTarget(target.port());
    fixture.start();
    const auto caller = fixture.caller();
    std::string text;
    for (int i = 0; i < 20; ++i)
        text += "GET /n" + std::to_string(i) + " HTTP/1.1\r\nHost: s\r\n\r\n";
    caller->send(text);
    for (int i = 0; i < 20; ++i) {
        const auto response = caller->readMessage();
        BOOST_TEST(response.substr(response.find("\r\n\r\n") + 4) == "/n" + std::to_string(i));
    }
    BOOST_TEST(target.connections() == 1u);
}

// Guards against hop-by-hop headers that are relayed, and against a chunked body that is lost.
BOOST_AUTO_TEST_CASE(hopByHopHeadersAreRemovedAndChunkedBodiesAreRelayed)
{
    std::string seen;
    RawTarget target([&seen](RawConnection& peer, unsigned) {
        seen = peer.readMessage();
        peer.send("HTTP/1.1 200 OK\r\nConnection: keep-alive, X-Private\r\nX-Private: 1\r\nKeep-Alive: timeout=5\r\n"
                  "Transfer-Encoding: chunked\r\nX-Public: 2\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        peer.readAll();
    });
    ServerFixture fixture;
    fixture.addTarget(target.port());
    fixture.start();
    const auto caller = fixture.caller();
    caller->send("POST /book HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\nConnection: keep-alive, X-Mine\r\n"
                 "X-Mine: 1\r\nTE: trailers\r\nUpgrade: h2c\r\nX-Theirs: 2\r\n\r\n4\r\nwxyz\r\n1\r\n!\r\n0\r\n\r\n");
    const auto response = caller->readMessage();
    BOOST_TEST(response.substr(response.find("\r\n\r\n") + 4) == "abcde");
    BOOST_TEST(headerOf(response, "X-Public") == "2");
    for (const std::string it : { "X-Private", "Keep-Alive", "Transfer-Encoding" })
        BOOST_TEST(headerOf(response, it).empty(), it);
    BOOST_TEST(seen.substr(seen.find("\r\n\r\n") + 4) == "wxyz!");
    BOOST_TEST(headerOf(seen, "X-Theirs") == "2");
    for (const std::string it : { "X-Mine", "TE", "Upgrade", "Transfer-Encoding" })
        BOOST_TEST(headerOf(seen, it).empty(), it);
    BOOST_TEST(headerOf(seen, "Connection") == "close");
    BOOST_TEST(!headerOf(seen, "Buckthorncroft-Deadline-Ms").empty());
}

// Guards against waiting for the body of a response that has none, which would misalign all later responses of the
// connection.
BOOST_AUTO_TEST_CASE(responsesWithoutBodyKeepTheConnectionUsable)
{
    RawTarget target([](RawConnection& peer, unsigned) {
        while (true) {
            const auto request = peer.readMessage(true);
            if (request.empty())
                return;
            if (startsWith(request, "HEAD"))
                peer.send("HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n");
            else if (startsWith(request, "GET /204"))
                peer.send("HTTP/1.1 204 No Content\r\n\r\n");
            else if (startsWith(request, "GET /304"))
                peer.send("HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n");
            else
                peer.send(okResponse(request, "end"));
        }
    });
    ServerFixture fixture;
    fixture.addTarget(target.port());
    fixture.start();
    const auto caller = fixture.caller();
    caller->send("HEAD /h HTTP/1.1\r\nHost: s\r\n\r\n");
    auto response = caller->readMessage(true);
    BOOST_TEST(headerOf(response, "Content-Length") == "999");
    for (const std::string status : { "204", "304" }) {
        caller->send("GET /" + status + " HTTP/1.1\r\nHost: s\r\n\r\n");
        response = caller->readMessage(true);
        BOOST_TEST(startsWith(response, "HTTP/1.1 " + status));
    }
    caller->send("GET /end HTTP/1.1\r\nHost: s\r\n\r\n");
    response = caller->readMessage();
    BOOST_TEST(response.substr(response.find("\r\n\r\n") + 4) == "end");
}

// Guards against a trailer that ends the process, because the parser throws an exception for a field of this length.
BOOST_FIXTURE_TEST_CASE(longTrailerIsRefused, HealthyTargetFixture)
{
    const auto connection = caller();
    connection->send("POST /book HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: "
        + std::string(100'000, 'x') + "\r\n\r\n");
    BOOST_TEST(startsWith(connection->readMessage(), "HTTP/1.1 400 "));
    BOOST_TEST(startsWith(call("GET", "/"), "HTTP/1.1 200 "));
}

// Guards against a caller that waits for 100 Continue until its own timeout, and against 100 Continue for a body that
// is then rejected.
BOOST_FIXTURE_TEST_CASE(expectContinueIsAnswered, HealthyTargetFixture)
{
    const auto connection = caller();
    connection->send("POST /book HTTP/1.1\r\nHost: s\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    BOOST_TEST(connection->readUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    connection->send("abc");
    BOOST_TEST(startsWith(connection->readMessage(), "HTTP/1.1 200 "));
    const auto refused = caller();
    refused->send("POST /book HTTP/1.1\r\nHost: s\r\nExpect: 100-continue\r\nContent-Length: 3000\r\n\r\n");
    BOOST_TEST(startsWith(refused->readMessage(), "HTTP/1.1 413 "));
}

// Guards against idle connections that fail when an instance stops, and against a stop that aborts a request.
BOOST_AUTO_TEST_CASE(stopCompletesRequestsInFlight)
{
    RawTarget target([](RawConnection& peer, unsigned) {
        const auto request = peer.readMessage();
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        peer.send(okResponse(request, "late"));
    });
    ServerFixture fixture;
    fixture.settings.trafficThreads = 2;
    fixture.addTarget(target.port());
    fixture.start();
    const auto idle = fixture.caller();
    const auto busy = fixture.caller();
    busy->send("POST /book HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n\r\n");
    while (fixture.server->activeRequests() == 0)
        std::this_thread::yield();
    std::thread stopping([&fixture] { fixture.server->stopGracefully(); });
    BOOST_TEST(idle->waitForPeerClose());
    const auto response = busy->readMessage();
    BOOST_TEST(startsWith(response, "HTTP/1.1 200 "));
    BOOST_TEST(headerOf(response, "Connection") == "close");
    idle->close();
    busy->close();
    stopping.join();
    BOOST_TEST(fixture.server->activeRequests() == 0u);
    BOOST_TEST(fixture.server->memoryUsed() == 0u);
}
