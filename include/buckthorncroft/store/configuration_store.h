#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/config/model.h>
#include <buckthorncroft/store/platform.h>
#include <string>
#include <vector>

namespace buckthorncroft::store {

/// A change of one service, as submitted by an operator.
struct Submission {
    config::Service service; ///< New content of the service; its `version` is ignored.
    std::uint64_t baseVersion = 0; ///< Version that the operator edited; 0 for a new service.
    std::string operationId; ///< Unique to this change; 1 to 100 letters, digits, `-`, `_` or `.`.
    std::string operatorName;
    std::string reason;
};

/// Identifies an accepted change.
struct Acceptance {
    std::uint64_t version = 0; ///< New version of the service.
    std::uint64_t change = 0; ///< Change number of the region's configuration since this change.
};

/// What the store knows about an operation.
enum class OperationState {
    Accepted,
    Refused, ///< The operation was not accepted and can never be.
    Unknown, ///< The store has no row for it. A submit whose response was lost may still take effect.
};

struct OperationStatus {
    OperationState state = OperationState::Unknown;
    Acceptance acceptance; ///< Set when Accepted.
};

/// One past or current version of a service.
struct HistoryEntry {
    std::uint64_t version = 0;
    std::uint64_t change = 0; ///< Change number of the region's configuration since this version.
    std::string operationId;
    std::string operatorName;
    std::string reason;
    base::WallTime acceptedAt;
    config::Service service;
};

/// A record whose digest or content is not valid. It must not be applied.
struct DamagedRecord {
    std::string key; ///< Key of the row in the table.
    std::string service; ///< Name of the service that the record belongs to.
    std::string reason;
};

/// The region's configuration at one change number. Services whose record is damaged are missing from `configuration`
/// and listed in `damaged`; an instance keeps the records that it already has for them.
struct StoredConfiguration {
    config::Configuration configuration;
    std::vector<DamagedRecord> damaged;
};

/// Versions of one service.
struct StoredHistory {
    std::vector<HistoryEntry> entries; ///< Newest first.
    std::vector<DamagedRecord> damaged;
};

/// Stores the region's configuration in the platform's table, which is the only authority for it.
///
/// Each accepted change is one transaction that writes the service's record, the change number, the index of all
/// versions, a history row and the operation's row. The operation's row must be absent, so that one operation id takes
/// effect at most once even if its transaction is sent again. Calls block until `timeout`, plus one platform call. Safe
/// for concurrent use.
///
/// Errors of all calls: `Unavailable` (nothing changed), `Malformed` (a row that the call depends on is damaged; the
/// message names its key, unless the row has a valid digest but an unexpected structure).
class ConfigurationStore {
public:
    /// `platform` and `clock` must outlive the store.
    ConfigurationStore(Platform& platform, const base::Clock& clock);

    /// Submits a change. Submitting the same change again with the same operation id returns the first acceptance.
    /// Further errors: `InvalidArgument` (the message lists the findings, or the operation id was used for another
    /// change), `Conflict` (another change was accepted first, in which case the message states the current version and
    /// what changed since the base version; or the operation was cancelled), `OutcomeUnknown` (submit again with the
    /// same operation id, or call `cancel`).
    base::Result<Acceptance> submit(const Submission& submission, std::chrono::milliseconds timeout);

    /// Submits the content of `version` as a new version. Only the name of `submission.service` is used. Errors as for
    /// `submit`, and `NotFound` for a version that is not in the history.
    base::Result<Acceptance> rollback(Submission submission, std::uint64_t version, std::chrono::milliseconds timeout);

    /// Returns the recorded state of an operation. Without a row the state is Unknown, never Refused.
    base::Result<OperationStatus> operation(const std::string& operationId, std::chrono::milliseconds timeout);

    /// Decides an operation: returns Accepted if it was accepted; otherwise prevents it from ever being accepted and
    /// returns Refused. Further error: `OutcomeUnknown` (call again).
    base::Result<OperationStatus> cancel(const std::string& operationId, std::chrono::milliseconds timeout);

    /// Returns the newest versions of a service, at most `limit`. The result may be stale.
    base::Result<StoredHistory> history(
        const std::string& service, std::size_t limit, std::chrono::milliseconds timeout);

    /// Returns the region's change number, for polling; 0 before the first change.
    base::Result<std::uint64_t> readChangeNumber(std::chrono::milliseconds timeout);

    /// Returns all services as of one change number. Detects stale scans and concurrent changes by comparing each
    /// record with the index, and reads again. Returns `Unavailable` if changes keep interfering.
    base::Result<StoredConfiguration> readConfiguration(std::chrono::milliseconds timeout);

private:
    Platform& m_platform;
    const base::Clock& m_clock;
};

} // namespace buckthorncroft::store
