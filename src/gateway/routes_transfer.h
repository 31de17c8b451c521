#pragma once

#include "peer_group.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthorncroft::gateway {

/// The routes as the registry holds them.
struct RoutesDocument {
    std::uint64_t version = 0;
    std::string bytes;
};

/// Distributes the routes within an availability zone, in pieces that fit into one packet. The members of the zone form
/// a tree in the order of their ranking. An instance passes each piece on to its children when it receives it for the
/// first time. It requests missing pieces from other members. The sending is paced, so that it does not fill the link.
/// Runs on the control thread.
class RoutesTransfer {
public:
    /// Key under which the instances of a zone are ranked. The first ones read new routes.
    static constexpr const char* rankingKey = "zone-readers";

    /// Number of members to which an instance passes each piece on.
    static constexpr std::size_t fanOut = 3;

    /// Bytes of the routes that an instance sends in one second: 40% of a link of 10 Mbit/s.
    static constexpr std::size_t sendRate = 500'000;

    static constexpr std::size_t pieceBytes = 1'100;
    static constexpr std::size_t maxDocumentBytes = 1 << 20;

    RoutesTransfer(const base::Clock& clock, PeerGroup& peers);

    /// Sets the routes in force, from which requests are answered.
    void setCurrent(RoutesDocument document);

    /// Sends the routes in force to the children of this instance.
    void distribute();

    /// Records that an instance announced newer routes. The missing pieces are requested.
    void want(std::uint64_t version);

    /// Records that received routes are invalid. They are neither requested nor accepted again.
    void reject(std::uint64_t version);

    /// Processes a datagram of another instance. Returns the routes if they have become complete.
    std::optional<RoutesDocument> handle(const wire::proto::PeerDatagram& datagram);

    /// Sends queued pieces within the rate, and requests missing ones. Call every 20 ms.
    void tick();

    /// When a new piece was last received.
    base::SteadyTime lastProgressAt() const { return m_lastProgressAt; }

private:
    struct Assembly {
        std::uint64_t version = 0; ///< 0: there is none.
        std::vector<std::string> pieces; ///< Those not received yet are empty.
        std::size_t received = 0;
    };

    struct QueuedPiece {
        std::string to;
        wire::proto::RoutesPiece piece;
    };

    void handleRequest(const std::string& sender, const wire::proto::RoutesRequest& request);
    bool addPiece(const wire::proto::RoutesPiece& piece);
    std::optional<wire::proto::RoutesPiece> findPiece(std::uint64_t version, std::size_t index) const;
    std::size_t pieceCount(std::uint64_t version) const;
    void enqueue(const std::string& to, wire::proto::RoutesPiece piece);
    std::vector<std::string> children();
    void sendQueued();
    void requestMissing();
    std::optional<std::string> chooseSource();

    const base::Clock& m_clock;
    PeerGroup& m_peers;
    RoutesDocument m_current;
    Assembly m_assembly;
    std::uint64_t m_wantedVersion = 0;
    std::uint64_t m_rejectedVersion = 0;
    std::set<std::string> m_holders; ///< Members of the zone that announced the wanted version.
    std::deque<QueuedPiece> m_queue;
    std::size_t m_queuedBytes = 0;
    double m_allowance = 0; ///< Bytes that may be sent now.
    base::SteadyTime m_allowanceAt; ///< When the allowance was last increased.
    base::SteadyTime m_lastProgressAt {};
    base::SteadyTime m_requestAt = base::SteadyTime::max(); ///< When missing pieces are requested.
    std::size_t m_requestCount = 0; ///< Without an answer.
};

} // namespace buckthorncroft::gateway
