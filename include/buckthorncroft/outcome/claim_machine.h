#pragma once

#include <buckthorncroft/outcome/claim_service.h>
#include <cstdint>

namespace buckthorncroft::outcome {

/// Content of a claim's row in the platform's table.
struct ClaimRow {
    std::string holder; ///< Incarnation of the instance that made the claim, for people who read the table.
    std::string token; ///< Random; tells the holder's own row from all others.
    std::string requestDigest;
    base::WallTime createdAt;
    std::optional<RecordedResponse> response; ///< Set once the request was completed.
};

/// A claim's row as read from the table.
struct StoredClaim {
    ClaimRow row;
    std::uint64_t version = 0;
};

/// Largest answer that is recorded whole, counting headers and body.
constexpr std::size_t maxRecordedBytes = 16384;

/// Returns `response` as it may be recorded: without its body if it is too large, and without its headers if those
/// alone are too large.
RecordedResponse trimForRecording(const RecordedResponse& response);

/// Durations of a claim's life.
struct ClaimTimes {
    /// How long after the start of the first insert the holder may send. Bounds how late a paused holder can act.
    std::chrono::milliseconds sendPermission { 5000 };
    /// How long a delayed insert may still take effect after the store was seen to answer again.
    std::chrono::milliseconds cleanup { 60000 };
    std::chrono::milliseconds initialBackoff { 500 }; ///< First pause between cleanup steps; doubles with each step.
    std::chrono::milliseconds maxBackoff { 8000 };
    /// When cleanup gives up although the store never answered. The row's retention has ended by then.
    std::chrono::hours cleanupLimit { 24 };
};

/// One thing that the owner of a ClaimMachine must do.
struct ClaimAction {
    enum class Kind {
        Insert, ///< Insert the row with the machine's token, on condition that it is absent.
        Read, ///< Read the row.
        Delete, ///< Delete the row on condition that it has `version`.
        Wait, ///< Call `waitElapsed` at `time`.
        DeliverResult, ///< Pass `result` to the caller. Given exactly once.
    };
    Kind kind = Kind::Read;
    std::uint64_t version = 0;
    base::SteadyTime time;
    ClaimResult result;
};

using ClaimActions = std::vector<ClaimAction>;

/// Decides the steps of one claim, without input or output of its own. The owner carries out the returned actions and
/// reports how each one ended. At most one table call is in progress at a time. Not safe for concurrent use.
///
/// At most one of all machines of a key is told Held while the row of its token exists, and only the holder deletes
/// that row. This relies on conditional writes and on versions that are never used again, not on fresh reads: a stale
/// read can only cause another conditional write, or an answer that sends nothing.
class ClaimMachine {
public:
    /// `token` must be unique among all claims. No insert starts after `deadline`.
    ClaimMachine(std::string requestDigest, std::string token, base::SteadyTime deadline, const ClaimTimes& times = {});

    /// Must be called once, first.
    ClaimActions start(base::SteadyTime now);

    /// Outcomes of an Insert or Delete.
    ClaimActions writeCommitted(base::SteadyTime now);
    ClaimActions writeConflicted(base::SteadyTime now);
    ClaimActions writeOutcomeUnknown(base::SteadyTime now); ///< The write may have taken effect, or may still do so.
    ClaimActions writeRefused(base::SteadyTime now); ///< The write certainly has no effect.

    /// Outcomes of a Read. `row` is empty when there is none.
    ClaimActions rowRead(const std::optional<StoredClaim>& row, base::SteadyTime now);
    ClaimActions readFailed(base::SteadyTime now);

    /// The time of a Wait has come.
    ClaimActions waitElapsed(base::SteadyTime now);

    /// The holder gives up its claim; its request certainly did not run and will not be sent. Ignored unless held.
    ClaimActions release(base::SteadyTime now);

    bool isHeld() const { return m_state == State::Held; }

    /// Whether nothing is left to be done. A held machine has not ended.
    bool hasEnded() const { return m_state == State::Ended; }

    const std::string& token() const { return m_token; }

private:
    enum class State { Idle, Inserting, ReadingBack, Held, Waiting, CleanupReading, Deleting, Ended };

    ClaimActions insert();
    ClaimActions acquired(base::SteadyTime now);
    ClaimActions finish(ClaimResult result, base::SteadyTime now, bool mayHoldRow);
    ClaimActions occupied(const ClaimRow& row, base::SteadyTime now);
    ClaimActions cleanupRead(const std::optional<StoredClaim>& row, base::SteadyTime now);
    ClaimActions end();
    ClaimActions pauseUnlessDone(base::SteadyTime now);
    ClaimActions pause(base::SteadyTime now);

    std::string m_requestDigest;
    std::string m_token;
    base::SteadyTime m_deadline;
    ClaimTimes m_times;
    State m_state = State::Idle;
    base::SteadyTime m_sendBefore;
    unsigned m_inserts = 0;
    bool m_conflicted = false; ///< Whether the latest insert found a row.
    bool m_insertInDoubt = false; ///< Whether an insert may still take effect.
    std::optional<base::SteadyTime> m_cleanupStarted;
    std::optional<base::SteadyTime> m_cleanupUntil; ///< Set when the store answers for the first time.
    std::chrono::milliseconds m_pause;
};

} // namespace buckthorncroft::outcome
