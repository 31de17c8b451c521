#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace buckthorncroft::membership {

/// Identifies a target by the name of its service and by its id.
struct TargetName {
    std::string service;
    std::string target;
    auto operator<=>(const TargetName&) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads it
};

/// An observation that a target is draining.
struct DrainObservation {
    TargetName name;
    std::chrono::milliseconds age { 0 }; ///< Time since the target itself last showed that it is draining.
};

/// Result of a probe of a draining target's health endpoint.
enum class DrainProbeResult {
    StillDraining,
    NotDraining, ///< The target responded without the mark of a draining target.
    NoResponse,
};

/// Timeouts and thresholds of drains that targets announce themselves.
struct DrainSettings {
    /// Observations that reach this age are neither relayed nor accepted. A drain that this instance received only from
    /// peers ends when its latest observation reaches this age.
    std::chrono::milliseconds relayedObservationTtl { 15'000 };
    std::chrono::milliseconds probeInterval { 5000 }; ///< Interval between probes of one draining target.
    /// Health endpoints lag, so a drain that the target announced to this instance ends only when no observation was
    /// made for this long and `minNotDrainingProbes` consecutive probes returned `NotDraining`.
    std::chrono::milliseconds minQuietPeriod { 30'000 };
    unsigned minNotDrainingProbes = 3;
};

/// Tracks the targets that announced that they are draining, either to this instance or to a peer that relayed the
/// observation. A relayed observation carries its age, so instances cannot extend a drain by relaying it to each other.
/// Not safe for concurrent use.
class DrainTracker {
public:
    explicit DrainTracker(DrainSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Records that the target announced its drain in a response to this instance. Returns whether the drain is new.
    bool recordAnnouncement(const TargetName& name, base::SteadyTime now);

    /// Records an observation that another instance relayed. Expired observations and negative ages are ignored.
    /// Returns whether the drain is new.
    bool recordRelayedObservation(const DrainObservation& observation, base::SteadyTime now);

    /// Returns the unexpired observations, with their current ages, for sending to other instances.
    std::vector<DrainObservation> observationsToRelay(base::SteadyTime now) const;

    /// Returns the targets whose health endpoint this instance should probe now: those that announced their drain to
    /// this instance. Each is returned once per `probeInterval`.
    std::vector<TargetName> takeDueProbes(base::SteadyTime now);

    /// Records the result of a probe. Ignored if the target is not draining.
    void recordProbe(const TargetName& name, DrainProbeResult result, base::SteadyTime now);

    /// Removes the drains that have ended and returns their targets.
    std::vector<TargetName> takeEndedDrains(base::SteadyTime now);

    bool isDraining(const TargetName& name) const { return m_entries.count(name) > 0; }

private:
    struct Entry {
        base::SteadyTime lastObservedAt;
        base::SteadyTime lastProbedAt;
        bool announcedDirectly = false; ///< The target announced its drain to this instance, which therefore probes it.
        unsigned notDrainingProbes = 0; ///< Consecutive probes that returned `NotDraining`.
    };

    bool hasEnded(const Entry& entry, base::SteadyTime now) const;

    DrainSettings m_settings;
    std::map<TargetName, Entry> m_entries;
};

} // namespace buckthorncroft::membership
