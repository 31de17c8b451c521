// Events in, evidence and scores: the input side of ServiceHealth. The stages are moved in stages.cpp.
#include <buckthorncroft/health/service_health.h>

#include <algorithm>
#include <cmath>

namespace buckthorncroft::health {

namespace {

    std::size_t indexOf(config::RequestKind kind)
    {
        return static_cast<std::size_t>(kind);
    }

    detail::TargetState newState(const config::Target& target, base::SteadyTime now)
    {
        detail::TargetState result;
        result.id = target.id;
        result.since = now;
        result.forgivenAt = now;
        result.endpointAt = now;
        if (target.draining)
            result.drains.insert(DrainSource::Configuration);
        return result;
    }

} // namespace

void detail::SinceReset::set(double score)
{
    raw = score;
    lowest = std::min(lowest, score);
}

ServiceHealth::ServiceHealth(const config::Service& service, Reporter self, base::SteadyTime now, Settings settings)
    : m_service(service)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_start(now)
    , m_latencies(config::requestKindCount, LatencyModel(settings))
    , m_own(service, m_self, settings)
{
    for (const auto& it : service.targets)
        m_targets.push_back(newState(it, now));
}

std::vector<StageChange> ServiceHealth::reconfigure(const config::Service& service, base::SteadyTime now)
{
    std::map<std::string, std::size_t> old;
    for (std::size_t it = 0; it < m_targets.size(); ++it)
        old.emplace(m_targets[it].id, it);
    std::vector<detail::TargetState> targets;
    std::map<std::size_t, std::size_t> moved;
    for (const auto& it : service.targets) {
        const auto found = old.find(it.id);
        if (found == old.end()) {
            targets.push_back(newState(it, now));
            continue;
        }
        moved.emplace(found->second, targets.size());
        targets.push_back(std::move(m_targets[found->second]));
        if (it.draining)
            targets.back().drains.insert(DrainSource::Configuration);
        else
            targets.back().drains.erase(DrainSource::Configuration);
    }
    std::map<OwnWindow, OwnCounts> windows;
    for (const auto& [key, counts] : m_windows)
        if (const auto found = moved.find(key.target); found != moved.end())
            windows.emplace(OwnWindow { found->second, key.kind, key.index }, counts);
    const bool sameIndexes = moved.size() == m_targets.size()
        && std::all_of(moved.begin(), moved.end(), [](const auto& it) { return it.first == it.second; });
    if (!sameIndexes)
        for (auto& it : m_latencies)
            it.clear();
    m_targets = std::move(targets);
    m_windows = std::move(windows);
    m_service = service;
    m_own.reconfigure(service);
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
    // Latencies during a cold start say nothing about the usual ones.
    const bool whole = verdict == Verdict::Good || verdict == Verdict::Slow;
    if (whole && observation.at >= state.coldUntil) {
        m_latencies[kind].add(observation.target, observation.latency);
        windowAt(observation.target, observation.kind, observation.at)
            .latency.add(std::log(std::max<double>(1, static_cast<double>(observation.latency.count()))));
    }
    if (observation.alreadyCounted)
        return;
    // An attempt that started before the trial is no answer to it.
    if (state.stage == Stage::Trial && observation.at - observation.latency >= state.since)
        noteTrial(state, observation.kind, verdict);
    count(observation.target, observation.kind, verdict, observation.at);
}

std::optional<Duration> ServiceHealth::slowLimit(std::size_t target, config::RequestKind kind) const
{
    // The pooled limit rests on the answers of all instances; at low rates an instance alone needs minutes for its own.
    for (const auto& [coordinator, report] : m_pooled)
        if (const auto limit = report.scores.slowLimits[indexOf(kind)]; limit > Duration(0))
            return limit;
    return m_latencies[indexOf(kind)].slowLimit(target);
}

bool ServiceHealth::countPendingAsSlow(std::size_t target, config::RequestKind kind, Duration age, base::SteadyTime now)
{
    const auto limit = slowLimit(target, kind);
    if (!limit || age < *limit || target >= m_targets.size())
        return false;
    if (m_targets[target].stage == Stage::Trial && now - age >= m_targets[target].since)
        noteTrial(m_targets[target], kind, Verdict::Slow);
    count(target, kind, Verdict::Slow, now);
    return true;
}

void ServiceHealth::noteTrial(detail::TargetState& state, config::RequestKind kind, Verdict verdict)
{
    if (isSlowOrBad(verdict))
        ++state.trialBads;
    else if (kind == config::RequestKind::Idempotent)
        ++state.trialGoods;
}

ServiceHealth::OwnCounts& ServiceHealth::windowAt(std::size_t target, config::RequestKind kind, base::SteadyTime at)
{
    const auto index
        = static_cast<std::uint64_t>(std::max<base::SteadyTime::duration>(at - m_start, {}) / m_settings.window);
    auto& window = m_windows[{ target, kind, index }];
    window.unscored = window.unreported = true;
    return window;
}

void ServiceHealth::count(std::size_t target, config::RequestKind kind, Verdict verdict, base::SteadyTime at)
{
    if (at < m_targets[target].coldUntil)
        return;
    auto& window = windowAt(target, kind, at);
    if (verdict == Verdict::Good)
        ++window.counts.good;
    else if (verdict == Verdict::Slow)
        ++window.counts.slow;
    else
        ++window.counts.bad;
    m_urgent = m_urgent || isSlowOrBad(verdict);
}

std::vector<EvidenceWindow> ServiceHealth::takeReport(base::SteadyTime now, std::size_t limit)
{
    dropOldWindows(now);
    std::vector<std::map<OwnWindow, OwnCounts>::iterator> chosen;
    for (auto it = m_windows.begin(); it != m_windows.end(); ++it)
        if (it->second.unreported)
            chosen.push_back(it);
    std::stable_sort(chosen.begin(), chosen.end(), [](const auto& a, const auto& b) {
        const auto badA = a->second.counts.slowOrBad();
        const auto badB = b->second.counts.slowOrBad();
        return badA != badB ? badA > badB : a->first.index > b->first.index;
    });
    m_urgent = false;
    std::vector<EvidenceWindow> result;
    for (const auto& it : chosen) {
        if (result.size() >= limit)
            break;
        const auto start = m_start + m_settings.window * it->first.index;
        it->second.unreported = false;
        // A clock reading just before the window's start would otherwise give a negative age.
        const auto age = std::max(Duration(0), std::chrono::duration_cast<Duration>(now - start));
        result.push_back({ m_self, m_targets[it->first.target].id, it->first.kind, it->first.index, age,
            it->second.counts, it->second.latency });
    }
    return result;
}

void ServiceHealth::dropOldWindows(base::SteadyTime now)
{
    std::erase_if(m_windows,
        [&](const auto& it) { return now - (m_start + m_settings.window * it.first.index) > m_settings.maxAge; });
}

void ServiceHealth::scoreOwn(base::SteadyTime now)
{
    std::vector<EvidenceWindow> windows;
    for (auto& [key, window] : m_windows) {
        if (!window.unscored)
            continue;
        window.unscored = false;
        const auto age = now - (m_start + m_settings.window * key.index);
        windows.push_back({ m_self, m_targets[key.target].id, key.kind, key.index,
            std::max(Duration(0), std::chrono::duration_cast<Duration>(age)), window.counts, window.latency });
    }
    m_own.merge(windows, now);
    dropOldWindows(now);
    std::map<std::pair<std::string, config::RequestKind>, double> scores;
    for (const auto& it : m_own.evaluate(now).scores)
        scores[{ it.target, it.kind }] = it.score;
    for (auto& state : m_targets)
        for (std::size_t kind = 0; kind < config::requestKindCount; ++kind) {
            const auto found = scores.find({ state.id, static_cast<config::RequestKind>(kind) });
            state.own[kind].set(found == scores.end() ? 0 : found->second);
        }
}

void ServiceHealth::mergePooledScores(const PooledScores& scores, Duration age, base::SteadyTime now)
{
    auto& report = m_pooled[scores.coordinator];
    if (report.scores.sequence >= scores.sequence || age > m_settings.pooledMaxAge)
        return;
    report.scores = scores;
    report.at = now - age;
}

void ServiceHealth::scorePooled(base::SteadyTime now)
{
    std::erase_if(m_pooled, [&](const auto& it) { return now - it.second.at > m_settings.pooledMaxAge; });
    // Pools of different zones hold nearly the same windows; the one with the most evidence decides.
    std::map<std::pair<std::string, config::RequestKind>, const PooledScore*> best;
    m_ignored = false;
    for (const auto& [coordinator, report] : m_pooled) {
        const auto& ignored = report.scores.ignored;
        m_ignored = m_ignored || std::find(ignored.begin(), ignored.end(), m_self) != ignored.end();
        for (const auto& it : report.scores.scores) {
            auto& slot = best[{ it.target, it.kind }];
            if (!slot || it.counts.total() > slot->counts.total())
                slot = &it;
        }
    }
    for (auto& state : m_targets) {
        state.reporters = 0;
        state.pathFaultScore = 0;
        for (std::size_t kind = 0; kind < config::requestKindCount; ++kind) {
            const auto found = best.find({ state.id, static_cast<config::RequestKind>(kind) });
            const auto* score = found == best.end() ? nullptr : found->second;
            state.pooled[kind].set(score ? score->score : 0);
            state.refuted[kind] = score && score->score < m_settings.suspectScore && score->reporters > 1
                && score->counts.good >= m_settings.pathWitnesses;
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
        m_peers[peer] = { ejected, now };
    std::vector<StageChange> changes;
    applyFloor(now, changes);
    return changes;
}

std::vector<EjectedTarget> ServiceHealth::ejectedTargets() const
{
    std::vector<EjectedTarget> result;
    for (const auto& it : m_targets)
        if (it.out())
            result.push_back({ it.id, it.ejectedScore });
    return result;
}

std::vector<StageChange> ServiceHealth::setDraining(
    std::size_t target, bool draining, DrainSource source, base::SteadyTime now)
{
    std::vector<StageChange> changes;
    if (target >= m_targets.size())
        return changes;
    if (draining)
        m_targets[target].drains.insert(source);
    else
        m_targets[target].drains.erase(source);
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

void ServiceHealth::endpointSuspicion(std::size_t target, base::SteadyTime now)
{
    if (target >= m_targets.size())
        return;
    auto& state = m_targets[target];
    const double age = std::chrono::duration<double>(now - state.endpointAt).count();
    const double halfLife = std::chrono::duration<double>(m_settings.endpointHalfLife).count();
    state.endpointScore = std::min(
        m_settings.endpointScoreMax, state.endpointScore * std::exp2(-age / halfLife) + m_settings.endpointScore);
    state.endpointAt = now;
}

} // namespace buckthorncroft::health
