#define BOOST_TEST_MODULE WorkspaceKeys
#include <boost/test/unit_test.hpp>

#include "../../src/gateway/key_digest.h"
#include "../../src/gateway/response_sizes.h"
#include "flow_fixture.h"

#include <algorithm>
#include <fmt/format.h>

using namespace buckthorncroft;
using namespace buckthorncroft::test;
using config::RequestKind;

namespace {

std::string statusOf(const std::string& message)
{
    return message.substr(0, 12);
}

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t result = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++result;
    return result;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

/// Replies with `admission` after `delay`, or never.
class FakeAdmission final : public gateway::AdmissionService {
public:
    explicit FakeAdmission(http::asio::io_context& io)
        : m_io(io)
    {
    }

    void admit(const std::string& workspace, std::function<void(const gateway::Admission&)> done) override
    {
        asked.push_back(workspace);
        if (!replies)
            return;
        http::asio::post(m_io, [this, done = std::move(done)] {
            if (beforeReply)
                beforeReply();
            done(admission);
        });
    }

    gateway::Admission admission;
    bool replies = true;
    std::function<void()> beforeReply; ///< Called on the traffic thread.
    std::vector<std::string> asked;

private:
    http::asio::io_context& m_io;
};

/// Workspaces `w1` with the key `key-one` and `w2` with the key `key-two`, and one target that records what it
/// receives.
class KeyFixture : public FlowFixture {
public:
    KeyFixture()
        : target(answering([this](const std::string& text) {
            seen = text;
            return response(headerOf(text, names.requestId), "whole");
        }))
    {
        ports = { { "t", target.port() } };
        placement.grants = { "t", "t", "t", "t", "t", "t", "t", "t" };
        workspaces = { makeWorkspace("w1", "key-one"), makeWorkspace("w2", "key-two") };
        publish(1, RequestKind::Idempotent, 2000ms);
    }

    static routing::Workspace makeWorkspace(const std::string& name, const std::string& key)
    {
        routing::Workspace result;
        result.name = name;
        result.keys = { gateway::digestOfKey(key) };
        return result;
    }

    /// Sends a request with these header lines and returns its response.
    std::string call(RawConnection& caller, const std::string& lines)
    {
        auto text = request("1");
        text.insert(text.size() - 2, lines);
        caller.send(text);
        return caller.readMessage();
    }

    std::string seen; ///< The latest request that the target received.
    RawTarget target;
};

const std::string withKey = "Authorization: Bearer key-one\r\n";

} // namespace

// Guards against a request without a valid key that takes a slot or reaches a target.
BOOST_FIXTURE_TEST_CASE(requestsWithoutAValidKeyAreRejected, KeyFixture)
{
    const auto caller = start();
    for (const std::string lines : { "", "Authorization: Bearer key-on\r\n", "Authorization: Bearer\r\n",
             "Authorization: Basic key-one\r\n", "Authorization: key-one\r\n", "Authorization: Bearer KEY-ONE\r\n",
             "Authorization: Bearer key-one key-one\r\n",
             "Authorization: Bearer key-one\r\nAuthorization: Bearer key-one\r\n" }) {
        BOOST_TEST_CONTEXT(lines)
        BOOST_TEST(statusOf(call(*caller, lines)) == "HTTP/1.1 401");
    }
    stopTraffic();
    BOOST_TEST(placement.slotRequests.empty());
}

// Guards against a workspace that the caller names itself, and against a key that reaches a target.
BOOST_FIXTURE_TEST_CASE(targetReceivesTheWorkspaceAndNoKey, KeyFixture)
{
    const auto caller = start();
    const auto& name = names.workspace;
    for (const auto& lines : { std::string(), name + ": w2\r\n", lowerCase(name) + ": w2\r\n" + name + ": w3\r\n",
             fmt::format("Connection: {0}\r\n{0}: w2\r\n", name), "Connection: authorization, " + name + "\r\n" }) {
        BOOST_TEST_CONTEXT(lines)
        {
            BOOST_TEST(call(*caller, lines + "authorization: bEARER  key-one\r\n").ends_with("whole"));
            BOOST_TEST(headerOf(seen, name) == "w1");
            BOOST_TEST(count(lowerCase(seen), lowerCase(name) + ":") == 1u);
            BOOST_TEST(seen.find("key-one") == std::string::npos);
        }
    }
}

// Guards against a public route that requires a key, forwards it or forwards a workspace that the caller names.
BOOST_FIXTURE_TEST_CASE(publicRouteNeedsNoKey, KeyFixture)
{
    isPublic = true;
    publish(2, RequestKind::Idempotent, 2000ms);
    const auto caller = start();
    BOOST_TEST(call(*caller, names.workspace + ": w1\r\n" + withKey).ends_with("whole"));
    BOOST_TEST(count(seen, names.workspace) == 0u);
    BOOST_TEST(seen.find("key-one") == std::string::npos);
    BOOST_TEST(call(*caller, "").ends_with("whole"));
}

// Guards against a change for configurations without workspaces.
BOOST_FIXTURE_TEST_CASE(authorizationIsForwardedWithoutWorkspaces, KeyFixture)
{
    workspaces.clear();
    publish(2, RequestKind::Idempotent, 2000ms);
    const auto caller = start();
    BOOST_TEST(call(*caller, withKey).ends_with("whole"));
    BOOST_TEST(headerOf(seen, "Authorization") == "Bearer key-one");
}

// Guards against a trailer that passes for a header: Beast's parser adds it to the headers of the message.
BOOST_FIXTURE_TEST_CASE(trailersDoNotBecomeHeaders, KeyFixture)
{
    const auto caller = start();
    const auto send = [&](const std::string& lines, const std::string& trailers) {
        auto text = request("1", "POST");
        text.insert(text.size() - 2, lines + "Transfer-Encoding: chunked\r\n");
        caller->send(text + "1\r\nx\r\n0\r\n" + trailers + "\r\n");
        return caller->readMessage();
    };
    BOOST_TEST(send(withKey, names.workspace + ": w2\r\nX-Trailer: 1\r\n").ends_with("whole"));
    BOOST_TEST(headerOf(seen, names.workspace) == "w1");
    BOOST_TEST(count(seen, names.workspace) == 1u);
    BOOST_TEST(count(seen, "X-Trailer") == 0u);
    BOOST_TEST(statusOf(send("", withKey)) == "HTTP/1.1 401");
}

// Guards against 401 before the first routes, which a caller does not repeat, and against 401 without a route.
BOOST_FIXTURE_TEST_CASE(missingRoutesAndRoutePrecedeTheKey, KeyFixture)
{
    const auto caller = start();
    caller->send("GET /other/ HTTP/1.1\r\nHost: h\r\n" + names.requestId + ": 1\r\n\r\n");
    BOOST_TEST(statusOf(caller->readMessage()) == "HTTP/1.1 404");
    snapshots.publish(std::make_shared<const gateway::GatewaySnapshot>());
    BOOST_TEST(statusOf(call(*caller, "")) == "HTTP/1.1 503");
}

// Guards against a request that runs although its key was withdrawn while it waited for a slot, and against a further
// attempt under a withdrawn key.
BOOST_FIXTURE_TEST_CASE(withdrawnKeyStartsNoAttempt, KeyFixture)
{
    RawTarget failing([](RawConnection& peer, unsigned) { peer.readMessage(); });
    ports["f"] = failing.port();
    publish(2, RequestKind::Idempotent, 2000ms);
    const auto withdraw = [&] {
        workspaces = { makeWorkspace("w1", "key-new"), makeWorkspace("w2", "key-two") };
        publish(4, RequestKind::Idempotent, 2000ms);
    };
    placement.beforeSlotResult = withdraw;
    const auto caller = start();
    BOOST_TEST(statusOf(call(*caller, withKey)) == "HTTP/1.1 401");
    BOOST_TEST(target.connections() == 0u);
    http::asio::post(io, [&] {
        workspaces = { makeWorkspace("w1", "key-one") };
        publish(5, RequestKind::Idempotent, 2000ms);
        placement.grants = { "f", "t" };
        placement.beforeSlotResult = [&, n = 0]() mutable {
            if (++n == 2)
                withdraw();
        };
    });
    BOOST_TEST(statusOf(call(*caller, withKey)) == "HTTP/1.1 502");
    BOOST_TEST(failing.connections() == 1u);
    BOOST_TEST(target.connections() == 0u);
    stopTraffic();
    BOOST_TEST(placement.outcomes.size() == 3u);
}

// Guards against an order in which the route's priority goes before the workspace's, and against a dispatch point that
// does not know the workspace and the sizes.
BOOST_FIXTURE_TEST_CASE(slotRequestDescribesTheCaller, KeyFixture)
{
    workspaces[0].priority = 2;
    publish(2, RequestKind::Idempotent, 2000ms);
    const auto caller = start();
    call(*caller, withKey);
    call(*caller, withKey);
    stopTraffic();
    const auto& last = placement.slotRequests.back();
    BOOST_TEST(last.workspace == "w1");
    BOOST_TEST(last.priority == routing::combinedPriority(2, 0));
    BOOST_TEST(last.responseBytes == 5u);
    BOOST_TEST(routing::combinedPriority(1, 0) > routing::combinedPriority(0, routing::lowestPriority));
}

// Guards against a request beyond the quota that takes a slot, and against a count of further attempts.
BOOST_FIXTURE_TEST_CASE(quotaIsCheckedOnceBeforeTheFirstSlot, KeyFixture)
{
    FakeAdmission admission(io);
    context.admission = &admission;
    workspaces[0].quota = { 10, 0 };
    RawTarget failing([](RawConnection& peer, unsigned) { peer.readMessage(); });
    ports["f"] = failing.port();
    publish(2, RequestKind::Idempotent, 2000ms);
    placement.grants = { "f", "t", "t" };
    const auto caller = start();
    BOOST_TEST(call(*caller, withKey).ends_with("whole"));
    BOOST_TEST(admission.asked.size() == 1u);
    BOOST_TEST(call(*caller, "Authorization: Bearer key-two\r\n").ends_with("whole"));
    BOOST_TEST(admission.asked.size() == 1u);
    admission.admission = { false, 120ms };
    const auto refused = call(*caller, withKey);
    BOOST_TEST(statusOf(refused) == "HTTP/1.1 429");
    BOOST_TEST(headerOf(refused, "Retry-After") == "0.120");
    admission.replies = false;
    const auto sentAt = clock.now();
    BOOST_TEST(statusOf(call(*caller, withKey)) == "HTTP/1.1 429");
    BOOST_TEST((clock.now() - sentAt >= 450ms && clock.now() - sentAt < 1000ms));
    stopTraffic();
    BOOST_TEST(placement.slotRequests.size() == 3u);
}

// Guards against a slot request under a key that was withdrawn during the check of the quota.
BOOST_FIXTURE_TEST_CASE(keyWithdrawnDuringTheCheckOfTheCap, KeyFixture)
{
    FakeAdmission admission(io);
    context.admission = &admission;
    workspaces[0].quota = { 10, 0 };
    publish(2, RequestKind::Idempotent, 2000ms);
    admission.beforeReply = [&] {
        workspaces.erase(workspaces.begin());
        publish(3, RequestKind::Idempotent, 2000ms);
    };
    const auto caller = start();
    BOOST_TEST(statusOf(call(*caller, withKey)) == "HTTP/1.1 401");
    stopTraffic();
    BOOST_TEST(placement.slotRequests.empty());
}

// Guards against a request that stays for the whole time of the check although its caller has left.
BOOST_FIXTURE_TEST_CASE(callerThatLeavesEndsTheCheckOfTheCap, KeyFixture)
{
    FakeAdmission admission(io);
    context.admission = &admission;
    admission.replies = false;
    workspaces[0].quota = { 10, 0 };
    publish(2, RequestKind::Idempotent, 2000ms);
    auto caller = start();
    auto text = request("1");
    text.insert(text.size() - 2, withKey);
    caller->send(text);
    std::this_thread::sleep_for(50ms);
    const auto leftAt = clock.now();
    caller.reset();
    waitUntilDone();
    BOOST_TEST((clock.now() - leftAt < 300ms));
    BOOST_TEST(admission.asked.size() == 1u);
    BOOST_TEST(placement.slotRequests.empty());
}

// Guards against an estimate that follows single responses, and against unbounded memory.
BOOST_AUTO_TEST_CASE(responseSizesAreAveragedForABoundedNumberOfRoutes)
{
    gateway::ResponseSizes sizes;
    BOOST_TEST(sizes.estimate("r") == 0u);
    sizes.add("r", 1000);
    sizes.add("r", 9000);
    BOOST_TEST(sizes.estimate("r") == 2000u);
    sizes.add("large", std::uint64_t { 1 } << 40);
    BOOST_TEST(sizes.estimate("large") == std::numeric_limits<std::uint32_t>::max());
    for (std::size_t n = 0; n <= gateway::ResponseSizes::maxRoutes; ++n)
        sizes.add("r" + std::to_string(n), 1);
    BOOST_TEST(sizes.estimate("r" + std::to_string(gateway::ResponseSizes::maxRoutes)) == 0u);
}
