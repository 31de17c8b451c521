#include <buckthorncroft/outcome/write_budget.h>

#include <algorithm>

namespace buckthorncroft::outcome {

WriteBudget::WriteBudget(double fleetPerSecond, std::chrono::seconds burst)
    : m_fleetPerSecond(fleetPerSecond)
    , m_burst(burst)
{
}

// A bucket smaller than one claim, which takes two writes, would never let one pass.
double WriteBudget::capacity() const
{
    return std::max(2.0, share() * static_cast<double>(m_burst.count()));
}

void WriteBudget::setLiveInstances(unsigned instances)
{
    m_instances = std::max(1u, instances);
}

bool WriteBudget::tryTake(unsigned writes, base::SteadyTime now)
{
    if (!m_started) {
        m_started = true;
        m_updated = now;
        m_tokens = capacity();
    }
    m_tokens += std::chrono::duration<double>(now - m_updated).count() * share();
    m_tokens = std::min(m_tokens, capacity());
    m_updated = now;
    // The small term absorbs rounding.
    if (m_tokens < writes - 1e-9)
        return false;
    m_tokens -= writes;
    return true;
}

} // namespace buckthorncroft::outcome
