#include <buckthorncroft/routing/zone_demand.h>

#include <algorithm>
#include <utility>

namespace buckthorncroft::routing {

namespace {

    using std::chrono::milliseconds;
    using Seconds = std::chrono::duration<double>;

    // An average lags behind a steady trend by its averaging time, so the difference of the two averages gives the
    // trend.
    constexpr milliseconds shortAveragingTime { 500 };
    constexpr milliseconds longAveragingTime { 1000 };
    constexpr milliseconds settlingTime = 3 * longAveragingTime;

    // A zone without requests for this long starts a new spell with its next one.
    constexpr milliseconds spellGap { 3000 };

    // Weight of a new sample in the mean wait.
    constexpr double waitSmoothing = 0.03;

    // Factors on the cost of crossing at which requests start and stop leaving.
    constexpr double leaveFactor = 1.1;
    constexpr double stayFactor = 0.8;
    constexpr milliseconds leavingMemory { 1000 };

} // namespace

ZoneDemand::Zone::Zone()
    : shortTerm(shortAveragingTime)
    , longTerm(longAveragingTime)
{
}

const ZoneDemand::Zone* ZoneDemand::find(const std::string& zone) const
{
    const auto it = m_zones.find(zone);
    return it == m_zones.end() ? nullptr : &it->second;
}

void ZoneDemand::recordArrival(const std::string& zone, base::SteadyTime now)
{
    auto& it = m_zones[zone];
    if (!it.hasArrived || now - it.lastArrivalAt > spellGap)
        it.activeSince = now;
    it.hasArrived = true;
    it.lastArrivalAt = now;
    it.shortTerm.recordEvent(now);
    it.longTerm.recordEvent(now);
}

void ZoneDemand::setRoom(std::map<std::string, ZoneRoom> room, base::SteadyTime now)
{
    m_room = std::move(room);
    m_roomAt = now;
}

void ZoneDemand::recordGrant(const std::string& zone)
{
    if (const auto it = m_room.find(zone); it != m_room.end())
        ++it->second.inUse;
}

bool ZoneDemand::isRoomOutdated(milliseconds maxAge, base::SteadyTime now) const
{
    return now - m_roomAt >= maxAge;
}

ZoneRoom ZoneDemand::room(const std::string& zone) const
{
    const auto it = m_room.find(zone);
    return it == m_room.end() ? ZoneRoom {} : it->second;
}

void ZoneDemand::recordWait(const std::string& zone, Seconds wait)
{
    auto& it = m_zones[zone];
    it.meanWait += (wait - it.meanWait) * waitSmoothing;
}

Seconds ZoneDemand::meanWait(const std::string& zone) const
{
    const auto* it = find(zone);
    return it ? it->meanWait : Seconds(0);
}

double ZoneDemand::arrivalRate(const std::string& zone, base::SteadyTime now) const
{
    const auto* it = find(zone);
    return it ? it->longTerm.perSecond(now) : 0;
}

double ZoneDemand::forecastRate(const std::string& zone, milliseconds ahead, base::SteadyTime now) const
{
    const auto* it = find(zone);
    if (!it)
        return 0;
    const double current = it->shortTerm.perSecond(now);
    // A new spell looks like a steep rise until the long average has caught up.
    if (now - it->activeSince < settlingTime)
        return it->longTerm.perSecond(now);
    const double trend
        = (current - it->longTerm.perSecond(now)) / Seconds(longAveragingTime - shortAveragingTime).count();
    return std::max(0.0, current + trend * Seconds(shortAveragingTime + ahead).count());
}

base::SteadyTime ZoneDemand::activeSince(const std::string& zone) const
{
    const auto* it = find(zone);
    return it ? it->activeSince : base::SteadyTime {};
}

bool ZoneDemand::coversOwnTargets(const std::string& zone, milliseconds interval, base::SteadyTime now) const
{
    const auto* it = find(zone);
    if (!it || now - it->lastArrivalAt > spellGap)
        return false;
    return it->longTerm.perSecond(now) * Seconds(interval).count() >= room(zone).targets;
}

bool ZoneDemand::shouldLeave(const std::string& zone, double waitCost, double crossingCost, base::SteadyTime now)
{
    auto& it = m_zones[zone];
    const bool leftLately = it.hasLeft && now - it.lastLeftAt < leavingMemory;
    if (waitCost <= crossingCost * (leftLately ? stayFactor : leaveFactor))
        return false;
    it.hasLeft = true;
    it.lastLeftAt = now;
    return true;
}

} // namespace buckthorncroft::routing
