#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/store/platform.h>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>

namespace buckthorncroft::store {

/// Simulated faults of the platform's service, which can be changed at run time.
struct PlatformFaults {
    bool down = false; ///< Refuses every call with `Unavailable`.
    bool readOnly = false; ///< Refuses every write with `Unavailable`.
    /// Duration of each call. A call that takes longer than its timeout ends with `Timeout`; a write still takes
    /// effect.
    std::chrono::milliseconds callDelay { 0 };
    unsigned responsesToLose = 0; ///< How many of the next commits take effect but return `OutcomeUnknown`.
    /// Probability with which a commit that takes effect returns `OutcomeUnknown`.
    double responseLossProbability = 0;
    /// How many of the next commits return `Timeout` and are applied only after `commitDelay`.
    unsigned commitsToDelay = 0;
    std::chrono::milliseconds commitDelay { 0 };
    /// Age of the state that scans and non-linearizable reads return, at most 60 s.
    std::chrono::milliseconds readStaleness { 0 };
};

/// Fixed limits and delays of the simulated service.
struct PlatformLimits {
    unsigned writesPerSecond = 0; ///< 0: unlimited. Calls above the rate are refused with `LimitExceeded`.
    unsigned readsPerSecond = 0; ///< As `writesPerSecond`, for reads.
    std::chrono::milliseconds listLag { 0 }; ///< Delay until a change of the instance list becomes visible.
    /// Time without a heartbeat after which an instance leaves the list.
    std::chrono::milliseconds heartbeatExpiry { 10000 };
};

/// Simulates the platform's service in memory, with faults. The stand-in program serves it over HTTP; tests use it
/// directly.
///
/// Takes the time from `clock` and never sleeps, so that tests can use it with a virtual clock: a call with `callDelay`
/// returns at once, with `Timeout` if the delay exceeds the call's timeout. Safe for concurrent use if `clock` is.
class MemoryPlatform final : public Platform {
public:
    /// `clock` must outlive the platform. `seed` determines which responses are lost by `responseLossProbability`.
    explicit MemoryPlatform(const base::Clock& clock, const PlatformLimits& limits = {}, std::uint64_t seed = 1);

    void setFaults(const PlatformFaults& faults);
    PlatformFaults faults() const;

    /// Registers an instance or renews its entry in the instance list. Returns `Unavailable` while the platform is
    /// down; `timeout` is ignored.
    base::Result<void> heartbeat(const ListedInstance& instance, std::chrono::milliseconds timeout);

    base::Result<Row> read(const std::string& key, bool linearizable, std::chrono::milliseconds timeout) override;
    base::Result<std::vector<Row>> scan(
        const std::string& prefix, std::size_t limit, std::chrono::milliseconds timeout) override;
    base::Result<void> commit(const std::vector<Write>& writes, std::chrono::milliseconds timeout) override;
    base::Result<void> putObject(
        const std::string& name, const std::string& content, std::chrono::milliseconds timeout) override;
    base::Result<std::string> getObject(const std::string& name, std::chrono::milliseconds timeout) override;
    base::Result<std::vector<ListedInstance>> listInstances(std::chrono::milliseconds timeout) override;

    /// Returns the number of commits that took effect.
    std::uint64_t commitCount() const;

private:
    /// State of a row from `since` on. Past states are kept for stale reads.
    struct RowState {
        base::SteadyTime since;
        std::optional<std::string> value;
        std::uint64_t version = 0;
    };
    /// A commit that returned `Timeout` and takes effect at `dueAt`, if its conditions hold then.
    struct DelayedCommit {
        base::SteadyTime dueAt;
        std::vector<Write> writes;
    };
    /// Content of an instance's list entry from `since` on.
    struct EntryState {
        base::SteadyTime since;
        ListedInstance entry;
    };
    /// An instance that has sent heartbeats. Past states are kept because the list lags.
    struct Registration {
        base::SteadyTime lastHeartbeatAt;
        std::deque<EntryState> states;
    };
    struct TokenBucket {
        double tokens = 0;
        base::SteadyTime updatedAt;
    };

    /// Applies the delayed commits that are due and takes a token from the rate limit. Returns the error with which the
    /// call ends without effect, if any.
    std::optional<base::Error> checkCall(bool write, std::chrono::milliseconds timeout);
    bool takeToken(TokenBucket& bucket, unsigned perSecond) const;
    void applyDelayedCommits();
    /// Applies a transaction. Returns false if one of its conditions does not hold.
    bool apply(const std::vector<Write>& writes);
    const RowState* stateAt(const std::deque<RowState>& states, base::SteadyTime time) const;
    /// Returns the time as of which a read returns the rows.
    base::SteadyTime readTime(bool linearizable) const;

    const base::Clock& m_clock;
    PlatformLimits m_limits;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    PlatformFaults m_faults;
    std::map<std::string, std::deque<RowState>> m_rows;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, Registration> m_registrations;
    std::vector<DelayedCommit> m_delayedCommits;
    /// Highest version of the deleted rows that were removed from memory; new rows get a higher one.
    std::uint64_t m_maxRemovedVersion = 0;
    std::uint64_t m_commitCount = 0;
    TokenBucket m_writeBucket;
    TokenBucket m_readBucket;
};

} // namespace buckthorncroft::store
