#include "target_relay.h"

#include <algorithm>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::milliseconds;

    constexpr const char* readersKey = "registry-readers";

    // One reader may freeze while another one is cut off.
    constexpr std::size_t readers = 3;

    // Without news for this long an instance reads by itself; a target that leaves must be known within 2 s.
    constexpr milliseconds silenceLimit { 1300 };

    // How long an instance that cannot read is passed over.
    constexpr milliseconds lostPause { 3000 };
    constexpr milliseconds lostRepeat { 1000 };

} // namespace

TargetRelay::TargetRelay(const base::Clock& clock, PeerGroup& peers)
    : m_clock(clock)
    , m_peers(peers)
    , m_heardAt(clock.now())
{
}

ReaderRole TargetRelay::role()
{
    const auto now = m_clock.now();
    std::erase_if(m_cannotRead, [now](const auto& it) { return now >= it.second; });
    const auto ranked = m_peers.ranking().top(readersKey, readers + m_cannotRead.size(), now);
    std::size_t before = 0;
    for (const auto& it : ranked) {
        if (before >= readers)
            break;
        if (it == m_peers.self())
            return ReaderRole::Reader;
        if (!m_cannotRead.contains(it))
            ++before;
    }
    return now - m_heardAt > silenceLimit ? ReaderRole::Alone : ReaderRole::None;
}

void TargetRelay::tell(const TargetNews& news)
{
    auto message = m_peers.message();
    auto& part = *message.mutable_news();
    part.set_from(news.from);
    part.set_to(news.to);
    for (const auto& it : news.changes) {
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

void TargetRelay::tellLost()
{
    const auto now = m_clock.now();
    if (now - m_toldLostAt < lostRepeat)
        return;
    m_toldLostAt = now;
    auto message = m_peers.message();
    message.mutable_news()->set_registry_lost(true);
    m_peers.sendToAll(message);
}

std::optional<TargetNews> TargetRelay::handle(const wire::proto::PeerDatagram& datagram)
{
    if (!datagram.has_news())
        return std::nullopt;
    const auto now = m_clock.now();
    const auto& part = datagram.news();
    if (part.registry_lost()) {
        m_cannotRead[datagram.sender()] = now + lostPause;
        return std::nullopt;
    }
    m_heardAt = now;
    TargetNews result { part.from(), part.to(), {} };
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
