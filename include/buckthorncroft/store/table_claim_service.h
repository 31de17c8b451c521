#pragma once

#include <buckthorncroft/outcome/claim_machine.h>
#include <buckthorncroft/store/platform.h>
#include <cstdint>
#include <memory>

namespace buckthorncroft::store {

/// Settings of a TableClaimService.
struct ClaimServiceSettings {
    std::string holder; ///< Incarnation of this instance, which is written into its claims.
    unsigned threadCount = 4; ///< Number of claims that call the platform at the same time.
    std::size_t maxQueuedClaims = 64; ///< Claims that wait for a thread; further ones are refused.
    std::chrono::milliseconds callTimeout {
        1000
    }; ///< Maximum time of one platform call; the claim's deadline may be earlier.
    std::size_t maxPendingCleanups = 10000; ///< Claims that are being released or completed; further ones are dropped.
    /// Time after which a held claim may be discarded, so that it can no longer be released or completed.
    std::chrono::minutes heldClaimTtl { 15 };
    double fleetWritesPerSecond = 300; ///< Write rate of all instances together.
    std::chrono::hours retention { 24 }; ///< Age from which the sweep removes rows.
    /// Mean time between two sweeps by any instance of the fleet; each instance sweeps at random times. 0: never.
    std::chrono::seconds fleetSweepInterval { 10 };
    outcome::ClaimTimes times;
};

/// Number of events since the start, for metrics.
struct ClaimCounters {
    std::uint64_t held = 0; ///< Claims that this instance obtained.
    std::uint64_t refusedBusy = 0; ///< Claims refused because the queue was full or the service was stopping.
    std::uint64_t refusedBudget = 0; ///< Claims refused because this instance's share of writes was used up.
    std::uint64_t cleanupsDropped = 0; ///< Releases and completions that were given up; their keys stay claimed.
    std::uint64_t rowsSwept = 0; ///< Expired rows that the sweep removed.
};

/// Stores claims as rows of the platform's table. Owns its threads. A claim is refused with Unavailable at once if the
/// queue is full or this instance's share of the write rate is used up. Each claim takes two writes of that share: the
/// insert, and the later completion or release.
class TableClaimService final : public outcome::ClaimService {
public:
    /// `platform` and `clock` must outlive the service and be safe for concurrent use. `seed` must be random in
    /// production, because tokens are derived from it.
    TableClaimService(Platform& platform, const base::Clock& clock, ClaimServiceSettings settings, std::uint64_t seed);

    /// Waits for platform calls in progress. Queued claims end with Unavailable; pending releases and completions are
    /// given up.
    ~TableClaimService() override;

    void acquire(const outcome::ClaimRequest& request, base::SteadyTime deadline,
        std::function<void(outcome::ClaimResult)> done) override;
    void release(const outcome::ClaimRequest& request, const std::string& token) override;
    void complete(const outcome::ClaimRequest& request, const std::string& token,
        const outcome::RecordedResponse& response) override;

    /// Sets the number of live instances, among which the write rate and the sweeps are divided.
    void setLiveInstances(unsigned instances);

    /// Removes expired rows from one random part of the table and returns their number. Blocks. The service also calls
    /// it at random times.
    std::size_t sweep();

    ClaimCounters counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace buckthorncroft::store
