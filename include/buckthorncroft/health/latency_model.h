#pragma once

#include <array>
#include <buckthorncroft/health/settings.h>
#include <cstddef>
#include <optional>
#include <vector>

namespace buckthorncroft::health {

/// Recent latencies of one service and request kind on one instance, and the limits that follow from them. Latencies
/// are judged on a logarithmic scale by median and quartiles, so that a few gray targets hardly move the limits.
class LatencyModel {
public:
    explicit LatencyModel(const Settings& settings);

    /// Adds the latency of a whole answer.
    void add(std::size_t target, Duration latency);

    /// Recomputes the limits of `targets` targets from the samples, each from the samples of the other targets, when
    /// enough samples are new.
    void refresh(std::size_t targets);

    /// Forgets all samples, for example when target indexes change their meaning.
    void clear();

    /// Latency from which an answer of `target` is slow against the other targets. Empty with too few samples.
    std::optional<Duration> slowLimit(std::size_t target) const;

private:
    struct Sample {
        std::size_t target = 0;
        double logMicroseconds = 0;
    };

    std::optional<Duration> limitWithout(std::size_t target);

    Settings m_settings;
    std::vector<Sample> m_samples; ///< Ring; `m_next` is the oldest once it is full.
    std::size_t m_next = 0;
    std::size_t m_new = 0; ///< Samples since the limits were computed.
    std::vector<std::optional<Duration>> m_limits;
    std::vector<double> m_scratch;
};

} // namespace buckthorncroft::health
