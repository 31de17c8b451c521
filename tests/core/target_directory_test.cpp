#define BOOST_TEST_MODULE TargetDirectory
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/membership/target_directory.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using membership::TargetDirectory;
using membership::TargetRecord;

namespace {

TargetRecord record(const std::string& id, std::uint64_t sequence = 1, std::int64_t startedAt = 100)
{
    TargetRecord result { id, "stock", "10.0.0.1", 80, "z1" };
    result.sequence = sequence;
    result.startedAtUnixMs = startedAt;
    return result;
}

struct Fixture {
    bool lists(const std::string& id) const { return directory.targets()->find("stock", id) != nullptr; }

    /// Simulates an outage of the registry that ends when the function returns.
    void endOutage()
    {
        outage.recordReadSuccess(clock.now());
        clock.advance(3s);
        outage.recordReadFailure();
        outage.recordReadSuccess(clock.now());
    }

    base::ManualClock clock;
    membership::RegistryOutageDetector outage;
    TargetDirectory directory { outage };
};

} // namespace

// Guards against requests to a target that was removed from the registry while there was no outage.
BOOST_FIXTURE_TEST_CASE(removalWithoutOutageTakesEffectAtOnce, Fixture)
{
    directory.upsert(record("a"), clock.now());
    BOOST_TEST(directory.remove("a", clock.now()));
    BOOST_TEST(!lists("a"));
}

// Guards against a service without targets after an outage of the registry during which the entries of running targets
// expired.
BOOST_FIXTURE_TEST_CASE(expiredEntryIsKeptUntilTheTargetCouldRegisterAgain, Fixture)
{
    directory.upsert(record("alive"), clock.now());
    directory.upsert(record("dead"), clock.now());
    endOutage();
    clock.advance(1s);
    directory.remove("alive", clock.now());
    directory.remove("dead", clock.now());
    BOOST_TEST(lists("alive"));
    clock.advance(1s);
    directory.upsert(record("alive", 2), clock.now());
    clock.advance(1s);
    BOOST_TEST(directory.applyDueRemovals(clock.now()).size() == 1u);
    BOOST_TEST(lists("alive"));
    BOOST_TEST(!lists("dead"));
}

// Guards against requests to a target that left when the registry had been back for so long that its entry cannot have
// expired in the outage.
BOOST_FIXTURE_TEST_CASE(removalAfterTheRecoveryTakesEffectAtOnce, Fixture)
{
    directory.upsert(record("a"), clock.now());
    endOutage();
    clock.advance(membership::RegistryOutageDetector::reregistrationTime);
    BOOST_TEST(directory.remove("a", clock.now()));
    BOOST_TEST(!lists("a"));
}

// Guards against a delay that starts with each removal, so that a target which leaves shortly after an outage receives
// requests for too long.
BOOST_FIXTURE_TEST_CASE(delayEndsWithTheRecovery, Fixture)
{
    directory.upsert(record("a"), clock.now());
    endOutage();
    clock.advance(membership::RegistryOutageDetector::reregistrationTime - 1ms);
    BOOST_TEST(!directory.remove("a", clock.now()));
    BOOST_REQUIRE(directory.nextRemovalAt());
    BOOST_TEST((*directory.nextRemovalAt() - clock.now() == 1ms));
    clock.advance(1ms);
    BOOST_TEST(directory.applyDueRemovals(clock.now()).size() == 1u);
    BOOST_TEST(!directory.nextRemovalAt());
}

// Guards against delaying the removal of a target that announced its drain.
BOOST_FIXTURE_TEST_CASE(drainingTargetIsNotHeldAfterAnOutage, Fixture)
{
    auto leaving = record("a");
    leaving.draining = true;
    directory.upsert(leaving, clock.now());
    endOutage();
    directory.remove("a", clock.now());
    BOOST_TEST(!lists("a"));
}

// Guards against an older record, relayed late by a peer, that marks a draining target as ready again.
BOOST_FIXTURE_TEST_CASE(olderEntryOfTheSameLifetimeIsIgnored, Fixture)
{
    auto leaving = record("a", 5);
    leaving.draining = true;
    directory.upsert(leaving, clock.now());
    BOOST_TEST(!directory.upsert(record("a", 4), clock.now()));
    BOOST_TEST(directory.targets()->find("stock", "a")->record.draining);
    BOOST_TEST(!directory.upsert(record("a", 9, 99), clock.now()));
}

// Guards against treating a restarted target as the process before its restart.
BOOST_FIXTURE_TEST_CASE(restartUnderTheSameIdBeginsANewLifetime, Fixture)
{
    directory.upsert(record("a", 50), clock.now());
    clock.advance(5s);
    BOOST_TEST(directory.upsert(record("a", 1, 200), clock.now()));
    BOOST_TEST((directory.targets()->find("stock", "a")->firstSeenAt == clock.now()));
}

// Guards against a published set that changes while readers use it.
BOOST_FIXTURE_TEST_CASE(publishedSetsAreImmutable, Fixture)
{
    directory.upsert(record("a"), clock.now());
    const auto before = directory.targets();
    directory.remove("a", clock.now());
    directory.upsert(record("b"), clock.now());
    BOOST_TEST(before->find("stock", "a"));
    BOOST_TEST(!before->find("stock", "b"));
}

// Guards against targets that stay in the directory although a complete listing no longer contains them.
BOOST_FIXTURE_TEST_CASE(wholeListingRemovesWhatItDoesNotName, Fixture)
{
    directory.upsert(record("a"), clock.now());
    directory.replaceAll({ record("b") }, clock.now());
    BOOST_TEST(!lists("a"));
    BOOST_TEST(lists("b"));
}

// Guards against an outdated record, relayed by a slow instance, that cancels the delayed removal of a target.
BOOST_FIXTURE_TEST_CASE(outdatedRecordDoesNotCancelARemoval, Fixture)
{
    directory.upsert(record("a", 5), clock.now());
    endOutage();
    directory.remove("a", clock.now());
    clock.advance(1s);
    directory.upsert(record("a", 4), clock.now());
    clock.advance(1s);
    BOOST_TEST(directory.applyDueRemovals(clock.now()).size() == 1u);
    BOOST_TEST(!lists("a"));
}

// Guards against requests to a target that announced in a response that it leaves, while its entry, which may be out of
// date for as long as the target cannot reach the registry, still lists it as ready.
BOOST_FIXTURE_TEST_CASE(leavingTargetStaysDrainingForItsLifetime, Fixture)
{
    const auto isDraining = [&] { return directory.targets()->find("stock", "a")->record.draining; };
    directory.upsert(record("a", 1), clock.now());
    BOOST_TEST(directory.markLeaving({ "a", 100 }, clock.now()));
    BOOST_TEST(isDraining());
    BOOST_TEST(!directory.markLeaving({ "a", 100 }, clock.now()));
    directory.upsert(record("a", 2), clock.now());
    BOOST_TEST(isDraining());
    directory.remove("a", clock.now());
    directory.upsert(record("a", 3), clock.now());
    BOOST_TEST(isDraining());
    directory.replaceAll({ record("a", 4) }, clock.now());
    BOOST_TEST(isDraining());
    directory.upsert(record("a", 1, 200), clock.now());
    BOOST_TEST(!isDraining());
    BOOST_TEST(!directory.markLeaving({ "a", 100 }, clock.now()));
    BOOST_TEST(!isDraining());
}

// Guards against an announcement that is lost because it arrives before the target's first record.
BOOST_FIXTURE_TEST_CASE(leavingTargetMayBeUnknown, Fixture)
{
    directory.markLeaving({ "a", 100 }, clock.now());
    directory.upsert(record("a"), clock.now());
    BOOST_TEST(directory.targets()->find("stock", "a")->record.draining);
    BOOST_TEST(directory.leavingTargets(clock.now()).size() == 1u);
    clock.advance(TargetDirectory::leavingTtl + 1s);
    BOOST_TEST(directory.leavingTargets(clock.now()).empty());
}
