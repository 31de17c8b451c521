#define BOOST_TEST_MODULE RequestFraming
#include <boost/test/unit_test.hpp>

#include "flow_fixture.h"

using namespace buckthorncroft;
using namespace buckthorncroft::test;
using config::RequestKind;

namespace {

/// How a request with unusual framing ends.
enum class Result {
    Rejected, ///< It is rejected, and the connection closes.
    Served, ///< It is served; nothing of its body is a request of its own.
    ServedThenClosed, ///< Like `Served`, and the connection closes after its response.
};

struct FramingCase {
    std::string name;
    std::string framing; ///< Header lines after the request id.
    std::string body; ///< `@` stands for a complete request with the id "hidden".
    Result expected;
    std::string version = "1.1";
};

const std::vector<FramingCase>& framingCases()
{
    static const std::string longText(100'000, 'x');
    static const std::vector<FramingCase> result {
        { "unsupported coding", "Transfer-Encoding: gzip\r\n", "@", Result::Rejected },
        { "chunked, then another coding", "Transfer-Encoding: chunked, gzip\r\n", "0\r\n\r\n@", Result::Rejected },
        { "another coding, then chunked", "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n@", Result::Rejected },
        { "chunked twice", "Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n@", Result::Rejected },
        { "two lines chunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n@",
            Result::Rejected },
        { "chunked with a length", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n@",
            Result::Rejected },
        { "another coding with a length", "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n", "@", Result::Rejected },
        { "two lengths", "Content-Length: 0\r\nContent-Length: 5\r\n", "@", Result::Rejected },
        { "two equal lengths", "Content-Length: 0\r\nContent-Length: 0\r\n", "@", Result::Rejected },
        { "list of lengths", "Content-Length: 0, 0\r\n", "@", Result::Rejected },
        { "length with a sign", "Content-Length: +0\r\n", "@", Result::Rejected },
        { "negative length", "Content-Length: -1\r\n", "@", Result::Rejected },
        { "length with a space inside", "Content-Length: 0 0\r\n", "@", Result::Rejected },
        { "empty length", "Content-Length: \r\n", "@", Result::Rejected },
        { "hexadecimal length", "Content-Length: 0x0\r\n", "@", Result::Rejected },
        { "length out of range", "Content-Length: 18446744073709551616\r\n", "@", Result::Rejected },
        { "space before the colon", "Content-Length : 0\r\n", "@", Result::Rejected },
        { "space before the colon of the coding", "Transfer-Encoding : chunked\r\n", "0\r\n\r\n@", Result::Rejected },
        { "folded line", "Transfer-Encoding:\r\n chunked\r\n", "0\r\n\r\n@", Result::Rejected },
        { "bare line feed", "X: a\nContent-Length: 0\r\n", "@", Result::Rejected },
        { "bare carriage return", "X: a\rContent-Length: 0\r\n", "@", Result::Rejected },
        { "null byte", std::string("X: a\0b\r\n", 8), "@", Result::Rejected },
        { "chunked in HTTP/1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n@",
            Result::Rejected, "1.0" },
        { "malformed chunk size", "Transfer-Encoding: chunked\r\n", "x\r\n@", Result::Rejected },
        { "chunk longer than its size", "Transfer-Encoding: chunked\r\n", "1\r\nab\r\n0\r\n\r\n@", Result::Rejected },
        { "long chunk extension", "Transfer-Encoding: chunked\r\n", "1;a=" + longText + "\r\nx\r\n0\r\n\r\n@",
            Result::Rejected },
        { "long trailer", "Transfer-Encoding: chunked\r\n", "0\r\nX: " + longText + "\r\n\r\n@", Result::Rejected },
        { "body before 100 Continue", "Expect: 100-continue\r\nContent-Length: #\r\n", "@", Result::Served },
        { "upgrade with a body", "Connection: upgrade\r\nUpgrade: h2c\r\nContent-Length: #\r\n", "@", Result::Served },
        { "request behind the last one", "Connection: close\r\nContent-Length: 0\r\n", "@", Result::ServedThenClosed },
        { "no length in HTTP/1.0", "", "@", Result::ServedThenClosed, "1.0" },
    };
    return result;
}

/// Sends each byte in a segment of its own if `split` is set, up to the size that the limits of a head and a chunk
/// have.
void send(RawConnection& caller, const std::string& text, bool split)
{
    if (!split || text.size() > 10'000) {
        caller.send(text);
        return;
    }
    for (const char c : text) {
        caller.send(std::string(1, c));
        std::this_thread::sleep_for(50us);
    }
}

/// Sends a request with unusual framing, behind a pending lookup if `behindLookup` is set, and checks that no target
/// receives what its body contains.
struct FramingFixture : FlowFixture {
    FramingFixture()
        : target([this](RawConnection& peer, unsigned) {
            const auto id = headerOf(peer.readMessage(), names.requestId);
            hiddenHasRun = hiddenHasRun || id == "hidden";
            while (id == "lookup" && !released)
                std::this_thread::sleep_for(1ms);
            peer.send(response(id, "body of " + id));
        })
    {
        ports = { { "t", target.port() } };
        publish(1, RequestKind::Idempotent, 4000ms);
        callerDeadline = 4000ms;
        placement.grants = { "t", "t", "t", "t" };
    }
    ~FramingFixture() { released = true; }

    void play(const FramingCase& it, bool behindLookup, bool split)
    {
        BOOST_TEST_CONTEXT(it.name << (behindLookup ? ", behind a lookup" : "") << (split ? ", split" : ""))
        {
            const auto hidden = request("hidden", "POST", "h");
            auto body = it.body;
            if (const auto pos = body.find('@'); pos != std::string::npos)
                body.replace(pos, 1, hidden);
            auto framing = it.framing;
            if (const auto pos = framing.find('#'); pos != std::string::npos)
                framing.replace(pos, 1, std::to_string(body.size()));
            const auto caller = start();
            if (behindLookup)
                caller->send(request("lookup"));
            send(*caller,
                "POST /r/x HTTP/" + it.version + "\r\nHost: h\r\n" + names.requestId + ": tested\r\n" + framing + "\r\n"
                    + body,
                split);
            if (behindLookup) {
                std::this_thread::sleep_for(20ms);
                released = true;
                BOOST_TEST(caller->readMessage().ends_with("body of lookup"));
            }
            checkResponse(*caller, it.expected);
            stopTraffic();
            BOOST_TEST(!hiddenHasRun);
            const auto expectedRequests = (behindLookup ? 1U : 0U) + (it.expected == Result::Rejected ? 0U : 1U);
            BOOST_TEST(placement.slotRequests.size() == expectedRequests);
        }
    }

    static void checkResponse(RawConnection& caller, Result expected)
    {
        auto message = caller.readMessage();
        if (message.starts_with("HTTP/1.1 100"))
            message = caller.readMessage();
        if (expected == Result::Rejected) {
            BOOST_TEST(message.starts_with("HTTP/1.1 4"));
            BOOST_TEST(headerOf(message, "Connection") == "close");
        } else {
            BOOST_TEST(message.starts_with("HTTP/1.1 200"));
        }
        if (expected != Result::Served)
            BOOST_TEST(caller.readAll().empty());
    }

    std::atomic<bool> released { false };
    std::atomic<bool> hiddenHasRun { false };
    RawTarget target;
};

} // namespace

// Guards against a request inside the body of another one that is run, because two readers disagree where the body
// ends: alone and behind a pending response, in one segment and byte by byte.
BOOST_AUTO_TEST_CASE(nothingBehindUnusualFramingIsRun)
{
    for (const auto& it : framingCases()) {
        for (const bool behindLookup : { false, true }) {
            for (const bool split : { false, true })
                FramingFixture().play(it, behindLookup, split);
        }
    }
}
