#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/membership/registry_outage.h>
#include <buckthorncroft/membership/target_record.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthorncroft::membership {

/// A target's record with the times at which this instance observed it.
struct DirectoryEntry {
    TargetRecord record;
    base::SteadyTime firstSeenAt; ///< When this instance first read a record of this lifetime.
    base::SteadyTime coldUntil; ///< Time until which the target is slow after its start.
};

/// All targets by service, then by id. Immutable once published, so threads may share it.
struct TargetSet {
    std::uint64_t revision = 0; ///< Increased with each change.
    std::map<std::string, std::map<std::string, DirectoryEntry>> services;

    /// Returns the target, or null if the set does not contain it.
    const DirectoryEntry* find(const std::string& service, const std::string& id) const;
};

/// A lifetime of a target that announced that it leaves.
struct LeavingTarget {
    std::string id;
    std::int64_t startedAtUnixMs = 0; ///< Start of the lifetime.
};

/// The targets that the registry lists. Performs no I/O: the owner passes in records and times, and reads sets of
/// targets. Not safe for concurrent use.
///
/// During an outage of the registry, entries may expire although their targets run. Removals that are read shortly
/// after an outage are therefore delayed until running targets have registered again.
class TargetDirectory {
public:
    /// `outage` must outlive the directory.
    explicit TargetDirectory(const RegistryOutageDetector& outage)
        : m_outage(outage)
    {
    }

    /// Adds or updates a target that the registry lists at `now`. Records older than the stored one are ignored.
    /// Returns whether anything changed that affects routing.
    bool upsert(const TargetRecord& record, base::SteadyTime now);

    /// Handles an entry that the registry no longer lists. Returns true if the target was removed, and false if its
    /// removal is delayed or it was unknown.
    bool remove(const std::string& id, base::SteadyTime now);

    /// Applies a complete listing: updates its targets, and handles all others as in `remove`. Returns whether anything
    /// changed that affects routing.
    bool replaceAll(const std::vector<TargetRecord>& records, base::SteadyTime now);

    /// Removes the targets whose delayed removal is due, and returns their ids.
    std::vector<std::string> applyDueRemovals(base::SteadyTime now);

    /// Returns when the next delayed removal is due, if there is any.
    std::optional<base::SteadyTime> nextRemovalAt() const;

    /// Whether the removal of the target is delayed.
    bool isRemovalDelayed(const std::string& id) const { return m_pendingRemovals.contains(id); }

    /// Records that a target announced in a response that it leaves. It stays draining for the rest of its lifetime,
    /// whatever the registry lists. An announcement of an earlier lifetime is ignored. Returns whether anything changed
    /// that affects routing.
    bool markLeaving(const LeavingTarget& target, base::SteadyTime now);

    /// How long the announcement of a leaving target is kept. Longer than a target serves after it, and than its entry
    /// can remain in the registry.
    static constexpr std::chrono::minutes leavingTtl { 10 };

    /// Returns the targets that `markLeaving` recorded in the last `maxAge`, which is at most `leavingTtl`.
    std::vector<LeavingTarget> leavingTargets(base::SteadyTime now, std::chrono::milliseconds maxAge = leavingTtl);

    /// Returns the current set. The same object is returned until something changes.
    std::shared_ptr<const TargetSet> targets() const { return m_targets; }

private:
    struct KnownTarget {
        std::string service;
        std::uint64_t sequence = 0; ///< Latest number; kept here because published sets are immutable.
    };

    struct Announcement {
        std::int64_t startedAtUnixMs = 0; ///< Start of the lifetime that leaves.
        base::SteadyTime announcedAt;
    };

    const DirectoryEntry* find(const std::string& id) const;
    bool hasAnnouncedLeaving(const TargetRecord& record) const;
    void forgetOldAnnouncements(base::SteadyTime now);
    bool erase(const std::string& id);
    TargetSet& copyForUpdate();

    const RegistryOutageDetector& m_outage;
    std::shared_ptr<TargetSet> m_targets = std::make_shared<TargetSet>();
    std::map<std::string, KnownTarget> m_knownTargets; ///< By target id.
    std::map<std::string, base::SteadyTime> m_pendingRemovals; ///< Delayed removals: when each is due, by target id.
    std::map<std::string, Announcement> m_leaving; ///< Targets that announced that they leave, by id.
};

} // namespace buckthorncroft::membership
