#include "latency_quantile.h"

#include <algorithm>

namespace buckthorncroft::daemon {

namespace {

    // The p95 of fewer samples is mostly noise.
    constexpr std::size_t samplesPerUpdate = 32;

    // Adapts to a lasting change within about 100 requests, but not to a single burst.
    constexpr double smoothingFactor = 0.4;

} // namespace

void LatencyQuantile::add(std::chrono::microseconds latency)
{
    m_window[m_sampleCount++ % windowSize] = latency;
    if (m_sampleCount % samplesPerUpdate != 0)
        return;
    auto sorted = m_window;
    const auto n = std::min(m_sampleCount, windowSize);
    const auto quantile = sorted.begin() + static_cast<std::ptrdiff_t>(n * 95 / 100);
    std::nth_element(sorted.begin(), quantile, sorted.begin() + static_cast<std::ptrdiff_t>(n));
    if (!m_p95)
        m_p95 = *quantile;
    else
        *m_p95 += std::chrono::duration_cast<std::chrono::microseconds>((*quantile - *m_p95) * smoothingFactor);
}

std::optional<std::chrono::microseconds> LatencyQuantile::p95() const
{
    return m_p95;
}

} // namespace buckthorncroft::daemon
