#include <buckthorncroft/routing/placement_policy.h>

#include <algorithm>
#include <cmath>

namespace buckthorncroft::routing {

namespace {

    using namespace std::chrono_literals;

    // Time over which the in-flight count of this instance is averaged. An instance runs about one request at a time,
    // so the average over a shorter time would be mostly noise.
    constexpr std::chrono::duration<double> averagingTime = 2s;

    constexpr auto utilisationTtl = 2s;

    // After this many timeouts in a row the point counts as unreachable, and no grants are requested for the time of
    // the pause. Without the pause, every request would wait for the timeout until a new point is known.
    constexpr unsigned maxConsecutiveTimeouts = 3;
    constexpr auto pauseAfterTimeouts = 1s;

} // namespace

PlacementPolicy::PlacementPolicy(unsigned slots, unsigned liveInstances)
    : m_slots(std::max(1u, slots))
    , m_liveInstances(std::max(1u, liveInstances))
{
}

void PlacementPolicy::resize(unsigned slots, unsigned liveInstances)
{
    m_slots = std::max(1u, slots);
    m_liveInstances = std::max(1u, liveInstances);
}

double PlacementPolicy::smoothedInFlight(base::SteadyTime now) const
{
    const std::chrono::duration<double> elapsed = std::max(base::SteadyTime::duration(0), now - m_smoothedAt);
    return m_inFlight + (m_smoothedInFlight - m_inFlight) * std::exp(-(elapsed / averagingTime));
}

void PlacementPolicy::setInFlight(unsigned inFlight, base::SteadyTime now)
{
    m_smoothedInFlight = smoothedInFlight(now);
    m_smoothedAt = now;
    m_inFlight = inFlight;
}

void PlacementPolicy::recordUtilisation(double utilisation, base::SteadyTime now)
{
    m_recordedUtilisation = utilisation;
    m_recordedUntil = now + utilisationTtl;
}

double PlacementPolicy::utilisation(base::SteadyTime now) const
{
    if (now < m_recordedUntil)
        return m_recordedUtilisation;
    return smoothedInFlight(now) * m_liveInstances / m_slots;
}

bool PlacementPolicy::shouldRequestGrant(base::SteadyTime now)
{
    m_isRequesting = utilisation(now) > (m_isRequesting ? stopBelowUtilisation : requestAboveUtilisation);
    return m_isRequesting && now >= m_pausedUntil;
}

void PlacementPolicy::recordResponse()
{
    m_consecutiveTimeouts = 0;
}

void PlacementPolicy::recordTimeout(base::SteadyTime now)
{
    // The count stays at the limit, so that a single timeout after the pause starts the next pause.
    m_consecutiveTimeouts = std::min(m_consecutiveTimeouts + 1, maxConsecutiveTimeouts);
    if (m_consecutiveTimeouts == maxConsecutiveTimeouts)
        m_pausedUntil = now + pauseAfterTimeouts;
}

} // namespace buckthorncroft::routing
