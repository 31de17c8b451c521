#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/config/model.h>
#include <buckthorncroft/store/platform.h>
#include <string>
#include <vector>

namespace buckthorncroft::store {

/// One operator's change of one service.
struct Submission {
    config::Service service; ///< New content; its version is ignored.
    std::uint64_t baseVersion = 0; ///< Version that the operator edited; 0 for a new service.
    std::string operationId; ///< Unique to this change; 1 to 100 letters, digits, `-`, `_` or `.`.
    std::string operatorName;
    std::string reason;
};

/// An accepted change.
struct Acceptance {
    std::uint64_t version = 0; ///< New version of the service's record.
    std::uint64_t change = 0; ///< Change number of the region.
};

enum class OperationState {
    Accepted,
    Refused, ///< Certainly not accepted, now and later.
    Unknown, ///< No trace of it; a submit whose answer was lost may still take effect.
};

struct OperationStatus {
    OperationState state = OperationState::Unknown;
    Acceptance acceptance; ///< Set when Accepted.
};

/// One past or current version of a service.
struct HistoryEntry {
    std::uint64_t version = 0;
    std::uint64_t change = 0;
    std::string operationId;
    std::string operatorName;
    std::string reason;
    base::WallTime acceptedAt;
    config::Service service;
};

/// A record whose digest or content is not valid. It must not be applied.
struct DamagedRecord {
    std::string key; ///< Key of the row in the table.
    std::string service; ///< Name of the service it belongs to.
    std::string reason;
};

/// The region's configuration at one change number. Services whose record is damaged are missing from `configuration`
/// and listed in `damaged`; an instance keeps what it has for them.
struct StoredConfiguration {
    config::Configuration configuration;
    std::vector<DamagedRecord> damaged;
};

struct StoredHistory {
    std::vector<HistoryEntry> entries; ///< Newest first.
    std::vector<DamagedRecord> damaged;
};

/// Keeps the region's configuration in the platform's table, which is the only authority for it.
///
/// Each accepted change is one transaction over the service's record, the change number, the index of all versions, the
/// history and the operation. The operation's row must be absent, so one operation id takes effect at most once even
/// if its transaction is sent again. Calls block until `timeout`, plus one platform call. Safe for concurrent use.
///
/// Errors of all calls: `Unavailable` (nothing changed), `Malformed` (a row that the call depends on is damaged; the
/// message names its key).
class ConfigurationStore {
public:
    /// `platform` and `clock` must outlive the store.
    ConfigurationStore(Platform& platform, const base::Clock& clock);

    /// Submits a change. Submitting the same change with the same operation id again returns the first acceptance.
    /// Further errors: `InvalidArgument` (the findings, or an operation id that was used for another change),
    /// `Conflict` (another change was accepted first; the message states the current version and what changed since
    /// the base version), `OutcomeUnknown` (not known yet; submit again with the same operation id, or `cancel`).
    base::Result<Acceptance> submit(const Submission& submission, std::chrono::milliseconds timeout);

    /// Submits the content of `version` as a new version. `submission.service` needs its name only. Errors as for
    /// `submit`, and `NotFound` for a version that is not in the history.
    base::Result<Acceptance> rollback(Submission submission, std::uint64_t version, std::chrono::milliseconds timeout);

    /// What became of an operation. Never guesses: without a row the state is Unknown.
    base::Result<OperationStatus> operation(const std::string& operationId, std::chrono::milliseconds timeout);

    /// Settles an operation: returns Accepted if it was, and otherwise makes sure that it can never be and returns
    /// Refused. Further error: `OutcomeUnknown` (try again).
    base::Result<OperationStatus> cancel(const std::string& operationId, std::chrono::milliseconds timeout);

    /// The newest versions of a service, at most `limit`.
    base::Result<StoredHistory> history(
        const std::string& service, std::size_t limit, std::chrono::milliseconds timeout);

    /// The region's change number, for polling; 0 before the first change.
    base::Result<std::uint64_t> readChangeNumber(std::chrono::milliseconds timeout);

    /// All services as of one change number. Stale scans and concurrent changes are detected by comparing each record
    /// with the index, and read again; `Unavailable` if they do not end.
    base::Result<StoredConfiguration> readConfiguration(std::chrono::milliseconds timeout);

private:
    Platform& m_platform;
    const base::Clock& m_clock;
};

} // namespace buckthorncroft::store
