#pragma once

#include "../../src/gateway/peer_group.h"

#include <deque>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace buckthorncroft::test {

using namespace std::chrono_literals;

/// Datagrams in flight between the members of a `FakeFleet`.
struct FakeNetwork {
    struct Datagram {
        gateway::udp::endpoint from;
        gateway::udp::endpoint to;
        wire::proto::PeerDatagram message;
    };

    std::deque<Datagram> datagrams;
};

/// Passes datagrams to a `FakeNetwork` and counts them.
class FakeChannel final : public gateway::PeerChannel {
public:
    FakeChannel(http::asio::io_context& io, FakeNetwork& network, gateway::udp::endpoint self)
        : PeerChannel(io)
        , m_network(network)
        , m_self(std::move(self))
    {
    }

    void send(const wire::proto::PeerDatagram& datagram, const gateway::udp::endpoint& to) override
    {
        sent().record(gateway::kindOf(datagram), datagram.ByteSizeLong());
        m_network.datagrams.push_back({ m_self, to, datagram });
    }

    gateway::PeerTraffic::Counts countsOf(gateway::PeerMessageKind kind) { return sent().counts(kind); }

private:
    FakeNetwork& m_network;
    gateway::udp::endpoint m_self;
};

/// Instances of several availability zones that exchange datagrams in memory. Those of zone `z0` know all others.
/// `Part` is created from the clock and the `PeerGroup` of its instance.
template <typename Part> class FakeFleet {
public:
    struct Member {
        Member(FakeFleet& fleet, unsigned number, unsigned zoneCount)
            : settings(makeSettings(number, zoneCount))
            , channel(fleet.io, fleet.network, addressOf(number))
            , peers(settings, fleet.clock, channel, 1)
            , part(fleet.clock, peers)
        {
        }

        gateway::GatewaySettings settings;
        FakeChannel channel;
        gateway::PeerGroup peers;
        Part part;
        bool isRunning = true;
    };

    FakeFleet(unsigned count, unsigned zoneCount)
    {
        for (unsigned n = 0; n < count; ++n)
            members.push_back(std::make_unique<Member>(*this, n, zoneCount));
        for (auto& it : members) {
            if (it->settings.zone != zoneOf(0, zoneCount))
                continue;
            for (unsigned n = 0; n < count; ++n) {
                it->peers.add(
                    { nameOf(n), zoneOf(n, zoneCount), addressOf(n).address().to_string(), addressOf(n).port(), 1 });
            }
            network.datagrams.clear();
        }
    }

    static std::string nameOf(unsigned number) { return fmt::format("g{}", number); }
    static std::string zoneOf(unsigned number, unsigned zoneCount) { return fmt::format("z{}", number % zoneCount); }

    static gateway::udp::endpoint addressOf(unsigned number)
    {
        return { http::asio::ip::address_v4(0x0A000000U + number), 7620 };
    }

    static gateway::GatewaySettings makeSettings(unsigned number, unsigned zoneCount)
    {
        gateway::GatewaySettings result;
        result.instance = nameOf(number);
        result.zone = zoneOf(number, zoneCount);
        result.peers = { addressOf(number).address().to_string(), addressOf(number).port() };
        return result;
    }

    unsigned numberOf(const gateway::udp::endpoint& address) const
    {
        return address.address().to_v4().to_uint() - 0x0A000000U;
    }

    /// Delivers the datagrams that are in flight now.
    void deliver(const std::function<void(Member&, const wire::proto::PeerDatagram&)>& receive)
    {
        for (auto n = network.datagrams.size(); n > 0; --n) {
            const auto datagram = std::move(network.datagrams.front());
            network.datagrams.pop_front();
            auto& member = *members.at(numberOf(datagram.to));
            if (!member.isRunning || (isLost && isLost(datagram)))
                continue;
            if (member.peers.handle(datagram.message, datagram.from))
                receive(member, datagram.message);
        }
    }

    base::ManualClock clock;
    http::asio::io_context io { 1 };
    FakeNetwork network;
    std::vector<std::unique_ptr<Member>> members;
    std::function<bool(const FakeNetwork::Datagram&)> isLost;
};

} // namespace buckthorncroft::test
