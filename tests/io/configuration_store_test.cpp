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

// Takes the platform down right after the first commit that is answered with an error.
class OutageAfterLostResponse final : public tests::ForwardingPlatform {
public:
    explicit OutageAfterLostResponse(store::MemoryPlatform& model)
        : ForwardingPlatform(model)
        , m_model(model)
    {
    }
    base::Result<void> commit(const std::vector<store::Write>& writes, std::chrono::milliseconds t) override
    {
        auto result = ForwardingPlatform::commit(writes, t);
        if (!result)
            m_model.setFaults({ .down = true });
        return result;
    }

private:
    store::MemoryPlatform& m_model;
};

struct Fixture {
    base::ManualClock clock;
    store::MemoryPlatform model { clock };
    ConfigurationStore store { model, clock };

    ErrorCode submitError(const Submission& it)
    {
        const auto result = store.submit(it, 1s);
        BOOST_REQUIRE(!result);
        return result.error().code;
    }
    store::StoredConfiguration all()
    {
        auto result = store.readConfiguration(1s);
        BOOST_REQUIRE(result);
        return std::move(result.value());
    }
};

} // namespace

// Guards against an accepted change that instances cannot read, and a rollback that loses the history.
BOOST_FIXTURE_TEST_CASE(acceptedChangesAreReadAndRolledBack, Fixture)
{
    BOOST_TEST(all().configuration.changeNumber == 0u);
    BOOST_TEST(store.submit(submission("a", 0, 10), 1s).value().version == 1u);
    BOOST_TEST(store.submit(submission("b", 0, 10, "quotebook"), 1s).value().change == 2u);
    BOOST_TEST(store.submit(submission("c", 1, 20), 1s).value().version == 2u);
    const auto stored = all();
    BOOST_TEST(stored.configuration.changeNumber == 3u);
    BOOST_REQUIRE(stored.configuration.services.size() == 2u);
    BOOST_TEST(stored.configuration.services.at(0).queueLimit == 20u);
    BOOST_TEST(store.rollback(submission("d", 2), 1, 1s).value().version == 3u);
    BOOST_TEST(all().configuration.services.at(0).queueLimit == 10u);
    const auto history = store.history("bookdesk", 2, 1s).value();
    BOOST_REQUIRE(history.entries.size() == 2u);
    BOOST_TEST(history.entries.at(0).version == 3u);
    BOOST_TEST(history.entries.at(1).operationId == "c");
    BOOST_TEST((store.rollback(submission("e", 3), 9, 1s).error().code == ErrorCode::NotFound));
}

// Guards against an invalid record that is accepted and then refused by each instance.
BOOST_FIXTURE_TEST_CASE(invalidSubmissionsAreRefused, Fixture)
{
    auto bad = submission("a", 0);
    bad.service.targets.at(0).host = "not a number";
    BOOST_TEST((submitError(bad) == ErrorCode::InvalidArgument));
    BOOST_TEST((submitError(submission("a/b", 0)) == ErrorCode::InvalidArgument));
    BOOST_TEST(all().configuration.changeNumber == 0u);
}

// Guards against a lost answer that is taken for a refusal, which makes operators submit twice.
BOOST_FIXTURE_TEST_CASE(lostAnswerAfterTheWriteIsResolved, Fixture)
{
    model.setFaults({ .loseResponses = 1 });
    BOOST_TEST(store.submit(submission("a", 0), 1s).value().version == 1u);
    model.setFaults({ .delayCommits = 1, .commitDelay = 5s });
    BOOST_TEST(store.submit(submission("b", 1), 1s).value().version == 2u);
    clock.advance(10s); // The delayed transaction must have no effect any more.
    BOOST_TEST(all().configuration.changeNumber == 2u);
    BOOST_TEST(store.submit(submission("b", 1), 1s).value().version == 2u); // The same operation again.
    BOOST_TEST((submitError(submission("b", 1, 99)) == ErrorCode::InvalidArgument));
}

// Guards against a guess about a change whose outcome cannot be read because the store went down.
BOOST_FIXTURE_TEST_CASE(outcomeStaysUnknownDuringAnOutage, Fixture)
{
    OutageAfterLostResponse outage(model);
    ConfigurationStore disturbed(outage, clock);
    model.setFaults({ .loseResponses = 1 });
    BOOST_TEST((disturbed.submit(submission("a", 0), 1s).error().code == ErrorCode::OutcomeUnknown));
    BOOST_TEST((store.operation("a", 1s).error().code == ErrorCode::Unavailable));
    model.setFaults({});
    BOOST_TEST((store.operation("a", 1s).value().state == OperationState::Accepted));
    BOOST_TEST((store.cancel("a", 1s).value().state == OperationState::Accepted));

    model.setFaults({ .delayCommits = 1, .commitDelay = 5s });
    BOOST_TEST((disturbed.submit(submission("b", 1), 1s).error().code == ErrorCode::OutcomeUnknown));
    model.setFaults({});
    BOOST_TEST((store.operation("b", 1s).value().state == OperationState::Unknown));
    BOOST_TEST((store.cancel("b", 1s).value().state == OperationState::Refused));
    clock.advance(10s); // The delayed transaction comes too late.
    BOOST_TEST(all().configuration.changeNumber == 1u);
    BOOST_TEST((submitError(submission("b", 1)) == ErrorCode::Conflict));
}

// Guards against operators who overwrite each other's change without noticing.
BOOST_AUTO_TEST_CASE(oneOfRacingOperatorsWins)
{
    const base::SystemClock clock;
    store::MemoryPlatform model(clock);
    ConfigurationStore store(model, clock);
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

// Guards against a submit that reports a conflict with its own earlier copy, for example one sent by an impatient
// operator from a second terminal.
BOOST_AUTO_TEST_CASE(sameOperationSubmittedTwiceAtOnceIsAcceptedOnce)
{
    const base::SystemClock clock;
    store::MemoryPlatform model(clock);
    ConfigurationStore store(model, clock);
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

// Guards against a damaged record that is applied, or that hides the other services.
BOOST_FIXTURE_TEST_CASE(damagedRecordIsReportedAndCanBeRepaired, Fixture)
{
    BOOST_REQUIRE(store.submit(submission("a", 0), 1s));
    BOOST_REQUIRE(store.submit(submission("b", 0, 10, "quotebook"), 1s));
    const auto row = model.read("config/service/bookdesk", true, 1s).value();
    auto value = row.value;
    value.replace(value.find("9001"), 4, "9002");
    BOOST_REQUIRE(model.commit({ { row.key, value, row.version } }, 1s));
    const auto stored = all();
    BOOST_REQUIRE(stored.damaged.size() == 1u);
    BOOST_TEST(stored.damaged.at(0).key == "config/service/bookdesk");
    BOOST_REQUIRE(stored.configuration.services.size() == 1u);
    BOOST_TEST(stored.configuration.services.at(0).name == "quotebook");
    BOOST_TEST(store.submit(submission("c", 1), 1s).value().version == 2u);
    BOOST_TEST(all().damaged.empty());

    const auto index = model.read("config/index", true, 1s).value();
    BOOST_REQUIRE(model.commit({ { index.key, "{}", index.version } }, 1s));
    const auto failed = store.readConfiguration(1s);
    BOOST_REQUIRE(!failed);
    BOOST_TEST((failed.error().code == ErrorCode::Malformed));
    BOOST_TEST(failed.error().message.find("config/index") != std::string::npos);
}

// Guards against old content that is read under a new change number, which no later poll would correct.
BOOST_FIXTURE_TEST_CASE(staleScanIsNotPublishedUnderANewChangeNumber, Fixture)
{
    BOOST_REQUIRE(store.submit(submission("a", 0, 10), 1s));
    clock.advance(30s);
    BOOST_REQUIRE(store.submit(submission("b", 1, 20), 1s));
    BOOST_REQUIRE(store.submit(submission("c", 0, 30, "quotebook"), 1s));
    model.setFaults({ .readStaleness = 20s });
    const auto stored = all();
    BOOST_TEST(stored.configuration.changeNumber == 3u);
    BOOST_REQUIRE(stored.configuration.services.size() == 2u);
    BOOST_TEST(stored.configuration.services.at(0).queueLimit == 20u);
}

// Guards against an outage that is reported as anything else than "not accepted".
BOOST_FIXTURE_TEST_CASE(outageRefusesSubmits, Fixture)
{
    model.setFaults({ .down = true });
    BOOST_TEST((submitError(submission("a", 0)) == ErrorCode::Unavailable));
    BOOST_TEST((store.readConfiguration(1s).error().code == ErrorCode::Unavailable));
    model.setFaults({ .readOnly = true });
    BOOST_TEST((submitError(submission("a", 0)) == ErrorCode::Unavailable));
    model.setFaults({});
    BOOST_TEST(all().configuration.changeNumber == 0u);
}

// Guards against answers that contradict the store: with lost and delayed writes, cancels and wrong base versions, each
// accepted operation is in the history once, no refused one is, and no version or change number is skipped.
BOOST_AUTO_TEST_CASE(answersAgreeWithTheHistory)
{
    std::size_t applied = 0;
    const bool ok = rc::check([&] {
        std::mt19937 random(*rc::gen::noShrink(rc::gen::inRange<unsigned>(0, 1u << 30)));
        const auto below = [&](unsigned bound) { return static_cast<unsigned>(random() % bound); };
        base::ManualClock clock;
        store::MemoryPlatform model(clock, {}, random());
        ConfigurationStore store(model, clock);
        std::map<std::string, std::uint64_t> accepted;
        std::set<std::string> cancelled;
        std::set<std::string> conflicts;
        std::map<std::string, std::uint64_t> bases; // Each operation id belongs to one change.
        std::uint64_t base = 0;
        for (unsigned n = 0; n < 30; ++n) {
            model.setFaults({ .down = below(8) == 0,
                .loseShare = below(2) ? 0.5 : 0,
                .delayCommits = below(3),
                .commitDelay = std::chrono::seconds(below(40)) });
            clock.advance(std::chrono::seconds(below(20)));
            const auto operation = "op" + std::to_string(below(n + 1));
            if (below(5) == 0) {
                const auto result = store.cancel(operation, 1s);
                if (result && result.value().state == OperationState::Refused)
                    cancelled.insert(operation);
                continue;
            }
            // A conflict settles the submits before it; a later submit of the same operation may be accepted.
            conflicts.erase(operation);
            const auto usedBase = bases.emplace(operation, base).first->second;
            const auto result = store.submit(submission(operation, usedBase), 1s);
            if (result) {
                accepted[operation] = result.value().version;
                base = std::max(base, result.value().version);
            } else if (result.error().code == ErrorCode::Conflict) {
                conflicts.insert(operation);
                base += below(2);
            }
        }
        model.setFaults({});
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
    BOOST_TEST(applied > 0u); // The faults must leave something to check.
}
