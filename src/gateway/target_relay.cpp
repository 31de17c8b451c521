#include "target_relay.h"

#include <algorithm>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::milliseconds;

    // Key under which the instances are ranked as readers.
    constexpr const char* readersKey = "registry-readers";

    // Three, so that one remains if one reader is frozen and another one is partitioned.
    constexpr std::size_t readerCount = 3;

    // An instance that receives no delta for this long reads for itself. A target that leaves must be detected within
    // 2 s.
    constexpr milliseconds readerTimeout { 1300 };

    // How long an instance that cannot reach the registry is not considered as reader.
    constexpr milliseconds readerExclusionTtl { 3000 };
    constexpr milliseconds unreachableRepeatInterval { 1000 };

} // namespace

TargetRelay::TargetRelay(const base::Clock& clock, PeerGroup& peers)
    : m_clock(clock)
    , m_peers(peers)
    , m_lastDeltaAt(clock.now())
{
}

ReaderRole TargetRelay::role()
{
    const auto now = m_clock.now();
    std::erase_if(m_excludedUntil, [now](const auto& it) { return now >= it.second; });
    const auto ranked = m_peers.ranking().top(readersKey, readerCount + m_excludedUntil.size(), now);
    std::size_t readersAhead = 0;
    for (const auto& it : ranked) {
        if (readersAhead >= readerCount)
            break;
        if (it == m_peers.self())
            return ReaderRole::Reader;
        if (!m_excludedUntil.contains(it))
            ++readersAhead;
    }
    return now - m_lastDeltaAt > readerTimeout ? ReaderRole::Standalone : ReaderRole::None;
}

void TargetRelay::sendDelta(const TargetDelta& delta)
{
    auto message = m_peers.makeMessage();
    auto& part = *message.mutable_news();
    part.set_from(delta.fromVersion);
    part.set_to(delta.toVersion);
    for (const auto& it : delta.changes) {
        auto& entry = *part.add_entries();
        entry.set_id(it.id);
        entry.set_gone(!it.record);
        if (!it.record)
            continue;
        const auto& record = *it.record;
        entry.set_service(record.service);
        entry.set_host(record.host);
        entry.set_port(record.port);
        entry.set_zone(record.zone);
        entry.set_slots(record.slots);
        entry.set_draining(record.draining);
        entry.set_cold_ms(static_cast<std::uint32_t>(record.coldRemaining.count()));
        entry.set_sequence(record.sequence);
        entry.set_born(record.startedAtUnixMs);
    }
    m_peers.sendToAll(message);
}

void TargetRelay::sendRegistryUnreachable()
{
    const auto now = m_clock.now();
    if (now - m_unreachableSentAt < unreachableRepeatInterval)
        return;
    m_unreachableSentAt = now;
    auto message = m_peers.makeMessage();
    message.mutable_news()->set_registry_lost(true);
    m_peers.sendToAll(message);
}

std::optional<TargetDelta> TargetRelay::handle(const wire::proto::PeerDatagram& datagram)
{
    if (!datagram.has_news())
        return std::nullopt;
    const auto now = m_clock.now();
    const auto& part = datagram.news();
    if (part.registry_lost()) {
        m_excludedUntil[datagram.sender()] = now + readerExclusionTtl;
        return std::nullopt;
    }
    m_lastDeltaAt = now;
    TargetDelta result { part.from(), part.to(), {} };
    for (const auto& it : part.entries()) {
        TargetChange change { it.id(), std::nullopt };
        if (!it.gone()) {
            membership::TargetRecord record { it.id(), it.service(), it.host(), static_cast<std::uint16_t>(it.port()),
                it.zone() };
            record.slots = it.slots();
            record.draining = it.draining();
            record.coldRemaining = milliseconds(it.cold_ms());
            record.sequence = it.sequence();
            record.startedAtUnixMs = it.born();
            change.record = std::move(record);
        }
        result.changes.push_back(std::move(change));
    }
    return result;
}

} // namespace buckthorncroft::gateway
