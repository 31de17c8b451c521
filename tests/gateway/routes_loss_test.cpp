#define BOOST_TEST_MODULE RoutesLoss
#include <boost/test/unit_test.hpp>

#include "routes_fleet.h"

#include <random>

using namespace buckthorncroft;
using namespace std::chrono_literals;

// Guards against members that must read the registry because many datagrams are lost while two of the three children of
// the first relay are stopped.
BOOST_AUTO_TEST_CASE(routesReachTheZoneDespiteHeavyLoss)
{
    constexpr unsigned lossPercent = 30;
    test::RoutesFleet fleet(60, 1);
    std::minstd_rand random(7);
    fleet.isLost = [&](const auto&) { return random() % 100 < lossPercent; };
    const auto ranked = fleet.members.front()->peers.zoneTop(gateway::RoutesTransfer::rankingKey, 3);
    for (auto& it : fleet.members)
        it->isRunning = it->peers.self() != ranked[1] && it->peers.self() != ranked[2];
    fleet.publish(fleet.root(), { 2, test::makeDocument(60'000) });
    fleet.announceVersion();
    fleet.runFor(2s);
    BOOST_TEST(fleet.upToDateCount() == fleet.zoneSize());
}
