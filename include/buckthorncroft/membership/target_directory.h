#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace buckthorncroft::membership {

/// What a target states about itself in the registry.
struct TargetRecord {
    std::string id;
    std::string service;
    std::string host; ///< IP number.
    std::uint16_t port = 0;
    std::string zone; ///< Availability zone.
    unsigned slots = 1; ///< Requests that it runs at the same time.
    bool draining = false; ///< It leaves and takes no new work.
    std::chrono::milliseconds coldRemaining { 0 }; ///< How much longer it is slow after its start.
    std::uint64_t sequence = 0; ///< Raised by the target with each heartbeat of one lifetime.
    std::int64_t startedAtUnixMs = 0; ///< Start of the lifetime, in milliseconds of Unix time.
};

/// A target as this instance knows it.
struct DirectoryEntry {
    TargetRecord record;
    base::SteadyTime firstSeenAt; ///< When this lifetime was first seen.
    base::SteadyTime coldUntil;
};

/// All known targets by service, then by id. Immutable, so that threads may share it.
struct TargetSet {
    std::uint64_t revision = 0; ///< Raised with each change.
    std::map<std::string, std::map<std::string, DirectoryEntry>> services;

    /// Returns the target, or null.
    const DirectoryEntry* find(const std::string& service, const std::string& id) const;
};

/// Live targets as the registry lists them. A state machine: rows and times in, sets of targets out. Used by one
/// thread.
///
/// While the registry is away its entries may lapse although the targets live. Removals that are read shortly after an
/// outage are therefore held back for a while, in which a live target registers again.
class TargetDirectory {
public:
    /// Takes one entry as listed now. Returns whether something changed that routing must know.
    bool upsert(const TargetRecord& record, base::SteadyTime now);

    /// The entry is no longer listed. Returns whether the target is gone at once.
    bool remove(const std::string& id, base::SteadyTime now);

    /// Takes a whole listing; targets that are not in it are removed.
    bool replaceAll(const std::vector<TargetRecord>& records, base::SteadyTime now);

    /// The registry does not answer. Call with each failed read.
    void recordFailedRead(base::SteadyTime now) { m_lastLost = now; }

    /// Removes the targets whose removal was held back long enough, and returns their ids.
    std::vector<std::string> applyDueRemovals(base::SteadyTime now);

    /// The current set. The same object is returned until something changes.
    std::shared_ptr<const TargetSet> targets() const { return m_targets; }

private:
    struct Known {
        std::string service;
        std::uint64_t sequence = 0; ///< Newest; kept here because published sets are immutable.
    };

    const DirectoryEntry* find(const std::string& id) const;
    bool erase(const std::string& id);
    TargetSet& edit();

    std::shared_ptr<TargetSet> m_targets = std::make_shared<TargetSet>();
    std::map<std::string, Known> m_known; ///< By target id.
    std::map<std::string, base::SteadyTime> m_removals; ///< Held back removals: target id and time of removal.
    base::SteadyTime m_lastLost {};
};

} // namespace buckthorncroft::membership
