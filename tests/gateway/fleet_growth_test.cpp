#define BOOST_TEST_MODULE FleetGrowth
#include <boost/test/unit_test.hpp>

#include "../../src/gateway/registry_relay.h"
#include "fake_fleet.h"

#include <algorithm>
#include <iostream>
#include <set>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using gateway::PeerMessageKind;
using gateway::RegistryRelay;

namespace {

constexpr unsigned zoneCount = 5;

using Fleet = test::FakeFleet<RegistryRelay>;

/// The readers in zone `z0`.
std::vector<Fleet::Member*> findReaders(Fleet& fleet)
{
    std::vector<Fleet::Member*> result;
    for (auto& it : fleet.members) {
        if (it->settings.zone != "z0")
            continue;
        it->part.setPeersKnown();
        if (it->part.role() == gateway::ReaderRole::Reader)
            result.push_back(it.get());
    }
    return result;
}

gateway::TargetDelta makeDelta()
{
    membership::TargetRecord record { "t", "s", "127.0.0.1", 80, "z1" };
    return { 1, 2, { { record.id, record } } };
}

/// Number of instances to which datagrams are in flight, by zone.
std::map<std::string, std::size_t> countReceivers(const Fleet& fleet)
{
    std::set<gateway::udp::endpoint> receivers;
    for (const auto& it : fleet.network.datagrams)
        receivers.insert(it.to);
    std::map<std::string, std::size_t> result;
    for (const auto& it : receivers)
        ++result[fleet.members.at(fleet.numberOf(it))->settings.zone];
    return result;
}

} // namespace

// Guards against readers whose deltas reach too few instances, and against load of a reader that grows with the whole
// fleet instead of its zone.
BOOST_AUTO_TEST_CASE(deltasOfAReaderGrowWithItsZone)
{
    for (const unsigned count : { 30, 100, 300, 1000 }) {
        Fleet fleet(count, zoneCount);
        const auto readers = findReaders(fleet);
        const bool hasZoneReaders = count >= RegistryRelay::zoneReadingSize;
        if (hasZoneReaders)
            BOOST_REQUIRE_EQUAL(readers.size(), RegistryRelay::zoneReaderCount);
        for (auto* it : readers) {
            fleet.network.datagrams.clear();
            it->part.sendDelta(makeDelta(), {});
            const auto counts = it->channel.countsOf(PeerMessageKind::News);
            std::cout << count << " instances: " << counts.messages << " messages, " << counts.bytes
                      << " bytes of a reader for one changed target\n";
            const auto members = hasZoneReaders ? count / zoneCount : count;
            BOOST_TEST(counts.messages == members - 1);
            constexpr std::size_t maxMessageBytes = 150;
            BOOST_TEST(counts.bytes <= members * maxMessageBytes);
        }
    }
}

// Guards against a zone without deltas because the registry is silent to all of its instances.
BOOST_AUTO_TEST_CASE(readersHelpAZoneThatCannotReachTheRegistry)
{
    constexpr auto zoneSize = RegistryRelay::zoneReadingSize / zoneCount;
    Fleet fleet(RegistryRelay::zoneReadingSize, zoneCount);
    auto& reader = *findReaders(fleet).front();
    wire::proto::PeerDatagram datagram;
    datagram.set_sender("g1");
    datagram.mutable_news()->set_registry_lost(true);
    reader.part.handle(datagram);
    fleet.network.datagrams.clear();
    reader.part.sendDelta(makeDelta(), {});
    BOOST_TEST(countReceivers(fleet)["z1"] == zoneSize);
    BOOST_TEST(countReceivers(fleet)["z0"] == zoneSize - 1);
    fleet.clock.advance(3s);
    fleet.network.datagrams.clear();
    reader.part.sendDelta(makeDelta(), {});
    BOOST_TEST(countReceivers(fleet)["z1"] == 0u);
}

// Guards against the size of a presence that grows with the fleet, and against more than one message to each instance.
BOOST_AUTO_TEST_CASE(presenceIsOneSmallMessageToEachInstance)
{
    constexpr std::size_t maxMessageBytes = 60;
    for (const unsigned count : { 30, 100, 300, 1000 }) {
        Fleet fleet(count, zoneCount);
        auto& member = *fleet.members.front();
        const auto before = member.channel.countsOf(PeerMessageKind::Presence);
        member.peers.announce(false);
        const auto after = member.channel.countsOf(PeerMessageKind::Presence);
        std::cout << count << " instances: " << after.messages - before.messages << " messages, "
                  << after.bytes - before.bytes << " bytes for one presence\n";
        BOOST_TEST(after.messages - before.messages == count - 1);
        BOOST_TEST(after.bytes - before.bytes <= count * maxMessageBytes);
    }
}
