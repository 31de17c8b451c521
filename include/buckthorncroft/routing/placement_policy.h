#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>

namespace buckthorncroft::routing {

/// Decides, for one service on one instance, whether a request asks the placement point before it is sent. Asking costs
/// a message in the own zone and pays off only when slots are scarce. Not safe for concurrent use.
class PlacementPolicy {
public:
    /// An answer that takes longer than this is not waited for; the instance then chooses for itself.
    static constexpr std::chrono::microseconds responseTimeout { 3000 };
    static constexpr double askAbove = 0.70; ///< Share of the service's slots in use from which an instance asks.
    static constexpr double stopBelow = 0.60; ///< Lower, so that instances do not swing between both ways.

    /// `slots`: slots over all targets of the service. `liveInstances`: instances that are seen live, at least 1.
    PlacementPolicy(unsigned slots, unsigned liveInstances);

    /// Applies changes of the configuration or the membership.
    void resize(unsigned slots, unsigned liveInstances);

    /// Reports the attempts of this instance that are running, whenever their number changes. Callers are spread evenly
    /// over the instances, so that the own number times the live instances estimates the use of all slots.
    void setInFlight(unsigned inFlight, base::SteadyTime now);

    /// Reports the share of slots in use over all instances, from a grant or an exchange. It is preferred to the own
    /// estimate for 2 s.
    void recordUtilisation(double utilisation, base::SteadyTime now);

    /// Whether the next request asks. After several unanswered requests the answer is no for a second.
    bool shouldRequestGrant(base::SteadyTime now);

    /// The point answered in time, with a grant or without one.
    void recordResponse();

    /// The point did not answer in time.
    void recordTimeout(base::SteadyTime now);

    /// Share of the service's slots in use, as far as known.
    double utilisation(base::SteadyTime now) const;

private:
    double smoothedInFlight(base::SteadyTime now) const;

    unsigned m_slots;
    unsigned m_instances;
    unsigned m_inFlight = 0;
    double m_smoothed = 0; ///< Own in-flight attempts at `m_smoothedAt`.
    base::SteadyTime m_smoothedAt;
    double m_reported = 0;
    base::SteadyTime m_reportedUntil; ///< `m_reported` is used before this time.
    bool m_asking = false;
    unsigned m_unanswered = 0; ///< In a row.
    base::SteadyTime m_pausedUntil;
};

} // namespace buckthorncroft::routing
