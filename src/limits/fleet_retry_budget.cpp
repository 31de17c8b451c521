#include <buckthorncroft/limits/fleet_retry_budget.h>

#include <algorithm>
#include <utility>

namespace buckthorncroft::limits {

namespace {

    constexpr int bucketsPerWindow = 20;

    // Counts are handed over with each change. After a longer silence some may be missing.
    constexpr std::chrono::milliseconds maxHandoverGap { 1500 };

} // namespace

FleetRetryBudget::FleetRetryBudget(const RetryAllowance& allowance, double allowanceFraction)
    : m_allowance(allowance)
    , m_allowanceFraction(allowanceFraction)
    , m_fractionWithHandover(allowanceFraction)
{
}

std::chrono::milliseconds FleetRetryBudget::bucketDuration() const
{
    return std::max(std::chrono::milliseconds(1), m_allowance.window / bucketsPerWindow);
}

FleetRetryBudget::Bucket& FleetRetryBudget::currentBucket(base::SteadyTime now)
{
    noteCounts(now);
    const auto index = now.time_since_epoch() / bucketDuration();
    // Keeps one bucket more than the window holds, because the oldest one is only partly outside of the window.
    while (!m_buckets.empty() && m_buckets.front().index < index - bucketsPerWindow)
        m_buckets.pop_front();
    if (m_buckets.empty() || m_buckets.back().index < index)
        m_buckets.push_back({ index, 0, 0, false });
    removeOldReceived(now);
    return m_buckets.back();
}

void FleetRetryBudget::removeOldReceived(base::SteadyTime now)
{
    std::erase_if(
        m_received, [&](const Received& it) { return now - it.startedAt > m_allowance.window + bucketDuration(); });
}

void FleetRetryBudget::recordRequest(base::SteadyTime now)
{
    auto& bucket = currentBucket(now);
    ++bucket.requests;
    bucket.changed = true;
}

// Without counts of the predecessor, its extra attempts are unknown until they have left the window.
double FleetRetryBudget::usableFraction(base::SteadyTime now) const
{
    return now - m_knownSince > m_allowance.window + bucketDuration() ? m_fractionWithHandover : m_allowanceFraction;
}

void FleetRetryBudget::noteCounts(base::SteadyTime now)
{
    if (m_knownAt == base::SteadyTime {} || now - m_knownAt > maxHandoverGap)
        m_knownSince = now;
    m_knownAt = now;
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
    for (const auto& it : m_received) {
        requests += it.usage.requests;
        extraAttempts += it.usage.extraAttempts;
    }
    if (extraAttempts > usableFraction(now) * (m_allowance.ratio * requests + m_allowance.slack))
        return false;
    ++bucket.extraAttempts;
    bucket.changed = true;
    return true;
}

std::vector<RetryUsage> FleetRetryBudget::takeUsage(base::SteadyTime now)
{
    std::vector<RetryUsage> result;
    for (auto& it : m_buckets) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
            now.time_since_epoch() - it.index * bucketDuration());
        if (std::exchange(it.changed, false))
            result.push_back({ age, it.requests, it.extraAttempts });
    }
    return result;
}

// The start of a repeated interval differs by the variation of the network delay, so it is matched approximately.
void FleetRetryBudget::mergeUsage(const std::vector<RetryUsage>& usage, base::SteadyTime now)
{
    removeOldReceived(now);
    for (const auto& it : usage) {
        if (it.age < std::chrono::milliseconds(0) || it.age > m_allowance.window + bucketDuration())
            continue;
        const auto startedAt = now - it.age;
        const auto known = std::find_if(m_received.begin(), m_received.end(), [&](const Received& received) {
            return std::chrono::abs(received.startedAt - startedAt) < bucketDuration() / 2;
        });
        if (known == m_received.end()) {
            m_received.push_back({ startedAt, it });
            continue;
        }
        known->usage.requests = std::max(known->usage.requests, it.requests);
        known->usage.extraAttempts = std::max(known->usage.extraAttempts, it.extraAttempts);
    }
    noteCounts(now);
}

} // namespace buckthorncroft::limits
