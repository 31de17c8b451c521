#pragma once

#include <buckthorncroft/config/model.h>
#include <buckthorncroft/health/target_risk.h>
#include <buckthorncroft/limits/fleet_retry_budget.h>
#include <buckthorncroft/limits/rate_meter.h>
#include <buckthorncroft/membership/target_directory.h>
#include <buckthorncroft/routing/unserved_share.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthorncroft::routing {

/// Names a request of one instance towards a dispatch point.
struct DispatchKey {
    std::string instance;
    std::uint64_t request = 0; ///< Unique on the instance.
    bool operator==(const DispatchKey&) const = default;
};

/// An instance asks for a slot of some target.
struct DispatchRequest {
    DispatchKey key;
    std::string zone; ///< Availability zone of the instance.
    config::RequestKind kind = config::RequestKind::Idempotent;
    unsigned priority = 0; ///< 0 is the highest.
    unsigned attempt = 0; ///< 0 for the first target; others draw on the retry budget.
    base::SteadyTime objectiveDeadline; ///< An answer until then has its full worth.
    base::SteadyTime deadline; ///< No answer is of use after this.
    std::vector<std::string> connectedTargets; ///< Targets to which the instance has an idle connection.
    std::vector<std::string> excluded; ///< Targets that must not get this request.
};

/// A slot that an instance uses; it repeats them so that a new point learns what is in use.
struct HeldSlot {
    std::uint64_t grant = 0;
    std::string target;
};

/// Why a request gets no slot.
enum class DispatchRefusal {
    NoTarget, ///< The service has no target that may take the request.
    Overloaded, ///< It would wait too long.
    RetryBudgetExhausted, ///< The budget of extra attempts is used up.
};

/// Returns the reason's name in snake_case, as printed in logs.
const char* toString(DispatchRefusal refusal);

/// What a point decided about one request.
struct DispatchDecision {
    DispatchKey key;
    std::uint64_t grant = 0; ///< 0 for a refusal.
    std::string target; ///< Id of the chosen target.
    double risk = 0; ///< Probability that the target fails, as the point sees it.
    unsigned targetCount = 0; ///< Targets of the service.
    std::size_t queuedRequests = 0; ///< Requests that still wait.
    DispatchRefusal refusal = DispatchRefusal::NoTarget;
    std::chrono::milliseconds retryAfter { 0 }; ///< When a refused caller should come back.
};

/// The end of an attempt, or the news that it is overdue.
struct DispatchOutcome {
    std::string instance;
    std::uint64_t grant = 0;
    std::string target;
    config::RequestKind kind = config::RequestKind::Idempotent;
    health::Verdict verdict = health::Verdict::Good;
    std::chrono::microseconds latency { 0 };
    bool overdue = false; ///< The attempt still runs; the slot stays in use.
};

/// Risk of one target, for the points that may succeed this one.
struct TargetRiskReport {
    std::string target;
    double probability = 0;
};

/// What a point has to give, for logs.
struct DispatchLoad {
    std::size_t queuedRequests = 0;
    unsigned targets = 0; ///< Without those that drain.
    unsigned slots = 0; ///< Of these targets.
    unsigned slotsInUse = 0;
    unsigned unprovenTargets = 0; ///< Targets that failed last.
    unsigned saturatedTargets = 0; ///< Targets that have just refused a request.
    double grantsPerSecond = 0; ///< Grants per second that the point counts on.
};

/// Bounds and weights of a dispatch point. Costs are in parts of a request's worth.
struct DispatchSettings {
    limits::RetryAllowance retries;
    double retryShare = 0.5; ///< Part of the allowance for this point; a successor counts from zero.
    double soundRisk = 0.12; ///< A target below this risk takes any request.
    double repeatableRisk = 0.35; ///< A target below this risk takes requests that may run again.
    double connectionCost = 0.06; ///< Price of a new connection.
    double zoneCost = 0.02; ///< Price of the bytes of a small request between zones.
    double uploadZoneCost = 0.4; ///< The same for an upload.
    double loadCost = 0.1; ///< Cost of the last free slot of a target against the first.
    double coldCost = 0.25; ///< Cost of a target that has just started.
    double newTargetBonus = 0.8; ///< A target that never had a request is tried soon.
    double slownessCost = 0.3; ///< Cost for each multiple of the service's usual latency beyond the first.
    double starvedGrowth = 1.5; ///< Preference of a target without requests, for the square of the seconds too long.
    std::chrono::milliseconds starvation { 8000 }; ///< That time while enough targets have requests.
    std::chrono::milliseconds starvationUnproven { 3000 }; ///< The same for failed targets while they are many.
    std::chrono::milliseconds starvationAtRisk { 600 }; ///< The same while too few targets have requests.
    double unprovenShare = 0.25; ///< Share of failed targets from which they are many.
    double unwellShare = 0.07; ///< Share of unserved requests that is too large; the platform's is 0.1.
    double reachedShare = 0.95; ///< Share of targets with recent requests that is kept; the platform's is 0.7.
    std::chrono::milliseconds riskPatience { 150 }; ///< A request waits this long for a sound target.
    std::chrono::milliseconds firstTargetsPatience { 500 }; ///< A request waits this long for the first targets.
    std::chrono::milliseconds trialPause { 700 }; ///< A failed target is tried again after this time.
    double trialGrowth = 1.4; ///< Growth of that time with each failed trial.
    std::chrono::milliseconds longestTrialPause { 2500 };
    std::chrono::milliseconds grantMemory { 500 }; ///< A new grant may be missing from an instance's slots so long.
    std::chrono::milliseconds leastRetryAfter { 100 };
    std::chrono::milliseconds initialServiceTime { 300 }; ///< Until answers were seen.
};

/// Places the requests of one service for the whole fleet: it knows the slots in use, the outcome of all attempts and
/// the requests that wait, so it answers load that no single instance sees. Requests beyond the free slots wait in
/// order of priority and latency objective, and those that would wait too long are refused at once with the time at
/// which the service can take them.
///
/// Its state is soft: instances repeat the slots that they hold, and a point that starts anew is complete within one
/// request time. A state machine without input or output; not safe for concurrent use.
class DispatchPoint {
public:
    DispatchPoint(const DispatchSettings& settings, std::uint64_t seed);

    /// Takes the targets of the service as the registry lists them.
    void setTargets(const std::map<std::string, membership::DirectoryEntry>& targets, base::SteadyTime now);

    /// Places the request, lets it wait, or refuses it; `takeDecisions` has the result. A repeated request that waits
    /// changes nothing; one that has a grant gets the same grant again.
    void requestSlot(const DispatchRequest& request, base::SteadyTime now);

    /// The request no longer needs a slot.
    void withdraw(const DispatchKey& key);

    /// Takes the end of an attempt and frees its slot.
    void recordOutcome(const DispatchOutcome& outcome, base::SteadyTime now);

    /// Takes all slots that an instance uses. Older grants to it that it does not name are free again.
    void reconcileHeldSlots(const std::string& instance, const std::vector<HeldSlot>& slots, base::SteadyTime now);

    /// Takes the risks that another point derived.
    void mergeRisks(const std::vector<TargetRiskReport>& risks, base::SteadyTime now);

    /// Places and refuses waiting requests whose time has come. Call at least every 50 ms while requests wait.
    void tick(base::SteadyTime now);

    /// Decisions since the last call.
    std::vector<DispatchDecision> takeDecisions();

    /// Risks that changed since the last call, for successors.
    std::vector<TargetRiskReport> takeRiskChanges(base::SteadyTime now);

    std::size_t queueLength() const { return m_waiting.size(); }

    DispatchLoad load(base::SteadyTime now) const;

private:
    struct Slot {
        std::uint64_t grant = 0;
        DispatchKey key;
        base::SteadyTime since;
        base::SteadyTime until; ///< Its instance may have ended without a word; the slot is free again then.
        bool blind = false; ///< Nothing recent was known of the target.
    };
    struct Target {
        membership::DirectoryEntry entry;
        health::TargetRisk risk;
        std::vector<Slot> slots;
        std::chrono::duration<double> latency { 0 }; ///< Smoothed; 0 when unknown.
        base::SteadyTime fullUntil {}; ///< It refused a request because it was full.
        base::SteadyTime grantedAt {};
        bool used = false;
    };
    struct Waiting {
        DispatchRequest request;
        base::SteadyTime since;
        base::SteadyTime until; ///< Refused when it is still waiting then.
    };
    /// Whether enough targets had requests lately.
    struct Coverage {
        base::SteadyTime checkedAt {};
        bool provenAtRisk = false; ///< Too few of the targets that did not fail.
        bool unprovenAtRisk = false; ///< Too few of all targets, while many requests are not served.
        bool manyUnproven = false;
    };
    using TargetMap = std::map<std::string, Target>;

    bool tryPlace(const Waiting& waiting, base::SteadyTime now);
    Target* choose(const DispatchRequest& request, double riskLimit, base::SteadyTime now);
    bool mayTake(const Target& target, const DispatchRequest& request, base::SteadyTime now) const;
    bool isAcceptable(const Target& target, double risk, double riskLimit, base::SteadyTime now) const;
    bool trialDue(const Target& target, base::SteadyTime now) const;
    double cost(const Target& target, const DispatchRequest& request, double risk, base::SteadyTime now) const;
    double riskLimit(const Waiting& waiting, base::SteadyTime now) const;
    void grant(Target& target, const DispatchRequest& request, base::SteadyTime now);
    void awaitTargets(const DispatchRequest& request, base::SteadyTime now);
    void placeOrRefuse(const DispatchRequest& request, base::SteadyTime now);
    void refuse(const DispatchRequest& request, DispatchRefusal reason, base::SteadyTime now);
    void dispatch(base::SteadyTime now);
    void refuseOverdue(base::SteadyTime now);
    void freeLapsed(base::SteadyTime now);
    bool anyTargetFor(const DispatchRequest& request) const;
    std::chrono::milliseconds retryAfter(const DispatchRequest& request, base::SteadyTime now);
    std::chrono::duration<double> expectedWait(const DispatchRequest& request, base::SteadyTime now) const;
    base::SteadyTime waitLimit(const DispatchRequest& request, base::SteadyTime now) const;
    std::chrono::duration<double> starvedFor(const Target& target, base::SteadyTime now) const;
    bool isNew(const Target& target, base::SteadyTime now) const;
    std::chrono::milliseconds starvationLimit(const Target& target) const;
    void checkCoverage(base::SteadyTime now);
    void noteBlind(const Slot& slot, health::Verdict verdict);
    double usableSlots(base::SteadyTime now) const;
    double drainRate(base::SteadyTime now) const;
    void noteRisk(const std::string& target) { m_riskChanges.push_back(target); }

    DispatchSettings m_settings;
    TargetMap m_targets;
    limits::FleetRetryBudget m_budget;
    limits::RateMeter m_grants;
    std::vector<Waiting> m_waiting; ///< In the order in which they are placed.
    std::unordered_map<std::uint64_t, std::string> m_grantTargets; ///< Target of each grant in use.
    std::vector<DispatchDecision> m_decisions;
    std::vector<std::string> m_riskChanges;
    std::chrono::duration<double> m_serviceTime; ///< Smoothed over all targets.
    double m_unknownRisk = 0.1; ///< Risk of a target of which nothing recent is known; learnt from such requests.
    UnservedShare m_unserved;
    Coverage m_coverage;
    base::SteadyTime m_nextReturn {}; ///< When the next refused caller finds room.
    base::SteadyTime m_lapsedAt {}; ///< When lapsed slots were last freed.
    std::mt19937_64 m_random;
};

} // namespace buckthorncroft::routing
