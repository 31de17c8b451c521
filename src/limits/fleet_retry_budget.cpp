#include <buckthorncroft/limits/fleet_retry_budget.h>

#include <algorithm>

namespace buckthorncroft::limits {

namespace {

    constexpr int bucketsPerWindow = 20;

} // namespace

FleetRetryBudget::FleetRetryBudget(const RetryAllowance& allowance, double share)
    : m_allowance(allowance)
    , m_share(share)
{
}

std::chrono::milliseconds FleetRetryBudget::bucketLength() const
{
    return std::max(std::chrono::milliseconds(1), m_allowance.window / bucketsPerWindow);
}

FleetRetryBudget::Bucket& FleetRetryBudget::current(base::SteadyTime now)
{
    const auto index = now.time_since_epoch() / bucketLength();
    // One bucket more than the window holds, because the oldest one is only partly outside of it.
    while (!m_buckets.empty() && m_buckets.front().index < index - bucketsPerWindow)
        m_buckets.pop_front();
    if (m_buckets.empty() || m_buckets.back().index < index)
        m_buckets.push_back({ index, 0, 0 });
    return m_buckets.back();
}

void FleetRetryBudget::recordRequest(base::SteadyTime now)
{
    ++current(now).requests;
}

bool FleetRetryBudget::tryTake(base::SteadyTime now)
{
    auto& bucket = current(now);
    double requests = 0;
    double extras = 1;
    for (const auto& it : m_buckets) {
        requests += it.requests;
        extras += it.extras;
    }
    if (extras > m_share * (m_allowance.ratio * requests + m_allowance.slack))
        return false;
    ++bucket.extras;
    return true;
}

} // namespace buckthorncroft::limits
