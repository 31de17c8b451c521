#include "peer_traffic.h"

namespace buckthorncroft::gateway {

namespace {

    constexpr std::array<const char*, peerMessageKindCount> kindNames { "presence", "slot_request", "decision",
        "outcome", "risk", "news", "routes", "usage", "other" };

} // namespace

PeerMessageKind kindOf(const wire::proto::PeerDatagram& datagram)
{
    if (datagram.has_presence())
        return PeerMessageKind::Presence;
    if (datagram.has_news() || datagram.leaving_size() > 0)
        return PeerMessageKind::News;
    if (datagram.has_routes() || datagram.routes_pieces_size() > 0 || datagram.has_routes_request())
        return PeerMessageKind::Routes;
    if (datagram.has_usage())
        return PeerMessageKind::Usage;
    if (datagram.services_size() == 0)
        return PeerMessageKind::Other;
    const auto& part = datagram.services(0);
    if (part.requests_size() > 0 || part.withdrawals_size() > 0)
        return PeerMessageKind::SlotRequest;
    if (part.decisions_size() > 0)
        return PeerMessageKind::Decision;
    return part.outcomes_size() > 0 ? PeerMessageKind::Outcome : PeerMessageKind::Risk;
}

void PeerTraffic::record(PeerMessageKind kind, std::size_t bytes)
{
    auto& counts = m_counts[static_cast<std::size_t>(kind)];
    ++counts.messages;
    counts.bytes += bytes;
}

void PeerTraffic::exportTo(observe::Metrics& metrics, const char* direction)
{
    for (std::size_t n = 0; n < peerMessageKindCount; ++n) {
        const auto& total = m_counts[n];
        auto& exported = m_exported[n];
        if (total.messages == exported.messages)
            continue;
        const observe::Labels labels { { "direction", direction }, { "kind", kindNames[n] } };
        metrics.count(
            "buckthorncroft_peer_messages_total", labels, static_cast<double>(total.messages - exported.messages));
        metrics.count("buckthorncroft_peer_bytes_total", labels, static_cast<double>(total.bytes - exported.bytes));
        exported = total;
    }
}

} // namespace buckthorncroft::gateway
