// Input of ServiceHealth: collects observations, evidence and scores. The stages are updated in stages.cpp.
#include <buckthorncroft/health/service_health.h>

#include <algorithm>
#include <cmath>

namespace buckthorncroft::health {

namespace {

    std::size_t indexOf(config::RequestKind kind)
    {
        return static_cast<std::size_t>(kind);
    }

    detail::TargetState makeTargetState(const config::Target& target, base::SteadyTime now)
    {
        detail::TargetState result;
        result.id = target.id;
        result.since = now;
        result.ejectionsUpdatedAt = now;
        result.endpointScoreAt = now;
        if (target.draining)
            result.drainSources.insert(DrainSource::Configuration);
        return result;
    }

} // namespace

void detail::ScoreSinceReset::set(double score)
{
    raw = score;
    minimum = std::min(minimum, score);
}

ServiceHealth::ServiceHealth(const config::Service& service, Reporter self, base::SteadyTime now, Settings settings)
    : m_service(service)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_startedAt(now)
    , m_latencyModels(config::requestKindCount, LatencyModel(settings))
    , m_ownPool(service, m_self, settings)
{
    for (const auto& it : service.targets)
        m_targets.push_back(makeTargetState(it, now));
}

std::vector<StageChange> ServiceHealth::reconfigure(const config::Service& service, base::SteadyTime now)
{
    std::map<std::string, std::size_t> oldIndexes;
    for (std::size_t it = 0; it < m_targets.size(); ++it)
        oldIndexes.emplace(m_targets[it].id, it);
    std::vector<detail::TargetState> targets;
    std::map<std::size_t, std::size_t> newIndexes;
    for (const auto& it : service.targets) {
        const auto found = oldIndexes.find(it.id);
        if (found == oldIndexes.end()) {
            targets.push_back(makeTargetState(it, now));
            continue;
        }
        newIndexes.emplace(found->second, targets.size());
        targets.push_back(std::move(m_targets[found->second]));
        if (it.draining)
            targets.back().drainSources.insert(DrainSource::Configuration);
        else
            targets.back().drainSources.erase(DrainSource::Configuration);
    }
    std::map<WindowKey, WindowData> windows;
    for (const auto& [key, counts] : m_windows)
        if (const auto found = newIndexes.find(key.target); found != newIndexes.end())
            windows.emplace(WindowKey { found->second, key.kind, key.index }, counts);
    const bool hasSameIndexes = newIndexes.size() == m_targets.size()
        && std::all_of(newIndexes.begin(), newIndexes.end(), [](const auto& it) { return it.first == it.second; });
    if (!hasSameIndexes)
        for (auto& it : m_latencyModels)
            it.clear();
    m_targets = std::move(targets);
    m_windows = std::move(windows);
    m_service = service;
    m_ownPool.reconfigure(service);
    std::vector<StageChange> changes;
    applyFloor(now, changes);
    return changes;
}

void ServiceHealth::observe(const Observation& observation)
{
    if (observation.target >= m_targets.size() || !isEvidence(observation.verdict))
        return;
    auto& state = m_targets[observation.target];
    const auto kind = indexOf(observation.kind);
    auto verdict = observation.verdict;
    if (verdict == Verdict::Good) {
        const auto limit = slowLimit(observation.target, observation.kind);
        if (limit && observation.latency >= *limit)
            verdict = Verdict::Slow;
    }
    // Latencies during a cold start are not representative.
    const bool isCompleteResponse = verdict == Verdict::Good || verdict == Verdict::Slow;
    if (isCompleteResponse && observation.at >= state.coldStartEndsAt) {
        m_latencyModels[kind].add(observation.target, observation.latency);
        windowAt(observation.target, observation.kind, observation.at)
            .latency.add(std::log(std::max<double>(1, static_cast<double>(observation.latency.count()))));
    }
    if (observation.alreadyCounted)
        return;
    // An attempt that started before the trial is not part of it.
    if (state.stage == Stage::Trial && observation.at - observation.latency >= state.since)
        recordTrialResult(state, observation.kind, verdict);
    count(observation.target, observation.kind, verdict, observation.at);
}

std::optional<Duration> ServiceHealth::slowLimit(std::size_t target, config::RequestKind kind) const
{
    // The pooled limit includes the responses of all instances. At low request rates a single instance needs minutes to
    // collect enough samples for a limit of its own.
    for (const auto& [coordinator, report] : m_coordinatorReports)
        if (const auto limit = report.scores.slowLimits[indexOf(kind)]; limit > Duration(0))
            return limit;
    return m_latencyModels[indexOf(kind)].slowLimit(target);
}

bool ServiceHealth::countPendingAsSlow(std::size_t target, config::RequestKind kind, Duration age, base::SteadyTime now)
{
    const auto limit = slowLimit(target, kind);
    if (!limit || age < *limit || target >= m_targets.size())
        return false;
    if (m_targets[target].stage == Stage::Trial && now - age >= m_targets[target].since)
        recordTrialResult(m_targets[target], kind, Verdict::Slow);
    count(target, kind, Verdict::Slow, now);
    return true;
}

void ServiceHealth::recordTrialResult(detail::TargetState& state, config::RequestKind kind, Verdict verdict)
{
    if (isSlowOrBad(verdict))
        ++state.trialFailures;
    else if (kind == config::RequestKind::Idempotent)
        ++state.trialSuccesses;
}

ServiceHealth::WindowData& ServiceHealth::windowAt(std::size_t target, config::RequestKind kind, base::SteadyTime at)
{
    const auto index = static_cast<std::uint64_t>(
        std::max<base::SteadyTime::duration>(at - m_startedAt, {}) / m_settings.windowLength);
    auto& window = m_windows[{ target, kind, index }];
    window.unscored = window.unreported = true;
    return window;
}

void ServiceHealth::count(std::size_t target, config::RequestKind kind, Verdict verdict, base::SteadyTime at)
{
    if (at < m_targets[target].coldStartEndsAt)
        return;
    auto& window = windowAt(target, kind, at);
    if (verdict == Verdict::Good)
        ++window.counts.good;
    else if (verdict == Verdict::Slow)
        ++window.counts.slow;
    else
        ++window.counts.bad;
    m_hasUrgentEvidence = m_hasUrgentEvidence || isSlowOrBad(verdict);
}

std::vector<EvidenceWindow> ServiceHealth::takeReport(base::SteadyTime now, std::size_t limit)
{
    removeExpiredWindows(now);
    std::vector<std::map<WindowKey, WindowData>::iterator> selected;
    for (auto it = m_windows.begin(); it != m_windows.end(); ++it)
        if (it->second.unreported)
            selected.push_back(it);
    std::stable_sort(selected.begin(), selected.end(), [](const auto& a, const auto& b) {
        const auto badA = a->second.counts.slowOrBad();
        const auto badB = b->second.counts.slowOrBad();
        return badA != badB ? badA > badB : a->first.index > b->first.index;
    });
    m_hasUrgentEvidence = false;
    std::vector<EvidenceWindow> result;
    for (const auto& it : selected) {
        if (result.size() >= limit)
            break;
        const auto start = m_startedAt + m_settings.windowLength * it->first.index;
        it->second.unreported = false;
        // The age would be negative if `now` was read just before the window's start.
        const auto age = std::max(Duration(0), std::chrono::duration_cast<Duration>(now - start));
        result.push_back({ m_self, m_targets[it->first.target].id, it->first.kind, it->first.index, age,
            it->second.counts, it->second.latency });
    }
    return result;
}

void ServiceHealth::removeExpiredWindows(base::SteadyTime now)
{
    std::erase_if(m_windows, [&](const auto& it) {
        return now - (m_startedAt + m_settings.windowLength * it.first.index) > m_settings.maxEvidenceAge;
    });
}

void ServiceHealth::updateOwnScores(base::SteadyTime now)
{
    std::vector<EvidenceWindow> windows;
    for (auto& [key, window] : m_windows) {
        if (!window.unscored)
            continue;
        window.unscored = false;
        const auto age = now - (m_startedAt + m_settings.windowLength * key.index);
        windows.push_back({ m_self, m_targets[key.target].id, key.kind, key.index,
            std::max(Duration(0), std::chrono::duration_cast<Duration>(age)), window.counts, window.latency });
    }
    m_ownPool.merge(windows, now);
    removeExpiredWindows(now);
    std::map<std::pair<std::string, config::RequestKind>, double> scores;
    for (const auto& it : m_ownPool.evaluate(now).scores)
        scores[{ it.target, it.kind }] = it.score;
    for (auto& state : m_targets)
        for (std::size_t kind = 0; kind < config::requestKindCount; ++kind) {
            const auto found = scores.find({ state.id, static_cast<config::RequestKind>(kind) });
            state.own[kind].set(found == scores.end() ? 0 : found->second);
        }
}

void ServiceHealth::mergePooledScores(const PooledScores& scores, Duration age, base::SteadyTime now)
{
    auto& report = m_coordinatorReports[scores.coordinator];
    if (report.scores.sequence >= scores.sequence || age > m_settings.maxPooledScoreAge)
        return;
    report.scores = scores;
    report.evaluatedAt = now - age;
}

void ServiceHealth::updatePooledScores(base::SteadyTime now)
{
    std::erase_if(m_coordinatorReports,
        [&](const auto& it) { return now - it.second.evaluatedAt > m_settings.maxPooledScoreAge; });
    // The pools of all zones contain nearly the same windows; the score with the most evidence is used.
    std::map<std::pair<std::string, config::RequestKind>, const PooledScore*> bestScores;
    m_isIgnored = false;
    for (const auto& [coordinator, report] : m_coordinatorReports) {
        const auto& ignored = report.scores.ignored;
        m_isIgnored = m_isIgnored || std::find(ignored.begin(), ignored.end(), m_self) != ignored.end();
        for (const auto& it : report.scores.scores) {
            auto& entry = bestScores[{ it.target, it.kind }];
            if (!entry || it.counts.total() > entry->counts.total())
                entry = &it;
        }
    }
    for (auto& state : m_targets) {
        state.reporters = 0;
        state.pathFaultScore = 0;
        for (std::size_t kind = 0; kind < config::requestKindCount; ++kind) {
            const auto found = bestScores.find({ state.id, static_cast<config::RequestKind>(kind) });
            const auto* score = found == bestScores.end() ? nullptr : found->second;
            state.pooled[kind].set(score ? score->score : 0);
            state.refutedByOthers[kind] = score && score->score < m_settings.suspectScore && score->reporters > 1
                && score->counts.good >= m_settings.minRefutingObservations;
            if (!score)
                continue;
            state.reporters = std::max(state.reporters, score->reporters);
            if (score->pathFaultZone == m_self.zone)
                state.pathFaultScore = std::max(state.pathFaultScore, score->pathFaultScore);
        }
    }
}

std::vector<StageChange> ServiceHealth::mergePeerEjections(
    const std::string& peer, const std::vector<EjectedTarget>& ejected, base::SteadyTime now)
{
    if (peer != m_self.instance)
        m_peerReports[peer] = { ejected, now };
    std::vector<StageChange> changes;
    applyFloor(now, changes);
    return changes;
}

std::vector<EjectedTarget> ServiceHealth::ejectedTargets() const
{
    std::vector<EjectedTarget> result;
    for (const auto& it : m_targets)
        if (it.isOutOfService())
            result.push_back({ it.id, it.scoreAtEjection });
    return result;
}

std::vector<StageChange> ServiceHealth::setDraining(
    std::size_t target, bool draining, DrainSource source, base::SteadyTime now)
{
    std::vector<StageChange> changes;
    if (target >= m_targets.size())
        return changes;
    if (draining)
        m_targets[target].drainSources.insert(source);
    else
        m_targets[target].drainSources.erase(source);
    applyFloor(now, changes);
    return changes;
}

std::vector<StageChange> ServiceHealth::setDown(std::size_t target, bool down, base::SteadyTime now)
{
    std::vector<StageChange> changes;
    if (target >= m_targets.size())
        return changes;
    m_targets[target].down = down;
    applyFloor(now, changes);
    return changes;
}

void ServiceHealth::recordEndpointFailure(std::size_t target, base::SteadyTime now)
{
    if (target >= m_targets.size())
        return;
    auto& state = m_targets[target];
    const double age = std::chrono::duration<double>(now - state.endpointScoreAt).count();
    const double halfLife = std::chrono::duration<double>(m_settings.endpointHalfLife).count();
    state.endpointScore = std::min(m_settings.maxEndpointScore,
        state.endpointScore * std::exp2(-age / halfLife) + m_settings.endpointFailureScore);
    state.endpointScoreAt = now;
}

} // namespace buckthorncroft::health
