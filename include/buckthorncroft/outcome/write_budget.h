#pragma once

#include <buckthorncroft/base/clock.h>

namespace buckthorncroft::outcome {

/// Token bucket that limits the writes of one instance to an equal share of the rate that the platform's table accepts
/// from the whole fleet. Not safe for concurrent use.
class WriteBudget {
public:
    /// `fleetWritesPerSecond` is the rate of all instances together. The bucket holds the writes that the instance
    /// may make within `burst`, but at least the two that one claim takes.
    explicit WriteBudget(double fleetWritesPerSecond = 300, std::chrono::seconds burst = std::chrono::seconds(2));

    /// Sets the number of live instances, this one included, among which the rate is divided. 0 counts as 1.
    void setLiveInstances(unsigned instances);

    /// Takes `writes` tokens and returns true, or takes none and returns false.
    bool tryTake(unsigned writes, base::SteadyTime now);

private:
    double writesPerSecond() const { return m_fleetWritesPerSecond / m_liveInstances; }
    double capacity() const;

    double m_fleetWritesPerSecond;
    std::chrono::seconds m_burst;
    unsigned m_liveInstances = 1;
    double m_tokens = 0;
    base::SteadyTime m_updatedAt;
    bool m_started = false;
};

} // namespace buckthorncroft::outcome
