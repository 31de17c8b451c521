#include "latency_quantile.h"

#include <algorithm>

namespace buckthorncroft::daemon {

namespace {

    // Fewer latencies say little about the slowest one in twenty.
    constexpr std::size_t recomputeEvery = 32;

    // Follows a change within about a hundred requests, without following a single burst.
    constexpr double smoothing = 0.4;

} // namespace

void LatencyQuantile::add(std::chrono::microseconds latency)
{
    m_window[m_seen++ % windowSize] = latency;
    if (m_seen % recomputeEvery != 0)
        return;
    auto sorted = m_window;
    const auto n = std::min(m_seen, windowSize);
    const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(n * 95 / 100);
    std::nth_element(sorted.begin(), place, sorted.begin() + static_cast<std::ptrdiff_t>(n));
    if (!m_p95)
        m_p95 = *place;
    else
        *m_p95 += std::chrono::duration_cast<std::chrono::microseconds>((*place - *m_p95) * smoothing);
}

std::optional<std::chrono::microseconds> LatencyQuantile::p95() const
{
    return m_p95;
}

} // namespace buckthorncroft::daemon
