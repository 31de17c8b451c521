#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

namespace buckthorncroft::daemon {

/// Smoothed p95 of the last 256 latencies. Not safe for concurrent use.
class LatencyQuantile {
public:
    void add(std::chrono::microseconds latency);

    /// Empty until 32 latencies were added.
    std::optional<std::chrono::microseconds> p95() const;

private:
    static constexpr std::size_t windowSize = 256;
    std::array<std::chrono::microseconds, windowSize> m_window {};
    std::size_t m_sampleCount = 0;
    std::optional<std::chrono::microseconds> m_p95;
};

} // namespace buckthorncroft::daemon
