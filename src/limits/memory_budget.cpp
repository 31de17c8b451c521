#include <buckthorncroft/limits/memory_budget.h>

#include <algorithm>

namespace buckthorncroft::limits {

MemoryBudget::MemoryBudget(std::size_t limit, MemoryBudget* parent)
    : m_limit(limit)
    , m_parent(parent)
{
}

bool MemoryBudget::tryReserve(std::size_t bytes)
{
    auto used = m_used.load(std::memory_order_relaxed);
    do {
        // Compared as a difference, because the sum could overflow.
        if (bytes > m_limit - std::min(used, m_limit))
            return false;
    } while (!m_used.compare_exchange_weak(used, used + bytes, std::memory_order_relaxed));
    if (!m_parent || m_parent->tryReserve(bytes))
        return true;
    m_used.fetch_sub(bytes, std::memory_order_relaxed);
    return false;
}

void MemoryBudget::release(std::size_t bytes)
{
    auto used = m_used.load(std::memory_order_relaxed);
    while (!m_used.compare_exchange_weak(used, used - std::min(used, bytes), std::memory_order_relaxed)) { }
    // Releases in the parent only what was reserved here, so that releasing too much does not affect other services.
    if (m_parent)
        m_parent->release(std::min(used, bytes));
}

bool MemoryReservation::tryGrow(std::size_t bytes)
{
    if (!m_budget->tryReserve(bytes))
        return false;
    m_bytes += bytes;
    return true;
}

void MemoryReservation::shrink(std::size_t bytes)
{
    const auto n = std::min(bytes, m_bytes);
    m_bytes -= n;
    m_budget->release(n);
}

} // namespace buckthorncroft::limits
