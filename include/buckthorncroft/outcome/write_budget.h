#pragma once

#include <buckthorncroft/base/clock.h>

namespace buckthorncroft::outcome {

/// Bounds the writes of one instance to its share of what the platform's table accepts from the fleet (a token
/// bucket). Not safe for concurrent use.
class WriteBudget {
public:
    /// `fleetPerSecond`: writes of all instances together. The bucket holds `burst` of the instance's share.
    explicit WriteBudget(double fleetPerSecond = 300, std::chrono::seconds burst = std::chrono::seconds(2));

    /// `instances`: live instances including this one, at least 1.
    void setLiveInstances(unsigned instances);

    /// Takes `writes` tokens, or none and returns false.
    bool tryTake(unsigned writes, base::SteadyTime now);

private:
    double share() const { return m_fleetPerSecond / m_instances; }
    double capacity() const;

    double m_fleetPerSecond;
    std::chrono::seconds m_burst;
    unsigned m_instances = 1;
    double m_tokens = 0;
    base::SteadyTime m_updated;
    bool m_started = false;
};

} // namespace buckthorncroft::outcome
