#include <buckthorncroft/routing/placement_policy.h>

#include <algorithm>
#include <cmath>

namespace buckthorncroft::routing {

namespace {

    using namespace std::chrono_literals;

    // Time over which the own in-flight count is averaged. A single instance runs about one request at a time, so that
    // a shorter time would follow chance.
    constexpr std::chrono::duration<double> averagingTime = 2s;

    constexpr auto reportLifetime = 2s;

    // Unanswered requests in a row after which the point is taken for lost, and the time until it is asked again.
    // Without the pause every request would wait for the timeout while a new point is not known yet.
    constexpr unsigned unansweredLimit = 3;
    constexpr auto pause = 1s;

} // namespace

PlacementPolicy::PlacementPolicy(unsigned slots, unsigned liveInstances)
    : m_slots(std::max(1u, slots))
    , m_instances(std::max(1u, liveInstances))
{
}

void PlacementPolicy::resize(unsigned slots, unsigned liveInstances)
{
    m_slots = std::max(1u, slots);
    m_instances = std::max(1u, liveInstances);
}

double PlacementPolicy::smoothedInFlight(base::SteadyTime now) const
{
    const std::chrono::duration<double> elapsed = std::max(base::SteadyTime::duration(0), now - m_smoothedAt);
    return m_inFlight + (m_smoothed - m_inFlight) * std::exp(-(elapsed / averagingTime));
}

void PlacementPolicy::setInFlight(unsigned inFlight, base::SteadyTime now)
{
    m_smoothed = smoothedInFlight(now);
    m_smoothedAt = now;
    m_inFlight = inFlight;
}

void PlacementPolicy::recordUtilisation(double utilisation, base::SteadyTime now)
{
    m_reported = utilisation;
    m_reportedUntil = now + reportLifetime;
}

double PlacementPolicy::utilisation(base::SteadyTime now) const
{
    if (now < m_reportedUntil)
        return m_reported;
    return smoothedInFlight(now) * m_instances / m_slots;
}

bool PlacementPolicy::shouldRequestGrant(base::SteadyTime now)
{
    m_asking = utilisation(now) > (m_asking ? stopBelow : askAbove);
    return m_asking && now >= m_pausedUntil;
}

void PlacementPolicy::recordResponse()
{
    m_unanswered = 0;
}

void PlacementPolicy::recordTimeout(base::SteadyTime now)
{
    // The count stays at the limit, so that one unanswered request after the pause starts the next one.
    m_unanswered = std::min(m_unanswered + 1, unansweredLimit);
    if (m_unanswered == unansweredLimit)
        m_pausedUntil = now + pause;
}

} // namespace buckthorncroft::routing
