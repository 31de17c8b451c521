#include <buckthorncroft/routing/placement_point.h>

#include "candidates.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace buckthorncroft::routing {

namespace {

    using namespace std::chrono_literals;

    // Requests that may wait at a target whose slots are all granted. More would wait longer there than in the queue of
    // the instance, from which they go to whatever target has a slot first.
    constexpr unsigned waitingPerTarget = 2;

    constexpr auto longestGrant = 60s;
    constexpr auto peerLifetime = 2s;
    constexpr std::chrono::duration<double> averagingTime = 1s;
    constexpr double latencySmoothing = 0.1;

    // A target that refused or failed a request is chosen last for this time. Grants are not the only load of a target,
    // so a refusal is the only sign that its slots are taken by others.
    constexpr auto avoidAfterFailure = 100ms;

    // A slow target counts as at most this many times as loaded, so that it keeps the work that shows its recovery.
    constexpr double mostSlowdown = 3;

    // Load of other zones' targets counts as this many slots more, because links between zones cost time and money.
    constexpr double otherZoneSlots = 1;

    bool showsNoRoom(health::Verdict verdict)
    {
        return verdict == health::Verdict::Shed || verdict == health::Verdict::ConnectFailed
            || verdict == health::Verdict::TimedOut;
    }

} // namespace

PlacementPoint::PlacementPoint(const config::Service& service, std::string zone, std::uint64_t seed)
    : m_service(service)
    , m_zone(std::move(zone))
    , m_random(seed)
    , m_use(service.targets.size())
{
}

void PlacementPoint::reconfigure(const config::Service& service, base::SteadyTime now)
{
    dropLapsed(now);
    std::vector<TargetUse> use(service.targets.size());
    std::vector<std::optional<std::size_t>> moved(m_service.targets.size());
    for (std::size_t i = 0; i < service.targets.size(); ++i) {
        for (std::size_t old = 0; old < m_service.targets.size(); ++old) {
            if (m_service.targets[old].id == service.targets[i].id) {
                use[i] = m_use[old];
                moved[old] = i;
            }
        }
    }
    std::erase_if(m_grants, [&](const auto& it) { return !moved[it.second.target]; });
    for (auto& it : m_grants)
        it.second.target = *moved[it.second.target];
    m_use = std::move(use);
    m_service = service;
}

void PlacementPoint::changeUse(TargetUse& use, int change, base::SteadyTime now) const
{
    const std::chrono::duration<double> elapsed = std::max(base::SteadyTime::duration(0), now - use.smoothedAt);
    use.smoothed = use.inUse + (use.smoothed - use.inUse) * std::exp(-(elapsed / averagingTime));
    use.smoothedAt = now;
    use.inUse = static_cast<unsigned>(static_cast<int>(use.inUse) + change);
}

void PlacementPoint::dropLapsed(base::SteadyTime now)
{
    if (now < m_nextLapse)
        return;
    m_nextLapse = base::SteadyTime::max();
    std::erase_if(m_grants, [&](const auto& it) {
        if (it.second.expires <= now) {
            changeUse(m_use[it.second.target], -1, now);
            return true;
        }
        m_nextLapse = std::min(m_nextLapse, it.second.expires);
        return false;
    });
}

std::vector<double> PlacementPoint::totalUse(base::SteadyTime now) const
{
    std::vector<double> result;
    for (std::size_t i = 0; i < m_use.size(); ++i) {
        double use = m_use[i].inUse;
        for (const auto& [zone, peer] : m_peers) {
            if (now - peer.at > peerLifetime)
                continue;
            for (const auto& it : peer.granted) {
                if (it.target == m_service.targets[i].id)
                    use += it.inUse;
            }
        }
        result.push_back(use);
    }
    return result;
}

std::vector<std::size_t> PlacementPoint::gateByWeight(
    const std::vector<std::size_t>& candidates, std::span<const health::TargetView> health, config::RequestKind kind)
{
    // A target with a reduced weight takes part in that share of the choices.
    std::vector<std::size_t> result;
    for (const auto it : candidates) {
        const auto weight = detail::weightOf(health[it], kind);
        if (weight >= 1 || std::uniform_real_distribution<double>(0, 1)(m_random) < weight)
            result.push_back(it);
    }
    if (result.empty())
        result.push_back(detail::drawByWeight(candidates, health, kind, m_random));
    std::shuffle(result.begin(), result.end(), m_random);
    return result;
}

std::size_t PlacementPoint::best(
    std::span<const std::size_t> candidates, std::span<const double> use, base::SteadyTime now) const
{
    std::chrono::microseconds sum { 0 };
    int known = 0;
    for (const auto it : candidates) {
        sum += m_use[it].latency;
        known += m_use[it].latency > 0us;
    }
    const auto cost = [&](std::size_t it) {
        const double slots = std::max(1u, m_service.targets[it].slots);
        // A slower target keeps its slots for longer.
        double load = (use[it] + 1) / slots;
        if (m_use[it].latency > 0us)
            load *= std::clamp(double(m_use[it].latency.count()) * known / double(sum.count()), 1.0, mostSlowdown);
        if (m_service.targets[it].zone != m_zone)
            load += otherZoneSlots / slots;
        // A request that would wait is worse than any free slot in another zone.
        if (use[it] > slots - 1)
            load += 1;
        if (now < m_use[it].avoidUntil)
            load += waitingPerTarget + 2;
        return load;
    };
    return *std::min_element(candidates.begin(), candidates.end(), [&](auto a, auto b) { return cost(a) < cost(b); });
}

std::optional<Grant> PlacementPoint::place(const PlacementRequest& request, std::span<const health::TargetView> health,
    std::chrono::microseconds lifetime, base::SteadyTime now)
{
    dropLapsed(now);
    const auto use = totalUse(now);
    std::vector<TargetLoad> load(m_use.size());
    double total = 0;
    double slots = 0;
    for (std::size_t i = 0; i < m_use.size(); ++i) {
        const auto& target = m_service.targets[i];
        // Waiting places come before suspect targets, so that bookings rather wait than run on a suspect target.
        const bool full = use[i] >= target.slots + waitingPerTarget;
        load[i].inFlight = full ? target.slots : 0;
        load[i].connectionShare = std::numeric_limits<unsigned>::max();
        total += use[i];
        slots += target.slots;
    }
    const auto candidates = detail::findCandidates(request, m_service, health, load);
    if (candidates.targets.empty())
        return std::nullopt;
    const auto target = best(gateByWeight(candidates.targets, health, request.kind), use, now);
    Grant grant { m_random(), target, m_service.targets[target].id, slots > 0 ? (total + 1) / slots : 0 };
    const auto expires = now + std::min<base::SteadyTime::duration>(lifetime, longestGrant);
    m_grants[grant.id] = { target, expires };
    m_nextLapse = std::min(m_nextLapse, expires);
    changeUse(m_use[target], 1, now);
    return grant;
}

bool PlacementPoint::release(
    std::uint64_t grant, health::Verdict verdict, std::chrono::microseconds latency, base::SteadyTime now)
{
    dropLapsed(now);
    const auto it = m_grants.find(grant);
    if (it == m_grants.end())
        return false;
    auto& use = m_use[it->second.target];
    m_grants.erase(it);
    changeUse(use, -1, now);
    if (showsNoRoom(verdict))
        use.avoidUntil = now + avoidAfterFailure;
    else if (verdict == health::Verdict::Good || verdict == health::Verdict::Slow)
        use.latency += use.latency.count() == 0
            ? latency
            : std::chrono::duration_cast<std::chrono::microseconds>((latency - use.latency) * latencySmoothing);
    return true;
}

void PlacementPoint::mergePeerGrants(
    const std::string& zone, const std::vector<GrantedSlots>& granted, base::SteadyTime now)
{
    // The own zone is left out: another point for it grants to the same instances only during a change of points.
    if (zone != m_zone)
        m_peers[zone] = { granted, now };
}

std::vector<GrantedSlots> PlacementPoint::grantedSlots(base::SteadyTime now)
{
    dropLapsed(now);
    std::vector<GrantedSlots> result;
    for (std::size_t i = 0; i < m_use.size(); ++i) {
        changeUse(m_use[i], 0, now);
        if (m_use[i].smoothed > 0.01)
            result.push_back({ m_service.targets[i].id, m_use[i].smoothed });
    }
    return result;
}

} // namespace buckthorncroft::routing
