#include <buckthorncroft/routing/dispatch_point.h>

#include "dispatch_detail.h"

#include <algorithm>

// The decisions of a dispatch point about zones: what leaving one costs, when to wait at home, and why a request left.

namespace buckthorncroft::routing {

namespace {

    using detail::contains;
    using detail::isIdempotent;
    using std::chrono::milliseconds;
    using Seconds = std::chrono::duration<double>;

    constexpr milliseconds zoneRoomMaxAge { 20 };

    // While the callers of a target's own zone can keep it in use, those of other zones leave it to them for this long.
    constexpr milliseconds foreignIdleGrace { 400 };
    constexpr milliseconds ownCoverageInterval { 1000 };

    // Demand is forecast for about the time that a request keeps its slot.
    constexpr milliseconds forecastTime { 500 };

    // Bounds the wait for a slot of the own zone while another zone has room, as parts of the service time. The bound
    // on the mean serves the callers of a short zone about as fast as the others.
    constexpr double maxHomeWaitFraction = 1;
    constexpr double maxMeanHomeWaitFraction = 0.2;

    // Part of a zone's slots that stays free for its own callers.
    constexpr double guestReserveFraction = 0.1;

} // namespace

// Whether the request comes from another zone, and the callers of the target's own zone can keep it in use.
bool DispatchPoint::isLeftToOwnZone(const Target& target, const DispatchRequest& request, base::SteadyTime now) const
{
    const auto& zone = target.entry.record.zone;
    return zone != request.zone && m_zoneDemand.coversOwnTargets(zone, ownCoverageInterval, now);
}

// Returns the idle excess of the target as seen by a request: a target that is left to its own zone has none for
// longer.
Seconds DispatchPoint::idleExcessFor(const Target& target, const DispatchRequest& request, base::SteadyTime now) const
{
    const auto excess = idleExcess(target, now);
    if (excess.count() <= 0 || !isLeftToOwnZone(target, request, now))
        return excess;
    const auto idleSince
        = std::max({ target.lastGrantAt, target.entry.coldUntil, m_zoneDemand.activeSince(target.entry.record.zone) });
    return std::max(Seconds(0), Seconds(now - idleSince - maxIdleTimeFor(target) - foreignIdleGrace));
}

double DispatchPoint::crossingCost(const DispatchRequest& request, base::SteadyTime now) const
{
    const bool isLengthUnknown = request.kind == config::RequestKind::Upload && request.requestBytes == 0;
    const std::uint64_t requestBytes = isLengthUnknown ? m_settings.unknownUploadBytes : request.requestBytes;
    return m_zoneCosts.crossing(
        requestBytes + request.responseBytes, Seconds(request.objectiveDeadline - now) - m_serviceTime);
}

// Whether a queued request should wait for a slot of its own zone rather than take `away` now. So many requests leave
// that the expected wait of the others costs as much as leaving.
bool DispatchPoint::waitsForHomeTarget(const QueuedRequest& queued, const Target& away, base::SteadyTime now)
{
    const auto& request = queued.request;
    const double maxRisk = isIdempotent(request) ? m_settings.maxIdempotentRisk : m_settings.maxNonIdempotentRisk;
    double homeSlots = 0;
    for (const auto& [id, target] : m_targets) {
        const auto& record = target.entry.record;
        if (record.zone != request.zone || record.draining || target.risk.isUnproven() || now < target.saturatedUntil
            || contains(request.excluded, id) || target.risk.failureProbability(now, m_unknownRisk) > maxRisk)
            continue;
        if (target.slots.size() < record.slots)
            return false;
        homeSlots += record.slots;
    }
    if (homeSlots <= 0)
        return false;
    const auto ahead = m_queue.countIf([&](const QueuedRequest& it) {
        const bool isFirst = it.request.priority == request.priority ? !hasPrecedence(request, it.request, now)
                                                                     : it.request.priority < request.priority;
        return it.request.zone == request.zone && !(it.request.key == request.key) && isFirst;
    });
    const auto waited = Seconds(now - queued.queuedAt);
    // A zone whose demand rises will have less room than its current rate of finished requests shows.
    const double current = m_zoneDemand.arrivalRate(request.zone, now);
    const double rise
        = current > 0 ? std::max(1.0, m_zoneDemand.forecastRate(request.zone, forecastTime, now) / current) : 1;
    const auto wait = m_serviceTime / homeSlots * (static_cast<double>(ahead) + 1) * rise;
    if (waited + wait > std::min(m_serviceTime * maxHomeWaitFraction, maxWait(queued.waitDeadline, queued.queuedAt)))
        return false;
    if (m_zoneDemand.meanWait(request.zone) > m_serviceTime * maxMeanHomeWaitFraction)
        return false;
    const double waitCost = m_zoneCosts.waiting(waited + wait);
    const double awayCost = crossingCost(request, now);
    // The slots that a zone keeps for its own callers are taken only after twice the wait.
    const auto room = m_zoneDemand.room(away.entry.record.zone);
    const bool takesReserve = room.free() <= guestReserveFraction * room.slots;
    return !m_zoneDemand.shouldLeave(request.zone, waitCost, takesReserve ? 2 * awayCost : awayCost, now);
}

ZonePlacement DispatchPoint::explainPlacement(
    const Target& target, const DispatchRequest& request, base::SteadyTime now) const
{
    if (target.entry.record.zone == request.zone)
        return ZonePlacement::Home;
    const double maxRisk = isIdempotent(request) ? m_settings.maxIdempotentRisk : m_settings.maxNonIdempotentRisk;
    bool hasTarget = false;
    bool hasCandidate = false;
    bool hasSound = false;
    bool hasFree = false;
    bool hasConnection = false;
    for (const auto& [id, it] : m_targets) {
        if (it.entry.record.zone != request.zone || it.entry.record.draining)
            continue;
        hasTarget = true;
        if (contains(request.excluded, id))
            continue;
        hasCandidate = true;
        if (it.risk.isUnproven() || it.risk.failureProbability(now, m_unknownRisk) > maxRisk)
            continue;
        hasSound = true;
        if (!canAccept(it, request, now))
            continue;
        hasFree = true;
        hasConnection |= contains(request.connectedTargets, id);
    }
    if (!hasTarget)
        return ZonePlacement::NoHomeTarget;
    if (!hasCandidate)
        return ZonePlacement::HomeExcluded;
    if (!hasSound)
        return ZonePlacement::HomeRisky;
    if (!hasFree)
        return ZonePlacement::HomeFull;
    if (isNew(target, now))
        return ZonePlacement::NewTarget;
    if (idleExcessFor(target, request, now).count() > 0)
        return ZonePlacement::IdlePreference;
    const bool isConnected = contains(request.connectedTargets, target.entry.record.id);
    return isConnected && !hasConnection ? ZonePlacement::Connection : ZonePlacement::LowerCost;
}

void DispatchPoint::updateZoneRoom(base::SteadyTime now)
{
    if (!m_zoneDemand.isRoomOutdated(zoneRoomMaxAge, now))
        return;
    std::map<std::string, ZoneRoom> room;
    for (const auto& [id, target] : m_targets) {
        if (target.entry.record.draining || now < target.entry.coldUntil)
            continue;
        auto& it = room[target.entry.record.zone];
        ++it.targets;
        if (target.risk.isUnproven() || now < target.saturatedUntil)
            continue;
        const double speed = target.latency.count() > 0 ? std::min(1.0, m_serviceTime / target.latency) : 1;
        it.slots += target.entry.record.slots * speed;
        it.inUse += static_cast<double>(target.slots.size()) * speed;
    }
    m_zoneDemand.setRoom(std::move(room), now);
}

} // namespace buckthorncroft::routing
