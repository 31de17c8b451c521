#include <buckthorncroft/routing/dispatch_point.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace buckthorncroft::routing {

namespace {

    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    using Seconds = std::chrono::duration<double>;

    constexpr double latencySmoothing = 0.15;

    // The mean over all targets has many answers, of short and long requests.
    constexpr double serviceTimeSmoothing = 0.02;

    // Time over which the rate is measured at which requests get slots.
    constexpr milliseconds drainSpan { 1000 };

    // Part of the usable slots that is counted on before a rate was measured.
    constexpr double assumedDrain = 0.5;

    // A request may wait if this part of its time is enough; the rest allows for an error of the estimate and for
    // targets that slow down when they are full.
    constexpr double waitShare = 0.3;

    // A target without an answer for this long may have changed its state.
    constexpr milliseconds blindAfter { 2500 };
    constexpr double unknownSmoothing = 0.05;

    // A target within this multiple of the usual latency is as good as any other.
    constexpr double usualSlowness = 1.5;
    constexpr double mostSlownessCost = 1.5;

    // Cost of a failed attempt that can be repeated: the delay and the retry that it takes.
    constexpr double repeatableFailureCost = 0.3;

    // After a refusal for want of room, the target's own queue needs about this long.
    constexpr milliseconds fullPause { 200 };

    // A target with this many slots free that refuses is not full but failing.
    constexpr std::size_t suspiciousFreeSlots = 2;

    // A request whose objective has passed may still wait this part of its remaining time.
    constexpr double lateWaitShare = 0.15;
    constexpr milliseconds longestLateWait { 600 };

    // Risk at which a target that joined is still tried.
    constexpr double wantedRisk = 0.6;

    // Beyond this time a target without requests goes before all others.
    constexpr Seconds mostStarved { 2 };

    // Waiting requests that are tried in vain before the others are left for the next free slot.
    constexpr unsigned mostMisses = 4;

    // Risk that a request takes after it has waited in vain for a sound target.
    constexpr double doubtfulRisk = 0.5;

    // Callers come back after at most this part of their remaining time.
    constexpr double returnShare = 0.33;

    // Part of the capacity that refused callers get when they return; new ones arrive meanwhile.
    constexpr double returnCapacity = 0.5;

    // A slot lapses this long after its request's deadline.
    constexpr milliseconds lapseMargin { 500 };

    // A slot that another point granted is taken as free after this time without a word of its instance.
    constexpr milliseconds heldLapse { 5000 };

    constexpr milliseconds lapseInterval { 250 };

    // The platform counts the targets that had a request within 2 s; the rest is the time until the next ones get
    // theirs.
    constexpr milliseconds reachedWithin { 1500 };

    // The check looks at all targets, of which a service may have hundreds.
    constexpr milliseconds coverageInterval { 50 };

    bool contains(const std::vector<std::string>& list, const std::string& value)
    {
        return std::find(list.begin(), list.end(), value) != list.end();
    }

    bool repeatable(const DispatchRequest& request)
    {
        return request.kind == config::RequestKind::Idempotent;
    }

    // Urgent work first; then what can still meet its objective, most pressing first; then late requests by deadline.
    bool goesBefore(const DispatchRequest& a, const DispatchRequest& b, base::SteadyTime now)
    {
        if (a.priority != b.priority)
            return a.priority < b.priority;
        const bool lateA = a.objectiveDeadline <= now;
        const bool lateB = b.objectiveDeadline <= now;
        if (lateA != lateB)
            return lateB;
        return lateA ? a.deadline < b.deadline : a.objectiveDeadline < b.objectiveDeadline;
    }

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
    , m_budget(settings.retries, settings.retryShare)
    , m_grants(drainSpan)
    , m_serviceTime(settings.initialServiceTime)
    , m_random(seed)
{
}

void DispatchPoint::setTargets(const std::map<std::string, membership::DirectoryEntry>& targets, base::SteadyTime now)
{
    std::erase_if(m_targets, [&](const auto& it) { return !targets.contains(it.first); });
    for (const auto& [id, entry] : targets) {
        auto& target = m_targets[id];
        if (target.entry.record.startedAtUnixMs != entry.record.startedAtUnixMs)
            target = {};
        target.entry = entry;
    }
    dispatch(now);
}

bool DispatchPoint::mayTake(const Target& target, const DispatchRequest& request, base::SteadyTime now) const
{
    const auto& record = target.entry.record;
    // A target that failed last proves itself with one request at a time.
    const std::size_t limit = target.risk.isUnproven() ? 1 : record.slots;
    return target.slots.size() < limit && !record.draining && now >= target.fullUntil
        && !contains(request.excluded, record.id);
}

// A failing target is free again at once and would take all requests that wait, so there is a pause between its trials.
bool DispatchPoint::trialDue(const Target& target, base::SteadyTime now) const
{
    if (!target.risk.isUnproven())
        return true;
    const double growth = std::pow(m_settings.trialGrowth, std::max(1u, target.risk.failureCount()) - 1);
    const auto pause = std::min<Seconds>(m_settings.trialPause * growth, m_settings.longestTrialPause);
    return now - std::max(target.risk.lastFailureAt(), target.grantedAt) >= pause;
}

double DispatchPoint::cost(
    const Target& target, const DispatchRequest& request, double risk, base::SteadyTime now) const
{
    const auto& record = target.entry.record;
    double result = risk * (repeatable(request) ? repeatableFailureCost : 1);
    if (!contains(request.connectedTargets, record.id))
        result += m_settings.connectionCost;
    if (record.zone != request.zone)
        result += request.kind == config::RequestKind::Upload ? m_settings.uploadZoneCost : m_settings.zoneCost;
    const double load = static_cast<double>(target.slots.size()) / std::max(1u, record.slots);
    result += m_settings.loadCost * load * load;
    // It grows slowly at first, so that an instance of the target's zone or with a connection may come by.
    const double starved = std::min(mostStarved, starvedFor(target, now)).count();
    result -= m_settings.starvedGrowth * starved * starved;
    if (now < target.entry.coldUntil)
        result += m_settings.coldCost;
    else if (isNew(target, now))
        result -= m_settings.newTargetBonus;
    const double slowness = target.latency / m_serviceTime;
    if (slowness > usualSlowness)
        result += std::min(mostSlownessCost, m_settings.slownessCost * (slowness - 1));
    return result;
}

// How much longer than it should be a target has been without requests.
Seconds DispatchPoint::starvedFor(const Target& target, base::SteadyTime now) const
{
    if (now < target.entry.coldUntil)
        return Seconds(0);
    return std::max(Seconds(0), Seconds(now - target.grantedAt - starvationLimit(target)));
}

milliseconds DispatchPoint::starvationLimit(const Target& target) const
{
    if (!target.risk.isUnproven())
        return m_coverage.provenAtRisk ? m_settings.starvationAtRisk : m_settings.starvation;
    if (m_coverage.unprovenAtRisk)
        return m_settings.starvationAtRisk;
    return m_coverage.manyUnproven ? m_settings.starvationUnproven : m_settings.starvation;
}

// The platform asks that most sound targets get requests while many requests of the service are not served, which may
// turn out only after the fact. So targets that did not fail are kept in use at all times, and failing ones as far as
// the share needs them once many requests fail, because which of them are sound again is known only by trying.
void DispatchPoint::checkCoverage(base::SteadyTime now)
{
    if (now - m_coverage.checkedAt < coverageInterval)
        return;
    unsigned proven = 0;
    unsigned unproven = 0;
    unsigned provenReached = 0;
    unsigned unprovenReached = 0;
    for (const auto& [id, target] : m_targets) {
        if (target.entry.record.draining || now < target.entry.coldUntil)
            continue;
        const bool reached = now - target.grantedAt < reachedWithin;
        ++(target.risk.isUnproven() ? unproven : proven);
        (target.risk.isUnproven() ? unprovenReached : provenReached) += reached;
    }
    const unsigned targets = proven + unproven;
    const bool unwell = m_unserved.share(now) > m_settings.unwellShare;
    m_coverage.checkedAt = now;
    m_coverage.provenAtRisk = provenReached < m_settings.reachedShare * proven;
    m_coverage.unprovenAtRisk = unwell && provenReached + unprovenReached < m_settings.reachedShare * targets;
    m_coverage.manyUnproven = unproven > m_settings.unprovenShare * targets;
}

// A target that joined and is warm shall prove itself soon.
bool DispatchPoint::isNew(const Target& target, base::SteadyTime now) const
{
    return !target.used && now >= target.entry.coldUntil;
}

// Whether the target may be tried for `request` although it may fail. `riskLimit` is what the request itself takes.
bool DispatchPoint::isAcceptable(const Target& target, double risk, double riskLimit, base::SteadyTime now) const
{
    const bool lastResort = riskLimit >= 1;
    if (lastResort || starvedFor(target, now).count() > 0)
        return true;
    return trialDue(target, now) && risk <= (isNew(target, now) ? std::max(riskLimit, wantedRisk) : riskLimit);
}

DispatchPoint::Target* DispatchPoint::choose(const DispatchRequest& request, double riskLimit, base::SteadyTime now)
{
    Target* best = nullptr;
    double least = 0;
    for (auto& [id, target] : m_targets) {
        const double risk = target.risk.failureProbability(now, m_unknownRisk);
        if (!mayTake(target, request, now) || !isAcceptable(target, risk, riskLimit, now))
            continue;
        // A little noise spreads requests over equal targets.
        const double noise = std::uniform_real_distribution<double>(0, 0.01)(m_random);
        const double value = cost(target, request, risk, now) + noise;
        if (!best || value < least) {
            best = &target;
            least = value;
        }
    }
    return best;
}

double DispatchPoint::riskLimit(const Waiting& waiting, base::SteadyTime now) const
{
    const auto patience
        = std::min<base::SteadyTime::duration>(m_settings.riskPatience, (waiting.until - waiting.since) / 2);
    if (now - waiting.since >= patience)
        return doubtfulRisk;
    return repeatable(waiting.request) ? m_settings.repeatableRisk : m_settings.soundRisk;
}

bool DispatchPoint::tryPlace(const Waiting& waiting, base::SteadyTime now)
{
    auto* target = choose(waiting.request, riskLimit(waiting, now), now);
    if (!target)
        return false;
    grant(*target, waiting.request, now);
    return true;
}

void DispatchPoint::grant(Target& target, const DispatchRequest& request, base::SteadyTime now)
{
    std::uint64_t id = 0;
    while (id == 0 || m_grantTargets.contains(id))
        id = m_random();
    target.used = true;
    target.grantedAt = now;
    m_grants.recordEvent(now);
    const bool blind = target.risk.timeSinceEvidence(now) > blindAfter;
    target.slots.push_back({ id, request.key, now, request.deadline + lapseMargin, blind });
    m_grantTargets[id] = target.entry.record.id;
    DispatchDecision decision;
    decision.key = request.key;
    decision.grant = id;
    decision.target = target.entry.record.id;
    decision.risk = target.risk.failureProbability(now);
    decision.targetCount = static_cast<unsigned>(m_targets.size());
    decision.queuedRequests = m_waiting.size();
    m_decisions.push_back(std::move(decision));
}

bool DispatchPoint::anyTargetFor(const DispatchRequest& request) const
{
    return std::any_of(m_targets.begin(), m_targets.end(),
        [&](const auto& it) { return !it.second.entry.record.draining && !contains(request.excluded, it.first); });
}

double DispatchPoint::usableSlots(base::SteadyTime now) const
{
    double result = 0;
    for (const auto& [id, target] : m_targets) {
        const bool usable = !target.entry.record.draining && now >= target.fullUntil
            && target.risk.failureProbability(now) <= m_settings.repeatableRisk;
        const double speed = target.latency.count() > 0 ? std::min(1.0, m_serviceTime / target.latency) : 1;
        if (usable)
            result += target.entry.record.slots * speed;
    }
    return std::max(1.0, result);
}

Seconds DispatchPoint::expectedWait(const DispatchRequest& request, base::SteadyTime now) const
{
    const auto ahead = std::count_if(
        m_waiting.begin(), m_waiting.end(), [&](const Waiting& it) { return !goesBefore(request, it.request, now); });
    return Seconds((static_cast<double>(ahead) + 1) / drainRate(now));
}

// Requests for slots per second that the targets can take. While requests wait, every slot is in use, so that the rate
// of grants is what the targets can do.
double DispatchPoint::drainRate(base::SteadyTime now) const
{
    return std::max(m_grants.perSecond(now), assumedDrain * usableSlots(now) / m_serviceTime.count());
}

base::SteadyTime DispatchPoint::waitLimit(const DispatchRequest& request, base::SteadyTime now) const
{
    const auto work = duration_cast<base::SteadyTime::duration>(m_serviceTime);
    const auto onTime = request.objectiveDeadline - work;
    const auto late = now
        + std::min(duration_cast<base::SteadyTime::duration>((request.deadline - now) * lateWaitShare),
            duration_cast<base::SteadyTime::duration>(longestLateWait));
    return std::min(std::max(onTime, late), request.deadline - work);
}

milliseconds DispatchPoint::retryAfter(const DispatchRequest& request, base::SteadyTime now)
{
    const Seconds step(1 / (drainRate(now) * returnCapacity));
    m_nextReturn
        = std::max(m_nextReturn, now + m_settings.leastRetryAfter) + duration_cast<base::SteadyTime::duration>(step);
    const auto longest
        = std::max(m_settings.leastRetryAfter, duration_cast<milliseconds>((request.deadline - now) * returnShare));
    return std::clamp(duration_cast<milliseconds>(m_nextReturn - now), m_settings.leastRetryAfter, longest);
}

// Requests to targets of which nothing was known show how likely such a target fails.
void DispatchPoint::noteBlind(const Slot& slot, health::Verdict verdict)
{
    if (!slot.blind || !health::isEvidence(verdict))
        return;
    const bool failed = health::isSlowOrBad(verdict) && verdict != health::Verdict::Error;
    m_unknownRisk += ((failed ? 1.0 : 0.0) - m_unknownRisk) * unknownSmoothing;
}

void DispatchPoint::refuse(const DispatchRequest& request, DispatchRefusal reason, base::SteadyTime now)
{
    m_unserved.recordResult(true, now);
    DispatchDecision decision;
    decision.key = request.key;
    decision.targetCount = static_cast<unsigned>(m_targets.size());
    decision.queuedRequests = m_waiting.size();
    decision.refusal = reason;
    decision.retryAfter = retryAfter(request, now);
    m_decisions.push_back(std::move(decision));
}

void DispatchPoint::requestSlot(const DispatchRequest& request, base::SteadyTime now)
{
    for (const auto& it : m_waiting) {
        if (it.request.key == request.key && it.request.attempt == request.attempt)
            return;
    }
    for (const auto& [id, target] : m_targets) {
        for (const auto& slot : target.slots) {
            // The grant was lost on its way.
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
    freeLapsed(now);
    checkCoverage(now);
    if (request.attempt == 0)
        m_budget.recordRequest(now);
    if (m_targets.empty())
        return awaitTargets(request, now);
    if (!anyTargetFor(request))
        return refuse(request, DispatchRefusal::NoTarget, now);
    if (request.attempt != 0 && !m_budget.tryTake(now))
        return refuse(request, DispatchRefusal::RetryBudgetExhausted, now);
    const Waiting waiting { request, now, waitLimit(request, now) };
    const bool first = m_waiting.empty() || goesBefore(request, m_waiting.front().request, now);
    if (first && tryPlace(waiting, now))
        return;
    if (expectedWait(request, now) > Seconds(waiting.until - now) * waitShare)
        return placeOrRefuse(request, now);
    const auto place = std::find_if(
        m_waiting.begin(), m_waiting.end(), [&](const Waiting& it) { return goesBefore(request, it.request, now); });
    m_waiting.insert(place, waiting);
    dispatch(now);
}

// A request that cannot wait any longer is better placed at a doubtful target than refused, and shows whether the
// target has recovered.
void DispatchPoint::placeOrRefuse(const DispatchRequest& request, base::SteadyTime now)
{
    if (auto* target = choose(request, 1, now))
        grant(*target, request, now);
    else
        refuse(request, m_targets.empty() ? DispatchRefusal::NoTarget : DispatchRefusal::Overloaded, now);
}

// An instance that has just started hears of the targets a little later than its first requests.
void DispatchPoint::awaitTargets(const DispatchRequest& request, base::SteadyTime now)
{
    m_waiting.push_back({ request, now, std::min(now + m_settings.firstTargetsPatience, waitLimit(request, now)) });
}

void DispatchPoint::withdraw(const DispatchKey& key)
{
    std::erase_if(m_waiting, [&](const Waiting& it) { return it.request.key == key; });
}

void DispatchPoint::recordOutcome(const DispatchOutcome& outcome, base::SteadyTime now)
{
    const auto found = m_targets.find(outcome.target);
    if (found == m_targets.end())
        return;
    auto& target = found->second;
    if (outcome.overdue) {
        target.risk.recordOverdueAttempt(now);
        noteRisk(outcome.target);
        return;
    }
    // A failed request that may run again is mostly served by another target.
    if (health::isEvidence(outcome.verdict))
        m_unserved.recordResult(
            health::isSlowOrBad(outcome.verdict) && outcome.kind != config::RequestKind::Idempotent, now);
    const auto inUse = target.slots.size();
    auto started = now - outcome.latency;
    const auto slot = std::find_if(
        target.slots.begin(), target.slots.end(), [&](const Slot& it) { return it.grant == outcome.grant; });
    if (slot != target.slots.end()) {
        started = slot->since;
        noteBlind(*slot, outcome.verdict);
        target.slots.erase(slot);
    }
    m_grantTargets.erase(outcome.grant);
    const bool shed = outcome.verdict == health::Verdict::Shed;
    if (shed)
        target.fullUntil = now + fullPause;
    const bool expectedShed = shed && inUse + suspiciousFreeSlots > target.entry.record.slots;
    if (!expectedShed)
        target.risk.observe(outcome.verdict, started, now);
    if (health::isSlowOrBad(outcome.verdict) || shed)
        noteRisk(outcome.target);
    if (outcome.verdict == health::Verdict::Good) {
        const Seconds latency(outcome.latency);
        target.latency
            = target.latency.count() == 0 ? latency : target.latency + (latency - target.latency) * latencySmoothing;
        m_serviceTime += (latency - m_serviceTime) * serviceTimeSmoothing;
    }
    dispatch(now);
}

void DispatchPoint::reconcileHeldSlots(
    const std::string& instance, const std::vector<HeldSlot>& slots, base::SteadyTime now)
{
    std::set<std::uint64_t> named;
    for (const auto& it : slots)
        named.insert(it.grant);
    for (auto& [id, target] : m_targets) {
        std::erase_if(target.slots, [&](const Slot& it) {
            const bool lapsed
                = it.key.instance == instance && !named.contains(it.grant) && now - it.since > m_settings.grantMemory;
            if (lapsed)
                m_grantTargets.erase(it.grant);
            return lapsed;
        });
    }
    for (const auto& it : slots) {
        const auto target = m_targets.find(it.target);
        if (target == m_targets.end() || m_grantTargets.contains(it.grant))
            continue;
        target->second.slots.push_back({ it.grant, { instance, 0 }, now, now + heldLapse, false });
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

// Requests at the front that find no slot show that there is none; the ones behind them are not tried then, because
// this runs with each slot that becomes free.
void DispatchPoint::dispatch(base::SteadyTime now)
{
    unsigned misses = 0;
    for (auto it = m_waiting.begin(); it != m_waiting.end() && misses < mostMisses;) {
        if (tryPlace(*it, now)) {
            it = m_waiting.erase(it);
        } else {
            ++misses;
            ++it;
        }
    }
}

void DispatchPoint::refuseOverdue(base::SteadyTime now)
{
    std::erase_if(m_waiting, [&](const Waiting& it) {
        if (now < it.until)
            return false;
        placeOrRefuse(it.request, now);
        return true;
    });
}

void DispatchPoint::freeLapsed(base::SteadyTime now)
{
    if (now - m_lapsedAt < lapseInterval)
        return;
    m_lapsedAt = now;
    for (auto& [id, target] : m_targets) {
        std::erase_if(target.slots, [&](const Slot& it) {
            if (now < it.until)
                return false;
            m_grantTargets.erase(it.grant);
            return true;
        });
    }
}

void DispatchPoint::tick(base::SteadyTime now)
{
    freeLapsed(now);
    dispatch(now);
    refuseOverdue(now);
}

DispatchLoad DispatchPoint::load(base::SteadyTime now) const
{
    DispatchLoad result;
    result.queuedRequests = m_waiting.size();
    result.grantsPerSecond = drainRate(now);
    for (const auto& [id, target] : m_targets) {
        if (target.entry.record.draining)
            continue;
        ++result.targets;
        result.slots += target.entry.record.slots;
        result.slotsInUse += static_cast<unsigned>(target.slots.size());
        result.unprovenTargets += target.risk.isUnproven();
        result.saturatedTargets += now < target.fullUntil;
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
