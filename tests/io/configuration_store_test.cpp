#define BOOST_TEST_MODULE ConfigurationStore
#include <boost/test/unit_test.hpp>

#include "forwarding_platform.h"
#include <buckthorncroft/config/parse.h>
#include <buckthorncroft/store/configuration_store.h>
#include <buckthorncroft/store/memory_platform.h>
#include <map>
#include <random>
#include <rapidcheck.h>
#include <set>
#include <thread>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using base::ErrorCode;
using store::ConfigurationStore;
using store::OperationState;
using store::Submission;

namespace {

Submission submission(const std::string& operation, std::uint64_t base, unsigned queueLimit = 200,
    const std::string& service = "bookdesk")
{
    Submission result;
    result.service.name = service;
    result.service.queueLimit = queueLimit;
    config::Route route;
    route.name = "book";
    route.pathPrefix = "/";
    result.service.routes.push_back(route);
    config::Target target;
    target.id = "b1";
    target.host = "127.0.0.1";
    target.port = 9001;
    target.zone = "z1";
    result.service.targets.push_back(target);
    result.baseVersion = base;
    result.operationId = operation;
    result.operatorName = "ann";
    result.reason = "test";
    return result;
}

// Takes the platform down right after the first commit that returns an error.
class OutageAfterLostResponse final : public tests::ForwardingPlatform {
public:
    explicit OutageAfterLostResponse(store::MemoryPlatform& platform)
        : ForwardingPlatform(platform)
        , m_platform(platform)
    {
    }
    base::Result<void> commit(const std::vector<store::Write>& writes, std::chrono::milliseconds timeout) override
    {
        auto result = ForwardingPlatform::commit(writes, timeout);
        if (!result)
            m_platform.setFaults({ .down = true });
        return result;
    }

private:
    store::MemoryPlatform& m_platform;
};

struct Fixture {
    base::ManualClock clock;
    store::MemoryPlatform platform { clock };
    ConfigurationStore store { platform, clock };

    ErrorCode submitError(const Submission& it)
    {
        const auto result = store.submit(it, 1s);
        BOOST_REQUIRE(!result);
        return result.error().code;
    }
    store::StoredConfiguration currentConfiguration()
    {
        auto result = store.readConfiguration(1s);
        BOOST_REQUIRE(result);
        return std::move(result.value());
    }
};

} // namespace

// Guards against an accepted change that instances cannot read, and against a rollback that loses the history.
BOOST_FIXTURE_TEST_CASE(acceptedChangesAreReadAndRolledBack, Fixture)
{
    BOOST_TEST(currentConfiguration().configuration.changeNumber == 0u);
    BOOST_TEST(store.submit(submission("a", 0, 10), 1s).value().version == 1u);
    BOOST_TEST(store.submit(submission("b", 0, 10, "quotebook"), 1s).value().change == 2u);
    BOOST_TEST(store.submit(submission("c", 1, 20), 1s).value().version == 2u);
    const auto stored = currentConfiguration();
    BOOST_TEST(stored.configuration.changeNumber == 3u);
    BOOST_REQUIRE(stored.configuration.services.size() == 2u);
    BOOST_TEST(stored.configuration.services.at(0).queueLimit == 20u);
    BOOST_TEST(store.rollback(submission("d", 2), 1, 1s).value().version == 3u);
    BOOST_TEST(currentConfiguration().configuration.services.at(0).queueLimit == 10u);
    const auto history = store.history("bookdesk", 2, 1s).value();
    BOOST_REQUIRE(history.entries.size() == 2u);
    BOOST_TEST(history.entries.at(0).version == 3u);
    BOOST_TEST(history.entries.at(1).operationId == "c");
    BOOST_TEST((store.rollback(submission("e", 3), 9, 1s).error().code == ErrorCode::NotFound));
}

// Guards against an invalid record that the store accepts although every instance would reject it.
BOOST_FIXTURE_TEST_CASE(invalidSubmissionsAreRefused, Fixture)
{
    auto invalid = submission("a", 0);
    invalid.service.targets.at(0).host = "not a number";
    BOOST_TEST((submitError(invalid) == ErrorCode::InvalidArgument));
    BOOST_TEST((submitError(submission("a/b", 0)) == ErrorCode::InvalidArgument));
    BOOST_TEST(currentConfiguration().configuration.changeNumber == 0u);
}

// Guards against a lost response that is reported as a refusal, after which operators would submit the change twice.
BOOST_FIXTURE_TEST_CASE(lostResponseAfterTheWriteIsResolved, Fixture)
{
    platform.setFaults({ .responsesToLose = 1 });
    BOOST_TEST(store.submit(submission("a", 0), 1s).value().version == 1u);
    platform.setFaults({ .commitsToDelay = 1, .commitDelay = 5s });
    BOOST_TEST(store.submit(submission("b", 1), 1s).value().version == 2u);
    clock.advance(10s); // The delayed transaction is due now, but must have no effect.
    BOOST_TEST(currentConfiguration().configuration.changeNumber == 2u);
    BOOST_TEST(store.submit(submission("b", 1), 1s).value().version == 2u); // Repeats the same operation.
    BOOST_TEST((submitError(submission("b", 1, 99)) == ErrorCode::InvalidArgument));
}

// Guards against a definite result for a change whose outcome cannot be read because the platform went down.
BOOST_FIXTURE_TEST_CASE(outcomeStaysUnknownDuringAnOutage, Fixture)
{
    OutageAfterLostResponse outage(platform);
    ConfigurationStore storeWithOutage(outage, clock);
    platform.setFaults({ .responsesToLose = 1 });
    BOOST_TEST((storeWithOutage.submit(submission("a", 0), 1s).error().code == ErrorCode::OutcomeUnknown));
    BOOST_TEST((store.operation("a", 1s).error().code == ErrorCode::Unavailable));
    platform.setFaults({});
    BOOST_TEST((store.operation("a", 1s).value().state == OperationState::Accepted));
    BOOST_TEST((store.cancel("a", 1s).value().state == OperationState::Accepted));

    platform.setFaults({ .commitsToDelay = 1, .commitDelay = 5s });
    BOOST_TEST((storeWithOutage.submit(submission("b", 1), 1s).error().code == ErrorCode::OutcomeUnknown));
    platform.setFaults({});
    BOOST_TEST((store.operation("b", 1s).value().state == OperationState::Unknown));
    BOOST_TEST((store.cancel("b", 1s).value().state == OperationState::Refused));
    clock.advance(10s); // The delayed transaction must have no effect after the cancel.
    BOOST_TEST(currentConfiguration().configuration.changeNumber == 1u);
    BOOST_TEST((submitError(submission("b", 1)) == ErrorCode::Conflict));
}

// Guards against concurrent submits that overwrite each other's change without an error.
BOOST_AUTO_TEST_CASE(oneOfConcurrentSubmitsIsAccepted)
{
    const base::SystemClock clock;
    store::MemoryPlatform platform(clock);
    ConfigurationStore store(platform, clock);
    BOOST_REQUIRE(store.submit(submission("first", 0, 1), 5s));
    std::atomic<unsigned> accepted = 0;
    std::atomic<unsigned> conflicts = 0;
    std::vector<std::thread> operators;
    for (unsigned n = 0; n < 8; ++n) {
        operators.emplace_back([&, n] {
            const auto result = store.submit(submission("op" + std::to_string(n), 1, 100 + n), 5s);
            if (result)
                ++accepted;
            else if (result.error().code == ErrorCode::Conflict
                && result.error().message.find("service: queue_limit = 1 -> 10") != std::string::npos)
                ++conflicts;
        });
    }
    for (auto& it : operators)
        it.join();
    BOOST_TEST(accepted == 1u);
    BOOST_TEST(conflicts == 7u);
}

// Guards against a submit that reports a conflict with a concurrent copy of itself, for example if an operator submits
// the same change from two terminals.
BOOST_AUTO_TEST_CASE(sameOperationSubmittedTwiceAtOnceIsAcceptedOnce)
{
    const base::SystemClock clock;
    store::MemoryPlatform platform(clock);
    ConfigurationStore store(platform, clock);
    for (unsigned n = 0; n < 200; ++n) {
        std::vector<std::uint64_t> versions(3);
        std::vector<std::thread> copies;
        copies.reserve(versions.size());
        for (auto& version : versions) {
            copies.emplace_back([&store, &version, n] {
                const auto result = store.submit(submission("op" + std::to_string(n), n), 5s);
                version = result ? result.value().version : 0;
            });
        }
        for (auto& it : copies)
            it.join();
        for (const auto version : versions)
            BOOST_TEST(version == n + 1);
    }
    BOOST_TEST(store.readChangeNumber(5s).value() == 200u);
}

// Guards against a damaged record that is applied or that makes other services unreadable.
BOOST_FIXTURE_TEST_CASE(damagedRecordIsReportedAndCanBeRepaired, Fixture)
{
    BOOST_REQUIRE(store.submit(submission("a", 0), 1s));
    BOOST_REQUIRE(store.submit(submission("b", 0, 10, "quotebook"), 1s));
    const auto row = platform.read("config/service/bookdesk", true, 1s).value();
    auto value = row.value;
    value.replace(value.find("9001"), 4, "9002");
    BOOST_REQUIRE(platform.commit({ { row.key, value, row.version } }, 1s));
    const auto stored = currentConfiguration();
    BOOST_REQUIRE(stored.damaged.size() == 1u);
    BOOST_TEST(stored.damaged.at(0).key == "config/service/bookdesk");
    BOOST_REQUIRE(stored.configuration.services.size() == 1u);
    BOOST_TEST(stored.configuration.services.at(0).name == "quotebook");
    BOOST_TEST(store.submit(submission("c", 1), 1s).value().version == 2u);
    BOOST_TEST(currentConfiguration().damaged.empty());

    const auto index = platform.read("config/index", true, 1s).value();
    BOOST_REQUIRE(platform.commit({ { index.key, "{}", index.version } }, 1s));
    const auto failed = store.readConfiguration(1s);
    BOOST_REQUIRE(!failed);
    BOOST_TEST((failed.error().code == ErrorCode::Malformed));
    BOOST_TEST(failed.error().message.find("config/index") != std::string::npos);
}

// Guards against old content that is returned with a new change number. No later poll would correct it.
BOOST_FIXTURE_TEST_CASE(staleScanIsNotPublishedUnderANewChangeNumber, Fixture)
{
    BOOST_REQUIRE(store.submit(submission("a", 0, 10), 1s));
    clock.advance(30s);
    BOOST_REQUIRE(store.submit(submission("b", 1, 20), 1s));
    BOOST_REQUIRE(store.submit(submission("c", 0, 30, "quotebook"), 1s));
    platform.setFaults({ .readStaleness = 20s });
    const auto stored = currentConfiguration();
    BOOST_TEST(stored.configuration.changeNumber == 3u);
    BOOST_REQUIRE(stored.configuration.services.size() == 2u);
    BOOST_TEST(stored.configuration.services.at(0).queueLimit == 20u);
}

// Guards against an outage that is reported as anything other than "not accepted".
BOOST_FIXTURE_TEST_CASE(outageRefusesSubmits, Fixture)
{
    platform.setFaults({ .down = true });
    BOOST_TEST((submitError(submission("a", 0)) == ErrorCode::Unavailable));
    BOOST_TEST((store.readConfiguration(1s).error().code == ErrorCode::Unavailable));
    platform.setFaults({ .readOnly = true });
    BOOST_TEST((submitError(submission("a", 0)) == ErrorCode::Unavailable));
    platform.setFaults({});
    BOOST_TEST(currentConfiguration().configuration.changeNumber == 0u);
}

// Guards against results that contradict the store. With lost responses, delayed commits, cancels and wrong base
// versions, each accepted operation must be in the history exactly once, no refused operation may be in it, and no
// version or change number may be skipped.
BOOST_AUTO_TEST_CASE(resultsAgreeWithTheHistory)
{
    std::size_t applied = 0;
    const bool ok = rc::check([&] {
        std::mt19937 random(*rc::gen::noShrink(rc::gen::inRange<unsigned>(0, 1u << 30)));
        const auto randomBelow = [&](unsigned bound) { return static_cast<unsigned>(random() % bound); };
        base::ManualClock clock;
        store::MemoryPlatform platform(clock, {}, random());
        ConfigurationStore store(platform, clock);
        std::map<std::string, std::uint64_t> accepted;
        std::set<std::string> cancelled;
        std::set<std::string> conflicts;
        std::map<std::string, std::uint64_t> bases; // Keeps an operation id from being used for two changes.
        std::uint64_t base = 0;
        for (unsigned n = 0; n < 30; ++n) {
            platform.setFaults({ .down = randomBelow(8) == 0,
                .responseLossProbability = randomBelow(2) ? 0.5 : 0,
                .commitsToDelay = randomBelow(3),
                .commitDelay = std::chrono::seconds(randomBelow(40)) });
            clock.advance(std::chrono::seconds(randomBelow(20)));
            const auto operation = "op" + std::to_string(randomBelow(n + 1));
            if (randomBelow(5) == 0) {
                const auto result = store.cancel(operation, 1s);
                if (result && result.value().state == OperationState::Refused)
                    cancelled.insert(operation);
                continue;
            }
            // A conflict means that no earlier submit of the operation took effect; a later one may still be accepted.
            conflicts.erase(operation);
            const auto usedBase = bases.emplace(operation, base).first->second;
            const auto result = store.submit(submission(operation, usedBase), 1s);
            if (result) {
                accepted[operation] = result.value().version;
                base = std::max(base, result.value().version);
            } else if (result.error().code == ErrorCode::Conflict) {
                conflicts.insert(operation);
                base += randomBelow(2);
            }
        }
        platform.setFaults({});
        clock.advance(10min);
        const auto history = store.history("bookdesk", 100, 1s).value();
        std::map<std::string, std::uint64_t> found;
        for (std::size_t n = 0; n < history.entries.size(); ++n) {
            RC_ASSERT(history.entries[n].version == history.entries.size() - n);
            RC_ASSERT(found.emplace(history.entries[n].operationId, history.entries[n].version).second);
        }
        RC_ASSERT(store.readChangeNumber(1s).value() == history.entries.size());
        for (const auto& [operation, version] : accepted)
            RC_ASSERT(found.contains(operation) && found[operation] == version);
        cancelled.merge(conflicts);
        for (const auto& it : cancelled)
            RC_ASSERT(!found.contains(it));
        applied += found.size();
    });
    BOOST_TEST(ok);
    BOOST_TEST(applied > 0u); // Otherwise the faults left nothing to check.
}
