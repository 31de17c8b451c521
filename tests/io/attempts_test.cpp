#define BOOST_TEST_MODULE Attempts
#include <boost/test/unit_test.hpp>

#include "traffic_fixture.h"

#include <buckthorncroft/outcome/claim_service.h>
#include <map>

using namespace buckthorncroft;
using namespace buckthorncroft::test;

namespace {

const std::string notRunResponse = "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n";

std::string statusOf(const std::string& response)
{
    return response.size() > 12 ? response.substr(9, 3) : "";
}

/// Claims in memory. `sendWindow`: time from acquiring a claim to its send deadline.
class FakeClaims final : public outcome::ClaimService {
public:
    void acquire(
        const outcome::ClaimRequest& request, base::SteadyTime, std::function<void(outcome::ClaimResult)> done) override
    {
        const std::lock_guard lock(m_mutex);
        outcome::ClaimResult result;
        const auto it = m_rows.find(request.key);
        if (it == m_rows.end()) {
            m_rows[request.key];
            result = { outcome::ClaimStatus::Held, "token", clock.now() + sendWindow, {} };
        } else if (it->second) {
            result = { outcome::ClaimStatus::Replay, "", {}, it->second };
        } else {
            result.status = outcome::ClaimStatus::InProgress;
        }
        done(result);
    }
    void release(const outcome::ClaimRequest& request, const std::string&) override
    {
        const std::lock_guard lock(m_mutex);
        m_rows.erase(request.key);
        ++releases;
    }
    void complete(
        const outcome::ClaimRequest& request, const std::string&, const outcome::RecordedResponse& response) override
    {
        const std::lock_guard lock(m_mutex);
        m_rows[request.key] = response;
    }

    base::SystemClock clock;
    std::chrono::seconds sendWindow { 5 };
    std::atomic<unsigned> releases { 0 };

private:
    std::mutex m_mutex;
    std::map<std::string, std::optional<outcome::RecordedResponse>> m_rows;
};

/// A target that counts the requests and sends the same response to each.
struct CountingTarget {
    explicit CountingTarget(const std::string& response)
        : target([this, response](RawConnection& peer, unsigned) {
            while (!peer.readMessage().empty()) {
                ++requests;
                peer.send(response);
            }
        })
    {
    }
    std::atomic<unsigned> requests { 0 };
    RawTarget target;
};

} // namespace

// Guards against a retry storm: even if every response is a failure, attempts stay within 1.1 times the requests.
BOOST_AUTO_TEST_CASE(attemptsStayWithinTheRetryBudget)
{
    CountingTarget a("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    CountingTarget b("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    ServerFixture fixture;
    fixture.addTarget(a.target.port());
    fixture.addTarget(b.target.port());
    fixture.start();
    for (int i = 0; i < 60; ++i)
        BOOST_TEST(statusOf(fixture.call("GET", "/")) == "500");
    BOOST_TEST(a.requests + b.requests > 60u);
    BOOST_TEST(a.requests + b.requests <= 66u);
}

// Guards against a non-idempotent request that is sent again, and may run twice, after its response is lost.
BOOST_AUTO_TEST_CASE(nonIdempotentRequestIsSentOnce)
{
    CountingTarget a("");
    CountingTarget b("");
    ServerFixture fixture;
    fixture.addTarget(a.target.port());
    fixture.addTarget(b.target.port());
    fixture.start();
    // These requests earn an extra attempt from the retry budget, so that an empty budget cannot prevent a retry.
    for (int i = 0; i < 12; ++i)
        (void)fixture.call("GET", "/", "Buckthorncroft-Deadline-Ms: 50\r\n");
    const auto before = a.requests + b.requests;
    const auto response = fixture.call("POST", "/book", "Buckthorncroft-Deadline-Ms: 100\r\n");
    BOOST_TEST(statusOf(response) == "504");
    BOOST_TEST(headerOf(response, "Buckthorncroft-Outcome") == "unknown");
    BOOST_TEST(a.requests + b.requests == before + 1);
}

// Guards against reporting the outcome "unknown" for a not-run refusal or a refused connection.
BOOST_AUTO_TEST_CASE(refusedAndUnreachableAreNotRun)
{
    CountingTarget a(notRunResponse);
    ServerFixture fixture;
    fixture.addTarget(a.target.port());
    fixture.start();
    auto response = fixture.call("POST", "/book");
    BOOST_TEST(statusOf(response) == "503");
    BOOST_TEST(headerOf(response, "Buckthorncroft-Outcome") == "not-run");
    BOOST_TEST(!headerOf(response, "Retry-After").empty());
    BOOST_TEST(health::toString(fixture.nextVerdict()) == "shed");
    ServerFixture closed;
    closed.addTarget(1); // No process listens on port 1.
    closed.start();
    response = closed.call("POST", "/book");
    BOOST_TEST(headerOf(response, "Buckthorncroft-Outcome") == "not-run");
    BOOST_TEST(health::toString(closed.nextVerdict()) == "connect_failed");
}

// Guards against relaying a failure status of one target when another target can serve the request.
BOOST_AUTO_TEST_CASE(idempotentRequestIsRetriedOnAnotherTarget)
{
    CountingTarget bad("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    RawTarget good([](RawConnection& peer, unsigned) { serveOkResponses(peer); });
    ServerFixture fixture;
    fixture.addTarget(good.port());
    fixture.start();
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(statusOf(fixture.call("GET", "/")) == "200");
    // The failing target is added only after the requests above have filled the retry budget.
    fixture.addTarget(bad.target.port(), 100);
    config::Configuration configuration;
    configuration.services.push_back(fixture.service);
    fixture.snapshots.publish(daemon::makeSnapshot(configuration, 1));
    for (int i = 0; i < 100 && bad.requests == 0; ++i)
        BOOST_TEST(statusOf(fixture.call("GET", "/")) == "200");
    BOOST_TEST(bad.requests == 1u);
}

// Guards against a request that waits for a hanging target until its deadline although a hedge is allowed, and against
// a losing attempt whose connection stays open.
BOOST_AUTO_TEST_CASE(slowAttemptIsHedgedAfterTheP95)
{
    std::atomic<bool> hang { false };
    std::atomic<unsigned> closedAttempts { 0 };
    const auto script = [&](RawConnection& peer, unsigned) {
        while (true) {
            const auto request = peer.readMessage();
            if (request.empty())
                return;
            if (hang.exchange(false)) {
                closedAttempts += peer.waitForPeerClose();
                return;
            }
            peer.send(okResponse(request, "well"));
        }
    };
    RawTarget a(script);
    RawTarget b(script);
    ServerFixture fixture;
    fixture.service.routes[0].hedge = true;
    fixture.addTarget(a.port());
    fixture.addTarget(b.port());
    fixture.start();
    // Enough requests for a p95 and for an extra attempt from the retry budget.
    for (int i = 0; i < 70; ++i)
        (void)fixture.call("GET", "/");
    hang = true;
    BOOST_TEST(statusOf(fixture.call("GET", "/")) == "200");
    BOOST_TEST(fixture.finished(71).back().attempts == 2u);
    BOOST_TEST(fixture.finished(71).back().duration < std::chrono::milliseconds(2500));
    for (int i = 0; i < 100 && closedAttempts == 0; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    BOOST_TEST(closedAttempts == 1u);
}

// Guards against a caller's retry that books twice, and against a claim that stays held for a request that never ran.
BOOST_AUTO_TEST_CASE(keyedRequestRunsOnceAndIsReplayed)
{
    CountingTarget a("HTTP/1.1 201 Created\r\nX-Booking: 7\r\nContent-Length: 4\r\n\r\ndone");
    FakeClaims claims;
    ServerFixture fixture;
    fixture.claims = &claims;
    fixture.addTarget(a.target.port());
    fixture.start();
    for (int i = 0; i < 3; ++i) {
        const auto response = fixture.call("POST", "/book", "Idempotency-Key: k1\r\n", "x");
        BOOST_TEST(statusOf(response) == "201");
        BOOST_TEST(headerOf(response, "X-Booking") == "7");
        BOOST_TEST(headerOf(response, "Buckthorncroft-Replayed") == (i == 0 ? "" : "true"));
        BOOST_TEST(response.substr(response.size() - 4) == "done");
    }
    BOOST_TEST(a.requests == 1u);
    // As if the process had been paused until the send deadline of its claim had passed.
    claims.sendWindow = std::chrono::seconds(0);
    const auto response = fixture.call("POST", "/book", "Idempotency-Key: k2\r\n", "x");
    BOOST_TEST(headerOf(response, "Buckthorncroft-Outcome") == "not-run");
    BOOST_TEST(claims.releases == 1u);
    BOOST_TEST(a.requests == 1u);
}

// Guards against a crash, and a claim that stays held, when the claim service responds after the server has stopped.
BOOST_AUTO_TEST_CASE(claimThatArrivesTooLateIsReleased)
{
    struct LateClaims final : outcome::ClaimService {
        void acquire(
            const outcome::ClaimRequest&, base::SteadyTime, std::function<void(outcome::ClaimResult)> done) override
        {
            callback = std::move(done);
        }
        void release(const outcome::ClaimRequest&, const std::string& token) override { released = token; }
        void complete(const outcome::ClaimRequest&, const std::string&, const outcome::RecordedResponse&) override { }
        std::function<void(outcome::ClaimResult)> callback;
        std::string released;
    } claims;
    {
        ServerFixture fixture;
        fixture.claims = &claims;
        fixture.addTarget(1); // No process listens on port 1.
        fixture.start();
        const auto response = fixture.call("POST", "/book", "Idempotency-Key: k\r\nBuckthorncroft-Deadline-Ms: 50\r\n");
        BOOST_TEST(statusOf(response) == "503");
        BOOST_TEST(headerOf(response, "Buckthorncroft-Outcome") == "not-run");
    }
    claims.callback({ outcome::ClaimStatus::Held, "token", {}, {} });
    BOOST_TEST(claims.released == "token");
}

// Guards against requests with an idempotency key that run without a claim.
BOOST_AUTO_TEST_CASE(keyedRequestWithoutClaimServiceIsNotRun)
{
    CountingTarget a("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    ServerFixture fixture;
    fixture.service.routes[1].requireIdempotencyKey = true;
    fixture.addTarget(a.target.port());
    fixture.start();
    BOOST_TEST(statusOf(fixture.call("POST", "/book", "Idempotency-Key: k\r\n")) == "503");
    BOOST_TEST(statusOf(fixture.call("POST", "/book")) == "400");
    BOOST_TEST(a.requests == 0u);
}

// Guards against more concurrent requests at a target than it has slots, and against requests lost in the queue.
BOOST_AUTO_TEST_CASE(targetNeverExceedsItsSlots)
{
    std::atomic<int> running { 0 };
    std::atomic<int> maxRunning { 0 };
    RawTarget target([&](RawConnection& peer, unsigned) {
        const auto request = peer.readMessage();
        const int n = ++running;
        for (int old = maxRunning; old < n && !maxRunning.compare_exchange_weak(old, n);) { }
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        --running;
        peer.send(okResponse(request, "x"));
    });
    ServerFixture fixture;
    fixture.settings.trafficThreads = 3;
    fixture.addTarget(target.port(), 2);
    fixture.start();
    std::vector<std::thread> callers;
    std::atomic<unsigned> good { 0 };
    callers.reserve(20);
    for (int i = 0; i < 20; ++i)
        callers.emplace_back([&] { good += statusOf(fixture.call("POST", "/book")) == "200"; });
    for (auto& it : callers)
        it.join();
    BOOST_TEST(good == 20u);
    BOOST_TEST(maxRunning <= 2);
}

// Guards against an unbounded queue in front of a target that does not respond.
BOOST_AUTO_TEST_CASE(fullQueueRejectsEarly)
{
    RawTarget target([](RawConnection& peer, unsigned) { peer.readAll(); });
    ServerFixture fixture;
    fixture.service.queueLimit = 1;
    fixture.addTarget(target.port(), 1);
    fixture.start();
    const auto first = fixture.caller();
    first->send("POST /book HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n\r\n");
    while (target.connections() == 0)
        std::this_thread::yield();
    const auto second = fixture.caller();
    // Its deadline passes while the first request still holds the slot, so it is never sent.
    second->send("POST /book HTTP/1.1\r\nHost: s\r\nBuckthorncroft-Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n");
    while (fixture.server->activeRequests() < 2)
        std::this_thread::yield();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const auto response = fixture.call("POST", "/book");
    BOOST_TEST(statusOf(response) == "503");
    BOOST_TEST(headerOf(response, "Buckthorncroft-Outcome") == "not-run");
    BOOST_TEST(!headerOf(response, "Retry-After").empty());
    // The queued request is reported as not run at its deadline; the request that was sent may have run.
    BOOST_TEST(headerOf(second->readMessage(), "Buckthorncroft-Outcome") == "not-run");
    BOOST_TEST(headerOf(first->readMessage(), "Buckthorncroft-Outcome") == "unknown");
}
