#define BOOST_TEST_MODULE MemoryPlatform
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/store/memory_platform.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using base::ErrorCode;
using store::MemoryPlatform;

namespace {

struct Fixture {
    base::ManualClock clock;
    MemoryPlatform platform { clock };

    bool put(const std::string& key, const std::string& value, std::uint64_t expected)
    {
        return platform.commit({ { key, value, expected } }, 1s).has_value();
    }
    std::string get(const std::string& key, bool linearizable = true)
    {
        const auto row = platform.read(key, linearizable, 1s);
        return row ? row.value().value : "";
    }
};

} // namespace

// Guards against a transaction that writes some of its rows although the condition of another row does not hold.
BOOST_FIXTURE_TEST_CASE(commitAppliesAllOrNothing, Fixture)
{
    BOOST_TEST(put("a", "1", 0));
    const auto result = platform.commit({ { "b", "1", 0 }, { "a", "2", 7 } }, 1s);
    BOOST_TEST((result.error().code == ErrorCode::Conflict));
    BOOST_TEST(get("a") == "1");
    BOOST_TEST(get("b").empty());
}

// Guards against a delayed delete that removes the row of a later writer.
BOOST_FIXTURE_TEST_CASE(versionsAreNotReusedAfterDelete, Fixture)
{
    BOOST_TEST(put("a", "1", 0));
    const auto first = platform.read("a", true, 1s).value().version;
    BOOST_REQUIRE(platform.commit({ { "a", std::nullopt, first } }, 1s));
    clock.advance(10min);
    BOOST_TEST(put("0", "", 0)); // Removes the deleted row from memory.
    BOOST_TEST(put("a", "2", 0));
    BOOST_TEST(platform.read("a", true, 1s).value().version > first);
    BOOST_TEST(!platform.commit({ { "a", std::nullopt, first } }, 1s));
}

// Guards against simulated faults that report a lost response without applying the write, or the reverse.
BOOST_FIXTURE_TEST_CASE(faultsHaveTheDocumentedEffect, Fixture)
{
    platform.setFaults({ .responsesToLose = 1 });
    BOOST_TEST((platform.commit({ { "a", "1", 0 } }, 1s).error().code == ErrorCode::OutcomeUnknown));
    BOOST_TEST(get("a") == "1");
    platform.setFaults({ .commitsToDelay = 1, .commitDelay = 5s });
    BOOST_TEST((platform.commit({ { "b", "1", 0 } }, 1s).error().code == ErrorCode::Timeout));
    BOOST_TEST(get("b").empty());
    clock.advance(5s);
    BOOST_TEST(get("b") == "1");
    platform.setFaults({ .readStaleness = 4s });
    BOOST_TEST(get("b", false).empty());
    BOOST_TEST(get("a", false) == "1");
    BOOST_TEST(platform.scan("", 9, 1s).value().size() == 1u);
    platform.setFaults({ .readOnly = true });
    BOOST_TEST((platform.commit({ { "c", "1", 0 } }, 1s).error().code == ErrorCode::Unavailable));
    BOOST_TEST(get("a") == "1");
    platform.setFaults({ .callDelay = 2s });
    BOOST_TEST((platform.commit({ { "c", "1", 0 } }, 1s).error().code == ErrorCode::Timeout));
    BOOST_TEST((platform.read("c", true, 1s).error().code == ErrorCode::Timeout));
    platform.setFaults({});
    BOOST_TEST(get("c") == "1");
}

// Guards against an instance list without lag, which would hide faults of the membership code.
BOOST_AUTO_TEST_CASE(instanceListLags)
{
    base::ManualClock clock;
    MemoryPlatform platform(clock, { .listLag = 2s, .heartbeatExpiry = 10s });
    BOOST_REQUIRE(platform.heartbeat({ "i", "z", "127.0.0.1:1", false }, 1s));
    BOOST_TEST(platform.listInstances(1s).value().empty());
    clock.advance(2s);
    BOOST_REQUIRE(platform.heartbeat({ "i", "z", "127.0.0.1:1", true }, 1s));
    BOOST_TEST(!platform.listInstances(1s).value().at(0).leaving);
    clock.advance(2s);
    BOOST_TEST(platform.listInstances(1s).value().at(0).leaving);
    clock.advance(11s);
    BOOST_TEST(platform.listInstances(1s).value().empty());
}

// Guards against a simulation without the platform's rate limit.
BOOST_AUTO_TEST_CASE(writesAboveTheRateAreRefused)
{
    base::ManualClock clock;
    MemoryPlatform platform(clock, { .writesPerSecond = 2 });
    BOOST_TEST(platform.commit({ { "a", "", 0 } }, 1s).has_value());
    BOOST_TEST(platform.commit({ { "b", "", 0 } }, 1s).has_value());
    BOOST_TEST((platform.commit({ { "c", "", 0 } }, 1s).error().code == ErrorCode::LimitExceeded));
    clock.advance(1s);
    BOOST_TEST(platform.commit({ { "c", "", 0 } }, 1s).has_value());
}
