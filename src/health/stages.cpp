// Decisions of ServiceHealth: derives stages from scores and enforces the floor. The input is in service_health.cpp.
#include <buckthorncroft/health/service_health.h>

#include <algorithm>
#include <cmath>

namespace buckthorncroft::health {

namespace {

    constexpr auto idempotent = static_cast<std::size_t>(config::RequestKind::Idempotent);

    /// Scores are capped at this multiple of the ejection threshold. The score of a target that the floor keeps in
    /// service continues to grow; without the cap it would repeatedly trade places with an ejected target.
    constexpr double maxScoreFactor = 2;

    double elapsedFraction(base::SteadyTime from, base::SteadyTime now, Duration length)
    {
        if (length <= Duration(0))
            return 1;
        return std::clamp(std::chrono::duration<double>(now - from) / std::chrono::duration<double>(length), 0.0, 1.0);
    }

} // namespace

const char* toString(StageChangeReason reason)
{
    switch (reason) {
    case StageChangeReason::OwnEvidence:
        return "own_evidence";
    case StageChangeReason::PooledEvidence:
        return "pooled_evidence";
    case StageChangeReason::Endpoint:
        return "endpoint";
    case StageChangeReason::PeerEjected:
        return "peer_ejected";
    case StageChangeReason::EjectionOver:
        return "ejection_over";
    case StageChangeReason::TrialPassed:
        return "trial_passed";
    case StageChangeReason::TrialFailed:
        return "trial_failed";
    case StageChangeReason::RampedUp:
        return "ramped_up";
    case StageChangeReason::ColdStart:
        return "cold_start";
    case StageChangeReason::Cleared:
        return "cleared";
    case StageChangeReason::Floor:
        return "floor";
    }
    return "unknown";
}

std::vector<StageChange> ServiceHealth::tick(base::SteadyTime now)
{
    for (auto& it : m_latencyModels)
        it.updateLimits(m_targets.size());
    updateOwnScores(now);
    updatePooledScores(now);
    for (auto& it : m_targets)
        evaluateTarget(it, now);
    adoptPeerEjections(now);
    std::vector<StageChange> changes;
    for (std::size_t it = 0; it < m_targets.size(); ++it)
        advanceStage(it, now, changes);
    applyFloor(now, changes);
    return changes;
}

double ServiceHealth::ejectionThreshold(const detail::TargetState& state) const
{
    const double full = ejectScore(m_settings, m_service.bias);
    const bool relapse = state.stage == Stage::RampUp && state.ejections;
    return relapse ? std::max(m_settings.suspectScore, m_settings.relapseThresholdFactor * full) : full;
}

void ServiceHealth::evaluateTarget(detail::TargetState& state, base::SteadyTime now) const
{
    const double limit = ejectionThreshold(state);
    const bool hasEndpointSuspicion
        = currentEndpointScore(state, now) >= m_settings.suspectScore - m_settings.endpointFailureScore;
    state.shouldEject = false;
    state.candidateScore = 0;
    bool hasPathFault = state.pathFaultScore >= limit;
    for (std::size_t kind = 0; kind < config::requestKindCount; ++kind) {
        const double own = state.own[kind].value();
        const double pooled = state.pooled[kind].value();
        const bool ownEvidenceApplies = !state.refutedByOthers[kind] && !m_isIgnored;
        const double decidingScore = ownEvidenceApplies ? std::max(own, pooled) : pooled;
        if (decidingScore >= limit && decidingScore > state.candidateScore) {
            state.shouldEject = true;
            state.candidateScore = std::min(decidingScore, maxScoreFactor * ejectScore(m_settings, m_service.bias));
            state.ejectReason = pooled >= limit ? StageChangeReason::PooledEvidence : StageChangeReason::OwnEvidence;
        }
        // The path is avoided until the score is below the clearing threshold, so that traffic does not oscillate.
        hasPathFault
            = hasPathFault || (!ownEvidenceApplies && own >= (state.avoidLocally ? m_settings.clearScore : limit));
        if (!state.isOutOfService())
            updateSuspicion(state, kind, hasEndpointSuspicion, now);
    }
    state.avoidLocally = hasPathFault;
    if (!state.shouldEject)
        state.heldByFloor = false;
}

void ServiceHealth::updateSuspicion(
    detail::TargetState& state, std::size_t kind, bool hasEndpointSuspicion, base::SteadyTime now) const
{
    const double score = std::max(state.own[kind].value(), state.pooled[kind].value());
    if (score >= m_settings.suspectScore || (hasEndpointSuspicion && kind != idempotent)) {
        if (!state.suspect[kind])
            state.suspectSince[kind] = now;
        state.suspect[kind] = true;
        state.unproven[kind] = false;
    } else if (state.suspect[kind] && score < m_settings.clearScore
        && now - state.suspectSince[kind] >= m_settings.minSuspectTime) {
        state.suspect[kind] = false;
        // The target received no requests of this kind while suspect, so its score decayed without good responses.
        state.unproven[kind] = kind != idempotent;
        state.unprovenSince[kind] = now;
    }
    if (state.unproven[kind] && now - state.unprovenSince[kind] >= m_settings.unprovenRampUpTime)
        state.unproven[kind] = false;
}

void ServiceHealth::adoptPeerEjections(base::SteadyTime now)
{
    if (now - m_startedAt > m_settings.peerAdoptionPeriod)
        return;
    std::size_t freshReports = 0;
    std::map<std::string, std::pair<std::size_t, double>> votes;
    for (const auto& [peer, report] : m_peerReports) {
        if (now - report.receivedAt > m_settings.maxPeerReportAge)
            continue;
        ++freshReports;
        for (const auto& it : report.ejected) {
            auto& [n, score] = votes[it.target];
            ++n;
            score = std::max(score, it.score);
        }
    }
    for (auto& state : m_targets) {
        const auto found = votes.find(state.id);
        if (found == votes.end() || state.isOutOfService() || state.ejections)
            continue;
        const auto [n, score] = found->second;
        if (n < m_settings.minAgreeingPeers || 2 * n < freshReports)
            continue;
        state.shouldEject = true;
        state.ejectReason = StageChangeReason::PeerEjected;
        state.candidateScore = std::max(state.candidateScore, score);
    }
}

void ServiceHealth::advanceStage(std::size_t target, base::SteadyTime now, std::vector<StageChange>& changes)
{
    auto& state = m_targets[target];
    const bool suspect = std::any_of(state.suspect.begin(), state.suspect.end(), [](bool it) { return it; });
    switch (state.stage) {
    case Stage::Healthy:
        if (suspect) {
            const bool isPooledSuspect = std::any_of(state.pooled.begin(), state.pooled.end(),
                [&](const auto& it) { return it.value() >= m_settings.suspectScore; });
            const bool isOwnSuspect = std::any_of(state.own.begin(), state.own.end(),
                [&](const auto& it) { return it.value() >= m_settings.suspectScore; });
            changeStage(target, Stage::Suspect,
                isPooledSuspect    ? StageChangeReason::PooledEvidence
                    : isOwnSuspect ? StageChangeReason::OwnEvidence
                                   : StageChangeReason::Endpoint,
                now, changes);
        } else if (state.ejections && now - state.ejectionsUpdatedAt >= m_settings.ejectionForgivenessInterval) {
            --state.ejections;
            state.ejectionsUpdatedAt = now;
        }
        break;
    case Stage::Suspect:
        if (!suspect && !state.heldByFloor && now - state.since >= m_settings.minSuspectTime)
            changeStage(target, Stage::Healthy, StageChangeReason::Cleared, now, changes);
        break;
    case Stage::Ejected:
        if (now >= state.stageEndsAt) {
            // Without idempotent requests no trial is safe, so the target starts with a very small weight instead.
            if (!hasIdempotentRoute()) {
                enterRampUp(target, StageChangeReason::EjectionOver, m_settings.unprovenRampUpTime, now, changes);
                break;
            }
            state.trialSuccesses = state.trialFailures = 0;
            changeStage(target, Stage::Trial, StageChangeReason::EjectionOver, now, changes);
        }
        break;
    case Stage::Trial:
        advanceTrial(target, now, changes);
        break;
    case Stage::RampUp:
        if (now >= state.stageEndsAt) {
            state.ejectionsUpdatedAt = now;
            changeStage(target, Stage::Healthy, StageChangeReason::RampedUp, now, changes);
        }
        break;
    }
}

void ServiceHealth::advanceTrial(std::size_t target, base::SteadyTime now, std::vector<StageChange>& changes)
{
    auto& state = m_targets[target];
    if (state.trialFailures)
        eject(target, StageChangeReason::TrialFailed, now, changes);
    else if (state.trialSuccesses >= m_settings.minTrialSuccesses
        || (state.trialSuccesses && now - state.since >= m_settings.maxTrialTime))
        enterRampUp(target, StageChangeReason::TrialPassed, m_settings.rampUpTime, now, changes);
}

void ServiceHealth::enterRampUp(std::size_t target, StageChangeReason reason, Duration length, base::SteadyTime now,
    std::vector<StageChange>& changes)
{
    auto& state = m_targets[target];
    for (std::size_t kind = 0; kind < config::requestKindCount; ++kind) {
        state.own[kind].reset();
        state.pooled[kind].reset();
        // Good idempotent requests don't prove that other kinds succeed, so these restart with a very small weight.
        if (state.suspect[kind] && kind != idempotent) {
            state.unproven[kind] = true;
            state.unprovenSince[kind] = now;
        }
        state.suspect[kind] = false;
    }
    state.heldByFloor = false;
    state.shouldEject = false; // It was computed from the scores before the reset.
    state.stageEndsAt = now + length;
    changeStage(target, Stage::RampUp, reason, now, changes);
}

std::vector<StageChange> ServiceHealth::handleTargetStart(std::size_t target, base::SteadyTime now)
{
    std::vector<StageChange> changes;
    if (target >= m_targets.size() || m_service.coldStart.count() == 0)
        return changes;
    auto& state = m_targets[target];
    // Otherwise a target that restarts repeatedly would never yield evidence.
    if (state.isOutOfService() || now < state.nextColdStartAt)
        return changes;
    state.coldStartEndsAt = now + m_service.coldStart;
    state.nextColdStartAt = now + m_service.coldStart * m_settings.coldStartIntervalFactor;
    enterRampUp(target, StageChangeReason::ColdStart, m_service.coldStart, now, changes);
    return changes;
}

void ServiceHealth::eject(
    std::size_t target, StageChangeReason reason, base::SteadyTime now, std::vector<StageChange>& changes)
{
    auto& state = m_targets[target];
    if (state.stage != Stage::Trial)
        state.scoreAtEjection = state.candidateScore;
    auto length = m_settings.initialEjectionTime;
    for (unsigned it = 0; it < state.ejections && length < m_settings.maxEjectionTime; ++it)
        length *= 2;
    state.stageEndsAt = now + std::min(length, m_settings.maxEjectionTime);
    ++state.ejections;
    state.ejectionsUpdatedAt = now;
    state.heldByFloor = false;
    changeStage(target, Stage::Ejected, reason, now, changes);
}

void ServiceHealth::changeStage(
    std::size_t target, Stage to, StageChangeReason reason, base::SteadyTime now, std::vector<StageChange>& changes)
{
    auto& state = m_targets[target];
    auto event = makeStageChange(target);
    state.stage = to;
    state.reason = reason;
    state.since = now;
    event.to = to;
    event.reason = reason;
    event.heldByFloor = state.heldByFloor;
    event.inServiceCount = countInService();
    changes.push_back(std::move(event));
}

StageChange ServiceHealth::makeStageChange(std::size_t target) const
{
    const auto& state = m_targets[target];
    StageChange result;
    result.target = state.id;
    result.from = result.to = state.stage;
    for (std::size_t kind = 0; kind < config::requestKindCount; ++kind) {
        result.own[kind] = state.own[kind].value();
        result.pooled[kind] = state.pooled[kind].value();
    }
    result.inServiceCount = countInService();
    result.floor = config::floorTargetCount(m_service);
    return result;
}

std::vector<EjectionCandidate> ServiceHealth::ejectionCandidates(base::SteadyTime now) const
{
    std::map<std::string, double> scores;
    const auto add = [&](const std::string& target, double score) {
        auto& entry = scores[target];
        entry = std::max(entry, score);
    };
    for (const auto& it : m_targets) {
        if (it.isOutOfService())
            add(it.id, it.scoreAtEjection);
        else if (it.shouldEject)
            add(it.id, it.candidateScore);
    }
    for (const auto& [peer, report] : m_peerReports)
        if (now - report.receivedAt <= m_settings.maxPeerReportAge)
            for (const auto& it : report.ejected)
                add(it.target, it.score);
    std::vector<EjectionCandidate> result;
    for (const auto& it : m_targets)
        if (const auto found = scores.find(it.id); found != scores.end() && isAvailable(it))
            result.push_back({ it.id, found->second });
    return result;
}

void ServiceHealth::applyFloor(base::SteadyTime now, std::vector<StageChange>& changes)
{
    const auto n = static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(), [&](const auto& it) { return isAvailable(it); }));
    const auto maxOut = maxOutOfService(n, config::floorTargetCount(m_service));
    auto order = ejectionCandidates(now);
    sortWorstFirst(order);
    std::map<std::string, std::size_t> ranks;
    for (std::size_t it = 0; it < order.size(); ++it)
        ranks.emplace(order[it].target, it);
    // A peer's score that keeps a target out of service must be stored, because the peer's report expires. Otherwise
    // the ranking would change at that time, and too many targets would be out of service until the next step.
    for (auto& state : m_targets) {
        if (const auto rank = ranks.find(state.id); rank != ranks.end() && state.isOutOfService())
            state.scoreAtEjection = std::max(state.scoreAtEjection, order[rank->second].score);
    }
    // Readmissions come first, so that no intermediate state in the list of changes violates the floor.
    for (const bool readmitting : { true, false })
        for (std::size_t it = 0; it < m_targets.size(); ++it) {
            const auto& state = m_targets[it];
            const auto rank = ranks.find(state.id);
            if (rank == ranks.end())
                continue;
            const bool isAllowedOut = rank->second < maxOut;
            if (readmitting && !isAllowedOut && state.isOutOfService())
                readmit(it, now, changes);
            else if (!readmitting && !state.isOutOfService() && state.shouldEject) {
                if (isAllowedOut)
                    eject(it, state.ejectReason, now, changes);
                else if (!state.heldByFloor)
                    recordFloorHold(it, changes);
            }
        }
}

void ServiceHealth::readmit(std::size_t target, base::SteadyTime now, std::vector<StageChange>& changes)
{
    m_targets[target].heldByFloor = true;
    changeStage(target, Stage::Suspect, StageChangeReason::Floor, now, changes);
}

void ServiceHealth::recordFloorHold(std::size_t target, std::vector<StageChange>& changes)
{
    m_targets[target].heldByFloor = true;
    auto event = makeStageChange(target);
    event.reason = StageChangeReason::Floor;
    event.heldByFloor = true;
    changes.push_back(std::move(event));
}

unsigned ServiceHealth::countInService() const
{
    return static_cast<unsigned>(std::count_if(
        m_targets.begin(), m_targets.end(), [&](const auto& it) { return isAvailable(it) && !it.isOutOfService(); }));
}

bool ServiceHealth::hasIdempotentRoute() const
{
    return std::any_of(m_service.routes.begin(), m_service.routes.end(),
        [](const auto& it) { return it.kind == config::RequestKind::Idempotent; });
}

double ServiceHealth::currentEndpointScore(const detail::TargetState& state, base::SteadyTime now) const
{
    const double age = std::chrono::duration<double>(now - state.endpointScoreAt).count();
    return state.endpointScore * std::exp2(-age / std::chrono::duration<double>(m_settings.endpointHalfLife).count());
}

double ServiceHealth::idempotentWeight(const detail::TargetState& state, base::SteadyTime now) const
{
    switch (state.stage) {
    case Stage::Ejected:
    case Stage::Trial:
        return 0;
    case Stage::RampUp: {
        const double elapsed
            = elapsedFraction(state.since, now, std::chrono::duration_cast<Duration>(state.stageEndsAt - state.since));
        return m_settings.rampUpInitialWeight + (1 - m_settings.rampUpInitialWeight) * elapsed;
    }
    case Stage::Suspect:
        if (!state.suspect[idempotent] && !state.heldByFloor)
            return 1;
        return now - state.since < m_settings.suspectDecisionTime ? m_settings.suspectInitialWeight
                                                                  : m_settings.suspectWeight;
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
        view.draining = !state.drainSources.empty();
        view.avoidLocally = state.avoidLocally;
        view.weight = idempotentWeight(state, now);
        const bool isSuspectForIdempotent
            = state.stage == Stage::Suspect && (state.suspect[idempotent] || state.heldByFloor);
        for (std::size_t kind = 0; kind < config::requestKindCount; ++kind) {
            // A target that is suspect for idempotent requests receives no other requests.
            view.suspectFor[kind] = state.suspect[kind] || (isSuspectForIdempotent && kind != idempotent);
            view.weightFor[kind] = view.suspectFor[kind] && kind != idempotent ? 0 : view.weight;
            if (state.unproven[kind]) {
                const double elapsed = elapsedFraction(state.unprovenSince[kind], now, m_settings.unprovenRampUpTime);
                view.weightFor[kind]
                    *= m_settings.unprovenInitialWeight + (1 - m_settings.unprovenInitialWeight) * elapsed;
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
        const auto event = makeStageChange(it);
        StageExplanation explanation { state.id, state.stage, state.reason, state.since, event.own, event.pooled };
        explanation.reporters = state.reporters;
        explanation.ejections = state.ejections;
        explanation.heldByFloor = state.heldByFloor;
        explanation.avoidLocally = state.avoidLocally;
        explanation.draining = !state.drainSources.empty();
        explanation.down = state.down;
        explanation.inServiceCount = event.inServiceCount;
        explanation.floor = event.floor;
        result.push_back(std::move(explanation));
    }
    return result;
}

} // namespace buckthorncroft::health
