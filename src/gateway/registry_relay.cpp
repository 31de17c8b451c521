#include "registry_relay.h"

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

    // A datagram holds at most 65,507 bytes.
    constexpr std::size_t maxDeltaBytes = 60'000;

    // Returns the change that a peer sent, or nothing if it is invalid. A peer's entries are checked like the
    // registry's.
    std::optional<TargetChange> decodeChange(const wire::proto::TargetEntry& entry)
    {
        if (!membership::isValidName(entry.id()))
            return std::nullopt;
        if (entry.gone())
            return TargetChange { entry.id(), std::nullopt };
        if (entry.port() > membership::maxPort)
            return std::nullopt;
        membership::TargetRecord record { entry.id(), entry.service(), entry.host(),
            static_cast<std::uint16_t>(entry.port()), entry.zone() };
        record.slots = entry.slots();
        record.draining = entry.draining();
        record.coldRemaining = milliseconds(entry.cold_ms());
        record.sequence = entry.sequence();
        record.startedAtUnixMs = entry.born();
        if (membership::findProblem(record))
            return std::nullopt;
        return TargetChange { entry.id(), std::move(record) };
    }

} // namespace

RegistryRelay::RegistryRelay(const base::Clock& clock, PeerGroup& peers)
    : m_clock(clock)
    , m_peers(peers)
    , m_routes(clock, peers)
    , m_lastDeltaAt(clock.now())
{
}

ReaderRole RegistryRelay::role()
{
    const auto now = m_clock.now();
    const bool isDeltaOverdue = now - m_lastDeltaAt > readerTimeout;
    if (!m_arePeersKnown && !isDeltaOverdue)
        return ReaderRole::None;
    std::erase_if(m_excludedUntil, [now](const auto& it) { return now >= it.second; });
    const auto count = hasZoneReaders() ? zoneReaderCount : readerCount;
    std::size_t readersAhead = 0;
    for (const auto& it : rankReaders(count + m_excludedUntil.size())) {
        if (readersAhead >= count)
            break;
        if (it == m_peers.self())
            return ReaderRole::Reader;
        if (!m_excludedUntil.contains(it))
            ++readersAhead;
    }
    return isDeltaOverdue ? ReaderRole::Standalone : ReaderRole::None;
}

std::vector<std::string> RegistryRelay::rankReaders(std::size_t count)
{
    // The readers of a zone also distribute its routes.
    return hasZoneReaders() ? m_peers.zoneTop(RoutesTransfer::rankingKey, count)
                            : m_peers.ranking().top(readersKey, count, m_clock.now());
}

void RegistryRelay::sendToReceivers(const wire::proto::PeerDatagram& message)
{
    if (!hasZoneReaders()) {
        m_peers.sendToAll(message);
        return;
    }
    m_peers.sendToZone(m_peers.ownZone(), message);
    const auto now = m_clock.now();
    std::erase_if(m_helpedUntil, [now](const auto& it) { return now >= it.second; });
    for (const auto& [zone, until] : m_helpedUntil)
        m_peers.sendToZone(zone, message);
}

void RegistryRelay::sendDelta(const TargetDelta& delta, const std::vector<membership::LeavingTarget>& leaving)
{
    auto message = m_peers.makeMessage();
    auto& part = *message.mutable_news();
    part.set_from(delta.fromVersion);
    part.set_to(delta.toVersion);
    part.set_route_version(m_peers.routeVersion());
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
    addLeavingTargets(message, leaving);
    if (message.ByteSizeLong() > maxDeltaBytes) {
        // The receivers detect that they miss changes, and read the registry.
        part.clear_entries();
        part.set_from(delta.toVersion);
    }
    sendToReceivers(message);
}

void RegistryRelay::sendRegistryUnreachable()
{
    const auto now = m_clock.now();
    if (now - m_unreachableSentAt < unreachableRepeatInterval)
        return;
    m_unreachableSentAt = now;
    auto message = m_peers.makeMessage();
    message.mutable_news()->set_registry_lost(true);
    m_peers.sendToAll(message);
}

bool RegistryRelay::isZoneReader()
{
    const auto readers = m_peers.zoneTop(RoutesTransfer::rankingKey, zoneReaderCount);
    return std::find(readers.begin(), readers.end(), m_peers.self()) != readers.end();
}

void RegistryRelay::sendRouteVersion()
{
    auto message = m_peers.makeMessage();
    message.mutable_news()->set_route_version(m_peers.routeVersion());
    sendToReceivers(message);
}

void RegistryRelay::sendLeaving(const membership::LeavingTarget& target)
{
    auto message = m_peers.makeMessage();
    addLeavingTargets(message, { target });
    m_peers.sendToAll(message);
}

std::optional<TargetDelta> RegistryRelay::handle(const wire::proto::PeerDatagram& datagram)
{
    if (!datagram.has_news())
        return std::nullopt;
    const auto now = m_clock.now();
    const auto& part = datagram.news();
    if (part.registry_lost()) {
        m_excludedUntil[datagram.sender()] = now + readerExclusionTtl;
        if (const auto zone = m_peers.zoneOf(datagram.sender()); !zone.empty() && zone != m_peers.ownZone())
            m_helpedUntil[zone] = now + readerExclusionTtl;
        return std::nullopt;
    }
    if (part.to() == 0)
        return std::nullopt; // Only the version of the routes.
    m_lastDeltaAt = now;
    TargetDelta result { part.from(), part.to(), {} };
    for (const auto& it : part.entries()) {
        if (auto change = decodeChange(it))
            result.changes.push_back(std::move(*change));
        else
            ++m_invalidEntries;
    }
    return result;
}

} // namespace buckthorncroft::gateway
