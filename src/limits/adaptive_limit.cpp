#include <algorithm>
#include <buckthorncroft/limits/adaptive_limit.h>
#include <cmath>

namespace buckthorncroft::limits {

namespace {

    // Slots by which a success at the limit raises it. A target that still has less room sheds about one request in
    // ten.
    constexpr double successStep = 0.1;

} // namespace

void AdaptiveLimit::recordShed(unsigned inUse, unsigned slots)
{
    const double maxReduction = std::max(1u, slots) - 1;
    const double wanted = static_cast<double>(slots) - std::max(1.0, static_cast<double>(inUse) - 1);
    m_reduction = std::clamp(wanted, m_reduction, std::max(m_reduction, maxReduction));
}

void AdaptiveLimit::recordSuccess(unsigned inUse, unsigned slots)
{
    if (inUse >= limit(slots))
        m_reduction = std::max(0.0, m_reduction - successStep);
}

unsigned AdaptiveLimit::limit(unsigned slots) const
{
    const double result = static_cast<double>(slots) - std::ceil(m_reduction - 1e-9);
    return static_cast<unsigned>(std::max(std::min(1.0, static_cast<double>(slots)), result));
}

} // namespace buckthorncroft::limits
