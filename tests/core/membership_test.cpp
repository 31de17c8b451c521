#define BOOST_TEST_MODULE Membership
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <buckthorncroft/membership/membership.h>
#include <buckthorncroft/membership/rendezvous.h>

using namespace buckthorncroft;
using membership::Membership;
using membership::Peer;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Peer peer(const std::string& name, std::uint64_t incarnation = 1, bool leaving = false)
{
    return { name, "z1", "127.0.0.1:1", incarnation, leaving };
}

bool contains(const std::vector<Peer>& peers, const std::string& name)
{
    return std::any_of(peers.begin(), peers.end(), [&](const Peer& it) { return it.instance == name; });
}

struct Fixture {
    base::ManualClock clock;
    Membership members { peer("a") };
};

} // namespace

// Guards against a stopped instance that stays coordinator, so that evidence sent to it is lost.
BOOST_FIXTURE_TEST_CASE(silentPeerIsNotLiveAfterTheContactTimeout, Fixture)
{
    members.recordDirectContact(peer("b"), clock.now());
    members.mergePlatformList({ peer("b") }, clock.now());
    clock.advance(milliseconds(2999));
    BOOST_TEST(contains(members.live(clock.now()), "b"));
    clock.advance(milliseconds(1));
    BOOST_TEST(!contains(members.live(clock.now()), "b"));
}

// Guards against a one-way partition that removes a peer from which all other instances still receive messages.
BOOST_FIXTURE_TEST_CASE(relayedContactKeepsAPeerLive, Fixture)
{
    members.recordDirectContact(peer("b"), clock.now());
    for (int i = 0; i < 10; ++i) {
        clock.advance(seconds(1));
        members.recordRelayedContact(peer("b"), milliseconds(500), clock.now());
        BOOST_TEST(contains(members.live(clock.now()), "b"));
    }
}

// Guards against a stopped peer that stays live because two instances relay it to each other.
BOOST_FIXTURE_TEST_CASE(echoedRelaysExpire, Fixture)
{
    Membership other(peer("c"));
    members.recordDirectContact(peer("b"), clock.now());
    for (int i = 0; i < 30; ++i) {
        for (const auto& it : members.takePeersToRelay(10, clock.now()))
            other.recordRelayedContact(it.peer, it.age, clock.now());
        clock.advance(milliseconds(100));
        for (const auto& it : other.takePeersToRelay(10, clock.now()))
            members.recordRelayedContact(it.peer, it.age, clock.now());
    }
    BOOST_TEST(!contains(members.live(clock.now()), "b"));
    BOOST_TEST(!contains(other.live(clock.now()), "b"));
}

// Guards against accepting delayed messages that an instance sent before its restart.
BOOST_FIXTURE_TEST_CASE(messagesOfASupersededIncarnationAreDropped, Fixture)
{
    BOOST_TEST(members.recordDirectContact(peer("b", 1), clock.now()));
    BOOST_TEST(members.recordDirectContact(peer("b", 2), clock.now()));
    BOOST_TEST(!members.recordDirectContact(peer("b", 1), clock.now()));
    members.recordRelayedContact(peer("b", 1), milliseconds(0), clock.now());
    BOOST_TEST(members.live(clock.now()).back().incarnation == 2u);
}

// Guards against a stopping instance that becomes coordinator again because of a delayed message.
BOOST_FIXTURE_TEST_CASE(leavingPeerStaysOutUntilItRestarts, Fixture)
{
    members.recordDirectContact(peer("b", 1, true), clock.now());
    members.recordDirectContact(peer("b", 1, false), clock.now());
    BOOST_TEST(!contains(members.live(clock.now()), "b"));
    members.recordDirectContact(peer("b", 2, false), clock.now());
    BOOST_TEST(contains(members.live(clock.now()), "b"));
}

// Guards against instances that stay live only because the lagging platform list still names them.
BOOST_FIXTURE_TEST_CASE(listedPeerWithoutContactIsLiveOnlyForAGracePeriod, Fixture)
{
    members.mergePlatformList({ peer("b", 0) }, clock.now());
    BOOST_TEST(contains(members.live(clock.now()), "b"));
    clock.advance(seconds(11));
    members.mergePlatformList({ peer("b", 0) }, clock.now());
    BOOST_TEST(!contains(members.live(clock.now()), "b"));
    BOOST_TEST(members.connectionHolderCount(clock.now()) == 2u);
}

// Guards against memory that grows with each replaced instance.
BOOST_FIXTURE_TEST_CASE(replacedInstancesAreRemoved, Fixture)
{
    members.recordDirectContact(peer("b"), clock.now());
    clock.advance(seconds(61));
    members.removeExpiredPeers(clock.now());
    BOOST_TEST(members.connectionHolderCount(clock.now()) == 1u);
}

// Guards against moving services between coordinators when an instance leaves that did not coordinate them.
BOOST_AUTO_TEST_CASE(lossOfAMemberMovesOnlyItsOwnKeys)
{
    std::vector<std::string> members;
    members.reserve(40);
    for (int i = 0; i < 40; ++i)
        members.push_back("e" + std::to_string(i));
    auto fewer = members;
    fewer.erase(fewer.begin() + 7);
    unsigned moved = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto key = "service" + std::to_string(i);
        const auto before = membership::rendezvousTop(key, members, 1).front();
        const auto after = membership::rendezvousTop(key, fewer, 1).front();
        if (before != "e7")
            BOOST_TEST(before == after);
        else
            ++moved;
    }
    BOOST_TEST(moved > 5u);
    BOOST_TEST(moved < 60u);
}
