#pragma once

#include <buckthorncroft/outcome/claim_machine.h>
#include <buckthorncroft/store/platform.h>
#include <cstdint>
#include <memory>

namespace buckthorncroft::store {

struct ClaimServiceSettings {
    std::string holder; ///< Incarnation of this instance, as written into its claims.
    unsigned threads = 4; ///< Claims that talk to the platform at the same time.
    std::size_t queueLimit = 64; ///< Claims that wait for a thread; more are refused.
    std::chrono::milliseconds callTimeout { 1000 }; ///< Longest single call; the claim's deadline may be nearer.
    std::size_t backgroundLimit = 10000; ///< Claims that are being released or completed; more are dropped.
    std::chrono::minutes heldLimit { 15 }; ///< How long a claim can be released or completed after it was made.
    double fleetWritesPerSecond = 300; ///< Writes of all instances together.
    std::chrono::hours retention { 24 }; ///< Age at which rows are removed.
    /// Mean pause between two sweeps of the whole fleet; each instance sweeps at a random time. 0: never.
    std::chrono::seconds fleetSweepPause { 10 };
    outcome::ClaimTimes times;
};

/// Events since the start, for metrics.
struct ClaimCounters {
    std::uint64_t held = 0;
    std::uint64_t refusedBusy = 0; ///< Refused because all threads and the queue were taken.
    std::uint64_t refusedBudget = 0; ///< Refused by this instance's share of writes.
    std::uint64_t cleanupsDropped = 0; ///< Releases and completions that were given up; their keys stay blocked.
    std::uint64_t swept = 0; ///< Expired rows that were removed.
};

/// Claims as rows of the platform's table. Owns its threads. A call that finds all threads and the queue taken, or no
/// write left in this instance's share, ends with Unavailable at once. The share counts two writes for each claim: the
/// insert, and the later completion or release.
class TableClaimService final : public outcome::ClaimService {
public:
    /// `platform` and `clock` must outlive the service and be safe for concurrent use. `seed` must be random in
    /// production, since tokens are derived from it.
    TableClaimService(Platform& platform, const base::Clock& clock, ClaimServiceSettings settings, std::uint64_t seed);

    /// Waits for calls in progress. Claims that wait end with Unavailable; cleanup that is not done is given up.
    ~TableClaimService() override;

    void acquire(const outcome::ClaimRequest& request, base::SteadyTime deadline,
        std::function<void(outcome::ClaimResult)> done) override;
    void release(const outcome::ClaimRequest& request, const std::string& token) override;
    void complete(const outcome::ClaimRequest& request, const std::string& token,
        const outcome::RecordedResponse& response) override;

    /// Sets the number of live instances, which share the writes and the sweeps.
    void setLiveInstances(unsigned instances);

    /// Removes expired rows from one random part of the table. Called by itself from time to time; blocks. Returns the
    /// number of rows removed.
    std::size_t sweep();

    ClaimCounters counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace buckthorncroft::store
