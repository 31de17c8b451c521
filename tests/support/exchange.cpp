#include "instance.h"

#include <algorithm>
#include <sstream>

// What an instance hears and tells: health of targets, reports to coordinators, and their answers.
namespace buckthorncroft::simulation {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t reportLimit = 200;
    // Control traffic that an instance may send, slightly below the limit of 10 KB/s. A part of a burst is kept for
    // other messages when windows are relayed; the least suspicious windows are left out first.
    constexpr double bytesPerSecond = 9500;
    constexpr double largestBurst = 5000;
    constexpr double relayReserve = 2500;
    // Shortest time between two evaluations when evidence against a target arrives.
    constexpr auto urgentInterval = 200ms;
    // A report that a coordinator has not answered for this long goes to the coordinators of the other zones as well.
    constexpr auto relayAfter = 1200ms;
    // Sizes of messages in bytes, for the control traffic.
    constexpr std::size_t headerBytes = 60;
    constexpr std::size_t windowBytes = 22;
    constexpr std::size_t scoreBytes = 26;
    constexpr std::size_t idBytes = 14;

} // namespace

void Instance::refresh(std::size_t service, const std::vector<health::StageChange>& changes)
{
    auto& node = *m_nodes[service];
    node.views = node.health.views(m_world.loop.now());
    const auto& targets = node.service.targets;
    unsigned available = 0;
    unsigned in = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const auto& view = node.views[i];
        const bool out = view.stage == health::Stage::Ejected || view.stage == health::Stage::Trial;
        available += !view.draining && !node.down[i];
        in += !view.draining && !node.down[i] && !out;
        if ((out || view.avoidLocally
                || (view.suspectFor[1] && m_world.targets[service][i]->fault.kind == FaultKind::Bookings))
            && missed(service, i)) {
            m_noticed.emplace(service, i);
            m_world.metrics.detections[targets[i].id].push_back(
                m_world.loop.seconds() - *m_world.faultStart(service, i));
        }
    }
    m_world.metrics.floorViolations += in < std::min(config::floorTargetCount(node.service), available);
    for (const auto& it : changes) {
        const auto i = std::size_t(std::find_if(targets.begin(), targets.end(), [&](const auto& target) {
            return target.id == it.target;
        }) - targets.begin());
        if (it.to == health::Stage::Ejected && it.from != it.to && !m_world.excusable(service, i))
            noteFalseEjection(it);
    }
    if (!m_world.options.stages) {
        for (auto& view : node.views) {
            const bool ejected = view.stage == health::Stage::Ejected;
            const bool draining = view.draining;
            view = {};
            view.stage = ejected ? health::Stage::Ejected : health::Stage::Healthy;
            view.draining = draining;
        }
    }
}

void Instance::noteFalseEjection(const health::StageChange& change)
{
    const double now = m_world.loop.seconds();
    if (!m_world.metrics.falseEjections.emplace(change.target, long(now / 60)).second)
        return;
    std::ostringstream line;
    line << now << " s: " << place.name << " ejects " << change.target << ", reason "
         << health::toString(change.reason);
    for (std::size_t kind = 0; kind < config::requestKindCount; ++kind)
        line << ", own " << change.own[kind] << " pooled " << change.pooled[kind];
    m_world.metrics.falseLog.push_back(line.str());
}

bool Instance::missed(std::size_t service, std::size_t target) const
{
    const auto start = m_world.faultStart(service, target);
    return start && *start >= m_born && !m_noticed.contains({ service, target });
}

void Instance::drainHeard(std::size_t service, std::size_t target, bool draining, health::DrainSource source)
{
    refresh(service, m_nodes[service]->health.setDraining(target, draining, source, m_world.loop.now()));
}

void Instance::started(std::size_t service, std::size_t target)
{
    for (const auto source :
        { health::DrainSource::InstanceList, health::DrainSource::TargetResponse, health::DrainSource::Peer })
        drainHeard(service, target, false, source);
    refresh(service, m_nodes[service]->health.handleTargetStart(target, m_world.loop.now()));
}

void Instance::down(std::size_t service, std::size_t target, bool isDown)
{
    m_nodes[service]->down[target] = isDown;
    refresh(service, m_nodes[service]->health.setDown(target, isDown, m_world.loop.now()));
}

void Instance::message(Instance& to, std::size_t bytes, std::function<void()> receive, bool placement)
{
    if (&to == this)
        return receive();
    if (!placement) {
        m_bytesLeft = bytesLeft() - double(bytes);
        m_bytesAt = m_world.loop.seconds();
    }
    (placement ? m_world.metrics.placementBytes : m_world.metrics.controlBytes)[place.name] += bytes;
    if (const auto delay = m_world.links.delay(place, to.place))
        m_world.loop.after(*delay, [&to, receive = std::move(receive)] {
            if (to.alive)
                receive();
        });
}

void Instance::tick()
{
    const auto now = m_world.loop.now();
    for (std::size_t s = 0; s < m_nodes.size(); ++s) {
        auto& node = *m_nodes[s];
        refresh(s, node.health.tick(now));
        expire(s, node.queue.removeExpired(now));
        pump(s);
        if (m_world.coordinator(s, place.zone) == this)
            coordinate(s);
        sendReport(s);
    }
}

double Instance::bytesLeft() const
{
    return std::min(largestBurst, m_bytesLeft + (m_world.loop.seconds() - m_bytesAt) * bytesPerSecond);
}

std::size_t Instance::relayLimit() const
{
    const auto others = double(m_world.deployment.zones.size() - 1);
    return static_cast<std::size_t>(std::max(0.0, (bytesLeft() - relayReserve) / others / windowBytes));
}

Instance::PeerState Instance::summary(const Node& node, const std::string& without) const
{
    std::map<std::string, double> worst;
    PeerState result { {}, 0, m_world.loop.now() };
    for (const auto& [name, peer] : node.peers) {
        result.inFlight += peer.inFlight;
        for (const auto& it : peer.ejected) {
            if (name != without)
                worst[it.target] = std::max(worst[it.target], it.score);
        }
    }
    for (const auto& [target, score] : worst)
        result.ejected.push_back({ target, score });
    return result;
}

void Instance::coordinate(std::size_t service)
{
    auto& node = *m_nodes[service];
    const auto now = m_world.loop.now();
    node.scores = node.pool.evaluate(now);
    node.scoredAt = now;
    const auto windows = node.pool.windowsToRelay(node.relayed, now, relayLimit());
    node.relayed = now;
    const auto granted = node.point.grantedSlots(now);
    std::erase_if(node.peers, [&](const auto& it) { return now - it.second.at > 3s; });
    std::erase_if(node.zones, [&](const auto& it) { return now - it.second.at > 3s; });
    const auto own = summary(node, {});
    for (const auto& zone : m_world.deployment.zones) {
        auto* to = zone == place.zone ? nullptr : m_world.coordinator(service, zone);
        if (!to)
            continue;
        const auto bytes = headerBytes + windows.size() * windowBytes + (granted.size() + own.ejected.size()) * idBytes;
        message(*to, bytes, [this, to, service, windows, granted, own] {
            auto& other = *to->m_nodes[service];
            other.pool.merge(windows, m_world.loop.now());
            other.point.mergePeerGrants(place.zone, granted, m_world.loop.now());
            other.zones[place.zone] = own;
        });
    }
}

void Instance::sendReport(std::size_t service)
{
    auto& node = *m_nodes[service];
    const auto now = m_world.loop.now();
    for (auto& it : node.unacknowledged)
        it.age += std::chrono::duration_cast<health::Duration>(now - node.reported);
    std::erase_if(node.unacknowledged, [](const auto& it) { return it.age > 5s; });
    const auto fresh = node.health.takeReport(now, reportLimit);
    node.unacknowledged.insert(node.unacknowledged.end(), fresh.begin(), fresh.end());
    node.reported = now;
    ++node.sequence;
    const PeerState state { node.health.ejectedTargets(), double(node.inFlight), now };
    const auto bytes = headerBytes + node.unacknowledged.size() * windowBytes + state.ejected.size() * idBytes;
    for (const auto& zone : m_world.deployment.zones) {
        auto* to
            = zone == place.zone || now - node.answered > relayAfter ? m_world.coordinator(service, zone) : nullptr;
        if (to)
            message(*to, bytes, [this, to, service, state, windows = node.unacknowledged, sequence = node.sequence] {
                to->receiveReport(service, *this, windows, state, sequence);
            });
    }
}

void Instance::receiveReport(std::size_t service, Instance& sender, const std::vector<health::EvidenceWindow>& windows,
    const PeerState& state, std::uint64_t sequence)
{
    auto& node = *m_nodes[service];
    const auto now = m_world.loop.now();
    node.pool.merge(windows, now);
    node.peers[sender.place.name] = state;
    const bool suspicious
        = std::any_of(windows.begin(), windows.end(), [](const auto& it) { return it.counts.slowOrBad() > 0; });
    if (suspicious && now - node.scoredAt >= urgentInterval && m_world.coordinator(service, place.zone) == this)
        coordinate(service);
    // The receiver needs the union only; one set per peer would break the limit of control traffic.
    auto others = summary(node, sender.place.name);
    for (const auto& [zone, zoneState] : node.zones) {
        others.inFlight += zoneState.inFlight;
        others.ejected.insert(others.ejected.end(), zoneState.ejected.begin(), zoneState.ejected.end());
    }
    // A score without any bad observation tells the receiver nothing.
    auto scores = node.scores;
    std::erase_if(scores.scores, [](const auto& it) { return it.counts.slowOrBad() == 0; });
    // The least suspicious scores are left out when the limit of control traffic is reached, then the answer itself.
    const auto room = bytesLeft() - double(headerBytes + others.ejected.size() * idBytes);
    if (room < 0)
        return;
    scores.scores.resize(std::min(scores.scores.size(), static_cast<std::size_t>(room / scoreBytes)));
    const auto age = std::chrono::duration_cast<health::Duration>(now - node.scoredAt);
    const auto bytes = headerBytes + scores.scores.size() * scoreBytes + others.ejected.size() * idBytes;
    message(sender, bytes,
        [&sender, service, age, sequence, scores, others, use = others.inFlight / slotsOf(node.service)] {
            sender.receiveReply(service, scores, age, others.ejected, use, sequence);
        });
}

void Instance::receiveReply(std::size_t service, const health::PooledScores& scores, health::Duration age,
    const std::vector<health::EjectedTarget>& ejected, double utilisation, std::uint64_t sequence)
{
    auto& node = *m_nodes[service];
    const auto now = m_world.loop.now();
    node.answered = now;
    if (sequence == node.sequence)
        node.unacknowledged.clear();
    node.policy.recordUtilisation(utilisation, now);
    if (!m_world.options.pooling)
        return;
    node.health.mergePooledScores(scores, age, now);
    auto changes = node.health.mergePeerEjections("peers", ejected, now);
    // Fresh scores are applied at once and not only with the next regular tick.
    const auto more = node.health.tick(now);
    changes.insert(changes.end(), more.begin(), more.end());
    refresh(service, changes);
}

} // namespace buckthorncroft::simulation
