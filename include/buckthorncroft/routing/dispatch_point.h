#pragma once

#include <buckthorncroft/config/model.h>
#include <buckthorncroft/health/target_risk.h>
#include <buckthorncroft/limits/fleet_retry_budget.h>
#include <buckthorncroft/limits/rate_meter.h>
#include <buckthorncroft/membership/target_directory.h>
#include <buckthorncroft/routing/dispatch_request.h>
#include <buckthorncroft/routing/fair_queue.h>
#include <buckthorncroft/routing/unserved_share.h>
#include <buckthorncroft/routing/zone_costs.h>
#include <buckthorncroft/routing/zone_demand.h>
#include <buckthorncroft/routing/zone_placement.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthorncroft::routing {

/// A slot that an instance uses. Instances repeat their slots, so that a new dispatch point receives the slots in use.
struct HeldSlot {
    std::uint64_t grant = 0;
    std::string target;
};

/// Why a request is refused.
enum class DispatchRefusal {
    NoTarget, ///< The service has no target that may take the request.
    Overloaded, ///< The request would wait too long.
    RetryBudgetExhausted, ///< The fleet may make no more extra attempts now.
};

/// Returns the reason's name in snake_case, as printed in logs.
const char* toString(DispatchRefusal refusal);

/// The decision of a dispatch point about one request: a grant or a refusal.
struct DispatchDecision {
    DispatchKey key;
    std::uint64_t grant = 0; ///< 0 for a refusal.
    std::string target; ///< Id of the chosen target.
    double risk = 0; ///< Failure probability of the target, estimated from its recent attempts.
    unsigned targetCount = 0; ///< Targets of the service.
    std::size_t queuedRequests = 0; ///< Requests in the queue at the time of the decision.
    ZonePlacement placement = ZonePlacement::Home; ///< Why the target is in its zone; valid only for a grant.
    DispatchRefusal refusal = DispatchRefusal::NoTarget; ///< Valid only for a refusal.
    std::chrono::milliseconds retryAfter { 0 }; ///< Delay after which a refused caller should retry.
};

/// The result of a finished attempt, or the notice that a running attempt is overdue.
struct DispatchOutcome {
    std::string instance;
    std::uint64_t grant = 0;
    std::string target;
    config::RequestKind kind = config::RequestKind::Idempotent;
    health::Verdict verdict = health::Verdict::Good;
    std::chrono::microseconds latency { 0 };
    bool overdue = false; ///< The attempt is still running and keeps its slot; the verdict and latency are not used.
    bool targetLeaving = false; ///< The target announced in its response that it leaves.
    std::int64_t targetStartedAtUnixMs = 0; ///< Lifetime of the target to which `targetLeaving` applies.
    /// Time for which the target refuses requests of `instance`, from its Retry-After; 0 if it named none.
    std::chrono::milliseconds retryAfter { 0 };
};

/// Failure probability of one target, sent to the dispatch points that may succeed this one.
struct TargetRiskReport {
    std::string target;
    double probability = 0;
};

/// Queue length and capacity of a dispatch point, for logs.
struct DispatchLoad {
    std::size_t queuedRequests = 0;
    unsigned targets = 0; ///< Targets that are not draining.
    unsigned slots = 0; ///< Slots of these targets.
    unsigned slotsInUse = 0;
    unsigned unprovenTargets = 0; ///< Targets without a good response since their last failure.
    unsigned saturatedTargets = 0; ///< Targets that are skipped for a short time because they shed a request.
    double grantsPerSecond = 0; ///< Estimated rate at which the targets can take requests.
};

/// Bounds and weights of a dispatch point. Costs are relative to the value of one request: a risk of 1 costs 1, and
/// less for an idempotent request, which can be retried.
struct DispatchSettings {
    limits::RetryAllowance retries;
    /// Part of the allowance that this point may use while it does not know the counts of the whole window. Less than
    /// 1, because its predecessor may have used the rest.
    double retryAllowanceFraction = 0.5;
    /// The same once it knows them. The rest covers counts that are lost on the network.
    double retryAllowanceFractionWithHandover = 0.9;
    double maxNonIdempotentRisk = 0.12; ///< A target up to this risk takes any request.
    double maxIdempotentRisk = 0.35; ///< A target up to this risk takes idempotent requests.
    double newConnectionCost = 0.06; ///< Cost of opening a connection.
    ZonePrices zonePrices; ///< Prices from which the cost of another zone follows.
    std::uint32_t unknownUploadBytes = 65'536; ///< Assumed length of an upload whose length is not known.
    double loadCost = 0.1; ///< Cost of a target with all slots in use, scaled by the square of its load.
    double coldStartCost = 0.25; ///< Cost of a target in its cold start.
    double newTargetBonus = 0.8; ///< Subtracted for a warm target that has had no request, so that it is tried soon.
    double slownessCost = 0.3; ///< Cost for each multiple of the service's usual latency beyond the first.
    double idlePreferenceGrowth = 1.5; ///< Subtracted, times the square of the seconds beyond the maximum idle time.
    std::chrono::milliseconds maxIdleTime { 8000 }; ///< Time without requests after which a target is preferred.
    std::chrono::milliseconds maxIdleTimeUnproven { 3000 }; ///< The same for unproven targets while they are many.
    std::chrono::milliseconds maxIdleTimeLowCoverage { 600 }; ///< The same while too few targets receive requests.
    double manyUnprovenFraction = 0.25; ///< Fraction of unproven targets above which they are many.
    double maxUnservedFraction = 0.07; ///< Acceptable fraction of unserved requests; the platform's limit is 0.1.
    double minCoverageFraction = 0.95; ///< Fraction of targets to keep in use; the platform requires 0.7.
    std::chrono::milliseconds lowRiskWaitTimeout { 150 }; ///< Maximum wait for a target of low risk.
    std::chrono::milliseconds firstTargetsTimeout { 500 }; ///< Maximum wait for the first targets.
    std::chrono::milliseconds trialInterval { 700 }; ///< Delay until an unproven target is tried again.
    double trialIntervalGrowth = 1.4; ///< Factor on that delay for each further failure.
    std::chrono::milliseconds maxTrialInterval { 2500 };
    /// A new grant may be missing for this long from the slots that its instance reports.
    std::chrono::milliseconds unconfirmedGrantTtl { 500 };
    std::chrono::milliseconds minRetryAfter { 100 };
    std::chrono::milliseconds initialServiceTime { 300 }; ///< Initial estimate, corrected with each good response.
};

/// Assigns the requests of one service to target slots for the whole fleet. It tracks the slots in use, the outcomes of
/// all attempts and the queue of requests, so it can balance load that no single instance sees. Requests beyond the
/// free slots wait in the order of `FairQueue`. Requests that would wait too long are refused at once,
/// with the delay after which the service can take them.
///
/// All state is soft: instances repeat the slots that they hold, so a restarted point has complete state after the
/// duration of one request. The class does no I/O and starts no timers. Not safe for concurrent use.
class DispatchPoint {
public:
    DispatchPoint(const DispatchSettings& settings, std::uint64_t seed);

    /// Replaces the targets of the service by those that the registry lists.
    void setTargets(const std::map<std::string, membership::DirectoryEntry>& targets, base::SteadyTime now);

    /// Grants a slot, queues the request or refuses it; `takeDecisions` returns the result. Repeating a queued request
    /// has no effect; repeating a granted request returns the same grant again.
    void requestSlot(const DispatchRequest& request, base::SteadyTime now);

    /// Removes a request from the queue, because it no longer needs a slot.
    void withdraw(const DispatchKey& key);

    /// Records the outcome of an attempt and releases its slot, unless the attempt is only overdue.
    void recordOutcome(const DispatchOutcome& outcome, base::SteadyTime now);

    /// Replaces the slots of `instance` by the ones that it reports. Grants to it that are missing from `slots` and
    /// older than `DispatchSettings::unconfirmedGrantTtl` are released.
    void reconcileHeldSlots(const std::string& instance, const std::vector<HeldSlot>& slots, base::SteadyTime now);

    /// Merges the failure probabilities that another point derived; the larger value of each target counts.
    void mergeRisks(const std::vector<TargetRiskReport>& risks, base::SteadyTime now);

    /// Releases expired grants, assigns free slots to queued requests, and grants at any risk or refuses the requests
    /// that have waited too long. Call at least every 50 ms while requests are queued.
    void tick(base::SteadyTime now);

    /// Returns the decisions since the last call.
    std::vector<DispatchDecision> takeDecisions();

    /// Returns the risks that changed since the last call, for the points that may succeed this one.
    std::vector<TargetRiskReport> takeRiskChanges(base::SteadyTime now);

    /// Returns the counts of requests and extra attempts that changed since the last call, for the points that may
    /// succeed this one.
    std::vector<limits::RetryUsage> takeRetryUsage(base::SteadyTime now) { return m_retryBudget.takeUsage(now); }

    /// Merges the counts of the point that this one may succeed.
    void mergeRetryUsage(const std::vector<limits::RetryUsage>& usage, base::SteadyTime now)
    {
        m_retryBudget.mergeUsage(usage, now);
    }

    std::size_t queueLength() const { return m_queue.size(); }

    DispatchLoad load(base::SteadyTime now) const;

private:
    struct Slot {
        std::uint64_t grant = 0;
        DispatchKey key;
        base::SteadyTime grantedAt;
        base::SteadyTime expiresAt; ///< The slot is released then, because its instance may have crashed.
        bool targetStateUnknown = false; ///< The target had no recent evidence when the slot was granted.
    };
    struct Target {
        membership::DirectoryEntry entry;
        health::TargetRisk risk;
        std::vector<Slot> slots;
        std::chrono::duration<double> latency { 0 }; ///< Smoothed; 0 when unknown.
        base::SteadyTime saturatedUntil {}; ///< The target shed a request and receives none before this time.
        std::string pausedInstance; ///< Instance that the target last asked to pause.
        base::SteadyTime pausedUntil {}; ///< End of that pause.
        base::SteadyTime lastGrantAt {};
        bool hasHadRequest = false;
    };
    /// Whether enough targets have received requests recently.
    struct Coverage {
        base::SteadyTime checkedAt {};
        bool provenCoverageLow = false; ///< Too few of the proven targets have recent requests.
        bool totalCoverageLow = false; ///< The same for all targets, while too many requests are not served.
        bool manyUnproven = false;
    };
    using TargetMap = std::map<std::string, Target>;

    enum class GrantAttempt { Granted, NoTarget, WaitsForHome };
    GrantAttempt tryGrant(const QueuedRequest& queued, base::SteadyTime now);
    Target* chooseTarget(const DispatchRequest& request, double maxRisk, base::SteadyTime now);
    bool canAccept(const Target& target, const DispatchRequest& request, base::SteadyTime now) const;
    bool isRiskAcceptable(
        const Target& target, const DispatchRequest& request, double risk, double maxRisk, base::SteadyTime now) const;
    bool isTrialDue(const Target& target, base::SteadyTime now) const;
    double cost(const Target& target, const DispatchRequest& request, double risk, base::SteadyTime now) const;
    double maxRiskFor(const QueuedRequest& queued, base::SteadyTime now) const;
    double crossingCost(const DispatchRequest& request, base::SteadyTime now) const;
    bool waitsForHomeTarget(const QueuedRequest& queued, const Target& away, base::SteadyTime now);
    ZonePlacement explainPlacement(const Target& target, const DispatchRequest& request, base::SteadyTime now) const;
    void updateZoneRoom(base::SteadyTime now);
    void grantSlot(Target& target, const DispatchRequest& request, base::SteadyTime now);
    void queueUntilTargetsKnown(const DispatchRequest& request, base::SteadyTime now);
    void grantOrRefuse(const DispatchRequest& request, base::SteadyTime now);
    void refuse(const DispatchRequest& request, DispatchRefusal reason, base::SteadyTime now);
    void dispatchQueue(base::SteadyTime now);
    void grantOrRefuseTimedOut(base::SteadyTime now);
    void releaseExpiredGrants(base::SteadyTime now);
    bool hasTargetFor(const DispatchRequest& request) const;
    std::chrono::milliseconds assignRetryAfter(const DispatchRequest& request, base::SteadyTime now);
    std::chrono::duration<double> expectedWait(const DispatchRequest& request, base::SteadyTime now) const;
    std::chrono::duration<double> maxWait(base::SteadyTime waitDeadline, base::SteadyTime now) const;
    void refuseHopeless(base::SteadyTime now);
    base::SteadyTime computeWaitDeadline(const DispatchRequest& request, base::SteadyTime now) const;
    std::chrono::duration<double> idleExcess(const Target& target, base::SteadyTime now) const;
    bool isLeftToOwnZone(const Target& target, const DispatchRequest& request, base::SteadyTime now) const;
    std::chrono::duration<double> idleExcessFor(
        const Target& target, const DispatchRequest& request, base::SteadyTime now) const;
    bool isNew(const Target& target, base::SteadyTime now) const;
    std::chrono::milliseconds maxIdleTimeFor(const Target& target) const;
    void updateCoverage(base::SteadyTime now);
    void recordShed(Target& target, const DispatchOutcome& outcome, base::SteadyTime now);
    std::optional<base::SteadyTime> earliestEndOfPauses(const DispatchRequest& request) const;
    void releaseGrants(const Target& target);
    void updateUnknownRisk(const Slot& slot, health::Verdict verdict);
    double usableSlots(base::SteadyTime now) const;
    double grantRate(base::SteadyTime now) const;
    void recordRiskChange(const std::string& target) { m_riskChanges.push_back(target); }

    DispatchSettings m_settings;
    TargetMap m_targets;
    limits::FleetRetryBudget m_retryBudget;
    limits::RateMeter m_grantRate;
    FairQueue m_queue;
    std::unordered_map<std::uint64_t, std::string> m_grantTargets; ///< Target id of each grant in use.
    std::vector<DispatchDecision> m_decisions;
    std::vector<std::string> m_riskChanges;
    std::chrono::duration<double> m_serviceTime; ///< Smoothed over all targets.
    double m_unknownRisk = 0.1; ///< Risk of a target without recent evidence; estimated from requests to such targets.
    UnservedShare m_unserved;
    Coverage m_coverage;
    std::map<unsigned, base::SteadyTime> m_lastPlannedRetryAt; ///< Retry time of the last refused caller, by priority.
    base::SteadyTime m_hopelessCheckedAt {};
    ZoneCosts m_zoneCosts;
    ZoneDemand m_zoneDemand;
    base::SteadyTime m_expiryCheckedAt {}; ///< When expired grants were last released.
    std::mt19937_64 m_random;
};

} // namespace buckthorncroft::routing
