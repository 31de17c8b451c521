#pragma once

#include <buckthorncroft/outcome/claim_service.h>
#include <cstdint>

namespace buckthorncroft::outcome {

/// Content of a claim's row in the platform's table.
struct ClaimRow {
    std::string holder; ///< Incarnation of the instance that made the claim. Only for operators who read the table.
    std::string token; ///< Random. Distinguishes the holder's own row from those of all other claims.
    std::string requestDigest;
    base::WallTime createdAt;
    std::optional<RecordedResponse> response; ///< Set once the request was completed.
};

/// A claim's row as read from the table, with the version that conditional writes refer to.
struct StoredClaim {
    ClaimRow row;
    std::uint64_t version = 0;
};

/// Size of headers and body together up to which a response is recorded whole.
constexpr std::size_t maxRecordedBytes = 16384;

/// Returns `response` without its body if it exceeds `maxRecordedBytes`, and also without its headers if these alone
/// exceed it.
RecordedResponse trimForRecording(const RecordedResponse& response);

/// Time limits and backoff of a claim.
struct ClaimTimes {
    /// How long after the start of the claim the holder may start to send its request. Bounds how late an instance that
    /// was paused can still act as holder.
    std::chrono::milliseconds maxSendDelay { 5000 };
    /// How long the cleanup continues after the store first responded to it. A delayed insert may take effect within
    /// this time.
    std::chrono::milliseconds cleanupPeriod { 60000 };
    std::chrono::milliseconds initialBackoff { 500 }; ///< First wait between cleanup steps; doubles with each step.
    std::chrono::milliseconds maxBackoff { 8000 };
    /// The cleanup ends after this time even if the store never responded. The row's retention has ended by then.
    std::chrono::hours cleanupTimeout { 24 };
};

/// An action that the owner of a ClaimMachine must carry out.
struct ClaimAction {
    enum class Kind {
        Insert, ///< Insert a row with the machine's token on condition that no row exists.
        Read, ///< Read the row.
        Delete, ///< Delete the row on condition that it has `version`.
        Wait, ///< Call `waitElapsed` at `time`.
        DeliverResult, ///< Pass `result` to the caller. Returned exactly once per claim.
    };
    Kind kind = Kind::Read;
    std::uint64_t version = 0; ///< Set for Delete.
    base::SteadyTime time; ///< Set for Wait.
    ClaimResult result; ///< Set for DeliverResult.
};

using ClaimActions = std::vector<ClaimAction>;

/// State machine of one claim, without I/O. The owner carries out the returned actions in order and reports the result
/// of each one. At most one table call is in progress at a time. Not safe for concurrent use.
///
/// Of all machines for one key, at most one gets Held while the row with its token exists, and only that machine
/// deletes the row. This relies on conditional writes and on versions that are never reused, but not on fresh reads: a
/// stale read can only cause another conditional write, or a result with which nothing is sent.
class ClaimMachine {
public:
    /// `token` must be unique among all claims. No insert is started at or after `deadline`.
    ClaimMachine(std::string requestDigest, std::string token, base::SteadyTime deadline, const ClaimTimes& times = {});

    /// Starts the claim. Must be called once, before any other function.
    ClaimActions start(base::SteadyTime now);

    /// Report the outcome of an Insert or Delete.
    ClaimActions writeCommitted(base::SteadyTime now); ///< The write took effect.
    ClaimActions writeConflicted(base::SteadyTime now); ///< The write's condition did not hold.
    ClaimActions writeOutcomeUnknown(base::SteadyTime now); ///< The write may have taken effect, or may still do so.
    ClaimActions writeRefused(base::SteadyTime now); ///< The write certainly has no effect.

    /// Report the outcome of a Read. `row` is empty if no row exists.
    ClaimActions rowRead(const std::optional<StoredClaim>& row, base::SteadyTime now);
    ClaimActions readFailed(base::SteadyTime now);

    /// Reports that the time of a Wait was reached.
    ClaimActions waitElapsed(base::SteadyTime now);

    /// Gives up a held claim whose request certainly did not run and will not be sent. Ignored unless the claim is
    /// held.
    ClaimActions release(base::SteadyTime now);

    bool isHeld() const { return m_state == State::Held; }

    /// Whether the machine needs no further action. A machine that holds its claim has not ended.
    bool hasEnded() const { return m_state == State::Ended; }

    const std::string& token() const { return m_token; }

private:
    enum class State { Idle, Inserting, ReadingBack, Held, Waiting, CleanupReading, Deleting, Ended };

    ClaimActions insert();
    ClaimActions resolveOwnRow(base::SteadyTime now);
    ClaimActions finish(ClaimResult result, base::SteadyTime now, bool rowMayExist);
    ClaimActions resolveForeignRow(const ClaimRow& row, base::SteadyTime now);
    ClaimActions resolveCleanupRead(const std::optional<StoredClaim>& row, base::SteadyTime now);
    ClaimActions endCleanup();
    ClaimActions scheduleCleanupUnlessDone(base::SteadyTime now);
    ClaimActions scheduleCleanup(base::SteadyTime now);

    std::string m_requestDigest;
    std::string m_token;
    base::SteadyTime m_deadline;
    ClaimTimes m_times;
    State m_state = State::Idle;
    base::SteadyTime m_sendBefore;
    unsigned m_insertCount = 0;
    bool m_insertConflicted = false; ///< The latest insert found an existing row.
    bool m_insertMayTakeEffect = false; ///< The outcome of an insert is unknown, so it may take effect late.
    std::optional<base::SteadyTime> m_cleanupStartedAt;
    std::optional<base::SteadyTime> m_cleanupDeadline; ///< Set when the store first responds to the cleanup.
    std::chrono::milliseconds m_backoff;
};

} // namespace buckthorncroft::outcome
