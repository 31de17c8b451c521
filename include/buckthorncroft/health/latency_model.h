#pragma once

#include <array>
#include <buckthorncroft/health/settings.h>
#include <cstddef>
#include <optional>
#include <vector>

namespace buckthorncroft::health {

/// Computes from recent latencies of one service and request kind on one instance which responses are slow. Uses the
/// median and quartiles of the logarithm of the latency, so that a few degraded targets hardly change the limits.
class LatencyModel {
public:
    explicit LatencyModel(const Settings& settings);

    /// Adds the latency of a complete response.
    void add(std::size_t target, Duration latency);

    /// Recomputes the limits of `targets` targets if enough samples are new. The limit of each target is computed from
    /// the samples of the other targets.
    void updateLimits(std::size_t targets);

    /// Removes all samples, for example after target indexes have changed.
    void clear();

    /// Latency from which a response of `target` is slow compared with the other targets; empty with too few samples.
    std::optional<Duration> slowLimit(std::size_t target) const;

private:
    struct Sample {
        std::size_t target = 0;
        double logMicroseconds = 0;
    };

    std::optional<Duration> limitFromOthers(std::size_t target);

    Settings m_settings;
    std::vector<Sample> m_samples; ///< Ring buffer; `m_nextSample` is the oldest sample once it is full.
    std::size_t m_nextSample = 0;
    std::size_t m_newSamples = 0; ///< Samples added since the limits were computed.
    std::vector<std::optional<Duration>> m_limits;
    std::vector<double> m_scratch;
};

} // namespace buckthorncroft::health
