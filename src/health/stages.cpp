// Scores in, stages out: the decision side of ServiceHealth.
#include <buckthorncroft/health/service_health.h>

#include <algorithm>
#include <cmath>

namespace buckthorncroft::health {

namespace {

    constexpr auto idempotent = static_cast<std::size_t>(config::RequestKind::Idempotent);

    /// Beyond this multiple of the ejection threshold all targets are equally bad for the order at the floor, so that a
    /// target that is kept in, whose score grows on, does not change places with an ejected one again and again.
    constexpr double saturation = 2;

    double fraction(base::SteadyTime from, base::SteadyTime now, Duration length)
    {
        if (length <= Duration(0))
            return 1;
        return std::clamp(std::chrono::duration<double>(now - from) / std::chrono::duration<double>(length), 0.0, 1.0);
    }

} // namespace

const char* toString(Reason reason)
{
    switch (reason) {
    case Reason::OwnEvidence:
        return "own_evidence";
    case Reason::PooledEvidence:
        return "pooled_evidence";
    case Reason::Endpoint:
        return "endpoint";
    case Reason::PeerEjected:
        return "peer_ejected";
    case Reason::EjectionOver:
        return "ejection_over";
    case Reason::TrialPassed:
        return "trial_passed";
    case Reason::TrialFailed:
        return "trial_failed";
    case Reason::RampedUp:
        return "ramped_up";
    case Reason::ColdStart:
        return "cold_start";
    case Reason::Cleared:
        return "cleared";
    case Reason::Floor:
        return "floor";
    }
    return "unknown";
}

std::vector<StageChange> ServiceHealth::tick(base::SteadyTime now)
{
    for (auto& it : m_latencies)
        it.refresh(m_targets.size());
    scoreOwn(now);
    scorePooled(now);
    for (auto& it : m_targets)
        judge(it, now);
    adoptFromPeers(now);
    std::vector<StageChange> changes;
    for (std::size_t it = 0; it < m_targets.size(); ++it)
        moveStage(it, now, changes);
    applyFloor(now, changes);
    return changes;
}

double ServiceHealth::threshold(const detail::TargetState& state) const
{
    const double full = ejectScore(m_settings, m_service.bias);
    const bool relapse = state.stage == Stage::RampUp && state.ejections;
    return relapse ? std::max(m_settings.suspectScore, m_settings.relapseFactor * full) : full;
}

void ServiceHealth::judge(detail::TargetState& state, base::SteadyTime now) const
{
    const double limit = threshold(state);
    const bool endpoint = endpointScore(state, now) >= m_settings.suspectScore - m_settings.endpointScore;
    state.wanted = false;
    state.wantedScore = 0;
    bool pathAtFault = state.pathFaultScore >= limit;
    for (std::size_t kind = 0; kind < config::requestKindCount; ++kind) {
        const double own = state.own[kind].value();
        const double pooled = state.pooled[kind].value();
        const bool ownCounts = !state.refuted[kind] && !m_ignored;
        const double decisive = ownCounts ? std::max(own, pooled) : pooled;
        if (decisive >= limit && decisive > state.wantedScore) {
            state.wanted = true;
            state.wantedScore = std::min(decisive, saturation * ejectScore(m_settings, m_service.bias));
            state.wantedReason = pooled >= limit ? Reason::PooledEvidence : Reason::OwnEvidence;
        }
        // The path stays avoided until its evidence has faded, so that traffic does not swing.
        pathAtFault = pathAtFault || (!ownCounts && own >= (state.avoidLocally ? m_settings.clearScore : limit));
        if (!state.out())
            judgeKind(state, kind, endpoint, now);
    }
    state.avoidLocally = pathAtFault;
    if (!state.wanted)
        state.heldByFloor = false;
}

void ServiceHealth::judgeKind(detail::TargetState& state, std::size_t kind, bool endpoint, base::SteadyTime now) const
{
    const double score = std::max(state.own[kind].value(), state.pooled[kind].value());
    if (score >= m_settings.suspectScore || (endpoint && kind != idempotent)) {
        if (!state.suspect[kind])
            state.suspectSince[kind] = now;
        state.suspect[kind] = true;
        state.unproven[kind] = false;
    } else if (state.suspect[kind] && score < m_settings.clearScore
        && now - state.suspectSince[kind] >= m_settings.suspectDwell) {
        state.suspect[kind] = false;
        // The kind got no requests while it was suspect, so its score faded without proof.
        state.unproven[kind] = kind != idempotent;
        state.unprovenSince[kind] = now;
    }
    if (state.unproven[kind] && now - state.unprovenSince[kind] >= m_settings.unprovenRampUp)
        state.unproven[kind] = false;
}

void ServiceHealth::adoptFromPeers(base::SteadyTime now)
{
    if (now - m_start > m_settings.adoptPeriod)
        return;
    std::size_t fresh = 0;
    std::map<std::string, std::pair<std::size_t, double>> votes;
    for (const auto& [peer, report] : m_peers) {
        if (now - report.at > m_settings.peerMaxAge)
            continue;
        ++fresh;
        for (const auto& it : report.ejected) {
            auto& [n, score] = votes[it.target];
            ++n;
            score = std::max(score, it.score);
        }
    }
    for (auto& state : m_targets) {
        const auto found = votes.find(state.id);
        if (found == votes.end() || state.out() || state.ejections)
            continue;
        const auto [n, score] = found->second;
        if (n < m_settings.adoptPeers || 2 * n < fresh)
            continue;
        state.wanted = true;
        state.wantedReason = Reason::PeerEjected;
        state.wantedScore = std::max(state.wantedScore, score);
    }
}

void ServiceHealth::moveStage(std::size_t target, base::SteadyTime now, std::vector<StageChange>& changes)
{
    auto& state = m_targets[target];
    const bool suspect = std::any_of(state.suspect.begin(), state.suspect.end(), [](bool it) { return it; });
    switch (state.stage) {
    case Stage::Healthy:
        if (suspect) {
            const bool byScore = std::any_of(state.pooled.begin(), state.pooled.end(),
                [&](const auto& it) { return it.value() >= m_settings.suspectScore; });
            const bool byOwn = std::any_of(state.own.begin(), state.own.end(),
                [&](const auto& it) { return it.value() >= m_settings.suspectScore; });
            change(target, Stage::Suspect,
                byScore     ? Reason::PooledEvidence
                    : byOwn ? Reason::OwnEvidence
                            : Reason::Endpoint,
                now, changes);
        } else if (state.ejections && now - state.forgivenAt >= m_settings.forgiveAfter) {
            --state.ejections;
            state.forgivenAt = now;
        }
        break;
    case Stage::Suspect:
        if (!suspect && !state.heldByFloor && now - state.since >= m_settings.suspectDwell)
            change(target, Stage::Healthy, Reason::Cleared, now, changes);
        break;
    case Stage::Ejected:
        if (now >= state.until) {
            // Without idempotent requests nothing can be tried safely, so a very small share comes first.
            if (!hasIdempotentRoute()) {
                enterRampUp(target, Reason::EjectionOver, m_settings.unprovenRampUp, now, changes);
                break;
            }
            state.trialGoods = state.trialBads = 0;
            change(target, Stage::Trial, Reason::EjectionOver, now, changes);
        }
        break;
    case Stage::Trial:
        moveTrial(target, now, changes);
        break;
    case Stage::RampUp:
        if (now >= state.until) {
            state.forgivenAt = now;
            change(target, Stage::Healthy, Reason::RampedUp, now, changes);
        }
        break;
    }
}

void ServiceHealth::moveTrial(std::size_t target, base::SteadyTime now, std::vector<StageChange>& changes)
{
    auto& state = m_targets[target];
    if (state.trialBads)
        eject(target, Reason::TrialFailed, now, changes);
    else if (state.trialGoods >= m_settings.trialGoods
        || (state.trialGoods && now - state.since >= m_settings.trialMax))
        enterRampUp(target, Reason::TrialPassed, m_settings.rampUp, now, changes);
}

void ServiceHealth::enterRampUp(
    std::size_t target, Reason reason, Duration length, base::SteadyTime now, std::vector<StageChange>& changes)
{
    auto& state = m_targets[target];
    for (std::size_t kind = 0; kind < config::requestKindCount; ++kind) {
        state.own[kind].reset();
        state.pooled[kind].reset();
        // Good reads do not prove bookings or uploads; these start again with a very small share.
        if (state.suspect[kind] && kind != idempotent) {
            state.unproven[kind] = true;
            state.unprovenSince[kind] = now;
        }
        state.suspect[kind] = false;
    }
    state.heldByFloor = false;
    state.wanted = false; // It was judged by scores from before the reset.
    state.until = now + length;
    change(target, Stage::RampUp, reason, now, changes);
}

std::vector<StageChange> ServiceHealth::handleTargetStart(std::size_t target, base::SteadyTime now)
{
    std::vector<StageChange> changes;
    if (target >= m_targets.size() || m_service.coldStart.count() == 0)
        return changes;
    auto& state = m_targets[target];
    // A target that restarts again and again would otherwise never show evidence.
    if (state.out() || now < state.coldAgain)
        return changes;
    state.coldUntil = now + m_service.coldStart;
    state.coldAgain = now + m_service.coldStart * m_settings.coldStartPause;
    enterRampUp(target, Reason::ColdStart, m_service.coldStart, now, changes);
    return changes;
}

void ServiceHealth::eject(std::size_t target, Reason reason, base::SteadyTime now, std::vector<StageChange>& changes)
{
    auto& state = m_targets[target];
    if (state.stage != Stage::Trial)
        state.ejectedScore = state.wantedScore;
    auto length = m_settings.ejectBase;
    for (unsigned it = 0; it < state.ejections && length < m_settings.ejectMax; ++it)
        length *= 2;
    state.until = now + std::min(length, m_settings.ejectMax);
    ++state.ejections;
    state.forgivenAt = now;
    state.heldByFloor = false;
    change(target, Stage::Ejected, reason, now, changes);
}

void ServiceHealth::change(
    std::size_t target, Stage to, Reason reason, base::SteadyTime now, std::vector<StageChange>& changes)
{
    auto& state = m_targets[target];
    auto event = describe(target);
    state.stage = to;
    state.reason = reason;
    state.since = now;
    event.to = to;
    event.reason = reason;
    event.heldByFloor = state.heldByFloor;
    event.inServiceCount = targetsIn();
    changes.push_back(std::move(event));
}

StageChange ServiceHealth::describe(std::size_t target) const
{
    const auto& state = m_targets[target];
    StageChange result;
    result.target = state.id;
    result.from = result.to = state.stage;
    for (std::size_t kind = 0; kind < config::requestKindCount; ++kind) {
        result.own[kind] = state.own[kind].value();
        result.pooled[kind] = state.pooled[kind].value();
    }
    result.inServiceCount = targetsIn();
    result.floor = config::floorTargetCount(m_service);
    return result;
}

std::vector<FloorCandidate> ServiceHealth::candidates(base::SteadyTime now) const
{
    std::map<std::string, double> scores;
    const auto add = [&](const std::string& target, double score) {
        auto& slot = scores[target];
        slot = std::max(slot, score);
    };
    for (const auto& it : m_targets) {
        if (it.out())
            add(it.id, it.ejectedScore);
        else if (it.wanted)
            add(it.id, it.wantedScore);
    }
    for (const auto& [peer, report] : m_peers)
        if (now - report.at <= m_settings.peerMaxAge)
            for (const auto& it : report.ejected)
                add(it.target, it.score);
    std::vector<FloorCandidate> result;
    for (const auto& it : m_targets)
        if (const auto found = scores.find(it.id); found != scores.end() && available(it))
            result.push_back({ it.id, found->second });
    return result;
}

void ServiceHealth::applyFloor(base::SteadyTime now, std::vector<StageChange>& changes)
{
    const auto n = static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(), [&](const auto& it) { return available(it); }));
    const auto allowed = allowedOut(n, config::floorTargetCount(m_service));
    auto order = candidates(now);
    sortWorstFirst(order);
    std::map<std::string, std::size_t> ranks;
    for (std::size_t it = 0; it < order.size(); ++it)
        ranks.emplace(order[it].target, it);
    // A peer's score that keeps a target out must outlast the peer's report: otherwise the order of the worst targets
    // changes when the report expires, and too many of them stay out until the next step.
    for (auto& state : m_targets) {
        if (const auto rank = ranks.find(state.id); rank != ranks.end() && state.out())
            state.ejectedScore = std::max(state.ejectedScore, order[rank->second].score);
    }
    // Readmissions come first, so that no step of the list of changes is below the floor.
    for (const bool readmitting : { true, false })
        for (std::size_t it = 0; it < m_targets.size(); ++it) {
            const auto& state = m_targets[it];
            const auto rank = ranks.find(state.id);
            if (rank == ranks.end())
                continue;
            const bool mayBeOut = rank->second < allowed;
            if (readmitting && !mayBeOut && state.out())
                readmit(it, now, changes);
            else if (!readmitting && !state.out() && state.wanted) {
                if (mayBeOut)
                    eject(it, state.wantedReason, now, changes);
                else if (!state.heldByFloor)
                    holdBack(it, changes);
            }
        }
}

void ServiceHealth::readmit(std::size_t target, base::SteadyTime now, std::vector<StageChange>& changes)
{
    m_targets[target].heldByFloor = true;
    change(target, Stage::Suspect, Reason::Floor, now, changes);
}

void ServiceHealth::holdBack(std::size_t target, std::vector<StageChange>& changes)
{
    m_targets[target].heldByFloor = true;
    auto event = describe(target);
    event.reason = Reason::Floor;
    event.heldByFloor = true;
    changes.push_back(std::move(event));
}

unsigned ServiceHealth::targetsIn() const
{
    return static_cast<unsigned>(
        std::count_if(m_targets.begin(), m_targets.end(), [&](const auto& it) { return available(it) && !it.out(); }));
}

bool ServiceHealth::hasIdempotentRoute() const
{
    return std::any_of(m_service.routes.begin(), m_service.routes.end(),
        [](const auto& it) { return it.kind == config::RequestKind::Idempotent; });
}

double ServiceHealth::endpointScore(const detail::TargetState& state, base::SteadyTime now) const
{
    const double age = std::chrono::duration<double>(now - state.endpointAt).count();
    return state.endpointScore * std::exp2(-age / std::chrono::duration<double>(m_settings.endpointHalfLife).count());
}

double ServiceHealth::idempotentWeight(const detail::TargetState& state, base::SteadyTime now) const
{
    switch (state.stage) {
    case Stage::Ejected:
    case Stage::Trial:
        return 0;
    case Stage::RampUp: {
        const double part = fraction(state.since, now, std::chrono::duration_cast<Duration>(state.until - state.since));
        return m_settings.rampFirstWeight + (1 - m_settings.rampFirstWeight) * part;
    }
    case Stage::Suspect:
        if (!state.suspect[idempotent] && !state.heldByFloor)
            return 1;
        return now - state.since < m_settings.suspectDecide ? m_settings.suspectFirstWeight : m_settings.suspectWeight;
    case Stage::Healthy:
        break;
    }
    return 1;
}

std::vector<TargetView> ServiceHealth::views(base::SteadyTime now) const
{
    std::vector<TargetView> result;
    for (const auto& state : m_targets) {
        TargetView view;
        view.stage = state.stage;
        view.draining = !state.drains.empty();
        view.avoidLocally = state.avoidLocally;
        view.weight = idempotentWeight(state, now);
        const bool doubtful = state.stage == Stage::Suspect && (state.suspect[idempotent] || state.heldByFloor);
        for (std::size_t kind = 0; kind < config::requestKindCount; ++kind) {
            // A target that is doubtful for reads gets no request that may run only once.
            view.suspectFor[kind] = state.suspect[kind] || (doubtful && kind != idempotent);
            view.weightFor[kind] = view.suspectFor[kind] && kind != idempotent ? 0 : view.weight;
            if (state.unproven[kind]) {
                const double part = fraction(state.unprovenSince[kind], now, m_settings.unprovenRampUp);
                view.weightFor[kind] *= m_settings.unprovenFirstWeight + (1 - m_settings.unprovenFirstWeight) * part;
            }
        }
        result.push_back(view);
    }
    return result;
}

std::vector<StageExplanation> ServiceHealth::explain() const
{
    std::vector<StageExplanation> result;
    for (std::size_t it = 0; it < m_targets.size(); ++it) {
        const auto& state = m_targets[it];
        const auto event = describe(it);
        StageExplanation explanation { state.id, state.stage, state.reason, state.since, event.own, event.pooled };
        explanation.reporters = state.reporters;
        explanation.ejections = state.ejections;
        explanation.heldByFloor = state.heldByFloor;
        explanation.avoidLocally = state.avoidLocally;
        explanation.draining = !state.drains.empty();
        explanation.down = state.down;
        explanation.inServiceCount = event.inServiceCount;
        explanation.floor = event.floor;
        result.push_back(std::move(explanation));
    }
    return result;
}

} // namespace buckthorncroft::health
