#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>
#include <cstdint>
#include <deque>

namespace buckthorncroft::limits {

/// Bound on the attempts beyond the first of each request, summed over the fleet, in any window of time.
struct RetryAllowance {
    double ratio = 0.2; ///< Extra attempts per request of the window.
    std::chrono::milliseconds window { 10'000 };
    double slack = 20; ///< Extra attempts that are allowed besides.
};

/// Counts the requests of one service and its extra attempts in a sliding window. Not safe for concurrent use.
class FleetRetryBudget {
public:
    /// `share`: the part of the allowance that this counter may use, because a successor counts from zero.
    FleetRetryBudget(const RetryAllowance& allowance, double share);

    void recordRequest(base::SteadyTime now);

    /// Takes one extra attempt; false when the window has no room for it.
    bool tryTake(base::SteadyTime now);

private:
    struct Bucket {
        std::int64_t index = 0; ///< Number of the bucket's start since the clock's epoch.
        unsigned requests = 0;
        unsigned extras = 0;
    };

    Bucket& current(base::SteadyTime now);
    std::chrono::milliseconds bucketLength() const;

    RetryAllowance m_allowance;
    double m_share;
    std::deque<Bucket> m_buckets; ///< Oldest first; covers the window.
};

} // namespace buckthorncroft::limits
