#define BOOST_TEST_MODULE RoutesTransfer
#include <boost/test/unit_test.hpp>

#include "../../src/gateway/routes_transfer.h"
#include "routes_fleet.h"

#include <algorithm>
#include <iostream>
#include <random>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using gateway::PeerMessageKind;
using gateway::RoutesTransfer;

namespace {

constexpr unsigned zoneCount = 5;

using Fleet = test::RoutesFleet;
using test::makeDocument;

} // namespace

// Guards against routes too large for a datagram that each instance has to read from the registry.
BOOST_AUTO_TEST_CASE(routesOfAnySizeReachTheZone)
{
    for (const std::size_t size : { 1, 1'100, 1'101, 24'001, 200'000 }) {
        Fleet fleet(60, 1);
        fleet.publish(fleet.root(), { 2, makeDocument(size) });
        fleet.runFor(2s);
        BOOST_TEST(fleet.upToDateCount() == fleet.zoneSize(), "size " << size);
    }
}

// Guards against datagrams of routes that cross zones, which are charged.
BOOST_AUTO_TEST_CASE(routesStayInTheZone)
{
    Fleet fleet(20, zoneCount);
    fleet.publish(fleet.root(), { 2, makeDocument(30'000) });
    fleet.runFor(1s);
    BOOST_TEST(fleet.upToDateCount() == fleet.zoneSize());
    for (const auto& it : fleet.members) {
        if (it->settings.zone != "z0")
            BOOST_TEST(it->peers.routeVersion() == 0u);
    }
}

// Guards against members without routes because a relay stopped or datagrams were lost.
BOOST_AUTO_TEST_CASE(missingPiecesAreRequestedFromOtherMembers)
{
    for (const unsigned lossPercent : { 0, 10 }) {
        Fleet fleet(60, 1);
        std::minstd_rand random(7);
        fleet.isLost = [&](const auto&) { return random() % 100 < lossPercent; };
        const auto ranked = fleet.members.front()->peers.zoneTop(RoutesTransfer::rankingKey, 3);
        for (auto& it : fleet.members)
            it->isRunning = it->peers.self() != ranked[1] && it->peers.self() != ranked[2];
        fleet.publish(fleet.root(), { 2, makeDocument(60'000) });
        fleet.announceVersion();
        fleet.runFor(2s);
        BOOST_TEST(fleet.upToDateCount() == fleet.zoneSize(),
            "loss " << lossPercent << ": " << fleet.upToDateCount() << " of " << fleet.zoneSize());
    }
}

// Guards against an instance whose link is filled by the routes.
BOOST_AUTO_TEST_CASE(sendingIsPaced)
{
    Fleet fleet(60, 1);
    fleet.publish(fleet.root(), { 2, makeDocument(500'000) });
    auto& channel = fleet.root().channel;
    constexpr double maxOverhead = 1.1;
    auto before = channel.countsOf(PeerMessageKind::Routes).bytes;
    for (unsigned second = 0; second < 3; ++second) {
        fleet.runFor(1s);
        const auto after = channel.countsOf(PeerMessageKind::Routes).bytes;
        BOOST_TEST(static_cast<double>(after - before) <= RoutesTransfer::sendRate * maxOverhead);
        before = after;
    }
}

// Guards against pieces of a peer that exhaust memory or end the process.
BOOST_AUTO_TEST_CASE(implausiblePiecesAreIgnored)
{
    const auto isAccepted = [](const std::function<void(wire::proto::RoutesPiece&)>& change) {
        Fleet fleet(2, 1);
        wire::proto::PeerDatagram datagram;
        datagram.set_sender("g1");
        auto& piece = *datagram.add_routes_pieces();
        piece.set_version(2);
        piece.set_count(1);
        piece.set_data("{}");
        change(piece);
        return fleet.transfer(0).handle(datagram).has_value();
    };
    BOOST_TEST(isAccepted([](auto&) {}));
    BOOST_TEST(!isAccepted([](auto& it) { it.set_version(0); }));
    BOOST_TEST(!isAccepted([](auto& it) { it.set_count(0); }));
    BOOST_TEST(!isAccepted([](auto& it) { it.set_count(UINT32_MAX); }));
    BOOST_TEST(!isAccepted([](auto& it) { it.set_index(1); }));
    BOOST_TEST(!isAccepted([](auto& it) { it.set_index(UINT32_MAX); }));
    BOOST_TEST(!isAccepted([](auto& it) { it.clear_data(); }));
    BOOST_TEST(!isAccepted([](auto& it) { it.set_data(std::string(RoutesTransfer::pieceBytes + 1, 'x')); }));
}

// Guards against an invalid newer version of a peer that keeps the valid one from being received.
BOOST_AUTO_TEST_CASE(incompleteVersionDoesNotBlockOthers)
{
    Fleet fleet(2, 1);
    wire::proto::PeerDatagram datagram;
    datagram.set_sender("g1");
    auto& piece = *datagram.add_routes_pieces();
    piece.set_version(UINT64_MAX);
    piece.set_count(2);
    piece.set_data("x");
    BOOST_TEST(!fleet.transfer(0).handle(datagram));
    fleet.clock.advance(1100ms);
    piece.set_version(2);
    piece.set_count(1);
    BOOST_TEST(fleet.transfer(0).handle(datagram).has_value());
}

// Guards against load of the relays that grows with the fleet.
BOOST_AUTO_TEST_CASE(bytesOfAnInstanceDoNotGrowWithTheFleet)
{
    constexpr std::size_t size = 24'000;
    constexpr std::size_t maxBytes = (RoutesTransfer::fanOut + 1) * size * 12 / 10;
    for (const unsigned count : { 30, 100, 300, 1000 }) {
        Fleet fleet(count, zoneCount);
        fleet.publish(fleet.root(), { 2, makeDocument(size) });
        fleet.runFor(1s);
        BOOST_TEST(fleet.upToDateCount() == fleet.zoneSize());
        std::cout << count << " instances: " << fleet.maxBytesSent() << " bytes at most for new routes\n";
        BOOST_TEST(fleet.maxBytesSent() <= maxBytes);
    }
}

// Guards against an instance that fetches a document again and again because it cannot decode it.
BOOST_AUTO_TEST_CASE(rejectedRoutesAreNotFetchedAgain)
{
    Fleet fleet(2, 1);
    fleet.transfer(0).want(2);
    fleet.transfer(0).reject(2);
    fleet.transfer(0).want(2);
    fleet.clock.advance(1s);
    fleet.transfer(0).tick();
    BOOST_TEST(fleet.network.datagrams.empty());
}
