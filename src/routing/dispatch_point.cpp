#include <buckthorncroft/routing/dispatch_point.h>

#include "dispatch_detail.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace buckthorncroft::routing {

namespace {

    using detail::contains;
    using detail::isIdempotent;
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    using Seconds = std::chrono::duration<double>;

    // Weight of a new sample in the smoothed latency of a target.
    constexpr double latencySmoothing = 0.15;

    // Weight of a new sample in the service time. Smaller than for one target, because the mean over all targets has
    // many samples, of short and long requests.
    constexpr double serviceTimeSmoothing = 0.02;

    constexpr milliseconds grantRateAveragingTime { 1000 };

    // Part of the usable slots on which the estimated capacity is based until a higher rate of grants is measured.
    constexpr double assumedUsableFraction = 0.5;

    // A request is queued only if its expected wait is at most this part of the time until its wait deadline. The rest
    // allows for estimation errors and for targets that slow down when all their slots are in use.
    constexpr double maxWaitFraction = 0.5;

    // After this time without evidence, the state of a target is unknown, because it may have changed.
    constexpr milliseconds evidenceTtl { 2500 };
    constexpr double unknownRiskSmoothing = 0.05;

    // A target within this multiple of the service's usual latency has no slowness cost.
    constexpr double toleratedSlowness = 1.5;
    constexpr double maxSlownessCost = 1.5;

    // Cost of a failed attempt of an idempotent request, which can be retried: the delay and the extra attempt.
    constexpr double idempotentFailureCost = 0.3;

    // A target that shed a request needs about this long to work off its own queue.
    constexpr milliseconds saturatedTtl { 200 };

    // Bounds the time for which a target that refuses requests is not used.
    constexpr milliseconds maxTargetPause { 10'000 };

    // A target that sheds a request with this many slots free is failing rather than saturated.
    constexpr std::size_t unexpectedShedFreeSlots = 2;

    // A request that has missed its latency objective may still wait this part of its remaining time, and at most
    // `maxLateWait`.
    constexpr double maxLateWaitFraction = 0.15;
    constexpr milliseconds maxLateWait { 600 };

    // Up to this risk, a new target still receives its first request.
    constexpr double maxNewTargetRisk = 0.6;

    // Bounds the preference of an idle target. At this excess it outweighs all costs.
    constexpr Seconds maxIdleExcess { 2 };

    // Queued requests that find no slot before the rest of the queue is left until the next slot becomes free.
    constexpr unsigned maxFailedPlacements = 4;

    // Bounds the requests that are considered for one slot, including those that wait for their own zone.
    constexpr std::size_t maxSkippedRequests = 32;

    // Risk accepted for a request that has waited without success for a target of low risk.
    constexpr double maxRiskAfterWait = 0.5;

    // A refused caller is asked to retry after at most this part of its remaining time.
    constexpr double maxRetryAfterFraction = 0.33;

    // Callers that would be asked to return after that delay return from this part of it on.
    constexpr double minSpreadFraction = 0.5;

    // Bounds the memory of the queue. Each queued request also holds a connection of its caller at some instance.
    constexpr std::size_t maxQueuedRequests = 8192;

    // A queued request whose expected wait exceeds its remaining wait by this factor is refused. The estimate is wrong
    // by less than that while the targets keep their speed.
    constexpr double hopelessWaitFactor = 1.5;
    constexpr milliseconds hopelessCheckInterval { 200 };

    // Part of the capacity that is planned for retries of refused callers. The rest serves new requests.
    constexpr double retryCapacityFraction = 0.5;

    // A grant expires this long after its request's deadline.
    constexpr milliseconds grantExpiryMargin { 500 };

    // A slot granted by another point is released this long after its instance reported it; the next report adds it
    // again.
    constexpr milliseconds heldSlotTtl { 5000 };

    constexpr milliseconds expiryCheckInterval { 250 };

    // The platform counts the targets that had a request within 2 s. The margin covers the time until further targets
    // receive one.
    constexpr milliseconds coverageWindow { 1500 };

    // The check iterates over all targets, of which a service may have hundreds.
    constexpr milliseconds coverageCheckInterval { 50 };

    // Cost of a target in another zone that is in full use, scaled by the square of the zone's load. It spreads
    // requests that leave their zone over the others by their room.
    constexpr double guestZoneLoadCost = 0.2;

} // namespace

const char* toString(DispatchRefusal refusal)
{
    switch (refusal) {
    case DispatchRefusal::NoTarget:
        return "no_target";
    case DispatchRefusal::Overloaded:
        return "overloaded";
    case DispatchRefusal::RetryBudgetExhausted:
        return "retry_budget";
    }
    return "unknown";
}

DispatchPoint::DispatchPoint(const DispatchSettings& settings, std::uint64_t seed)
    : m_settings(settings)
    , m_retryBudget(settings.retries, settings.retryAllowanceFraction)
    , m_grantRate(grantRateAveragingTime)
    , m_serviceTime(settings.initialServiceTime)
    , m_zoneCosts(settings.zonePrices)
    , m_random(seed)
{
    m_retryBudget.setFractionWithHandover(
        std::max(settings.retryAllowanceFraction, settings.retryAllowanceFractionWithHandover));
}

void DispatchPoint::setTargets(const std::map<std::string, membership::DirectoryEntry>& targets, base::SteadyTime now)
{
    std::erase_if(m_targets, [&](const auto& it) {
        const bool removed = !targets.contains(it.first);
        if (removed)
            releaseGrants(it.second);
        return removed;
    });
    for (const auto& [id, entry] : targets) {
        auto& target = m_targets[id];
        if (target.entry.record.startedAtUnixMs != entry.record.startedAtUnixMs) {
            releaseGrants(target);
            target = {};
        }
        target.entry = entry;
    }
    dispatchQueue(now);
}

void DispatchPoint::releaseGrants(const Target& target)
{
    for (const auto& it : target.slots)
        m_grantTargets.erase(it.grant);
}

bool DispatchPoint::canAccept(const Target& target, const DispatchRequest& request, base::SteadyTime now) const
{
    const auto& record = target.entry.record;
    // A target without a good response since its last failure is tried with one request at a time.
    const std::size_t limit = target.risk.isUnproven() ? 1 : record.slots;
    return target.slots.size() < limit && !record.draining && now >= target.saturatedUntil
        && !contains(request.excluded, record.id);
}

// A failing target often fails at once and would have a free slot for each queued request, so its trials are spaced
// out.
bool DispatchPoint::isTrialDue(const Target& target, base::SteadyTime now) const
{
    if (!target.risk.isUnproven())
        return true;
    const double growth = std::pow(m_settings.trialIntervalGrowth, std::max(1u, target.risk.failureCount()) - 1);
    const auto pause = std::min<Seconds>(m_settings.trialInterval * growth, m_settings.maxTrialInterval);
    return now - std::max(target.risk.lastFailureAt(), target.lastGrantAt) >= pause;
}

double DispatchPoint::cost(
    const Target& target, const DispatchRequest& request, double risk, base::SteadyTime now) const
{
    const auto& record = target.entry.record;
    double result = risk * (isIdempotent(request) ? idempotentFailureCost : 1);
    if (!contains(request.connectedTargets, record.id))
        result += m_settings.newConnectionCost;
    const bool isAway = record.zone != request.zone;
    if (isAway) {
        const auto room = m_zoneDemand.room(record.zone);
        const double zoneLoad = room.slots > 0 ? std::min(1.0, room.inUse / room.slots) : 1;
        result += crossingCost(request, now) + guestZoneLoadCost * zoneLoad * zoneLoad;
    }
    const double load = static_cast<double>(target.slots.size()) / std::max(1u, record.slots);
    result += m_settings.loadCost * load * load;
    // The preference grows slowly at first, so that a request from the target's own zone, or from an instance with a
    // connection to it, can arrive before the preference decides.
    const double excess = std::min(maxIdleExcess, idleExcessFor(target, request, now)).count();
    result -= m_settings.idlePreferenceGrowth * excess * excess;
    if (now < target.entry.coldUntil)
        result += m_settings.coldStartCost;
    else if (isNew(target, now) && !isLeftToOwnZone(target, request, now))
        result -= m_settings.newTargetBonus;
    const double slowness = target.latency / m_serviceTime;
    if (slowness > toleratedSlowness)
        result += std::min(maxSlownessCost, m_settings.slownessCost * (slowness - 1));
    return result;
}

// Returns by how much the target has exceeded its maximum time without requests, or 0.
Seconds DispatchPoint::idleExcess(const Target& target, base::SteadyTime now) const
{
    if (now < target.entry.coldUntil)
        return Seconds(0);
    return std::max(Seconds(0), Seconds(now - target.lastGrantAt - maxIdleTimeFor(target)));
}

milliseconds DispatchPoint::maxIdleTimeFor(const Target& target) const
{
    if (!target.risk.isUnproven())
        return m_coverage.provenCoverageLow ? m_settings.maxIdleTimeLowCoverage : m_settings.maxIdleTime;
    if (m_coverage.totalCoverageLow)
        return m_settings.maxIdleTimeLowCoverage;
    return m_coverage.manyUnproven ? m_settings.maxIdleTimeUnproven : m_settings.maxIdleTime;
}

// The platform requires that most healthy targets receive requests while many requests of the service are not served,
// which may be detected only afterwards. Proven targets are therefore kept in use at all times. Once many requests
// fail, unproven targets are used too, as far as the required coverage needs them: only a request can show which of
// them have recovered.
void DispatchPoint::updateCoverage(base::SteadyTime now)
{
    if (now - m_coverage.checkedAt < coverageCheckInterval)
        return;
    unsigned proven = 0;
    unsigned unproven = 0;
    unsigned provenCovered = 0;
    unsigned unprovenCovered = 0;
    for (const auto& [id, target] : m_targets) {
        if (target.entry.record.draining || now < target.entry.coldUntil)
            continue;
        const bool covered = now - target.lastGrantAt < coverageWindow;
        ++(target.risk.isUnproven() ? unproven : proven);
        (target.risk.isUnproven() ? unprovenCovered : provenCovered) += covered;
    }
    const unsigned targets = proven + unproven;
    const bool manyUnserved = m_unserved.share(now) > m_settings.maxUnservedFraction;
    m_coverage.checkedAt = now;
    m_coverage.provenCoverageLow = provenCovered < m_settings.minCoverageFraction * proven;
    m_coverage.totalCoverageLow
        = manyUnserved && provenCovered + unprovenCovered < m_settings.minCoverageFraction * targets;
    m_coverage.manyUnproven = unproven > m_settings.manyUnprovenFraction * targets;
}

// Whether the target has finished its cold start and has not received a request yet.
bool DispatchPoint::isNew(const Target& target, base::SteadyTime now) const
{
    return !target.hasHadRequest && now >= target.entry.coldUntil;
}

// Whether the target may receive a request that accepts `maxRisk`. Targets beyond their maximum idle time are accepted
// at any risk, and new targets up to `maxNewTargetRisk`.
bool DispatchPoint::isRiskAcceptable(
    const Target& target, const DispatchRequest& request, double risk, double maxRisk, base::SteadyTime now) const
{
    const bool lastResort = maxRisk >= 1;
    if (lastResort || idleExcessFor(target, request, now).count() > 0)
        return true;
    return isTrialDue(target, now) && risk <= (isNew(target, now) ? std::max(maxRisk, maxNewTargetRisk) : maxRisk);
}

DispatchPoint::Target* DispatchPoint::chooseTarget(const DispatchRequest& request, double maxRisk, base::SteadyTime now)
{
    updateZoneRoom(now);
    Target* best = nullptr;
    double lowestCost = 0;
    for (auto& [id, target] : m_targets) {
        const double risk = target.risk.failureProbability(now, m_unknownRisk);
        if (!canAccept(target, request, now) || !isRiskAcceptable(target, request, risk, maxRisk, now))
            continue;
        // Random noise spreads requests over targets of equal cost.
        const double noise = std::uniform_real_distribution<double>(0, 0.01)(m_random);
        const double value = cost(target, request, risk, now) + noise;
        if (!best || value < lowestCost) {
            best = &target;
            lowestCost = value;
        }
    }
    return best;
}

double DispatchPoint::maxRiskFor(const QueuedRequest& queued, base::SteadyTime now) const
{
    const auto lowRiskWait = std::min<base::SteadyTime::duration>(
        m_settings.lowRiskWaitTimeout, (queued.waitDeadline - queued.queuedAt) / 2);
    if (now - queued.queuedAt >= lowRiskWait)
        return maxRiskAfterWait;
    return isIdempotent(queued.request) ? m_settings.maxIdempotentRisk : m_settings.maxNonIdempotentRisk;
}

DispatchPoint::GrantAttempt DispatchPoint::tryGrant(const QueuedRequest& queued, base::SteadyTime now)
{
    auto* target = chooseTarget(queued.request, maxRiskFor(queued, now), now);
    if (!target)
        return GrantAttempt::NoTarget;
    if (target->entry.record.zone != queued.request.zone && waitsForHomeTarget(queued, *target, now))
        return GrantAttempt::WaitsForHome;
    m_zoneDemand.recordWait(queued.request.zone, now - queued.queuedAt);
    grantSlot(*target, queued.request, now);
    return GrantAttempt::Granted;
}

void DispatchPoint::grantSlot(Target& target, const DispatchRequest& request, base::SteadyTime now)
{
    std::uint64_t id = 0;
    while (id == 0 || m_grantTargets.contains(id))
        id = m_random();
    const auto placement = explainPlacement(target, request, now);
    m_zoneDemand.recordGrant(target.entry.record.zone);
    target.hasHadRequest = true;
    target.lastGrantAt = now;
    m_grantRate.recordEvent(now);
    m_queue.recordGrant(request, now);
    const bool targetStateUnknown = target.risk.timeSinceEvidence(now) > evidenceTtl;
    target.slots.push_back({ id, request.key, now, request.deadline + grantExpiryMargin, targetStateUnknown });
    m_grantTargets[id] = target.entry.record.id;
    DispatchDecision decision;
    decision.key = request.key;
    decision.grant = id;
    decision.target = target.entry.record.id;
    decision.risk = target.risk.failureProbability(now);
    decision.placement = placement;
    decision.targetCount = static_cast<unsigned>(m_targets.size());
    decision.queuedRequests = m_queue.size();
    m_decisions.push_back(std::move(decision));
}

bool DispatchPoint::hasTargetFor(const DispatchRequest& request) const
{
    return std::any_of(m_targets.begin(), m_targets.end(),
        [&](const auto& it) { return !it.second.entry.record.draining && !contains(request.excluded, it.first); });
}

double DispatchPoint::usableSlots(base::SteadyTime now) const
{
    double result = 0;
    for (const auto& [id, target] : m_targets) {
        const bool usable = !target.entry.record.draining && now >= target.saturatedUntil
            && target.risk.failureProbability(now) <= m_settings.maxIdempotentRisk;
        const double speed = target.latency.count() > 0 ? std::min(1.0, m_serviceTime / target.latency) : 1;
        if (usable)
            result += target.entry.record.slots * speed;
    }
    return std::max(1.0, result);
}

Seconds DispatchPoint::expectedWait(const DispatchRequest& request, base::SteadyTime now) const
{
    return m_queue.expectedWait(request, grantRate(now), now);
}

// Estimates how many requests per second the targets can take. While requests are queued, every slot is in use, so the
// measured rate of grants equals the capacity of the targets.
double DispatchPoint::grantRate(base::SteadyTime now) const
{
    return std::max(m_grantRate.perSecond(now), assumedUsableFraction * usableSlots(now) / m_serviceTime.count());
}

// The longest expected wait with which a request is queued.
Seconds DispatchPoint::maxWait(base::SteadyTime waitDeadline, base::SteadyTime now) const
{
    return Seconds(waitDeadline - now) * maxWaitFraction;
}

base::SteadyTime DispatchPoint::computeWaitDeadline(const DispatchRequest& request, base::SteadyTime now) const
{
    const auto serviceTime = duration_cast<base::SteadyTime::duration>(m_serviceTime);
    const auto objectiveLimit = request.objectiveDeadline - serviceTime;
    const auto lateLimit = now
        + std::min(duration_cast<base::SteadyTime::duration>((request.deadline - now) * maxLateWaitFraction),
            duration_cast<base::SteadyTime::duration>(maxLateWait));
    return std::min(std::max(objectiveLimit, lateLimit), request.deadline - serviceTime);
}

// Callers of one class return one after the other, from the time at which the class is expected to accept them. Beyond
// the maximum delay, their times are spread at random.
milliseconds DispatchPoint::assignRetryAfter(const DispatchRequest& request, base::SteadyTime now)
{
    const Seconds interval(1 / (m_queue.classRate(request.priority, grantRate(now), now) * retryCapacityFraction));
    const auto excessWait = expectedWait(request, now) - maxWait(computeWaitDeadline(request, now), now);
    const auto minDelay = std::max<Seconds>(m_settings.minRetryAfter, excessWait);
    const auto maxRetryAfter = std::max(
        m_settings.minRetryAfter, duration_cast<milliseconds>((request.deadline - now) * maxRetryAfterFraction));
    auto& planned = m_lastPlannedRetryAt[request.priority];
    planned
        = std::max(planned, now + duration_cast<base::SteadyTime::duration>(std::min<Seconds>(minDelay, maxRetryAfter)))
        + duration_cast<base::SteadyTime::duration>(interval);
    if (planned <= now + maxRetryAfter)
        return std::max(duration_cast<milliseconds>(planned - now), m_settings.minRetryAfter);
    planned = std::min(planned, now + maxRetryAfter);
    const double part = std::uniform_real_distribution<double>(minSpreadFraction, 1)(m_random);
    return std::max(duration_cast<milliseconds>(maxRetryAfter * part), m_settings.minRetryAfter);
}

// Updates the assumed risk of targets without recent evidence from the outcome of a request to such a target.
void DispatchPoint::updateUnknownRisk(const Slot& slot, health::Verdict verdict)
{
    if (!slot.targetStateUnknown || !health::isEvidence(verdict))
        return;
    const bool failed = health::isSlowOrBad(verdict) && verdict != health::Verdict::Error;
    m_unknownRisk += ((failed ? 1.0 : 0.0) - m_unknownRisk) * unknownRiskSmoothing;
}

void DispatchPoint::refuse(const DispatchRequest& request, DispatchRefusal reason, base::SteadyTime now)
{
    m_unserved.recordResult(true, now);
    DispatchDecision decision;
    decision.key = request.key;
    decision.targetCount = static_cast<unsigned>(m_targets.size());
    decision.queuedRequests = m_queue.size();
    decision.refusal = reason;
    decision.retryAfter = assignRetryAfter(request, now);
    m_decisions.push_back(std::move(decision));
}

void DispatchPoint::requestSlot(const DispatchRequest& request, base::SteadyTime now)
{
    if (m_queue.contains(request.key, request.attempt))
        return;
    for (const auto& [id, target] : m_targets) {
        for (const auto& slot : target.slots) {
            // The request is repeated because the grant was lost on the network.
            if (slot.key == request.key && !contains(request.excluded, id)) {
                DispatchDecision decision;
                decision.key = request.key;
                decision.grant = slot.grant;
                decision.target = id;
                m_decisions.push_back(std::move(decision));
                return;
            }
        }
    }
    releaseExpiredGrants(now);
    m_zoneDemand.recordArrival(request.zone, now);
    updateCoverage(now);
    if (request.attempt == 0)
        m_retryBudget.recordRequest(now);
    m_queue.recordArrival(request, now);
    if (m_targets.empty())
        return queueUntilTargetsKnown(request, now);
    if (!hasTargetFor(request))
        return refuse(request, DispatchRefusal::NoTarget, now);
    if (request.attempt != 0 && !m_retryBudget.tryTake(now))
        return refuse(request, DispatchRefusal::RetryBudgetExhausted, now);
    const QueuedRequest queued { request, now, computeWaitDeadline(request, now) };
    if (const auto pauseEnd = earliestEndOfPauses(request); pauseEnd && *pauseEnd > queued.waitDeadline) {
        auto& planned = m_lastPlannedRetryAt[request.priority];
        planned = std::max(planned, *pauseEnd);
        return refuse(request, DispatchRefusal::Overloaded, now);
    }
    if (m_queue.wouldBeNext(request, now) && tryGrant(queued, now) == GrantAttempt::Granted)
        return;
    if (m_queue.size() >= maxQueuedRequests || expectedWait(request, now) > maxWait(queued.waitDeadline, now))
        return grantOrRefuse(request, now);
    m_queue.insert(queued, now);
    dispatchQueue(now);
}

// For a request that cannot wait any longer, a target of any risk is better than a refusal. Its outcome also shows
// whether the target has recovered.
void DispatchPoint::grantOrRefuse(const DispatchRequest& request, base::SteadyTime now)
{
    if (auto* target = chooseTarget(request, 1, now))
        grantSlot(*target, request, now);
    else
        refuse(request, m_targets.empty() ? DispatchRefusal::NoTarget : DispatchRefusal::Overloaded, now);
}

// An instance that has just started receives the list of targets slightly later than its first requests.
void DispatchPoint::queueUntilTargetsKnown(const DispatchRequest& request, base::SteadyTime now)
{
    m_queue.insert(
        { request, now, std::min(now + m_settings.firstTargetsTimeout, computeWaitDeadline(request, now)) }, now);
}

void DispatchPoint::withdraw(const DispatchKey& key)
{
    m_queue.removeIf([&](const QueuedRequest& it) { return it.request.key == key; });
}

void DispatchPoint::recordOutcome(const DispatchOutcome& outcome, base::SteadyTime now)
{
    const auto found = m_targets.find(outcome.target);
    if (found == m_targets.end())
        return;
    auto& target = found->second;
    if (outcome.overdue) {
        target.risk.recordOverdueAttempt(now);
        recordRiskChange(outcome.target);
        return;
    }
    // A failed idempotent request counts as served, because a retry at another target mostly succeeds.
    if (health::isEvidence(outcome.verdict))
        m_unserved.recordResult(
            health::isSlowOrBad(outcome.verdict) && outcome.kind != config::RequestKind::Idempotent, now);
    const auto inUse = target.slots.size();
    auto started = now - outcome.latency;
    const auto slot = std::find_if(
        target.slots.begin(), target.slots.end(), [&](const Slot& it) { return it.grant == outcome.grant; });
    if (slot != target.slots.end()) {
        started = slot->grantedAt;
        updateUnknownRisk(*slot, outcome.verdict);
        target.slots.erase(slot);
    }
    m_grantTargets.erase(outcome.grant);
    const bool shed = outcome.verdict == health::Verdict::Shed;
    if (shed)
        recordShed(target, outcome, now);
    const bool expectedShed = shed && inUse + unexpectedShedFreeSlots > target.entry.record.slots;
    if (!expectedShed)
        target.risk.observe(outcome.verdict, started, now);
    if (health::isSlowOrBad(outcome.verdict) || shed)
        recordRiskChange(outcome.target);
    if (outcome.verdict == health::Verdict::Good) {
        const Seconds latency(outcome.latency);
        target.latency
            = target.latency.count() == 0 ? latency : target.latency + (latency - target.latency) * latencySmoothing;
        m_serviceTime += (latency - m_serviceTime) * serviceTimeSmoothing;
    }
    dispatchQueue(now);
}

// A target names a time for one instance and may still serve the others. Once it refuses a second instance before that
// time, it has no room for any of them.
void DispatchPoint::recordShed(Target& target, const DispatchOutcome& outcome, base::SteadyTime now)
{
    target.saturatedUntil = std::max(target.saturatedUntil, now + saturatedTtl);
    if (outcome.retryAfter.count() <= 0)
        return;
    const auto until = now + std::min(outcome.retryAfter, maxTargetPause);
    if (now < target.pausedUntil && target.pausedInstance != outcome.instance)
        target.saturatedUntil = std::max(target.saturatedUntil, std::min(until, target.pausedUntil));
    target.pausedInstance = outcome.instance;
    target.pausedUntil = until;
}

// Returns when the first of the targets that may take the request ends its pause; a time in the past if one has none.
// Returns nothing if there is no such target.
std::optional<base::SteadyTime> DispatchPoint::earliestEndOfPauses(const DispatchRequest& request) const
{
    std::optional<base::SteadyTime> result;
    for (const auto& [id, target] : m_targets) {
        if (!target.entry.record.draining && !contains(request.excluded, id))
            result = std::min(result.value_or(base::SteadyTime::max()), target.saturatedUntil);
    }
    return result;
}

void DispatchPoint::reconcileHeldSlots(
    const std::string& instance, const std::vector<HeldSlot>& slots, base::SteadyTime now)
{
    std::set<std::uint64_t> reported;
    for (const auto& it : slots)
        reported.insert(it.grant);
    for (auto& [id, target] : m_targets) {
        std::erase_if(target.slots, [&](const Slot& it) {
            const bool expired = it.key.instance == instance && !reported.contains(it.grant)
                && now - it.grantedAt > m_settings.unconfirmedGrantTtl;
            if (expired)
                m_grantTargets.erase(it.grant);
            return expired;
        });
    }
    for (const auto& it : slots) {
        const auto target = m_targets.find(it.target);
        if (target == m_targets.end() || m_grantTargets.contains(it.grant))
            continue;
        target->second.slots.push_back({ it.grant, { instance, 0 }, now, now + heldSlotTtl, false });
        m_grantTargets[it.grant] = it.target;
    }
}

void DispatchPoint::mergeRisks(const std::vector<TargetRiskReport>& risks, base::SteadyTime now)
{
    for (const auto& it : risks) {
        if (const auto target = m_targets.find(it.target); target != m_targets.end())
            target->second.risk.mergeRisk(it.probability, now);
    }
}

// Stops after a few requests at the front of the queue that find no slot, because then there is most likely none. The
// function runs again with each slot that becomes free.
void DispatchPoint::dispatchQueue(base::SteadyTime now)
{
    std::vector<const QueuedRequest*> skipped;
    // The requests behind one that waits for its zone wait at least as long.
    std::set<std::pair<std::string, config::RequestKind>> waitingGroups;
    unsigned failedPlacements = 0;
    while (failedPlacements < maxFailedPlacements && skipped.size() < maxSkippedRequests) {
        const auto* next = m_queue.next(skipped, now);
        if (!next)
            return;
        const std::pair group(next->request.zone, next->request.kind);
        if (waitingGroups.contains(group)) {
            skipped.push_back(next);
            continue;
        }
        const auto attempt = tryGrant(*next, now);
        if (attempt == GrantAttempt::Granted) {
            m_queue.removeGranted(*next);
            continue;
        }
        // A request that waits for its own zone does not show that the other zones have no slot.
        if (attempt == GrantAttempt::WaitsForHome)
            waitingGroups.insert(group);
        else
            ++failedPlacements;
        skipped.push_back(next);
    }
}

void DispatchPoint::grantOrRefuseTimedOut(base::SteadyTime now)
{
    for (const auto& it : m_queue.removeIf([&](const QueuedRequest& queued) { return now >= queued.waitDeadline; }))
        grantOrRefuse(it.request, now);
}

// Refuses the queued requests that cannot be served in time any more, because more urgent ones arrived or the targets
// became slower.
void DispatchPoint::refuseHopeless(base::SteadyTime now)
{
    if (m_queue.empty() || m_targets.empty() || now - m_hopelessCheckedAt < hopelessCheckInterval)
        return;
    m_hopelessCheckedAt = now;
    const double rate = grantRate(now);
    const auto isHopeless = [&](const QueuedRequest& it) {
        return m_queue.expectedWait(it.request, rate, now) > Seconds(it.waitDeadline - now) * hopelessWaitFactor;
    };
    for (const auto& it : m_queue.removeIf(isHopeless))
        grantOrRefuse(it.request, now);
}

void DispatchPoint::releaseExpiredGrants(base::SteadyTime now)
{
    if (now - m_expiryCheckedAt < expiryCheckInterval)
        return;
    m_expiryCheckedAt = now;
    for (auto& [id, target] : m_targets) {
        std::erase_if(target.slots, [&](const Slot& it) {
            if (now < it.expiresAt)
                return false;
            m_grantTargets.erase(it.grant);
            return true;
        });
    }
}

void DispatchPoint::tick(base::SteadyTime now)
{
    releaseExpiredGrants(now);
    dispatchQueue(now);
    grantOrRefuseTimedOut(now);
    refuseHopeless(now);
}

DispatchLoad DispatchPoint::load(base::SteadyTime now) const
{
    DispatchLoad result;
    result.queuedRequests = m_queue.size();
    result.grantsPerSecond = grantRate(now);
    for (const auto& [id, target] : m_targets) {
        if (target.entry.record.draining)
            continue;
        ++result.targets;
        result.slots += target.entry.record.slots;
        result.slotsInUse += static_cast<unsigned>(target.slots.size());
        result.unprovenTargets += target.risk.isUnproven();
        result.saturatedTargets += now < target.saturatedUntil;
    }
    return result;
}

std::vector<DispatchDecision> DispatchPoint::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

std::vector<TargetRiskReport> DispatchPoint::takeRiskChanges(base::SteadyTime now)
{
    std::vector<TargetRiskReport> result;
    for (const auto& id : std::exchange(m_riskChanges, {})) {
        if (const auto target = m_targets.find(id); target != m_targets.end())
            result.push_back({ id, target->second.risk.failureProbability(now) });
    }
    return result;
}

} // namespace buckthorncroft::routing
