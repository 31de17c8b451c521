#define BOOST_TEST_MODULE TargetAnswers
#include <boost/test/unit_test.hpp>

#include "traffic_fixture.h"

using namespace buckthorncroft;
using namespace buckthorncroft::test;

namespace {

std::string statusOf(const std::string& response)
{
    return response.size() > 12 ? response.substr(9, 3) : "";
}

std::string bodyOf(const std::string& response)
{
    const auto place = response.find("\r\n\r\n");
    return place == std::string::npos ? "" : response.substr(place + 4);
}

/// A target that sends fixed bytes for each request. It leaves its connections open unless `closeAfter` is set.
struct FixedResponse : ServerFixture {
    explicit FixedResponse(const std::string& response, bool closeAfter = false)
        : target([response, closeAfter](RawConnection& peer, unsigned) {
            while (!peer.readMessage().empty()) {
                peer.send(response);
                if (closeAfter)
                    return;
            }
        })
    {
        addTarget(target.port());
        start();
    }
    RawTarget target;
};

} // namespace

// Guards against relaying an incomplete or malformed response as complete, and against reusing its connection.
BOOST_AUTO_TEST_CASE(brokenResponsesAreUnknownAndTheirConnectionsAreNotReused)
{
    using health::Verdict;
    const std::vector<std::pair<std::string, Verdict>> cases = {
        { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", Verdict::Truncated },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n", Verdict::Truncated },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", Verdict::Truncated },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n",
            Verdict::Truncated },
        { "HTTP/1.1 200 OK\r\n\r\nuntil the end of the connection", Verdict::Truncated },
        { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", Verdict::Truncated },
        { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcdef", Verdict::Truncated },
        { "HTTP/1.1 200 OK\r\nBuckthorncroft-Request-Id: other\r\nContent-Length: 3\r\n\r\nabc", Verdict::Mismatched },
        { "HTTP/1.1 101 Switching Protocols\r\n\r\n", Verdict::Truncated },
        { "HTTP/1.1 000 Unknown\r\nContent-Length: 3\r\n\r\nabc", Verdict::Truncated },
        { "HTTP/1.1 099 Unknown\r\nContent-Length: 3\r\n\r\nabc", Verdict::Truncated },
        { "HTTP/1.1 600 Unknown\r\nContent-Length: 3\r\n\r\nabc", Verdict::Truncated },
        { "HTTP/1.1 200 OK\r\nX-Pad: 1\r\n X-Pad: 2\r\nContent-Length: 3\r\n\r\nabc", Verdict::Truncated },
        { "HTTP/1.1 200 OK\r\nX Pad: 1\r\nContent-Length: 3\r\n\r\nabc", Verdict::Truncated },
        { "HTTP/1.1 200 OK\r\nX\x01Pad: 1\r\nContent-Length: 3\r\n\r\nabc", Verdict::Truncated },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", Verdict::Truncated },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc", Verdict::Truncated },
        { "nonsense\r\n\r\n", Verdict::Truncated },
        { "", Verdict::Truncated },
    };
    for (const auto& [bytes, verdict] : cases) {
        FixedResponse fixture(bytes, true);
        for (const std::string method : { "GET", "POST" }) {
            const auto response = fixture.call(method, "/book");
            BOOST_TEST(statusOf(response) == "502", bytes << " -> " << response);
            BOOST_TEST(headerOf(response, "Buckthorncroft-Outcome") == "unknown", bytes);
            BOOST_TEST(health::toString(fixture.nextVerdict()) == health::toString(verdict), bytes);
        }
        BOOST_TEST(fixture.target.connections() == 2u, bytes);
    }
}

// Guards against a truncated large response that looks complete to the caller.
BOOST_AUTO_TEST_CASE(truncationOfStreamedResponseReachesTheCaller)
{
    const std::string piece(300'000, 'x');
    for (const std::string framing :
        { "Content-Length: 400000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n493e0\r\n" }) {
        std::string bytes = "HTTP/1.1 200 OK\r\n";
        bytes += framing;
        bytes += piece;
        FixedResponse fixture(bytes, true);
        const auto caller = fixture.caller();
        caller->send("GET / HTTP/1.1\r\nHost: s\r\n\r\n");
        const auto response = caller->readAll();
        BOOST_TEST(response.size() < 400'000u);
        BOOST_TEST((response.size() < 5 || response.substr(response.size() - 5) != "0\r\n\r\n"));
        const auto finished = fixture.finished(1);
        BOOST_REQUIRE_EQUAL(finished.size(), 1u);
        BOOST_TEST((finished[0].outcome == outcome::Outcome::Unknown));
    }
}

// Guards against a response that arrives after its deadline and is taken for the next request's response.
BOOST_AUTO_TEST_CASE(lateResponseIsUnknownAndNeverReachesTheNextRequest)
{
    RawTarget target([](RawConnection& peer, unsigned number) {
        const auto request = peer.readMessage();
        if (number == 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
        peer.send(okResponse(request, "answer " + std::to_string(number)));
        peer.readAll();
    });
    ServerFixture fixture;
    fixture.addTarget(target.port());
    fixture.start();
    auto response = fixture.call("GET", "/", "Buckthorncroft-Deadline-Ms: 150\r\n");
    BOOST_TEST(statusOf(response) == "504");
    BOOST_TEST(headerOf(response, "Buckthorncroft-Outcome") == "unknown");
    BOOST_TEST(health::toString(fixture.nextVerdict()) == "timed_out");
    BOOST_TEST(bodyOf(fixture.call("GET", "/")) == "answer 1");
}

// Guards against an interim response that is taken for the final one, so that the next request would get the final
// response of this one.
BOOST_AUTO_TEST_CASE(interimResponsesAreSkipped)
{
    RawTarget target([](RawConnection& peer, unsigned) {
        while (true) {
            const auto request = peer.readMessage();
            if (request.empty())
                return;
            peer.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
            peer.send(okResponse(request, request.substr(4, 2)));
        }
    });
    ServerFixture fixture;
    fixture.addTarget(target.port());
    fixture.start();
    for (const std::string path : { "/a", "/b", "/c" })
        BOOST_TEST(bodyOf(fixture.call("GET", path)) == path);
    BOOST_TEST(target.connections() == 3u);
}

// Guards against sending a non-idempotent request on a connection that may be half closed, and against opening needless
// connections for idempotent ones.
BOOST_AUTO_TEST_CASE(onlyIdempotentRequestsReuseConnections)
{
    RawTarget target([](RawConnection& peer, unsigned) { serveOkResponses(peer); });
    ServerFixture fixture;
    fixture.addTarget(target.port());
    fixture.start();
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(statusOf(fixture.call("GET", "/")) == "200");
    BOOST_TEST(target.connections() == 1u);
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(statusOf(fixture.call("POST", "/book", "", "x")) == "200");
    BOOST_TEST(target.connections() == 4u);
}

// Guards against an unknown outcome, or use of the retry budget, when a target has closed an idle connection.
BOOST_AUTO_TEST_CASE(closedIdleConnectionIsReplaced)
{
    RawTarget target([](RawConnection& peer, unsigned) {
        const auto request = peer.readMessage();
        peer.send(okResponse(request, "once"));
    });
    ServerFixture fixture;
    fixture.addTarget(target.port());
    fixture.start();
    for (unsigned i = 1; i <= 4; ++i) {
        BOOST_TEST(statusOf(fixture.call("GET", "/")) == "200");
        BOOST_TEST(fixture.finished(i).back().attempts == 1u);
        // The close must have arrived before the next request checks the connection.
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    BOOST_TEST(target.connections() == 4u);
}

// Guards against bytes that arrive on an idle connection and are read as the next response.
BOOST_AUTO_TEST_CASE(bytesAfterAResponseDiscardTheConnection)
{
    RawTarget target([](RawConnection& peer, unsigned number) {
        const auto request = peer.readMessage();
        peer.send(okResponse(request, std::to_string(number)));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
        peer.readAll();
    });
    ServerFixture fixture;
    fixture.addTarget(target.port());
    fixture.start();
    BOOST_TEST(bodyOf(fixture.call("GET", "/")) == "0");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    BOOST_TEST(bodyOf(fixture.call("GET", "/")) == "1");
}
