#define BOOST_TEST_MODULE TableClaimService
#include <boost/test/unit_test.hpp>

#include "forwarding_platform.h"
#include <buckthorncroft/store/claim_row.h>
#include <buckthorncroft/store/memory_platform.h>
#include <buckthorncroft/store/table_claim_service.h>
#include <condition_variable>
#include <future>
#include <rapidcheck.h>
#include <thread>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using outcome::ClaimRequest;
using outcome::ClaimResult;
using outcome::ClaimStatus;
using store::TableClaimService;

namespace {

const ClaimRequest booking { "bookdesk", "key 1/\xff", "digest" };

store::ClaimServiceSettings settings(const std::string& holder)
{
    store::ClaimServiceSettings result;
    result.holder = holder;
    result.fleetSweepInterval = 0s;
    result.fleetWritesPerSecond = 100000;
    result.times.initialBackoff = 10ms;
    result.times.maxBackoff = 20ms;
    return result;
}

std::future<ClaimResult> startAcquire(
    TableClaimService& service, const ClaimRequest& request, std::chrono::seconds time = 4s)
{
    auto promise = std::make_shared<std::promise<ClaimResult>>();
    service.acquire(request, std::chrono::steady_clock::now() + time,
        [promise](ClaimResult result) { promise->set_value(std::move(result)); });
    return promise->get_future();
}

ClaimResult acquire(TableClaimService& service, const ClaimRequest& request)
{
    return startAcquire(service, request).get();
}

// Waits up to 10 s until `condition` holds. Returns whether it does.
template <typename Condition> bool eventually(Condition condition)
{
    for (unsigned n = 0; n < 1000; ++n) {
        if (condition())
            return true;
        std::this_thread::sleep_for(10ms);
    }
    return false;
}

// Blocks all commits until `open` is called.
class BlockingPlatform final : public tests::ForwardingPlatform {
public:
    using ForwardingPlatform::ForwardingPlatform;

    void open()
    {
        const std::lock_guard lock(m_mutex);
        m_open = true;
        m_changed.notify_all();
    }
    void waitUntilBlocked()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_blocked > 0; });
    }
    base::Result<void> commit(const std::vector<store::Write>& writes, std::chrono::milliseconds timeout) override
    {
        std::unique_lock lock(m_mutex);
        ++m_blocked;
        m_changed.notify_all();
        m_changed.wait(lock, [&] { return m_open; });
        return ForwardingPlatform::commit(writes, timeout);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_open = false;
    unsigned m_blocked = 0;
};

struct Fixture {
    base::SystemClock clock;
    store::MemoryPlatform platform { clock };
};

} // namespace

// Guards against a caller's retry through another instance that runs the request a second time.
BOOST_FIXTURE_TEST_CASE(retryThroughAnotherInstanceDoesNotRun, Fixture)
{
    TableClaimService first(platform, clock, settings("i1"), 1);
    TableClaimService second(platform, clock, settings("i2"), 1);
    const auto held = acquire(first, booking);
    BOOST_REQUIRE((held.status == ClaimStatus::Held));
    BOOST_TEST((acquire(second, booking).status == ClaimStatus::InProgress));
    BOOST_TEST((acquire(second, { "bookdesk", booking.key, "other" }).status == ClaimStatus::DigestMismatch));
    const outcome::RecordedResponse response { 201, { { "Location", "/b/1" } }, std::string("\0\xff booked", 9), true };
    first.complete(booking, held.token, response);
    BOOST_REQUIRE(eventually([&] { return acquire(second, booking).status == ClaimStatus::Replay; }));
    const auto replay = acquire(second, booking);
    BOOST_TEST(replay.response.value().body == response.body);
    BOOST_TEST(replay.response.value().headers.at(0).second == "/b/1");
    first.release(booking, held.token); // Has no effect, because the claim was completed.
    BOOST_TEST((acquire(second, booking).status == ClaimStatus::Replay));
}

// Guards against a key that stays claimed although its request certainly did not run, also if the platform is down
// during the release.
BOOST_FIXTURE_TEST_CASE(releasedKeyCanBeClaimedAfterAnOutage, Fixture)
{
    TableClaimService service(platform, clock, settings("i1"), 1);
    const auto held = acquire(service, booking);
    BOOST_REQUIRE((held.status == ClaimStatus::Held));
    platform.setFaults({ .down = true });
    service.release(booking, held.token);
    BOOST_TEST((acquire(service, booking).status == ClaimStatus::Unavailable));
    platform.setFaults({});
    BOOST_TEST(eventually([&] { return acquire(service, booking).status == ClaimStatus::Held; }));
}

// Guards against lost responses after which two instances hold the same key, or no instance can claim a key.
BOOST_FIXTURE_TEST_CASE(lostResponsesLeaveOneHolderForEachKey, Fixture)
{
    platform.setFaults({ .responseLossProbability = 0.4 });
    std::vector<std::unique_ptr<TableClaimService>> services;
    for (unsigned n = 0; n < 4; ++n)
        services.push_back(std::make_unique<TableClaimService>(platform, clock, settings("i" + std::to_string(n)), n));
    for (unsigned key = 0; key < 50; ++key) {
        std::vector<std::future<ClaimResult>> results;
        for (unsigned n = 0; n < 12; ++n)
            results.push_back(startAcquire(*services[n % 4], { "bookdesk", std::to_string(key), "digest" }));
        unsigned held = 0;
        for (auto& it : results)
            held += it.get().status == ClaimStatus::Held ? 1 : 0;
        BOOST_TEST(held == 1u);
    }
}

// Guards against a slow platform that makes queued claims exhaust an instance's memory or callers wait past their
// deadline.
BOOST_FIXTURE_TEST_CASE(fullPoolRefusesAtOnce, Fixture)
{
    BlockingPlatform blocking(platform);
    auto testSettings = settings("i1");
    testSettings.threadCount = 1;
    testSettings.maxQueuedClaims = 1;
    TableClaimService service(blocking, clock, testSettings, 1);
    auto running = startAcquire(service, { "s", "1", "d" }, 60s);
    blocking.waitUntilBlocked();
    auto waiting = startAcquire(service, { "s", "2", "d" }, 1s);
    auto refused = startAcquire(service, { "s", "3", "d" }, 60s);
    BOOST_REQUIRE((refused.wait_for(0s) == std::future_status::ready));
    BOOST_TEST((refused.get().status == ClaimStatus::Unavailable));
    BOOST_TEST(service.counters().refusedBusy == 1u);
    BOOST_TEST((waiting.get().status == ClaimStatus::Unavailable)); // Its deadline passed while it was queued.
    blocking.open();
    BOOST_TEST((running.get().status == ClaimStatus::Held));
}

// Guards against a stop of the service that leaves callers without a result.
BOOST_FIXTURE_TEST_CASE(stopGivesEachClaimItsResult, Fixture)
{
    BlockingPlatform blocking(platform);
    auto testSettings = settings("i1");
    testSettings.threadCount = 1;
    std::vector<std::future<ClaimResult>> results;
    {
        TableClaimService service(blocking, clock, testSettings, 1);
        for (unsigned n = 0; n < 5; ++n)
            results.push_back(startAcquire(service, { "s", std::to_string(n), "d" }, 60s));
        blocking.waitUntilBlocked();
        blocking.open();
    }
    for (auto& it : results)
        BOOST_TEST((it.wait_for(0s) == std::future_status::ready));
}

// Guards against an instance that exceeds its share of the platform's write rate.
BOOST_FIXTURE_TEST_CASE(claimsBeyondTheWriteShareAreRefused, Fixture)
{
    auto testSettings = settings("i1");
    testSettings.fleetWritesPerSecond = 0.001;
    TableClaimService service(platform, clock, testSettings, 1);
    BOOST_TEST((acquire(service, { "s", "1", "d" }).status == ClaimStatus::Held));
    BOOST_TEST((acquire(service, { "s", "2", "d" }).status == ClaimStatus::Unavailable));
    BOOST_TEST(service.counters().refusedBudget == 1u);
}

// Guards against a table that grows without limit, and against a sweep that removes claims before their retention ends.
BOOST_FIXTURE_TEST_CASE(sweepRemovesExpiredRowsOnly, Fixture)
{
    std::size_t old = 0;
    for (unsigned n = 0; n < 400; ++n) {
        const auto age = n % 4 ? 25h : 23h;
        old += n % 4 ? 1 : 0;
        const outcome::ClaimRow row { "i", "t", "d", clock.wallNow() - age, std::nullopt };
        BOOST_REQUIRE(
            platform.commit({ { store::claimKey({ "s", std::to_string(n), "" }), store::formatClaim(row), 0 } }, 1s));
    }
    TableClaimService service(platform, clock, settings("i1"), 1);
    std::size_t removed = 0;
    for (unsigned n = 0; n < 500; ++n)
        removed += service.sweep();
    BOOST_TEST(removed == old);
    BOOST_TEST(platform.scan(store::claimKeyPrefix, 1000, 1s).value().size() == 400u - old);
}

// Guards against a response that is altered by storing it in a row, and against a crash on a damaged row.
BOOST_AUTO_TEST_CASE(rowsKeepAnyBytes)
{
    BOOST_TEST(rc::check([](const std::string& body, const std::string& value, unsigned short status) {
        outcome::ClaimRow row { "i", "t", "d", base::WallTime(5ms),
            outcome::RecordedResponse { status, {}, body, true } };
        row.response->headers.emplace_back("X", value);
        const auto text = store::formatClaim(row);
        const auto parsed = store::parseClaim(text);
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(parsed->response->body == body);
        RC_ASSERT(parsed->response->headers.at(0).second == value);
        RC_ASSERT(parsed->createdAt == row.createdAt);
        RC_ASSERT(!store::parseClaim(text.substr(0, text.size() / 2)).has_value());
    }));
}
