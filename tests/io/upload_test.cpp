#define BOOST_TEST_MODULE Upload
#include <boost/test/unit_test.hpp>

#include "traffic_fixture.h"

using namespace buckthorncroft;
using namespace buckthorncroft::test;

namespace {

std::string statusOf(const std::string& response)
{
    return response.size() > 12 ? response.substr(9, 3) : "";
}

std::string putHead(const std::string& headers)
{
    return "PUT /up/plan HTTP/1.1\r\nHost: s\r\n" + headers + "\r\n";
}

} // namespace

// Guards against uploads that are truncated or buffered completely, with a Content-Length and with chunked encoding.
BOOST_AUTO_TEST_CASE(largeBodiesArriveCompleteWithinTheMemoryBudget)
{
    constexpr std::size_t size = std::size_t { 20 } << 20;
    std::string body(size, '\0');
    for (std::size_t i = 0; i < size; ++i)
        body[i] = static_cast<char>('a' + i % 23);
    std::atomic<std::size_t> maxMemoryUsed { 0 };
    ServerFixture fixture;
    RawTarget target([&](RawConnection& peer, unsigned) {
        const auto head = peer.readUntil("\r\n\r\n");
        std::string received;
        if (!headerOf(head, "Content-Length").empty()) {
            received = peer.readBytes(std::stoul(headerOf(head, "Content-Length")));
        } else {
            while (true) {
                const auto n = std::stoul(peer.readUntil("\r\n"), nullptr, 16);
                received += peer.readBytes(n);
                peer.readUntil("\r\n");
                if (n == 0)
                    break;
            }
        }
        maxMemoryUsed = std::max<std::size_t>(maxMemoryUsed, fixture.server->memoryUsed());
        peer.send(okResponse(head, received == body ? "whole" : "damaged"));
    });
    fixture.settings.memoryBudget = 1 << 20;
    fixture.addTarget(target.port());
    fixture.start();
    const auto withLength = fixture.caller();
    withLength->send(putHead("Content-Length: " + std::to_string(size) + "\r\n") + body);
    auto response = withLength->readMessage();
    BOOST_TEST(response.substr(response.find("\r\n\r\n") + 4) == "whole");
    const auto chunked = fixture.caller();
    // 1400000 is the chunk size of 20 MiB in hexadecimal.
    chunked->send(putHead("Transfer-Encoding: chunked\r\n") + "1400000\r\n" + body + "\r\n0\r\n\r\n");
    response = chunked->readMessage();
    BOOST_TEST(response.substr(response.find("\r\n\r\n") + 4) == "whole");
    const auto empty = fixture.call("PUT", "/up/empty");
    BOOST_TEST(statusOf(empty) == "200");
    BOOST_TEST(maxMemoryUsed > 0u);
    BOOST_TEST(maxMemoryUsed <= std::size_t { 1 } << 20);
}

// Guards against a stalled upload that holds its slot forever.
BOOST_AUTO_TEST_CASE(stalledUploadEndsAndFreesItsSlot)
{
    RawTarget target([](RawConnection& peer, unsigned number) {
        const auto head = peer.readUntil("\r\n\r\n");
        if (number == 0) {
            peer.readAll();
            return;
        }
        peer.readBytes(3);
        peer.send(okResponse(head, "ok"));
    });
    ServerFixture fixture;
    fixture.timeouts.stall = std::chrono::milliseconds(200);
    fixture.addTarget(target.port(), 1);
    fixture.start();
    const auto stalled = fixture.caller();
    stalled->send(putHead("Content-Length: 100\r\n") + "only some");
    while (target.connections() == 0)
        std::this_thread::yield();
    const auto next = fixture.caller();
    next->send(putHead("Content-Length: 3\r\n") + "abc");
    BOOST_TEST(statusOf(next->readMessage()) == "200");
    const auto finished = fixture.finished(2);
    BOOST_TEST((finished.at(0).outcome == outcome::Outcome::Unknown));
}

// Guards against losing the response of a target that refuses an upload before it has read the body.
BOOST_AUTO_TEST_CASE(earlyResponseEndsTheUpload)
{
    RawTarget target([](RawConnection& peer, unsigned) {
        const auto head = peer.readUntil("\r\n\r\n");
        peer.send("HTTP/1.1 507 Full\r\nContent-Length: 4\r\n\r\nfull");
        peer.readAll();
    });
    ServerFixture fixture;
    fixture.addTarget(target.port());
    fixture.start();
    const auto caller = fixture.caller();
    caller->send(putHead("Content-Length: 1000\r\n") + "begin");
    const auto response = caller->readMessage();
    BOOST_TEST(statusOf(response) == "507");
    BOOST_TEST(headerOf(response, "Connection") == "close");
}

// Guards against failing an upload that a target refused before any of its body was read, although another target is
// free.
BOOST_AUTO_TEST_CASE(uploadRefusedBeforeItsBodyGoesToAnotherTarget)
{
    std::atomic<unsigned> refused { 0 };
    const auto script = [&refused](RawConnection& peer, unsigned) {
        const auto head = peer.readUntil("\r\n\r\n");
        if (refused++ == 0) {
            peer.send("HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        peer.send("HTTP/1.1 100 Continue\r\n\r\n");
        peer.send(okResponse(head, "took " + peer.readBytes(3)));
    };
    RawTarget a(script);
    RawTarget b(script);
    ServerFixture fixture;
    fixture.addTarget(a.port());
    fixture.addTarget(b.port());
    fixture.start();
    // These requests earn an extra attempt from the retry budget.
    for (int i = 0; i < 12; ++i)
        (void)fixture.call("GET", "/", "Buckthorncroft-Deadline-Ms: 20\r\n");
    refused = 0;
    const auto caller = fixture.caller();
    caller->send(putHead("Content-Length: 3\r\nExpect: 100-continue\r\n"));
    BOOST_TEST(caller->readUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    caller->send("abc");
    const auto response = caller->readMessage();
    BOOST_TEST(response.substr(response.find("\r\n\r\n") + 4) == "took abc");
    BOOST_TEST(refused == 2u);
}

// Guards against ending a chunked body at the target as if it were complete when the caller's body is malformed, too
// large or truncated.
BOOST_AUTO_TEST_CASE(brokenUploadsAreNeverCompletedAtTheTarget)
{
    std::atomic<unsigned> completeBodies { 0 };
    RawTarget target([&completeBodies](RawConnection& peer, unsigned) {
        peer.readUntil("\r\n\r\n");
        const auto all = peer.readAll();
        completeBodies += all.size() >= 5 && all.substr(all.size() - 5) == "0\r\n\r\n";
    });
    ServerFixture fixture;
    fixture.service.routes[2].maxBodyBytes = 10;
    fixture.addTarget(target.port());
    fixture.start();
    for (const std::string body : { "3\r\nabc\r\nzz\r\n", "b\r\nabcdefghijk\r\n0\r\n\r\n", "3\r\nabc\r\n" }) {
        const auto caller = fixture.caller();
        caller->send(putHead("Transfer-Encoding: chunked\r\n") + body);
        if (body.size() < 12)
            caller->close();
        else
            BOOST_TEST(headerOf(caller->readMessage(), "Buckthorncroft-Outcome") == "unknown", body);
    }
    BOOST_TEST(fixture.finished(3).size() == 3u);
    BOOST_TEST(completeBodies == 0u);
}

// Guards against buffering a response without bound for a caller that does not read it.
BOOST_AUTO_TEST_CASE(slowCallerThrottlesTheTarget)
{
    std::atomic<std::size_t> sent { 0 };
    RawTarget target([&sent](RawConnection& peer, unsigned) {
        const auto request = peer.readMessage();
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 104857600\r\n\r\n");
        const std::string piece(1 << 20, 'x');
        for (int i = 0; i < 100; ++i) {
            peer.send(piece);
            sent += piece.size();
        }
    });
    ServerFixture fixture;
    fixture.addTarget(target.port());
    fixture.start();
    const auto caller = fixture.caller();
    caller->send("GET / HTTP/1.1\r\nHost: s\r\n\r\n");
    while (sent == 0)
        std::this_thread::yield();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    // Kernel buffers take a few megabytes on each of the two connections.
    BOOST_TEST(sent < std::size_t { 40 } << 20);
    BOOST_TEST(fixture.server->memoryUsed() < std::size_t { 1 } << 20);
}

// Guards against the part of a response that counts as the whole one: the target sends a response without a length and
// resets the connection while the body is still being sent to it.
BOOST_AUTO_TEST_CASE(resetDuringAnUploadIsNotTheEndOfTheResponse)
{
    RawTarget target([](RawConnection& peer, unsigned) {
        peer.readUntil("\r\n\r\n");
        peer.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
        peer.reset();
    });
    ServerFixture fixture;
    fixture.addTarget(target.port());
    fixture.start();
    const std::string body(8'000'000, 'u');
    const auto response = fixture.call("PUT", "/up/plan", "", body);
    BOOST_TEST((response.empty() || statusOf(response) == "502"), response);
    const auto finished = fixture.finished(1);
    BOOST_REQUIRE_EQUAL(finished.size(), 1u);
    BOOST_TEST((finished[0].outcome == outcome::Outcome::Unknown));
}
