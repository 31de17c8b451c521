#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/store/platform.h>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>

namespace buckthorncroft::store {

/// Faults of the platform's service that can be switched at run time.
struct PlatformFaults {
    bool down = false; ///< Every call is refused with `Unavailable`.
    bool readOnly = false; ///< Every write is refused with `Unavailable`.
    std::chrono::milliseconds callDelay {
        0
    }; ///< Added to each call. A call slower than its timeout ends with `Timeout`.
    unsigned loseResponses = 0; ///< The next commits that take effect and are answered with `OutcomeUnknown`.
    double loseShare = 0; ///< Share of commits that take effect and are answered with `OutcomeUnknown`, 0 to 1.
    unsigned delayCommits = 0; ///< The next commits that are answered with `Timeout` and run only after `commitDelay`.
    std::chrono::milliseconds commitDelay { 0 };
    std::chrono::milliseconds readStaleness { 0 }; ///< Age of the state that scans and plain reads see, at most 60 s.
};

/// Fixed properties of the platform's service.
struct PlatformLimits {
    unsigned writesPerSecond = 0; ///< 0: unbounded. Calls above the bound are refused with `LimitExceeded`.
    unsigned readsPerSecond = 0;
    std::chrono::milliseconds listLag { 0 }; ///< A change of the instance list shows only after it.
    std::chrono::milliseconds heartbeatExpiry { 10000 }; ///< An instance silent for this long leaves the list.
};

/// The platform's service in memory, with faults. The stand-in program serves it; tests use it directly.
///
/// Takes the time from `clock` and never sleeps, so that tests with a virtual clock can use it: a slow call returns at
/// once, with `Timeout` when it would have exceeded its timeout. Safe for concurrent use if `clock` is.
class MemoryPlatform final : public Platform {
public:
    /// `clock` must outlive the platform. `seed` decides which answers `loseShare` loses.
    explicit MemoryPlatform(const base::Clock& clock, const PlatformLimits& limits = {}, std::uint64_t seed = 1);

    void setFaults(const PlatformFaults& faults);
    PlatformFaults faults() const;

    /// Registers an instance or renews its entry. Fails like any other call.
    base::Result<void> heartbeat(const ListedInstance& instance, std::chrono::milliseconds timeout);

    base::Result<Row> read(const std::string& key, bool linearizable, std::chrono::milliseconds timeout) override;
    base::Result<std::vector<Row>> scan(
        const std::string& prefix, std::size_t limit, std::chrono::milliseconds timeout) override;
    base::Result<void> commit(const std::vector<Write>& writes, std::chrono::milliseconds timeout) override;
    base::Result<void> putObject(
        const std::string& name, const std::string& content, std::chrono::milliseconds timeout) override;
    base::Result<std::string> getObject(const std::string& name, std::chrono::milliseconds timeout) override;
    base::Result<std::vector<ListedInstance>> listInstances(std::chrono::milliseconds timeout) override;

    /// Commits that took effect.
    std::uint64_t commits() const;

private:
    /// One state of a row. Past states are kept for stale reads.
    struct State {
        base::SteadyTime since;
        std::optional<std::string> value;
        std::uint64_t version = 0;
    };
    struct DelayedCommit {
        base::SteadyTime due;
        std::vector<Write> writes;
    };
    struct ListState {
        base::SteadyTime since;
        ListedInstance entry;
    };
    struct Member {
        base::SteadyTime lastHeartbeat;
        std::deque<ListState> states;
    };
    struct Rate {
        double tokens = 0;
        base::SteadyTime updated;
    };

    std::optional<base::Error> admit(bool write, std::chrono::milliseconds timeout);
    bool takeRate(Rate& rate, unsigned perSecond) const;
    void runDelayed();
    bool apply(const std::vector<Write>& writes);
    const State* stateAt(const std::deque<State>& states, base::SteadyTime time) const;
    base::SteadyTime readTime(bool linearizable) const;

    const base::Clock& m_clock;
    PlatformLimits m_limits;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    PlatformFaults m_faults;
    std::map<std::string, std::deque<State>> m_rows;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, Member> m_members;
    std::vector<DelayedCommit> m_delayed;
    std::uint64_t m_forgottenVersion = 0; ///< Highest version of a deleted key that is no longer kept.
    std::uint64_t m_commits = 0;
    Rate m_writes;
    Rate m_reads;
};

} // namespace buckthorncroft::store
