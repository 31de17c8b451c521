#include "instance.h"

#include <algorithm>
#include <sstream>

// The messages of an instance: health of targets, reports to coordinators and their replies.
namespace buckthorncroft::simulation {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t maxReportedWindows = 200;
    // Control traffic that an instance may send, slightly below the limit of 10 KB/s. Relayed windows must leave a part
    // of the burst to other messages; the windows with the weakest evidence are dropped first.
    constexpr double maxControlBytesPerSecond = 9500;
    constexpr double maxBurstBytes = 5000;
    constexpr double relayReserveBytes = 2500;
    // Minimum time between two evaluations when evidence against a target arrives.
    constexpr auto minUrgentEvaluationInterval = 200ms;
    // If the coordinator of the own zone has not replied for this long, reports go to those of the other zones as well.
    constexpr auto replyTimeout = 1200ms;
    // Estimated sizes of messages and their parts.
    constexpr std::size_t headerBytes = 60;
    constexpr std::size_t windowBytes = 22;
    constexpr std::size_t scoreBytes = 26;
    constexpr std::size_t idBytes = 14;

} // namespace

void Instance::refreshViews(std::size_t service, const std::vector<health::StageChange>& changes)
{
    auto& state = *m_services[service];
    state.views = state.health.views(m_simulation.loop.now());
    const auto& targets = state.service.targets;
    unsigned availableCount = 0;
    unsigned includedCount = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const auto& view = state.views[i];
        const bool isExcluded = view.stage == health::Stage::Ejected || view.stage == health::Stage::Trial;
        availableCount += !view.draining && !state.downTargets[i];
        includedCount += !view.draining && !state.downTargets[i] && !isExcluded;
        if ((isExcluded || view.avoidLocally
                || (view.suspectFor[1] && m_simulation.targets[service][i]->fault.kind == FaultKind::BookingErrors))
            && hasUndetectedFault(service, i)) {
            m_detectedFaults.emplace(service, i);
            m_simulation.metrics.detectionTimes[targets[i].id].push_back(
                m_simulation.loop.seconds() - *m_simulation.faultStartedAt(service, i));
        }
    }
    m_simulation.metrics.floorViolations
        += includedCount < std::min(config::floorTargetCount(state.service), availableCount);
    for (const auto& it : changes) {
        const auto i = std::size_t(std::find_if(targets.begin(), targets.end(), [&](const auto& target) {
            return target.id == it.target;
        }) - targets.begin());
        if (it.to == health::Stage::Ejected && it.from != it.to && !m_simulation.isEjectionExpected(service, i))
            recordFalseEjection(it);
    }
    if (!m_simulation.options.stages) {
        for (auto& view : state.views) {
            const bool ejected = view.stage == health::Stage::Ejected;
            const bool draining = view.draining;
            view = {};
            view.stage = ejected ? health::Stage::Ejected : health::Stage::Healthy;
            view.draining = draining;
        }
    }
}

void Instance::recordFalseEjection(const health::StageChange& change)
{
    const double now = m_simulation.loop.seconds();
    if (!m_simulation.metrics.falseEjections.emplace(change.target, long(now / 60)).second)
        return;
    std::ostringstream line;
    line << now << " s: " << endpoint.name << " ejects " << change.target << ", reason "
         << health::toString(change.reason);
    for (std::size_t kind = 0; kind < config::requestKindCount; ++kind)
        line << ", own " << change.own[kind] << " pooled " << change.pooled[kind];
    m_simulation.metrics.falseEjectionDetails.push_back(line.str());
}

bool Instance::hasUndetectedFault(std::size_t service, std::size_t target) const
{
    const auto start = m_simulation.faultStartedAt(service, target);
    return start && *start >= m_createdAt && !m_detectedFaults.contains({ service, target });
}

void Instance::handleDrain(std::size_t service, std::size_t target, bool draining, health::DrainSource source)
{
    refreshViews(service, m_services[service]->health.setDraining(target, draining, source, m_simulation.loop.now()));
}

void Instance::handleStart(std::size_t service, std::size_t target)
{
    for (const auto source :
        { health::DrainSource::InstanceList, health::DrainSource::TargetResponse, health::DrainSource::Peer })
        handleDrain(service, target, false, source);
    refreshViews(service, m_services[service]->health.handleTargetStart(target, m_simulation.loop.now()));
}

void Instance::handleDown(std::size_t service, std::size_t target, bool isDown)
{
    m_services[service]->downTargets[target] = isDown;
    refreshViews(service, m_services[service]->health.setDown(target, isDown, m_simulation.loop.now()));
}

void Instance::sendMessage(Instance& to, std::size_t bytes, std::function<void()> receive, bool placement)
{
    if (&to == this)
        return receive();
    if (!placement) {
        m_availableBytes = availableBytes() - double(bytes);
        m_availableBytesAt = m_simulation.loop.seconds();
    }
    (placement ? m_simulation.metrics.placementBytes : m_simulation.metrics.controlBytes)[endpoint.name] += bytes;
    if (const auto delay = m_simulation.links.delay(endpoint, to.endpoint))
        m_simulation.loop.scheduleAfter(*delay, [&to, receive = std::move(receive)] {
            if (to.alive)
                receive();
        });
}

void Instance::tick()
{
    const auto now = m_simulation.loop.now();
    for (std::size_t s = 0; s < m_services.size(); ++s) {
        auto& state = *m_services[s];
        refreshViews(s, state.health.tick(now));
        finishExpired(s, state.queue.removeExpired(now));
        dispatchQueued(s);
        if (m_simulation.coordinator(s, endpoint.zone) == this)
            runCoordinator(s);
        sendReport(s);
    }
}

double Instance::availableBytes() const
{
    return std::min(maxBurstBytes,
        m_availableBytes + (m_simulation.loop.seconds() - m_availableBytesAt) * maxControlBytesPerSecond);
}

std::size_t Instance::maxRelayedWindows() const
{
    const auto others = double(m_simulation.deployment.zones.size() - 1);
    return static_cast<std::size_t>(std::max(0.0, (availableBytes() - relayReserveBytes) / others / windowBytes));
}

Instance::PeerState Instance::summarizePeers(const ServiceState& state, const std::string& excludedPeer) const
{
    std::map<std::string, double> highestScores;
    PeerState result { {}, 0, m_simulation.loop.now() };
    for (const auto& [name, peer] : state.peers) {
        result.inFlight += peer.inFlight;
        for (const auto& it : peer.ejected) {
            if (name != excludedPeer)
                highestScores[it.target] = std::max(highestScores[it.target], it.score);
        }
    }
    for (const auto& [target, score] : highestScores)
        result.ejected.push_back({ target, score });
    return result;
}

void Instance::runCoordinator(std::size_t service)
{
    auto& state = *m_services[service];
    const auto now = m_simulation.loop.now();
    state.scores = state.pool.evaluate(now);
    state.scoredAt = now;
    const auto windows = state.pool.windowsToRelay(state.relayedAt, now, maxRelayedWindows());
    state.relayedAt = now;
    const auto granted = state.point.grantedSlots(now);
    // Discards the state of instances and zones that have sent none for 3 s.
    std::erase_if(state.peers, [&](const auto& it) { return now - it.second.createdAt > 3s; });
    std::erase_if(state.zones, [&](const auto& it) { return now - it.second.createdAt > 3s; });
    const auto ownSummary = summarizePeers(state, {});
    for (const auto& zone : m_simulation.deployment.zones) {
        auto* to = zone == endpoint.zone ? nullptr : m_simulation.coordinator(service, zone);
        if (!to)
            continue;
        const auto bytes
            = headerBytes + windows.size() * windowBytes + (granted.size() + ownSummary.ejected.size()) * idBytes;
        sendMessage(*to, bytes, [this, to, service, windows, granted, ownSummary] {
            auto& other = *to->m_services[service];
            other.pool.merge(windows, m_simulation.loop.now());
            other.point.mergePeerGrants(endpoint.zone, granted, m_simulation.loop.now());
            other.zones[endpoint.zone] = ownSummary;
        });
    }
}

void Instance::sendReport(std::size_t service)
{
    auto& state = *m_services[service];
    const auto now = m_simulation.loop.now();
    for (auto& it : state.unacknowledgedWindows)
        it.age += std::chrono::duration_cast<health::Duration>(now - state.lastReportAt);
    std::erase_if(state.unacknowledgedWindows, [](const auto& it) { return it.age > 5s; });
    const auto newWindows = state.health.takeReport(now, maxReportedWindows);
    state.unacknowledgedWindows.insert(state.unacknowledgedWindows.end(), newWindows.begin(), newWindows.end());
    state.lastReportAt = now;
    ++state.sequence;
    const PeerState peerState { state.health.ejectedTargets(), double(state.inFlight), now };
    const auto bytes
        = headerBytes + state.unacknowledgedWindows.size() * windowBytes + peerState.ejected.size() * idBytes;
    for (const auto& zone : m_simulation.deployment.zones) {
        auto* to = zone == endpoint.zone || now - state.lastReplyAt > replyTimeout
            ? m_simulation.coordinator(service, zone)
            : nullptr;
        if (to)
            sendMessage(*to, bytes,
                [this, to, service, peerState, windows = state.unacknowledgedWindows, sequence = state.sequence] {
                    to->receiveReport(service, *this, windows, peerState, sequence);
                });
    }
}

void Instance::receiveReport(std::size_t service, Instance& sender, const std::vector<health::EvidenceWindow>& windows,
    const PeerState& peerState, std::uint64_t sequence)
{
    auto& state = *m_services[service];
    const auto now = m_simulation.loop.now();
    state.pool.merge(windows, now);
    state.peers[sender.endpoint.name] = peerState;
    const bool hasBadEvidence
        = std::any_of(windows.begin(), windows.end(), [](const auto& it) { return it.counts.slowOrBad() > 0; });
    if (hasBadEvidence && now - state.scoredAt >= minUrgentEvaluationInterval
        && m_simulation.coordinator(service, endpoint.zone) == this)
        runCoordinator(service);
    // The receiver only needs the union; one set per peer would exceed the limit of control traffic.
    auto others = summarizePeers(state, sender.endpoint.name);
    for (const auto& [zone, zoneState] : state.zones) {
        others.inFlight += zoneState.inFlight;
        others.ejected.insert(others.ejected.end(), zoneState.ejected.begin(), zoneState.ejected.end());
    }
    // A score without a bad observation gives the receiver no information.
    auto scores = state.scores;
    std::erase_if(scores.scores, [](const auto& it) { return it.counts.slowOrBad() == 0; });
    // At the limit of control traffic, the scores with the weakest evidence are dropped, then the whole reply.
    const auto remainingBytes = availableBytes() - double(headerBytes + others.ejected.size() * idBytes);
    if (remainingBytes < 0)
        return;
    scores.scores.resize(std::min(scores.scores.size(), static_cast<std::size_t>(remainingBytes / scoreBytes)));
    const auto age = std::chrono::duration_cast<health::Duration>(now - state.scoredAt);
    const auto bytes = headerBytes + scores.scores.size() * scoreBytes + others.ejected.size() * idBytes;
    sendMessage(sender, bytes,
        [&sender, service, age, sequence, scores, others,
            fleetUtilisation = others.inFlight / slotCount(state.service)] {
            sender.receiveReply(service, scores, age, others.ejected, fleetUtilisation, sequence);
        });
}

void Instance::receiveReply(std::size_t service, const health::PooledScores& scores, health::Duration age,
    const std::vector<health::EjectedTarget>& ejected, double utilisation, std::uint64_t sequence)
{
    auto& state = *m_services[service];
    const auto now = m_simulation.loop.now();
    state.lastReplyAt = now;
    if (sequence == state.sequence)
        state.unacknowledgedWindows.clear();
    state.policy.recordUtilisation(utilisation, now);
    if (!m_simulation.options.pooling)
        return;
    state.health.mergePooledScores(scores, age, now);
    auto changes = state.health.mergePeerEjections("peers", ejected, now);
    // New scores are applied immediately instead of with the next regular tick.
    const auto tickChanges = state.health.tick(now);
    changes.insert(changes.end(), tickChanges.begin(), tickChanges.end());
    refreshViews(service, changes);
}

} // namespace buckthorncroft::simulation
