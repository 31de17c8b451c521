#define BOOST_TEST_MODULE HttpPlatform
#include <boost/test/unit_test.hpp>

#include "platform_server.h"
#include <boost/asio/write.hpp>
#include <buckthorncroft/store/http_platform.h>
#include <buckthorncroft/store/platform_endpoint.h>
#include <fmt/format.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using base::ErrorCode;
using tests::OneShotServer;

namespace {

const std::vector<store::Write> oneRow { { "a", "1", 0 } };

// Returns the error code of a commit to a server that sends `raw` and closes the connection.
ErrorCode commitErrorCode(const std::string& raw)
{
    OneShotServer server([&](auto& socket, const auto&) { tests::writeRaw(socket, raw); });
    store::HttpPlatform client("127.0.0.1", server.port());
    const auto result = client.commit(oneRow, 5s);
    BOOST_REQUIRE(!result);
    BOOST_TEST(server.requests() == 1u);
    return result.error().code;
}

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(ErrorCode)

// Guards against a client and a service that disagree about a call or a field.
BOOST_AUTO_TEST_CASE(allCallsReachThePlatform)
{
    const base::SystemClock clock;
    store::MemoryPlatform platform(clock);
    OneShotServer server([&](auto& socket, const auto& request) {
        const auto response = store::serveCall(platform, std::string(request.target()), request.body());
        tests::writeRaw(socket,
            "HTTP/1.1 " + std::to_string(response.status)
                + " X\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body);
    });
    store::HttpPlatform client("127.0.0.1", server.port());
    BOOST_TEST((client.read("a", true, 5s).error().code == ErrorCode::NotFound));
    BOOST_REQUIRE(client.commit({ { "a", "ü\n", 0 }, { "b", "2", 0 } }, 5s));
    BOOST_TEST((client.commit(oneRow, 5s).error().code == ErrorCode::Conflict));
    const auto row = client.read("a", false, 5s);
    BOOST_REQUIRE(row);
    BOOST_TEST(row.value().value == "ü\n");
    BOOST_REQUIRE(client.commit({ { "a", std::nullopt, row.value().version } }, 5s));
    const auto rows = client.scan("", 10, 5s);
    BOOST_REQUIRE(rows);
    BOOST_TEST(rows.value().size() == 1u);
    BOOST_TEST(rows.value().at(0).key == "b");
    BOOST_REQUIRE(client.putObject("o", "content", 5s));
    BOOST_TEST(client.getObject("o", 5s).value() == "content");
    BOOST_REQUIRE(client.heartbeat({ "i1", "z1", "127.0.0.1:1", true }, 5s));
    const auto list = client.listInstances(5s);
    BOOST_REQUIRE(list);
    BOOST_REQUIRE(list.value().size() == 1u);
    BOOST_TEST(list.value().at(0).leaving);
    BOOST_TEST(store::serveCall(platform, "/control", R"({"down": true})").status == 200u);
    BOOST_TEST(store::serveCall(platform, "/control", R"({"donw": true})").status == 400u);
    BOOST_TEST((client.commit(oneRow, 5s).error().code == ErrorCode::Unavailable));
    BOOST_TEST((client.commit({ { "\xff", "1", 0 } }, 5s).error().code == ErrorCode::InvalidArgument));
}

// Guards against a refused connection that counts as a write that may have taken effect, which would block callers.
BOOST_AUTO_TEST_CASE(refusedConnectionIsUnavailable)
{
    std::uint16_t port = 0;
    {
        const OneShotServer server([](auto&, const auto&) {});
        port = server.port();
    }
    store::HttpPlatform client("127.0.0.1", port);
    BOOST_TEST((client.commit(oneRow, 5s).error().code == ErrorCode::Unavailable));
}

// Guards against a response that breaks off and counts as a completed write or as an empty table.
BOOST_AUTO_TEST_CASE(partialResponsesAreErrors)
{
    for (const std::string body : { R"({"done":true})", R"({"rows":[]})", R"({"instances":[]})" }) {
        const auto length = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
        const auto closeDelimited = fmt::format("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}", body);
        for (const auto& text : { length, closeDelimited }) {
            std::atomic<std::size_t> size { 0 };
            OneShotServer server([&](auto& socket, const auto&) { tests::writeRaw(socket, text.substr(0, size)); });
            store::HttpPlatform client("127.0.0.1", server.port());
            for (; size <= text.size(); ++size) {
                const bool isOk = client.commit(oneRow, 5s) || client.scan("", 10, 5s) || client.listInstances(5s);
                BOOST_TEST(isOk == (size == text.size()), size << " bytes of " << text);
            }
        }
    }
}

// Guards against a broken or truncated response, or one from another server, that counts as "not written", and against
// a call that is sent twice.
BOOST_AUTO_TEST_CASE(brokenResponsesLeaveTheOutcomeUnknown)
{
    BOOST_TEST((commitErrorCode("") == ErrorCode::OutcomeUnknown));
    BOOST_TEST((commitErrorCode("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{}") == ErrorCode::OutcomeUnknown));
    BOOST_TEST((commitErrorCode("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n<p/>") == ErrorCode::Malformed));
    BOOST_TEST((commitErrorCode("garbage\r\n\r\n") == ErrorCode::OutcomeUnknown));
    BOOST_TEST((commitErrorCode("HTTP/1.1 503 Gateway\r\nContent-Length: 4\r\n\r\nbusy") == ErrorCode::OutcomeUnknown));
    BOOST_TEST((commitErrorCode("HTTP/1.1 409 Gateway\r\nContent-Length: 0\r\n\r\n") == ErrorCode::OutcomeUnknown));
}

// Guards against a timeout that restarts with each read, so that a platform that sends its response byte by byte could
// extend the call without limit.
BOOST_AUTO_TEST_CASE(slowBytesDoNotExtendTheDeadline)
{
    std::atomic<bool> ended = false;
    OneShotServer server([&](auto& socket, const auto&) {
        tests::writeRaw(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
        while (!ended) {
            tests::writeRaw(socket, " ");
            std::this_thread::sleep_for(5ms);
        }
    });
    store::HttpPlatform client("127.0.0.1", server.port());
    BOOST_TEST((client.commit(oneRow, 100ms).error().code == ErrorCode::Timeout));
    ended = true;
}
