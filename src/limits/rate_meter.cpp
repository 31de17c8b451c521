#include <buckthorncroft/limits/rate_meter.h>

#include <algorithm>
#include <cmath>

namespace buckthorncroft::limits {

RateMeter::RateMeter(std::chrono::milliseconds averagingTime)
    : m_averagingTime(averagingTime)
{
}

double RateMeter::weight(base::SteadyTime now) const
{
    const std::chrono::duration<double> age = now - m_updatedAt;
    return std::exp(-std::max(0.0, age / m_averagingTime));
}

void RateMeter::recordEvent(base::SteadyTime now)
{
    m_events = m_events * weight(now) + 1;
    m_updatedAt = now;
}

double RateMeter::perSecond(base::SteadyTime now) const
{
    return m_events * weight(now) / m_averagingTime.count();
}

} // namespace buckthorncroft::limits
