#pragma once

#include <array>
#include <buckthorncroft/observe/metrics.h>
#include <buckthorncroft/wire/placement.pb.h>
#include <cstdint>

namespace buckthorncroft::gateway {

/// Main content of a datagram between instances.
enum class PeerMessageKind { Presence, SlotRequest, Decision, Outcome, Risk, News, Routes, Usage, Other };

constexpr std::size_t peerMessageKindCount = 9;

/// Returns the kind of a datagram. One that has several parts counts as the kind of its first part.
PeerMessageKind kindOf(const wire::proto::PeerDatagram& datagram);

/// Datagrams and bytes by kind, in one direction. Not safe for concurrent use.
class PeerTraffic {
public:
    struct Counts {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    void record(PeerMessageKind kind, std::size_t bytes);

    const Counts& counts(PeerMessageKind kind) const { return m_counts[static_cast<std::size_t>(kind)]; }

    /// Adds what was recorded since the last call to the metrics. `direction`: `sent` or `received`.
    void exportTo(observe::Metrics& metrics, const char* direction);

private:
    std::array<Counts, peerMessageKindCount> m_counts {};
    std::array<Counts, peerMessageKindCount> m_exported {};
};

} // namespace buckthorncroft::gateway
