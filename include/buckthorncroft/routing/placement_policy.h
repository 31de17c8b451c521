#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>

namespace buckthorncroft::routing {

/// Decides, for one service on one instance, whether to request a grant from the placement point before sending a
/// request. A grant costs a message exchange in the own zone and is useful only when slots are scarce. Not safe for
/// concurrent use.
class PlacementPolicy {
public:
    /// Maximum wait for a response of the placement point; afterwards the instance chooses a target by itself.
    static constexpr std::chrono::microseconds responseTimeout { 3000 };
    /// Grants are requested when more than this fraction of the service's slots is in use.
    static constexpr double requestAboveUtilisation = 0.70;
    /// Grants are no longer requested below this fraction. It is lower, so that instances do not oscillate.
    static constexpr double stopBelowUtilisation = 0.60;

    /// `slots`: total slots of all targets of the service. `liveInstances`: number of live instances; 0 counts as 1.
    PlacementPolicy(unsigned slots, unsigned liveInstances);

    /// Updates the capacity after a change of the configuration or the membership.
    void resize(unsigned slots, unsigned liveInstances);

    /// Sets the number of attempts of this instance that are in flight; call it with each change. Callers are spread
    /// evenly over the instances, so this number times the live instances estimates the slots in use.
    void setInFlight(unsigned inFlight, base::SteadyTime now);

    /// Records the fraction of slots in use over all instances, as received with a grant or from a peer. It replaces
    /// the estimate of this instance for 2 s.
    void recordUtilisation(double utilisation, base::SteadyTime now);

    /// Whether to request a grant for the next request. False for 1 s after 3 timeouts in a row.
    bool shouldRequestGrant(base::SteadyTime now);

    /// Records that the point responded in time, with a grant or without one.
    void recordResponse();

    /// Records that the point did not respond in time.
    void recordTimeout(base::SteadyTime now);

    /// Estimated fraction of the service's slots in use.
    double utilisation(base::SteadyTime now) const;

private:
    double smoothedInFlight(base::SteadyTime now) const;

    unsigned m_slots;
    unsigned m_liveInstances;
    unsigned m_inFlight = 0;
    double m_smoothedInFlight = 0; ///< Smoothed in-flight attempts of this instance at `m_smoothedAt`.
    base::SteadyTime m_smoothedAt;
    double m_recordedUtilisation = 0;
    base::SteadyTime m_recordedUntil; ///< `m_recordedUtilisation` is valid before this time.
    bool m_isRequesting = false;
    unsigned m_consecutiveTimeouts = 0;
    base::SteadyTime m_pausedUntil;
};

} // namespace buckthorncroft::routing
