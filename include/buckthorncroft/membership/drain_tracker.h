#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace buckthorncroft::membership {

/// A target of a service, by name and id.
struct TargetName {
    std::string service;
    std::string target;
    auto operator<=>(const TargetName&) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads it
};

/// A target that is leaving, with the time since its own latest sign of it.
struct DrainSign {
    TargetName name;
    std::chrono::milliseconds age { 0 };
};

/// What a probe of a draining target's health endpoint showed.
enum class DrainProbeResult {
    StillDraining,
    NotDraining, ///< Answered without saying that it is leaving.
    NoResponse,
};

/// Timeouts of drains that targets announce themselves.
struct DrainSettings {
    /// Drains heard from peers end this long after the target's own latest sign, unless it is renewed.
    std::chrono::milliseconds peerLifetime { 15'000 };
    std::chrono::milliseconds probeInterval { 5000 };
    /// Health endpoints lag, so a target counts as back only after this time without a sign, and after several clean
    /// probes in a row.
    std::chrono::milliseconds minQuiet { 30'000 };
    unsigned cleanProbes = 3;
};

/// Tracks which targets are leaving by their own announcement, seen by this instance or heard from others. Ages travel
/// with the messages, so that instances cannot keep a drain alive by telling each other. Not safe for concurrent use.
class DrainTracker {
public:
    explicit DrainTracker(DrainSettings settings = {})
        : m_settings(settings)
    {
    }

    /// The target itself said in an answer that it is leaving. Returns whether this is news.
    bool recordAnnouncement(const TargetName& name, base::SteadyTime now);

    /// Another instance passed the sign on. Returns whether this is news.
    bool recordRelayedObservation(const DrainSign& sign, base::SteadyTime now);

    /// Signs to pass on.
    std::vector<DrainSign> observationsToRelay(base::SteadyTime now) const;

    /// Targets whose health endpoint this instance should ask now; each is returned once per probe interval.
    std::vector<TargetName> takeDueProbes(base::SteadyTime now);

    /// Takes the result of a probe.
    void recordProbe(const TargetName& name, DrainProbeResult result, base::SteadyTime now);

    /// Removes and returns the targets that are no longer leaving.
    std::vector<TargetName> takeEndedDrains(base::SteadyTime now);

    bool isDraining(const TargetName& name) const { return m_entries.count(name) > 0; }

private:
    struct Entry {
        base::SteadyTime lastSign;
        base::SteadyTime lastProbe;
        bool firstHand = false; ///< This instance saw the announcement and probes for its end.
        unsigned clean = 0; ///< Clean probes in a row.
    };

    bool hasEnded(const Entry& entry, base::SteadyTime now) const;

    DrainSettings m_settings;
    std::map<TargetName, Entry> m_entries;
};

} // namespace buckthorncroft::membership
