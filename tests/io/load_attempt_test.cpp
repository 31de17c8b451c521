#define BOOST_TEST_MODULE LoadAttempt
#include <boost/test/unit_test.hpp>

#include "../../apps/load_attempt.h"
#include "../../standins/raw_target.h"

#include <boost/asio/io_context.hpp>

using namespace buckthorncroft;
using load::AttemptOutcome;
using standin::RawConnection;
using standin::RawTarget;

namespace {

/// Sends a long upload to an entry that responds with `response` before it has read the body, and resets the
/// connection.
load::AttemptResult sendUpload(const std::string& response)
{
    RawTarget entry([&](RawConnection& peer, unsigned) {
        peer.readUntil("\r\n\r\n");
        peer.send(response);
        peer.reset();
    });
    boost::asio::io_context io;
    load::OutgoingRequest request;
    request.service = "s";
    request.method = "PUT";
    request.path = "/up/plan";
    request.timeout = std::chrono::milliseconds(5000);
    request.body = std::make_shared<const load::RequestBody>(load::RequestBody { std::string(8'000'000, 'u'), "" });
    load::AttemptResult result;
    std::make_shared<load::Attempt>(io.get_executor(), request, [&](load::AttemptResult it) {
        result = std::move(it);
    })->start({ boost::asio::ip::address_v4::loopback(), entry.port() });
    io.run();
    return result;
}

} // namespace

// Guards against a response that counts as complete, although the connection was reset before its end.
BOOST_AUTO_TEST_CASE(resetDuringAnUploadIsNotTheEndOfTheResponse)
{
    const std::string head = "HTTP/1.1 500 Failure\r\nBuckthorncroft-Outcome: completed\r\n";
    for (unsigned n = 0; n < 10; ++n)
        BOOST_TEST((sendUpload(head + "\r\npart").outcome != AttemptOutcome::Completed));
    BOOST_TEST((sendUpload(head + "Content-Length: 4\r\n\r\npart").outcome == AttemptOutcome::Completed));
}
