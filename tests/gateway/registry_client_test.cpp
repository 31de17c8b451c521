#define BOOST_TEST_MODULE RegistryClient
#include <boost/test/unit_test.hpp>

#include "../../platform/documents.h"
#include "../../platform/registry_client.h"
#include "../../standins/registry_store.h"
#include "../io/traffic_fixture.h"

#include <algorithm>
#include <fmt/format.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using standin::RegistryStore;
using standin::StoreFault;

namespace {

std::string encodedTarget(const std::string& state = "ready")
{
    return platform::encodeBase64(fmt::format(
        R"({{"service":"s1","address":"127.0.0.1:80","zone":"z","slots":3,"state":"{}","seq":1,"born":7}})", state));
}

std::string encodedRoutes(const std::string& version)
{
    return platform::encodeBase64(
        fmt::format(R"({{"version":"{}","limits":{{}},"listeners":[{{"host":"h","rules":[{{"name":"r","type":"safe",
            "target_latency":"1s","priority":1,"match":{{"prefix":"/p/"}},
            "action":{{"service":"s1","timeout":"2s","max_attempts":2}}}}]}}],"clusters":[]}})",
            version));
}

/// Runs the event loop until the call has completed, for at most 10 s, and returns the result.
template <typename T> T run(http::asio::io_context& io, http::Awaitable<T> call)
{
    std::optional<T> result;
    const auto wait = [&]() -> http::Awaitable<void> { result.emplace(co_await std::move(call)); };
    http::asio::co_spawn(io, wait, http::asio::detached);
    io.restart();
    io.run_until(std::chrono::steady_clock::now() + 10s);
    BOOST_REQUIRE(result.has_value());
    return std::move(*result);
}

/// A registry client that is connected to an in-memory store.
struct Fixture {
    Fixture()
        : registry(platform::makeRegistry(io, clock, { "127.0.0.1", store.port() }))
    {
    }

    template <typename T> T run(http::Awaitable<T> call) { return ::run(io, std::move(call)); }

    RegistryStore store;
    http::asio::io_context io { 1 };
    base::SystemClock clock;
    std::unique_ptr<gateway::Registry> registry;
};

} // namespace

// Guards against entries that are lost in conversion, and against one malformed entry that makes the whole read fail.
BOOST_FIXTURE_TEST_CASE(routesAndTargetsAreRead, Fixture)
{
    store.put("op", "config", encodedRoutes("0000000c"));
    store.put("servers", "i-1", encodedTarget());
    store.put("servers", "i-2", platform::encodeBase64("not json"));
    const auto read = run(registry->readRoutes());
    BOOST_REQUIRE(read);
    BOOST_REQUIRE(read.value().routes.has_value());
    BOOST_TEST(read.value().routes->version == 12u);
    const auto targets = run(registry->readTargets());
    BOOST_REQUIRE(targets);
    BOOST_REQUIRE(targets.value().changes.size() == 1u);
    BOOST_TEST(targets.value().changes[0].record->port == 80);
    BOOST_TEST(targets.value().malformed.size() == 1u);
}

// Guards against a client that ignores the pages after the first, so that some targets never receive a request.
BOOST_FIXTURE_TEST_CASE(allPagesOfATableAreRead, Fixture)
{
    constexpr unsigned rows = 1203;
    for (unsigned n = 0; n < rows; ++n)
        store.put("servers", fmt::format("i-{:05}", n), encodedTarget());
    const auto read = run(registry->readTargets());
    BOOST_REQUIRE(read);
    BOOST_TEST(read.value().changes.size() == rows);
}

// Guards against a client that ignores the deletion mark of a row, so that a removed target still receives requests.
BOOST_FIXTURE_TEST_CASE(feedContainsOnlyChanges, Fixture)
{
    store.put("servers", "i-1", encodedTarget());
    store.put("servers", "i-2", encodedTarget());
    const auto fullRead = run(registry->readTargets());
    BOOST_REQUIRE(fullRead);
    store.put("servers", "i-1", encodedTarget("draining"));
    store.remove("servers", "i-2");
    const auto read = run(registry->waitForTargets(fullRead.value().version, 1s));
    BOOST_REQUIRE(read);
    BOOST_REQUIRE(read.value().changes.size() == 2u);
    BOOST_TEST(read.value().changes[0].record->draining);
    BOOST_TEST(!read.value().changes[1].record.has_value());
    BOOST_TEST(read.value().version > fullRead.value().version);
}

// Guards against a client that waits for changes which the store has discarded. It must read everything again instead.
BOOST_FIXTURE_TEST_CASE(discardedHistoryIsDistinguishedFromOutage, Fixture)
{
    store.put("servers", "i-1", encodedTarget());
    const auto fullRead = run(registry->readTargets());
    store.discardHistory();
    const auto read = run(registry->waitForTargets(fullRead.value().version, 1s));
    BOOST_REQUIRE(!read);
    BOOST_TEST((read.error().code == base::ErrorCode::NotFound));
}

// Guards against a call that hangs when the store does not respond, and against an outage that is read as an empty
// table.
BOOST_FIXTURE_TEST_CASE(outagesAreErrors, Fixture)
{
    store.put("servers", "i-1", encodedTarget());
    store.setFault(StoreFault::Returns503);
    const auto refused = run(registry->readTargets());
    BOOST_REQUIRE(!refused);
    BOOST_TEST((refused.error().code == base::ErrorCode::Unavailable));
    store.setFault(StoreFault::NeverResponds);
    const auto silent = run(registry->readTargets());
    BOOST_REQUIRE(!silent);
    BOOST_TEST((silent.error().code == base::ErrorCode::Timeout));
    store.setFault(StoreFault::None);
    BOOST_TEST(run(registry->readTargets()).has_value());
}

// Guards against a response that breaks off and counts as an empty table or as a completed write.
BOOST_AUTO_TEST_CASE(partialResponsesOfTheStoreAreErrors)
{
    const std::string body = R"({"ver":1,"rows":[],"has_more":false})";
    const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
    const auto length = head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const auto chunks
        = head + "Transfer-Encoding: chunked\r\n\r\n" + fmt::format("{:x}\r\n", body.size()) + body + "\r\n0\r\n\r\n";
    for (const auto& text : { length, chunks }) {
        std::atomic<std::size_t> size { 0 };
        test::RawTarget store([&](test::RawConnection& peer, unsigned) {
            peer.readMessage();
            peer.send(text.substr(0, size));
        });
        http::asio::io_context io { 1 };
        const base::SystemClock clock;
        const auto registry = platform::makeRegistry(io, clock, { "127.0.0.1", store.port() });
        for (; size <= text.size(); ++size) {
            const bool isWhole = size == text.size();
            BOOST_TEST(run(io, registry->readRoutes()).has_value() == isWhole, size << " bytes of " << text);
            BOOST_TEST(run(io, registry->waitForTargets(1, 0ms)).has_value() == isWhole, size << " bytes of " << text);
            BOOST_TEST(run(io, registry->listPeers()).has_value() == isWhole, size << " bytes of " << text);
            BOOST_TEST(run(io, registry->announce({})).has_value() == isWhole, size << " bytes of " << text);
        }
    }
}

// Guards against a write whose response was lost being reported as succeeded or failed: its outcome is unknown.
BOOST_FIXTURE_TEST_CASE(lostResponseMeansOutcomeUnknown, Fixture)
{
    const gateway::PeerRecord self { "g1", "z1", "127.0.0.1", 7620, 0.2 };
    store.setFault(StoreFault::DropsResponses);
    const auto lost = run(registry->announce(self));
    BOOST_REQUIRE(!lost);
    BOOST_TEST((lost.error().code == base::ErrorCode::OutcomeUnknown));
    store.setFault(StoreFault::None);
    const auto peers = run(registry->listPeers());
    BOOST_REQUIRE(peers);
    BOOST_REQUIRE(peers.value().size() == 1u);
    BOOST_TEST(peers.value()[0].port == 7620);
    BOOST_TEST(peers.value()[0].capacity == 0.2, boost::test_tools::tolerance(1e-6));
}

// Guards against one invalid row that hides all others, in a listing and in the feed. Each field of a row is invalid
// once.
BOOST_FIXTURE_TEST_CASE(invalidRowsDoNotHideTheOthers, Fixture)
{
    const auto value = encodedTarget();
    const std::vector<nlohmann::json> rows { { { "key", "i-2" }, { "value", 7 } }, { { "key", "i-3" } },
        { { "key", "i-4" }, { "value", "no base64!" } }, { { "key", 5 }, { "value", value } }, { { "value", value } },
        { { "key", "i-6" }, { "value", nullptr } }, "no object", nullptr,
        { { "key", "i-7" }, { "value", value }, { "deleted", "yes" } },
        { { "key", "i 8\r\nX: 1" }, { "value", value } } };
    store.put("servers", "i-0", value);
    for (std::size_t n = 0; n < rows.size(); ++n)
        store.putFields("servers", fmt::format("row-{}", n), rows[n]);
    store.put("servers", "z-last", value);
    const auto read = run(registry->readTargets());
    BOOST_REQUIRE(read);
    const auto isTarget = [](const gateway::TargetChange& it) { return it.record.has_value(); };
    const auto& changes = read.value().changes;
    BOOST_TEST(std::count_if(changes.begin(), changes.end(), isTarget) == 2);
    BOOST_TEST(read.value().malformed.size() == rows.size());
    const auto fed = run(registry->waitForTargets(1, 1s));
    BOOST_REQUIRE(fed);
    BOOST_TEST(std::count_if(fed.value().changes.begin(), fed.value().changes.end(), isTarget) == 2);
}

// Guards against a target that stays in use after its entry was overwritten by one that cannot be read.
BOOST_FIXTURE_TEST_CASE(entryThatBecomesInvalidCountsAsRemoved, Fixture)
{
    store.put("servers", "i-1", encodedTarget());
    const auto listed = run(registry->readTargets());
    BOOST_REQUIRE(listed);
    store.put("servers", "i-1", platform::encodeBase64("{}"));
    const auto read = run(registry->waitForTargets(listed.value().version, 1s));
    BOOST_REQUIRE(read);
    BOOST_REQUIRE(read.value().changes.size() == 1u);
    BOOST_TEST(!read.value().changes[0].record.has_value());
}

// Guards against a listing that never ends because the store returns the same page again and again.
BOOST_FIXTURE_TEST_CASE(listingEndsWithoutNewKeys, Fixture)
{
    store.put("servers", "i-1", encodedTarget());
    store.put("servers", "i-2", encodedTarget());
    store.setFault(StoreFault::RepeatsPages);
    const auto read = run(registry->readTargets());
    BOOST_REQUIRE(read);
    BOOST_TEST(read.value().changes.size() == 2u);
}

// Guards against keys that change the query in which they are sent.
BOOST_FIXTURE_TEST_CASE(keysAreEscapedInQueries, Fixture)
{
    for (unsigned n = 0; n < 500; ++n)
        store.put("servers", fmt::format("i-{:05}", n), encodedTarget());
    store.put("servers", "i-00499&limit=0%", encodedTarget());
    store.put("servers", "i-00500", encodedTarget());
    const auto read = run(registry->readTargets());
    BOOST_REQUIRE(read);
    BOOST_TEST(read.value().changes.size() == 502u);
}
