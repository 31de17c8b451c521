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
    MemoryPlatform model { clock };

    bool put(const std::string& key, const std::string& value, std::uint64_t expected)
    {
        return model.commit({ { key, value, expected } }, 1s).has_value();
    }
    std::string get(const std::string& key, bool linearizable = true)
    {
        const auto row = model.read(key, linearizable, 1s);
        return row ? row.value().value : "";
    }
};

} // namespace

// Guards against a transaction that writes some rows although the condition of another does not hold.
BOOST_FIXTURE_TEST_CASE(commitAppliesAllOrNothing, Fixture)
{
    BOOST_TEST(put("a", "1", 0));
    const auto result = model.commit({ { "b", "1", 0 }, { "a", "2", 7 } }, 1s);
    BOOST_TEST((result.error().code == ErrorCode::Conflict));
    BOOST_TEST(get("a") == "1");
    BOOST_TEST(get("b").empty());
}

// Guards against a delayed delete that removes the row of a later writer.
BOOST_FIXTURE_TEST_CASE(versionsAreNotReusedAfterDelete, Fixture)
{
    BOOST_TEST(put("a", "1", 0));
    const auto first = model.read("a", true, 1s).value().version;
    BOOST_REQUIRE(model.commit({ { "a", std::nullopt, first } }, 1s));
    clock.advance(10min);
    BOOST_TEST(put("0", "", 0)); // Forgets the deleted row.
    BOOST_TEST(put("a", "2", 0));
    BOOST_TEST(model.read("a", true, 1s).value().version > first);
    BOOST_TEST(!model.commit({ { "a", std::nullopt, first } }, 1s));
}

// Guards against fault switches that report a lost write but do not apply it, or the reverse.
BOOST_FIXTURE_TEST_CASE(faultsActAsNamed, Fixture)
{
    model.setFaults({ .loseResponses = 1 });
    BOOST_TEST((model.commit({ { "a", "1", 0 } }, 1s).error().code == ErrorCode::OutcomeUnknown));
    BOOST_TEST(get("a") == "1");
    model.setFaults({ .delayCommits = 1, .commitDelay = 5s });
    BOOST_TEST((model.commit({ { "b", "1", 0 } }, 1s).error().code == ErrorCode::Timeout));
    BOOST_TEST(get("b").empty());
    clock.advance(5s);
    BOOST_TEST(get("b") == "1");
    model.setFaults({ .readStaleness = 4s });
    BOOST_TEST(get("b", false).empty());
    BOOST_TEST(get("a", false) == "1");
    BOOST_TEST(model.scan("", 9, 1s).value().size() == 1u);
    model.setFaults({ .readOnly = true });
    BOOST_TEST((model.commit({ { "c", "1", 0 } }, 1s).error().code == ErrorCode::Unavailable));
    BOOST_TEST(get("a") == "1");
    model.setFaults({ .callDelay = 2s });
    BOOST_TEST((model.commit({ { "c", "1", 0 } }, 1s).error().code == ErrorCode::Timeout));
    BOOST_TEST((model.read("c", true, 1s).error().code == ErrorCode::Timeout));
    model.setFaults({});
    BOOST_TEST(get("c") == "1");
}

// Guards against an instance list without lag, which would hide faults of membership.
BOOST_AUTO_TEST_CASE(instanceListLags)
{
    base::ManualClock clock;
    MemoryPlatform model(clock, { .listLag = 2s, .heartbeatExpiry = 10s });
    BOOST_REQUIRE(model.heartbeat({ "i", "z", "127.0.0.1:1", false }, 1s));
    BOOST_TEST(model.listInstances(1s).value().empty());
    clock.advance(2s);
    BOOST_REQUIRE(model.heartbeat({ "i", "z", "127.0.0.1:1", true }, 1s));
    BOOST_TEST(!model.listInstances(1s).value().at(0).leaving);
    clock.advance(2s);
    BOOST_TEST(model.listInstances(1s).value().at(0).leaving);
    clock.advance(11s);
    BOOST_TEST(model.listInstances(1s).value().empty());
}

// Guards against a model without the platform's rate bound.
BOOST_AUTO_TEST_CASE(writesAboveTheRateAreRefused)
{
    base::ManualClock clock;
    MemoryPlatform model(clock, { .writesPerSecond = 2 });
    BOOST_TEST(model.commit({ { "a", "", 0 } }, 1s).has_value());
    BOOST_TEST(model.commit({ { "b", "", 0 } }, 1s).has_value());
    BOOST_TEST((model.commit({ { "c", "", 0 } }, 1s).error().code == ErrorCode::LimitExceeded));
    clock.advance(1s);
    BOOST_TEST(model.commit({ { "c", "", 0 } }, 1s).has_value());
}
