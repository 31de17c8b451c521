#include <buckthorncroft/limits/fleet_retry_budget.h>

#include <algorithm>

namespace buckthorncroft::limits {

namespace {

    constexpr int bucketsPerWindow = 20;

} // namespace

FleetRetryBudget::FleetRetryBudget(const RetryAllowance& allowance, double allowanceFraction)
    : m_allowance(allowance)
    , m_allowanceFraction(allowanceFraction)
{
}

std::chrono::milliseconds FleetRetryBudget::bucketDuration() const
{
    return std::max(std::chrono::milliseconds(1), m_allowance.window / bucketsPerWindow);
}

FleetRetryBudget::Bucket& FleetRetryBudget::currentBucket(base::SteadyTime now)
{
    const auto index = now.time_since_epoch() / bucketDuration();
    // Keeps one bucket more than the window holds, because the oldest one is only partly outside of the window.
    while (!m_buckets.empty() && m_buckets.front().index < index - bucketsPerWindow)
        m_buckets.pop_front();
    if (m_buckets.empty() || m_buckets.back().index < index)
        m_buckets.push_back({ index, 0, 0 });
    return m_buckets.back();
}

void FleetRetryBudget::recordRequest(base::SteadyTime now)
{
    ++currentBucket(now).requests;
}

bool FleetRetryBudget::tryTake(base::SteadyTime now)
{
    auto& bucket = currentBucket(now);
    double requests = 0;
    double extraAttempts = 1;
    for (const auto& it : m_buckets) {
        requests += it.requests;
        extraAttempts += it.extraAttempts;
    }
    if (extraAttempts > m_allowanceFraction * (m_allowance.ratio * requests + m_allowance.slack))
        return false;
    ++bucket.extraAttempts;
    return true;
}

} // namespace buckthorncroft::limits
