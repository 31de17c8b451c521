#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>
#include <cstdint>
#include <deque>

namespace buckthorncroft::limits {

/// Limit on the extra attempts of the fleet, that is the attempts beyond the first of each request, in any time window.
struct RetryAllowance {
    double ratio = 0.2; ///< Extra attempts per request in the window.
    std::chrono::milliseconds window { 10'000 };
    double slack = 20; ///< Extra attempts that are allowed in addition, independent of the requests.
};

/// Limits the extra attempts of one service in a sliding window. Not safe for concurrent use.
class FleetRetryBudget {
public:
    /// `allowanceFraction`: the part of the allowance that this object may use. Less than 1 where a successor may take
    /// over within the window, because its counters start at zero.
    FleetRetryBudget(const RetryAllowance& allowance, double allowanceFraction);

    /// Counts one request, which increases the number of extra attempts that are allowed.
    void recordRequest(base::SteadyTime now);

    /// Uses one extra attempt. Returns false when the window allows no further one.
    bool tryTake(base::SteadyTime now);

private:
    struct Bucket {
        std::int64_t index = 0; ///< Start of the bucket, in bucket durations since the epoch of the clock.
        unsigned requests = 0;
        unsigned extraAttempts = 0;
    };

    Bucket& currentBucket(base::SteadyTime now);
    std::chrono::milliseconds bucketDuration() const;

    RetryAllowance m_allowance;
    double m_allowanceFraction;
    std::deque<Bucket> m_buckets; ///< Oldest first; covers the window.
};

} // namespace buckthorncroft::limits
