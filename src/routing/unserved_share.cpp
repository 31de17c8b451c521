#include <buckthorncroft/routing/unserved_share.h>

namespace buckthorncroft::routing {

namespace {

    // Shorter than the windows of 2 s in which the platform checks that healthy targets receive requests.
    constexpr std::chrono::milliseconds averagingTime { 1000 };

    // With fewer failures per second, the fraction is mostly noise.
    constexpr double minFailuresPerSecond = 1.5;

} // namespace

UnservedShare::UnservedShare()
    : m_finished(averagingTime)
    , m_unserved(averagingTime)
{
}

void UnservedShare::recordResult(bool unserved, base::SteadyTime now)
{
    m_finished.recordEvent(now);
    if (unserved)
        m_unserved.recordEvent(now);
}

double UnservedShare::share(base::SteadyTime now) const
{
    const double unserved = m_unserved.perSecond(now);
    return unserved < minFailuresPerSecond ? 0 : unserved / m_finished.perSecond(now);
}

} // namespace buckthorncroft::routing
