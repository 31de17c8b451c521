#include <buckthorncroft/routing/placement_point.h>

#include "candidates.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace buckthorncroft::routing {

namespace {

    using namespace std::chrono_literals;

    // Requests that may be queued at a target whose slots are all granted. Further requests wait less in the queue of
    // the instance, because from there they go to the first target with a free slot.
    constexpr unsigned maxQueuedPerTarget = 2;

    constexpr auto maxGrantLifetime = 60s;
    constexpr auto peerGrantsTtl = 2s;
    constexpr std::chrono::duration<double> averagingTime = 1s;
    constexpr double latencySmoothing = 0.1;

    // A target that refused a request or a connection, or did not respond in time, is chosen last for this time. Grants
    // are not the only load of a target, so such a failure is the only evidence that other requests occupy its slots.
    constexpr auto saturatedTtl = 100ms;

    // Slowness multiplies the load of a target by at most this factor, so that a slow target still receives requests
    // that can show its recovery.
    constexpr double maxSlowdown = 3;

    // Targets of other zones count as having this many more slots in use, because cross-zone links cost time and money.
    constexpr double crossZoneSlotPenalty = 1;

    bool indicatesSaturation(health::Verdict verdict)
    {
        return verdict == health::Verdict::Shed || verdict == health::Verdict::ConnectFailed
            || verdict == health::Verdict::TimedOut;
    }

} // namespace

PlacementPoint::PlacementPoint(const config::Service& service, std::string zone, std::uint64_t seed)
    : m_service(service)
    , m_zone(std::move(zone))
    , m_random(seed)
    , m_usage(service.targets.size())
{
}

void PlacementPoint::reconfigure(const config::Service& service, base::SteadyTime now)
{
    releaseExpiredGrants(now);
    std::vector<TargetUsage> usage(service.targets.size());
    std::vector<std::optional<std::size_t>> newIndex(m_service.targets.size());
    for (std::size_t i = 0; i < service.targets.size(); ++i) {
        for (std::size_t old = 0; old < m_service.targets.size(); ++old) {
            if (m_service.targets[old].id == service.targets[i].id) {
                usage[i] = m_usage[old];
                newIndex[old] = i;
            }
        }
    }
    std::erase_if(m_grants, [&](const auto& it) { return !newIndex[it.second.target]; });
    for (auto& it : m_grants)
        it.second.target = *newIndex[it.second.target];
    m_usage = std::move(usage);
    m_service = service;
}

void PlacementPoint::adjustSlotsInUse(TargetUsage& usage, int change, base::SteadyTime now) const
{
    const std::chrono::duration<double> elapsed = std::max(base::SteadyTime::duration(0), now - usage.smoothedAt);
    usage.smoothedInUse = usage.inUse + (usage.smoothedInUse - usage.inUse) * std::exp(-(elapsed / averagingTime));
    usage.smoothedAt = now;
    usage.inUse = static_cast<unsigned>(static_cast<int>(usage.inUse) + change);
}

void PlacementPoint::releaseExpiredGrants(base::SteadyTime now)
{
    if (now < m_nextExpiryAt)
        return;
    m_nextExpiryAt = base::SteadyTime::max();
    std::erase_if(m_grants, [&](const auto& it) {
        if (it.second.expiresAt <= now) {
            adjustSlotsInUse(m_usage[it.second.target], -1, now);
            return true;
        }
        m_nextExpiryAt = std::min(m_nextExpiryAt, it.second.expiresAt);
        return false;
    });
}

std::vector<double> PlacementPoint::totalSlotsInUse(base::SteadyTime now) const
{
    std::vector<double> result;
    for (std::size_t i = 0; i < m_usage.size(); ++i) {
        double usage = m_usage[i].inUse;
        for (const auto& [zone, peer] : m_peers) {
            if (now - peer.receivedAt > peerGrantsTtl)
                continue;
            for (const auto& it : peer.granted) {
                if (it.target == m_service.targets[i].id)
                    usage += it.inUse;
            }
        }
        result.push_back(usage);
    }
    return result;
}

std::vector<std::size_t> PlacementPoint::sampleByWeight(
    const std::vector<std::size_t>& candidates, std::span<const health::TargetView> health, config::RequestKind kind)
{
    // The weight of a target is the fraction of the choices in which it takes part.
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

std::size_t PlacementPoint::leastLoadedTarget(
    std::span<const std::size_t> candidates, std::span<const double> usage, base::SteadyTime now) const
{
    std::chrono::microseconds sum { 0 };
    int knownLatencies = 0;
    for (const auto it : candidates) {
        sum += m_usage[it].latency;
        knownLatencies += m_usage[it].latency > 0us;
    }
    const auto cost = [&](std::size_t it) {
        const double slots = std::max(1u, m_service.targets[it].slots);
        // A slower target occupies its slots for longer.
        double load = (usage[it] + 1) / slots;
        if (m_usage[it].latency > 0us)
            load *= std::clamp(
                double(m_usage[it].latency.count()) * knownLatencies / double(sum.count()), 1.0, maxSlowdown);
        if (m_service.targets[it].zone != m_zone)
            load += crossZoneSlotPenalty / slots;
        // Waiting at this target is worse than any free slot in another zone.
        if (usage[it] > slots - 1)
            load += 1;
        if (now < m_usage[it].saturatedUntil)
            load += maxQueuedPerTarget + 2;
        return load;
    };
    return *std::min_element(candidates.begin(), candidates.end(), [&](auto a, auto b) { return cost(a) < cost(b); });
}

std::optional<Grant> PlacementPoint::place(const PlacementRequest& request, std::span<const health::TargetView> health,
    std::chrono::microseconds lifetime, base::SteadyTime now)
{
    releaseExpiredGrants(now);
    const auto usage = totalSlotsInUse(now);
    std::vector<TargetLoad> load(m_usage.size());
    double total = 0;
    double slots = 0;
    for (std::size_t i = 0; i < m_usage.size(); ++i) {
        const auto& target = m_service.targets[i];
        // Queue places count as free slots, so that non-idempotent requests wait rather than run on a suspect target.
        const bool full = usage[i] >= target.slots + maxQueuedPerTarget;
        load[i].inFlight = full ? target.slots : 0;
        load[i].connectionShare = std::numeric_limits<unsigned>::max();
        total += usage[i];
        slots += target.slots;
    }
    const auto candidates = detail::findCandidates(request, m_service, health, load);
    if (candidates.targets.empty())
        return std::nullopt;
    const auto target = leastLoadedTarget(sampleByWeight(candidates.targets, health, request.kind), usage, now);
    Grant grant { m_random(), target, m_service.targets[target].id, slots > 0 ? (total + 1) / slots : 0 };
    const auto expiresAt = now + std::min<base::SteadyTime::duration>(lifetime, maxGrantLifetime);
    m_grants[grant.id] = { target, expiresAt };
    m_nextExpiryAt = std::min(m_nextExpiryAt, expiresAt);
    adjustSlotsInUse(m_usage[target], 1, now);
    return grant;
}

bool PlacementPoint::release(
    std::uint64_t grant, health::Verdict verdict, std::chrono::microseconds latency, base::SteadyTime now)
{
    releaseExpiredGrants(now);
    const auto it = m_grants.find(grant);
    if (it == m_grants.end())
        return false;
    auto& usage = m_usage[it->second.target];
    m_grants.erase(it);
    adjustSlotsInUse(usage, -1, now);
    if (indicatesSaturation(verdict))
        usage.saturatedUntil = now + saturatedTtl;
    else if (verdict == health::Verdict::Good || verdict == health::Verdict::Slow)
        usage.latency += usage.latency.count() == 0
            ? latency
            : std::chrono::duration_cast<std::chrono::microseconds>((latency - usage.latency) * latencySmoothing);
    return true;
}

void PlacementPoint::mergePeerGrants(
    const std::string& zone, const std::vector<GrantedSlots>& granted, base::SteadyTime now)
{
    // The own zone is skipped: two points serve the same zone only while one replaces the other.
    if (zone != m_zone)
        m_peers[zone] = { granted, now };
}

std::vector<GrantedSlots> PlacementPoint::grantedSlots(base::SteadyTime now)
{
    releaseExpiredGrants(now);
    std::vector<GrantedSlots> result;
    for (std::size_t i = 0; i < m_usage.size(); ++i) {
        adjustSlotsInUse(m_usage[i], 0, now);
        if (m_usage[i].smoothedInUse > 0.01)
            result.push_back({ m_service.targets[i].id, m_usage[i].smoothedInUse });
    }
    return result;
}

} // namespace buckthorncroft::routing
