#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

namespace buckthorncroft::limits {

/// Limit on the extra attempts of the fleet, that is the attempts beyond the first of each request, in any time window.
struct RetryAllowance {
    double ratio = 0.2; ///< Extra attempts per request in the window.
    std::chrono::milliseconds window { 10'000 };
    double slack = 20; ///< Extra attempts that are allowed in addition, independent of the requests.
};

/// What one dispatch point counted in an interval of the window, sent to the points that may succeed it.
struct RetryUsage {
    std::chrono::milliseconds age { 0 }; ///< Time since the start of the interval.
    unsigned requests = 0;
    unsigned extraAttempts = 0;
};

/// Limits the extra attempts of one service in a sliding window, for load in which attempts fail or are shed so often
/// that second attempts need the whole allowance. Not safe for concurrent use.
class FleetRetryBudget {
public:
    /// `allowanceFraction`: the part of the allowance that this object may use. Less than 1 where a successor may take
    /// over within the window, because its counters start at zero.
    FleetRetryBudget(const RetryAllowance& allowance, double allowanceFraction);

    /// Sets the part of the allowance that may be used once the counts of the whole window are known, because they were
    /// counted here or received from the predecessor.
    void setFractionWithHandover(double fraction) { m_fractionWithHandover = fraction; }

    /// Counts one request, which increases the number of extra attempts that are allowed.
    void recordRequest(base::SteadyTime now);

    /// Uses one extra attempt. Returns false when the window allows no further one.
    bool tryTake(base::SteadyTime now);

    /// Returns the intervals whose counts changed since the last call.
    std::vector<RetryUsage> takeUsage(base::SteadyTime now);

    /// Merges intervals that another point counted. An interval that is received repeatedly counts once, with its
    /// largest number of extra attempts.
    void mergeUsage(const std::vector<RetryUsage>& usage, base::SteadyTime now);

private:
    struct Bucket {
        std::int64_t index = 0; ///< Start of the bucket, in bucket durations since the epoch of the clock.
        unsigned requests = 0;
        unsigned extraAttempts = 0;
        bool changed = false; ///< The counts are still to be returned by `takeUsage`.
    };

    struct Received {
        base::SteadyTime startedAt;
        RetryUsage usage;
    };

    Bucket& currentBucket(base::SteadyTime now);
    void removeOldReceived(base::SteadyTime now);
    void noteCounts(base::SteadyTime now);
    double usableFraction(base::SteadyTime now) const;
    std::chrono::milliseconds bucketDuration() const;

    RetryAllowance m_allowance;
    double m_allowanceFraction;
    double m_fractionWithHandover;
    std::vector<Received> m_received; ///< Counts of the predecessor.
    base::SteadyTime m_knownSince {}; ///< Since when counts were made here or received without a gap.
    base::SteadyTime m_knownAt {}; ///< Time of the last count.
    std::deque<Bucket> m_buckets; ///< Oldest first; covers the window.
};

} // namespace buckthorncroft::limits
