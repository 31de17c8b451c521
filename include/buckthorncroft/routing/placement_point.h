#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/config/model.h>
#include <buckthorncroft/health/target_view.h>
#include <buckthorncroft/routing/router.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthorncroft::routing {

/// Permission to use a slot of one target. It is a hint for the balance of load: an instance that lost it, or that got
/// no answer, chooses for itself.
struct Grant {
    std::uint64_t id = 0; ///< Names the grant in `PlacementPoint::release`; unique over all points with high
                          ///< probability.
    std::size_t target = 0; ///< Index into the targets of the point's record of the service.
    std::string targetId;
    double utilisation = 0; ///< Share of the service's slots in use, as far as this point knows, 0 or more.
};

/// Slots of one target that a point has granted, for the points of other zones.
struct GrantedSlots {
    std::string target; ///< Target id.
    double inUse = 0; ///< Smoothed over about 1 s, because the receiver uses it for longer than one request takes.
};

/// Grants slots of one service to the instances of one availability zone. Its state is soft: when its instance dies,
/// the grants are lost and the instances choose for themselves; two points for one zone grant without knowledge of each
/// other, which reduces the precision only. Not safe for concurrent use.
class PlacementPoint {
public:
    /// `zone`: the zone whose instances ask. `seed` distinguishes the grant ids of different points.
    PlacementPoint(const config::Service& service, std::string zone, std::uint64_t seed);

    /// Applies a new record of the service. Grants of targets that are still configured are kept.
    void reconfigure(const config::Service& service, base::SteadyTime now);

    /// Grants a slot of the best target, or nothing when all usable targets are full and have requests waiting.
    /// `health` holds one view per target of the record, as this point's instance sees them. `lifetime` is the longest
    /// time until the release; the grant lapses after it, at most after 60 s.
    std::optional<Grant> place(const PlacementRequest& request, std::span<const health::TargetView> health,
        std::chrono::microseconds lifetime, base::SteadyTime now);

    /// Ends a grant with what its attempt showed. Returns false if the grant is unknown or has lapsed.
    bool release(std::uint64_t grant, health::Verdict verdict, std::chrono::microseconds latency, base::SteadyTime now);

    /// Takes the slots that the point of another zone has granted. They count for 2 s.
    void mergePeerGrants(const std::string& zone, const std::vector<GrantedSlots>& granted, base::SteadyTime now);

    /// Own granted slots, for the points of other zones. Targets without granted slots are left out.
    std::vector<GrantedSlots> grantedSlots(base::SteadyTime now);

    /// Own grants that are neither released nor lapsed.
    std::size_t size() const { return m_grants.size(); }

private:
    struct ActiveGrant {
        std::size_t target = 0;
        base::SteadyTime expires;
    };
    struct TargetUse {
        unsigned inUse = 0; ///< Own grants.
        double smoothed = 0; ///< Own grants, smoothed.
        base::SteadyTime smoothedAt;
        base::SteadyTime avoidUntil; ///< The target refused or failed a request shortly before.
        std::chrono::microseconds latency { 0 }; ///< Smoothed latency of good answers; 0 when unknown.
    };
    struct PeerUse {
        std::vector<GrantedSlots> granted;
        base::SteadyTime at;
    };

    void dropLapsed(base::SteadyTime now);
    void changeUse(TargetUse& use, int change, base::SteadyTime now) const;
    std::vector<double> totalUse(base::SteadyTime now) const;
    std::size_t best(std::span<const std::size_t> candidates, std::span<const double> use, base::SteadyTime now) const;
    std::vector<std::size_t> gateByWeight(const std::vector<std::size_t>& candidates,
        std::span<const health::TargetView> health, config::RequestKind kind);

    config::Service m_service;
    std::string m_zone;
    std::mt19937_64 m_random;
    std::vector<TargetUse> m_use; ///< One per target.
    std::unordered_map<std::uint64_t, ActiveGrant> m_grants;
    std::unordered_map<std::string, PeerUse> m_peers; ///< By zone.
    base::SteadyTime m_nextLapse = base::SteadyTime::max(); ///< No grant lapses earlier.
};

} // namespace buckthorncroft::routing
