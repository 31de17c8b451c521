#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>

namespace buckthorncroft::limits {

/// Measures the rate of events as an exponentially weighted average: an event `averagingTime` ago counts 1/e of a new
/// one. Not safe for concurrent use.
class RateMeter {
public:
    explicit RateMeter(std::chrono::milliseconds averagingTime);

    void recordEvent(base::SteadyTime now);

    /// Events per second; 0 before the first event. Converges to the true rate within about two averaging times.
    double perSecond(base::SteadyTime now) const;

private:
    double weight(base::SteadyTime now) const;

    std::chrono::duration<double> m_averagingTime;
    double m_events = 0; ///< Weighted number of events at `m_updatedAt`.
    base::SteadyTime m_updatedAt {};
};

} // namespace buckthorncroft::limits
