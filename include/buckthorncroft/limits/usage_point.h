#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace buckthorncroft::limits {

/// Requests that a workspace may send, over all instances.
struct UsageAllowance {
    double ratePerSecond = 0;
    double burst = 0;
};

/// Identifies a request for admission. Resent and duplicated requests have the same key.
struct UsageKey {
    std::string instance;
    std::uint64_t request = 0;

    bool operator==(const UsageKey&) const = default;
    bool operator<(const UsageKey& other) const
    {
        return std::tie(instance, request) < std::tie(other.instance, other.request);
    }
};

enum class UsageVerdict {
    Admitted,
    Refused,
    Waiting, ///< A final verdict follows.
};

struct UsageDecision {
    UsageKey key;
    UsageVerdict verdict = UsageVerdict::Refused;
    std::chrono::milliseconds retryAfter { 0 }; ///< When the workspace may send again; only for `Refused`.
};

/// A workspace reached its quota, or is within it again.
struct QuotaChange {
    std::string workspace;
    bool reached = false;
    unsigned refusedCount = 0; ///< Requests refused since the quota was reached.
};

/// Counts the requests of workspaces in token buckets on behalf of the instances that ask it. Instances that are
/// separated from each other ask different points, and each instance asks one point at a time. A point fills its
/// buckets in proportion to the instances that asked it lately, so all points together keep to the quotas.
///
/// Answers these faults: a workspace that sends many times its usual rate, loss and restart of points, links that
/// lose or duplicate messages, instances that are separated, and processes that are suspended.
///
/// Not safe for concurrent use.
class UsagePoint {
public:
    /// Replaces the allowances. Tokens beyond a new burst are removed; a higher burst adds none. Workspaces without an
    /// entry are not limited.
    void setAllowances(const std::map<std::string, UsageAllowance>& allowances);

    /// Records that the instance asks this point.
    void recordMember(const std::string& instance, base::SteadyTime now);

    /// Requests admission for one request. The decision may follow a later `advance`.
    void request(const UsageKey& key, const std::string& workspace, base::SteadyTime now);

    /// Fills the buckets and decides waiting requests. `fleetSize` is the number of instances of the fleet, or 0 while
    /// it is unknown; the buckets are not filled then. Removes all tokens after a gap between two calls that indicates
    /// a suspension.
    void advance(base::SteadyTime now, std::size_t fleetSize);

    /// Removes all tokens and the record of the instances that ask this point.
    void clear();

    /// Returns the decisions made since the last call.
    std::vector<UsageDecision> takeDecisions();

    /// Returns the changes since the last call. A workspace changes at most once a second.
    std::vector<QuotaChange> takeQuotaChanges();

    /// Returns the part of the allowances that this point grants, from 0 to 1.
    double share() const { return m_share; }

private:
    struct WaitingRequest {
        UsageKey key;
        base::SteadyTime arrivedAt;
    };
    struct Bucket {
        UsageAllowance allowance;
        double tokens = 0;
        std::deque<WaitingRequest> waiting; ///< Oldest first.
        base::SteadyTime nextRetryAt {}; ///< When the most recently refused caller may send again.
        base::SteadyTime lastRefusedAt {};
        unsigned refusedCount = 0; ///< Since the quota was reached; 0 if the workspace is within its quota.
    };
    struct RecentDecision {
        UsageKey key;
        base::SteadyTime madeAt;
    };

    void updateShare(base::SteadyTime now, std::size_t fleetSize);
    void decideWaiting(const std::string& workspace, Bucket& bucket, base::SteadyTime now);
    void admit(const UsageKey& key, Bucket& bucket, base::SteadyTime now);
    void refuse(const UsageKey& key, const std::string& workspace, Bucket& bucket, base::SteadyTime now);
    void decide(UsageDecision decision, base::SteadyTime now);
    void forgetOldDecisions(base::SteadyTime now);

    std::map<std::string, Bucket> m_buckets; ///< By workspace.
    std::map<std::string, base::SteadyTime> m_members; ///< When each instance asked last.
    std::map<UsageKey, UsageDecision> m_recent; ///< Final decisions, repeated when a request is sent again.
    std::deque<RecentDecision> m_recentOrder; ///< Oldest first.
    std::vector<UsageDecision> m_decisions;
    std::vector<QuotaChange> m_quotaChanges;
    base::SteadyTime m_advancedAt {};
    double m_share = 0;
};

} // namespace buckthorncroft::limits
