#include <buckthorncroft/limits/usage_point.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthorncroft::limits {

namespace {

    using std::chrono::milliseconds;
    using Seconds = std::chrono::duration<double>;

    // Part of the rate at which the buckets are filled. The rest covers the time in which an instance that changed its
    // point counts at both.
    constexpr double fillFraction = 0.94;

    // An instance counts for a point for this long after it asked.
    constexpr milliseconds memberLifetime { 800 };

    // A point that this part of the fleet asks fills its buckets at the full rate, so that a few lost instances do not
    // lower the quotas. The other instances can add at most the remaining part.
    constexpr double fullShareFraction = 0.9;

    // A longer time between two calls of `advance` indicates a suspension.
    constexpr milliseconds maxAdvanceGap { 500 };

    // A request waits for a token for at most this time.
    constexpr milliseconds maxWait { 200 };

    // A request that is sent again within this time gets the same decision.
    constexpr milliseconds decisionLifetime { 1000 };
    constexpr std::size_t maxRecentDecisions = 8192;

    constexpr milliseconds minRetryAfter { 200 };
    constexpr milliseconds maxRetryAfter { 5000 };

    // A workspace is within its quota again when no request was refused for this time.
    constexpr milliseconds quotaClearedDelay { 1000 };

    std::size_t maxWaiting(const UsageAllowance& allowance)
    {
        return static_cast<std::size_t>(std::ceil(allowance.ratePerSecond * Seconds(maxWait).count()));
    }

    // Even a small share can collect one token.
    double maxTokens(const UsageAllowance& allowance, double share)
    {
        return share > 0 ? std::max(1.0, allowance.burst * share) : 0;
    }

} // namespace

void UsagePoint::setAllowances(const std::map<std::string, UsageAllowance>& allowances)
{
    for (auto it = m_buckets.begin(); it != m_buckets.end();) {
        if (allowances.contains(it->first)) {
            ++it;
            continue;
        }
        for (const auto& waiting : it->second.waiting)
            m_decisions.push_back({ waiting.key, UsageVerdict::Admitted, milliseconds(0) });
        it = m_buckets.erase(it);
    }
    for (const auto& [workspace, allowance] : allowances) {
        auto& bucket = m_buckets[workspace];
        bucket.allowance = allowance;
        bucket.tokens = std::min(bucket.tokens, maxTokens(allowance, m_share));
    }
}

void UsagePoint::recordMember(const std::string& instance, base::SteadyTime now)
{
    m_members[instance] = now;
}

void UsagePoint::updateShare(base::SteadyTime now, std::size_t fleetSize)
{
    std::erase_if(m_members, [&](const auto& it) { return now - it.second > memberLifetime; });
    const auto fraction = fleetSize == 0 ? 0 : static_cast<double>(m_members.size()) / static_cast<double>(fleetSize);
    m_share = fraction >= fullShareFraction ? 1 : fraction;
}

void UsagePoint::advance(base::SteadyTime now, std::size_t fleetSize)
{
    const auto elapsed = now - m_advancedAt;
    m_advancedAt = now;
    if (elapsed > maxAdvanceGap) {
        clear();
        return;
    }
    updateShare(now, fleetSize);
    forgetOldDecisions(now);
    for (auto& [workspace, it] : m_buckets) {
        const double added = it.allowance.ratePerSecond * fillFraction * m_share * Seconds(elapsed).count();
        it.tokens = std::min(it.tokens + added, maxTokens(it.allowance, m_share));
        decideWaiting(workspace, it, now);
        if (it.refusedCount > 0 && now - it.lastRefusedAt > quotaClearedDelay) {
            m_quotaChanges.push_back({ workspace, false, it.refusedCount });
            it.refusedCount = 0;
        }
    }
}

void UsagePoint::decideWaiting(const std::string& workspace, Bucket& bucket, base::SteadyTime now)
{
    while (!bucket.waiting.empty()) {
        const auto first = bucket.waiting.front();
        if (bucket.tokens >= 1)
            admit(first.key, bucket, now);
        else if (now - first.arrivedAt >= maxWait)
            refuse(first.key, workspace, bucket, now);
        else
            return;
        bucket.waiting.pop_front();
    }
}

void UsagePoint::request(const UsageKey& key, const std::string& workspace, base::SteadyTime now)
{
    recordMember(key.instance, now);
    if (const auto it = m_recent.find(key); it != m_recent.end()) {
        m_decisions.push_back(it->second);
        return;
    }
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end()) {
        m_decisions.push_back({ key, UsageVerdict::Admitted, milliseconds(0) });
        return;
    }
    auto& bucket = found->second;
    const bool isWaiting = std::any_of(
        bucket.waiting.begin(), bucket.waiting.end(), [&](const WaitingRequest& it) { return it.key == key; });
    if (!isWaiting) {
        if (bucket.waiting.empty() && bucket.tokens >= 1) {
            admit(key, bucket, now);
            return;
        }
        if (bucket.waiting.size() >= maxWaiting(bucket.allowance)) {
            refuse(key, workspace, bucket, now);
            return;
        }
        bucket.waiting.push_back({ key, now });
    }
    m_decisions.push_back({ key, UsageVerdict::Waiting, milliseconds(0) });
}

void UsagePoint::admit(const UsageKey& key, Bucket& bucket, base::SteadyTime now)
{
    bucket.tokens -= 1;
    decide({ key, UsageVerdict::Admitted, milliseconds(0) }, now);
}

void UsagePoint::refuse(const UsageKey& key, const std::string& workspace, Bucket& bucket, base::SteadyTime now)
{
    // Each refused caller gets the time of another token, so that they do not return all at once.
    const auto interval = std::chrono::duration_cast<base::SteadyTime::duration>(
        Seconds(1 / std::max(bucket.allowance.ratePerSecond, 0.001)));
    bucket.nextRetryAt = std::clamp(bucket.nextRetryAt + interval, now + minRetryAfter, now + maxRetryAfter);
    bucket.lastRefusedAt = now;
    if (bucket.refusedCount++ == 0)
        m_quotaChanges.push_back({ workspace, true, 0 });
    decide({ key, UsageVerdict::Refused, std::chrono::ceil<milliseconds>(bucket.nextRetryAt - now) }, now);
}

void UsagePoint::decide(UsageDecision decision, base::SteadyTime now)
{
    if (m_recentOrder.size() >= maxRecentDecisions) {
        m_recent.erase(m_recentOrder.front().key);
        m_recentOrder.pop_front();
    }
    m_recentOrder.push_back({ decision.key, now });
    m_recent[decision.key] = decision;
    m_decisions.push_back(std::move(decision));
}

void UsagePoint::forgetOldDecisions(base::SteadyTime now)
{
    while (!m_recentOrder.empty() && now - m_recentOrder.front().madeAt > decisionLifetime) {
        m_recent.erase(m_recentOrder.front().key);
        m_recentOrder.pop_front();
    }
}

void UsagePoint::clear()
{
    m_members.clear();
    m_share = 0;
    for (auto& [workspace, it] : m_buckets)
        it.tokens = 0;
}

std::vector<UsageDecision> UsagePoint::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

std::vector<QuotaChange> UsagePoint::takeQuotaChanges()
{
    return std::exchange(m_quotaChanges, {});
}

} // namespace buckthorncroft::limits
