#include <buckthorncroft/outcome/write_budget.h>

#include <algorithm>

namespace buckthorncroft::outcome {

WriteBudget::WriteBudget(double fleetWritesPerSecond, std::chrono::seconds burst)
    : m_fleetWritesPerSecond(fleetWritesPerSecond)
    , m_burst(burst)
{
}

// A claim takes two writes. A smaller bucket would never admit one.
double WriteBudget::capacity() const
{
    return std::max(2.0, writesPerSecond() * static_cast<double>(m_burst.count()));
}

void WriteBudget::setLiveInstances(unsigned instances)
{
    m_liveInstances = std::max(1u, instances);
}

bool WriteBudget::tryTake(unsigned writes, base::SteadyTime now)
{
    if (!m_started) {
        m_started = true;
        m_updatedAt = now;
        m_tokens = capacity();
    }
    m_tokens += std::chrono::duration<double>(now - m_updatedAt).count() * writesPerSecond();
    m_tokens = std::min(m_tokens, capacity());
    m_updatedAt = now;
    // The tolerance absorbs rounding errors.
    if (m_tokens < writes - 1e-9)
        return false;
    m_tokens -= writes;
    return true;
}

} // namespace buckthorncroft::outcome
