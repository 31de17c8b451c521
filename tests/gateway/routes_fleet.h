#pragma once

#include "../../src/gateway/routes_transfer.h"
#include "fake_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace buckthorncroft::test {

inline std::string makeDocument(std::size_t size)
{
    std::string result(size, '\0');
    for (std::size_t n = 0; n < size; ++n)
        result[n] = static_cast<char>('a' + n * n % 23);
    return result;
}

/// The members of one or more zones, of which one receives the routes from the registry.
struct RoutesFleet : FakeFleet<gateway::RoutesTransfer> {
    using FakeFleet::FakeFleet;

    gateway::RoutesTransfer& transfer(unsigned n) { return members.at(n)->part; }

    /// The first instance of the ranking in zone `z0`.
    Member& root()
    {
        const auto name = members.front()->peers.zoneTop(gateway::RoutesTransfer::rankingKey, 1).front();
        return **std::find_if(members.begin(), members.end(), [&](const auto& it) { return it->peers.self() == name; });
    }

    static void install(Member& member, const gateway::RoutesDocument& document)
    {
        member.part.setCurrent(document);
        member.peers.setRouteVersion(document.version);
    }

    /// Reads the document at one instance, which distributes it.
    void publish(Member& member, const gateway::RoutesDocument& document)
    {
        expected = document;
        install(member, document);
        member.part.distribute();
    }

    /// Announces the version to all members, like the readers of the registry.
    void announceVersion()
    {
        for (auto& it : members)
            it->part.want(expected.version);
    }

    void runFor(std::chrono::milliseconds time)
    {
        for (auto passed = 0ms; passed < time; passed += tickInterval) {
            deliver([this](Member& member, const wire::proto::PeerDatagram& datagram) {
                if (const auto routes = member.part.handle(datagram)) {
                    BOOST_TEST(routes->version == expected.version);
                    BOOST_TEST((routes->bytes == expected.bytes));
                    install(member, *routes);
                }
            });
            clock.advance(tickInterval);
            for (auto& it : members) {
                if (it->isRunning)
                    it->part.tick();
            }
        }
    }

    /// Number of running members of zone `z0` that use the published routes.
    std::size_t upToDateCount() const
    {
        return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const auto& it) {
            return it->isRunning && it->settings.zone == "z0" && it->peers.routeVersion() == expected.version;
        }));
    }

    std::size_t zoneSize() const
    {
        return static_cast<std::size_t>(std::count_if(
            members.begin(), members.end(), [](const auto& it) { return it->isRunning && it->settings.zone == "z0"; }));
    }

    std::size_t maxBytesSent()
    {
        std::size_t result = 0;
        for (auto& it : members)
            result = std::max<std::size_t>(result, it->channel.countsOf(gateway::PeerMessageKind::Routes).bytes);
        return result;
    }

    static constexpr std::chrono::milliseconds tickInterval { 20 };

    gateway::RoutesDocument expected;
};

} // namespace buckthorncroft::test
