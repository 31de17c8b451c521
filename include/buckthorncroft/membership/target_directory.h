#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace buckthorncroft::membership {

/// An entry that a target publishes about itself in the registry.
struct TargetRecord {
    std::string id;
    std::string service;
    std::string host; ///< IP address.
    std::uint16_t port = 0;
    std::string zone; ///< Availability zone.
    unsigned slots = 1; ///< Requests that the target runs at the same time.
    bool draining = false; ///< The target leaves and accepts no new requests.
    std::chrono::milliseconds coldRemaining { 0 }; ///< Remaining time in which the target is slow after its start.
    std::uint64_t sequence = 0; ///< Increased by the target with each heartbeat of one lifetime.
    std::int64_t startedAtUnixMs = 0; ///< Start of the lifetime, in milliseconds of Unix time.
};

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

/// The targets that the registry lists. Performs no I/O: the owner passes in records and times, and reads sets of
/// targets. Not safe for concurrent use.
///
/// During an outage of the registry, entries may expire although their targets run. Removals that are read shortly
/// after an outage are therefore delayed, so that running targets can register again.
class TargetDirectory {
public:
    /// Adds or updates a target that the registry lists at `now`. Records older than the stored one are ignored.
    /// Returns whether anything changed that affects routing.
    bool upsert(const TargetRecord& record, base::SteadyTime now);

    /// Handles an entry that the registry no longer lists. Returns true if the target was removed, and false if its
    /// removal is delayed or it was unknown.
    bool remove(const std::string& id, base::SteadyTime now);

    /// Applies a complete listing: updates its targets, and handles all others as in `remove`. Returns whether anything
    /// changed that affects routing.
    bool replaceAll(const std::vector<TargetRecord>& records, base::SteadyTime now);

    /// Records that a read of the registry failed at `now`. Must be called for each failed read.
    void recordFailedRead(base::SteadyTime now) { m_lastFailedReadAt = now; }

    /// Removes the targets whose delayed removal is due, and returns their ids.
    std::vector<std::string> applyDueRemovals(base::SteadyTime now);

    /// Returns the current set. The same object is returned until something changes.
    std::shared_ptr<const TargetSet> targets() const { return m_targets; }

private:
    struct KnownTarget {
        std::string service;
        std::uint64_t sequence = 0; ///< Latest number; kept here because published sets are immutable.
    };

    const DirectoryEntry* find(const std::string& id) const;
    bool erase(const std::string& id);
    TargetSet& copyForUpdate();

    std::shared_ptr<TargetSet> m_targets = std::make_shared<TargetSet>();
    std::map<std::string, KnownTarget> m_knownTargets; ///< By target id.
    std::map<std::string, base::SteadyTime> m_pendingRemovals; ///< Delayed removals: when each was read, by target id.
    base::SteadyTime m_lastFailedReadAt {};
};

} // namespace buckthorncroft::membership
