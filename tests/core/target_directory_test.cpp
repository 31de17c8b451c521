#define BOOST_TEST_MODULE TargetDirectory
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/membership/target_directory.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using membership::TargetDirectory;
using membership::TargetRecord;

namespace {

TargetRecord record(const std::string& id, std::uint64_t sequence = 1, std::int64_t born = 100)
{
    TargetRecord result { id, "stock", "10.0.0.1", 80, "z1" };
    result.sequence = sequence;
    result.startedAtUnixMs = born;
    return result;
}

struct Fixture {
    bool lists(const std::string& id) const { return directory.targets()->find("stock", id) != nullptr; }

    base::ManualClock clock;
    TargetDirectory directory;
};

} // namespace

// Guards against requests to a target whose removal the registry has acknowledged.
BOOST_FIXTURE_TEST_CASE(removalInCalmTimesBindsAtOnce, Fixture)
{
    directory.upsert(record("a"), clock.now());
    BOOST_TEST(directory.remove("a", clock.now()));
    BOOST_TEST(!lists("a"));
}

// Guards against an empty service after an outage of the registry, in which the entries of live targets lapsed.
BOOST_FIXTURE_TEST_CASE(lapsedEntryIsKeptUntilTheTargetCouldRegisterAgain, Fixture)
{
    directory.upsert(record("alive"), clock.now());
    directory.upsert(record("dead"), clock.now());
    directory.recordFailedRead(clock.now());
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

// Guards against holding back the removal of a target that said it was leaving.
BOOST_FIXTURE_TEST_CASE(drainingTargetIsNotHeldAfterAnOutage, Fixture)
{
    auto leaving = record("a");
    leaving.draining = true;
    directory.upsert(leaving, clock.now());
    directory.recordFailedRead(clock.now());
    directory.remove("a", clock.now());
    BOOST_TEST(!lists("a"));
}

// Guards against an older entry, relayed late by a peer, that makes a leaving target ready again.
BOOST_FIXTURE_TEST_CASE(olderEntryOfTheSameLifetimeIsIgnored, Fixture)
{
    auto leaving = record("a", 5);
    leaving.draining = true;
    directory.upsert(leaving, clock.now());
    BOOST_TEST(!directory.upsert(record("a", 4), clock.now()));
    BOOST_TEST(directory.targets()->find("stock", "a")->record.draining);
    BOOST_TEST(!directory.upsert(record("a", 9, 99), clock.now()));
}

// Guards against taking a restarted target for the one before it.
BOOST_FIXTURE_TEST_CASE(restartUnderTheSameIdBeginsANewLifetime, Fixture)
{
    directory.upsert(record("a", 50), clock.now());
    clock.advance(5s);
    BOOST_TEST(directory.upsert(record("a", 1, 200), clock.now()));
    BOOST_TEST((directory.targets()->find("stock", "a")->firstSeenAt == clock.now()));
}

// Guards against a published set that changes under its readers.
BOOST_FIXTURE_TEST_CASE(publishedSetsAreImmutable, Fixture)
{
    directory.upsert(record("a"), clock.now());
    const auto before = directory.targets();
    directory.remove("a", clock.now());
    directory.upsert(record("b"), clock.now());
    BOOST_TEST(before->find("stock", "a"));
    BOOST_TEST(!before->find("stock", "b"));
}

// Guards against targets that stay although a whole listing no longer names them.
BOOST_FIXTURE_TEST_CASE(wholeListingRemovesWhatItDoesNotName, Fixture)
{
    directory.upsert(record("a"), clock.now());
    directory.replaceAll({ record("b") }, clock.now());
    BOOST_TEST(!lists("a"));
    BOOST_TEST(lists("b"));
}
