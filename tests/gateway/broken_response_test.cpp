#define BOOST_TEST_MODULE BrokenResponse
#include <boost/test/unit_test.hpp>

#include "flow_fixture.h"

using namespace buckthorncroft;
using namespace buckthorncroft::test;
using config::RequestKind;
using namespace std::string_literals;

namespace {

std::string statusOf(const std::string& message)
{
    return message.substr(0, 12);
}

std::string bodyOf(const std::string& message)
{
    const auto pos = message.find("\r\n\r\n");
    return pos == std::string::npos ? "" : message.substr(pos + 4);
}

/// Returns header lines that make a response to request 1 count as signed.
std::string signatureFields()
{
    const gateway::HeaderNames names;
    return names.requestId + ": 1\r\n" + names.signature + ": proof\r\n";
}

/// A way to send the body "part".
struct Framing {
    std::string name;
    std::string fields;
    std::string encodedBody;
};

const std::vector<Framing>& framings()
{
    static const std::vector<Framing> result {
        { "length", "Content-Length: 4\r\n", "part" },
        { "chunked", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n\r\n" },
        { "ended by close", "Connection: close\r\n", "part" },
    };
    return result;
}

/// A fleet of two targets: `broken` runs a script, and `sound` answers each request with the body "sound".
struct BrokenTargetFixture : FlowFixture {
    explicit BrokenTargetFixture(RequestKind kind, RawTarget::Script script)
        : broken(std::move(script))
        , sound([this](RawConnection& peer, unsigned) {
            const auto id = headerOf(peer.readMessage(), names.requestId);
            peer.send(response(id, "sound"));
        })
    {
        ports = { { "broken", broken.port() }, { "sound", sound.port() } };
        publish(1, kind, 2000ms);
        placement.grants = { "broken", "sound" };
    }

    /// Sends a request and returns the response.
    std::string call(const std::string& method, const std::string& body = "")
    {
        const auto caller = start();
        caller->send(request("1", method, body));
        auto result = caller->readMessage();
        stopTraffic();
        return result;
    }

    RawTarget broken;
    RawTarget sound;
};

/// Sends `text` once for the first request, in one segment or byte by byte, and closes the connection.
RawTarget::Script sendingOnce(const std::string& text, bool split = false)
{
    return [text, split](RawConnection& peer, unsigned) {
        peer.readMessage();
        for (std::size_t n = 0; split && n < text.size(); ++n) {
            peer.send(text.substr(n, 1));
            std::this_thread::sleep_for(50us);
        }
        if (!split)
            peer.send(text);
    };
}

/// Returns an upload that does not fit into the buffers of a connection, so that a target that does not read it gets it
/// only in part.
const std::string& longUpload()
{
    static const std::string result(8'000'000, 'u');
    return result;
}

/// Reads the head of an upload, sends `text` and resets the connection.
RawTarget::Script resettingDuringUpload(const std::string& text)
{
    return [text](RawConnection& peer, unsigned) {
        peer.readUntil("\r\n\r\n");
        peer.send(text);
        peer.reset();
    };
}

/// Returns what is wrong with the treatment of a target that runs `script`, which sends no valid response, or an empty
/// string: a request that may run only once must fail with 502, and one that may be repeated must be served by the
/// sound target.
std::string findFault(const RawTarget::Script& script, const std::string& body = "book")
{
    for (const auto kind : { RequestKind::NonIdempotent, RequestKind::Upload }) {
        BrokenTargetFixture fixture(kind, script);
        const auto received = fixture.call("POST", body);
        if (statusOf(received) != "HTTP/1.1 502")
            return "a request that may run once got " + received;
        if (fixture.sound.connections() != 0)
            return "a request that may run once was sent to a second target";
    }
    BrokenTargetFixture fixture(RequestKind::Idempotent, script);
    const auto received = fixture.call("POST", body);
    const bool isServed = statusOf(received) == "HTTP/1.1 200" && bodyOf(received) == "sound";
    return isServed ? "" : "a request that may be repeated got " + received;
}

} // namespace

// Guards against a response with a status that HTTP does not define and that reaches the caller as a response.
BOOST_AUTO_TEST_CASE(statusOutsideTheValidRangeIsAFailedAttempt)
{
    for (const std::string status : { "000", "001", "099", "600", "999" }) {
        for (const auto& it : framings()) {
            const auto text
                = "HTTP/1.1 " + status + " Status\r\n" + signatureFields() + it.fields + "\r\n" + it.encodedBody;
            const auto fault = findFault(sendingOnce(text));
            BOOST_TEST(fault.empty(), status << ", " << it.name << ": " << fault);
        }
    }
}

// Guards against rejecting statuses that are valid but not registered.
BOOST_AUTO_TEST_CASE(unregisteredStatusIsRelayed)
{
    for (const std::string status : { "200", "299", "399", "499", "599" }) {
        const auto text = "HTTP/1.1 " + status + " Status\r\n" + signatureFields() + "Content-Length: 4\r\n\r\npart";
        BrokenTargetFixture fixture(RequestKind::NonIdempotent, sendingOnce(text));
        const auto received = fixture.call("POST", "book");
        BOOST_TEST(statusOf(received) == "HTTP/1.1 " + status);
        BOOST_TEST(bodyOf(received) == "part");
    }
}

// Guards against the part of a body that reaches the caller as the whole one: the target sends a response without a
// length and resets the connection while the request is still being sent to it.
BOOST_AUTO_TEST_CASE(resetDuringAnUploadIsNotTheEndOfTheResponse)
{
    const auto ok = "HTTP/1.1 200 OK\r\n" + signatureFields();
    for (const auto& text : {
             ok + "\r\npart",
             ok + "Connection: close\r\n\r\npart",
             ok + "\r\n",
             ok + "\r\n" + std::string(40'000, 'x'),
             ok + "Content-Length: 5\r\n\r\npart",
             ok + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
             "HTTP/1.0 200 OK\r\n" + signatureFields() + "\r\npart",
             "HTTP/1.1 500 Failure\r\n" + signatureFields() + "\r\npart",
         }) {
        const auto fault = findFault(resettingDuringUpload(text), longUpload());
        BOOST_TEST(fault.empty(), text.substr(0, 200) << ": " << fault.substr(0, 200));
    }
}

// Guards against giving up a response without a length that ended in order before its target reset the connection.
BOOST_AUTO_TEST_CASE(orderlyEndBeforeAResetIsTheEndOfTheResponse)
{
    for (unsigned n = 0; n < 10; ++n) {
        BrokenTargetFixture fixture(RequestKind::Upload, [](RawConnection& peer, unsigned) {
            peer.readUntil("\r\n\r\n");
            peer.send("HTTP/1.1 200 OK\r\n" + signatureFields() + "\r\nwhole");
            peer.closeSending();
            peer.reset();
        });
        BOOST_TEST(bodyOf(fixture.call("POST", longUpload())) == "whole");
    }
}

// Guards against giving up a response that was received whole before its target reset the connection.
BOOST_AUTO_TEST_CASE(wholeResponseBeforeAResetIsRelayed)
{
    for (const std::string framing :
        { "Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" }) {
        const auto text = "HTTP/1.1 200 OK\r\n" + signatureFields() + framing;
        BrokenTargetFixture fixture(RequestKind::Upload, resettingDuringUpload(text));
        BOOST_TEST(bodyOf(fixture.call("POST", longUpload())) == "whole", framing);
    }
}

// Guards against a failure of an upload that its target refused before it reset the connection: the head alone says
// that the request did not run, so another target may get it.
BOOST_AUTO_TEST_CASE(refusalBeforeAResetIsRetried)
{
    for (const auto& it : framings()) {
        const auto text = "HTTP/1.1 503 Full\r\n" + signatureFields() + gateway::HeaderNames().notRun + ": 1\r\n"
            + it.fields + "\r\n" + it.encodedBody;
        BrokenTargetFixture fixture(RequestKind::Upload, resettingDuringUpload(text));
        BOOST_TEST(bodyOf(fixture.call("POST", longUpload())) == "sound", it.name);
    }
}

// Guards against rejecting a response without a length that ends in order while the request is still being sent.
BOOST_AUTO_TEST_CASE(responseThatEndsInOrderDuringAnUploadIsWhole)
{
    BrokenTargetFixture fixture(RequestKind::Upload, [](RawConnection& peer, unsigned) {
        peer.readUntil("\r\n\r\n");
        peer.send("HTTP/1.1 200 OK\r\n" + signatureFields() + "\r\nwhole");
        peer.closeSending();
        peer.readBytes(longUpload().size());
        peer.waitForPeerClose();
    });
    BOOST_TEST(bodyOf(fixture.call("POST", longUpload())) == "whole");
}

// Guards against a response whose head other readers understand differently, because the name of a field is not a
// token: the caller would get a corrupted field, or a body with the wrong length.
BOOST_AUTO_TEST_CASE(fieldNameWithABlankOrAControlByteIsAFailedAttempt)
{
    const std::vector<std::string> lines { " X-Pad: 1", "\tX-Pad: 1", "  X-Pad: 1", " : 1", " ", "\t", "X Pad: 1",
        "X\tPad: 1", "X-Pad : 1", "X-Pad\t: 1", ": 1", "X\0Pad: 1"s, "X\x01Pad: 1", "X\x0bPad: 1", "X\x1fPad: 1",
        "X\x7fPad: 1", "X\x80Pad: 1", "X\rPad: 1", "X\nPad: 1", "X-Pad\x01: 1", "\x01X-Pad: 1", " Content-Length: 2",
        "Content-Length : 2", "Content-Length\x01: 2", "Content\tLength: 2", " Transfer-Encoding: chunked",
        "Transfer-Encoding : chunked", "Transfer-Encoding\x01: chunked" };
    for (const auto& line : lines) {
        for (const auto& framing : framings()) {
            for (const auto& head : {
                     line + "\r\n" + signatureFields() + framing.fields,
                     signatureFields() + line + "\r\n" + framing.fields,
                     signatureFields() + framing.fields + line + "\r\n",
                 }) {
                const auto text = "HTTP/1.1 200 OK\r\n" + head + "\r\n" + framing.encodedBody;
                for (const bool split : { false, true }) {
                    const auto fault = findFault(sendingOnce(text, split));
                    BOOST_TEST(fault.empty(), text << (split ? ", byte by byte: " : ": ") << fault);
                }
            }
        }
    }
}

// Guards against a head that is relayed differently, depending on the pieces in which it arrives.
BOOST_AUTO_TEST_CASE(validHeadIsRelayedUnchangedInAnyPieces)
{
    const auto text = "HTTP/1.1 200 OK\r\n" + signatureFields()
        + "X-Empty:\r\nX-Pad: a b\tc\r\nX-Pad: \xc3\xa9 !#$%&'*+-.^_`|~\r\nContent-Length: 4\r\n\r\npart";
    std::vector<std::string> received;
    for (const bool split : { false, true }) {
        BrokenTargetFixture fixture(RequestKind::NonIdempotent, sendingOnce(text, split));
        received.push_back(fixture.call("POST", "book"));
    }
    BOOST_TEST(received.at(0).starts_with("HTTP/1.1 200 OK\r\n" + signatureFields()
        + "X-Empty: \r\nX-Pad: a b\tc\r\n"
          "X-Pad: \xc3\xa9 !#$%&'*+-.^_`|~\r\n"));
    BOOST_TEST(received.at(0) == received.at(1));
}

// Guards against a body that reaches the caller in a coding that its head does not name: the gateway removes the
// transfer coding, but can decode only chunks.
BOOST_AUTO_TEST_CASE(unsupportedTransferCodingIsAFailedAttempt)
{
    const std::string chunks = "4\r\npart\r\n0\r\n\r\n";
    for (const auto& [coding, body] : std::vector<std::pair<std::string, std::string>> {
             { "gzip", "part" },
             { "gzip", chunks },
             { "identity", "part" },
             { "gzip, chunked", chunks },
             { "chunked, gzip", chunks },
             { "chunked, chunked", chunks },
             { "xchunked", chunks },
             { "", "part" },
             { "chunked\r\nTransfer-Encoding: gzip", chunks },
             { "gzip\r\nTransfer-Encoding: chunked", chunks },
             { "gzip\r\nContent-Length: 4", "part" },
             { "chunked\r\nContent-Length: 4", chunks },
         }) {
        const auto head = "HTTP/1.1 200 OK\r\n" + signatureFields() + "Transfer-Encoding: " + coding + "\r\n\r\n";
        const auto fault = findFault(sendingOnce(head + body));
        BOOST_TEST(fault.empty(), coding << ": " << fault);
    }
}

// Guards against fields of a trailer that count as fields of the head: a folded line or an unknown field that reaches
// the caller, and a signature or a refusal that the head does not have.
BOOST_AUTO_TEST_CASE(trailerIsNotAPartOfTheHead)
{
    const auto respondWith = [](const std::string& fields, const std::string& trailer) {
        return sendingOnce(
            "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n" + trailer + "\r\n");
    };
    const auto refusal = gateway::HeaderNames().notRun + ": 1\r\n";
    for (const auto& trailer : { "X-Sum: 1\r\n X-Pad: 1\r\n"s, "X-Sum: 1\r\n"s, refusal }) {
        BrokenTargetFixture fixture(RequestKind::NonIdempotent, respondWith(signatureFields(), trailer));
        BOOST_TEST(fixture.call("POST", "book")
            == "HTTP/1.1 200 OK\r\n" + signatureFields() + "Content-Length: 4\r\n\r\npart");
    }
    const auto fault = findFault(respondWith("", signatureFields()));
    BOOST_TEST(fault.empty(), fault);
}
