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

/// Permission to use a slot of one target. A grant only helps to balance load: an instance that receives none in time
/// chooses a target by itself.
struct Grant {
    std::uint64_t id = 0; ///< Identifies the grant in `PlacementPoint::release`; a random number, so almost certainly
                          ///< unique over all points.
    std::size_t target = 0; ///< Index into the targets of the service, as configured at the point.
    std::string targetId;
    double utilisation = 0; ///< Fraction of the service's slots in use, as estimated by the point; may exceed 1.
};

/// Number of slots of one target that a point has granted, sent to the points of other zones.
struct GrantedSlots {
    std::string target; ///< Target id.
    double inUse = 0; ///< Smoothed over about 1 s, because receivers use the value for longer than one request takes.
};

/// Grants slots of one service to the instances of one availability zone. All state is soft: when its instance crashes,
/// the grants are lost and the other instances choose targets by themselves. Two points of the same zone don't see each
/// other's grants, which only makes the balance less precise. Not safe for concurrent use.
class PlacementPoint {
public:
    /// `zone`: the zone of the instances that request grants. `seed`: differs between points, so that their grant ids
    /// differ.
    PlacementPoint(const config::Service& service, std::string zone, std::uint64_t seed);

    /// Replaces the configuration of the service. Grants of targets that are still configured are kept.
    void reconfigure(const config::Service& service, base::SteadyTime now);

    /// Grants a slot of the least loaded target, or returns nothing when all usable targets are full and have as many
    /// queued requests as they may. `health` holds one view per configured target, as seen by the instance of this
    /// point. The grant expires after `lifetime`, at most after 60 s, unless it is released before.
    std::optional<Grant> place(const PlacementRequest& request, std::span<const health::TargetView> health,
        std::chrono::microseconds lifetime, base::SteadyTime now);

    /// Releases a grant and records the result of its attempt. Returns false if the grant is unknown or has expired.
    bool release(std::uint64_t grant, health::Verdict verdict, std::chrono::microseconds latency, base::SteadyTime now);

    /// Records the slots that the point of another zone has granted. The data expires after 2 s.
    void mergePeerGrants(const std::string& zone, const std::vector<GrantedSlots>& granted, base::SteadyTime now);

    /// Returns the slots granted by this point, for the points of other zones. Targets without granted slots are
    /// omitted.
    std::vector<GrantedSlots> grantedSlots(base::SteadyTime now);

    /// Number of grants of this point that are neither released nor expired.
    std::size_t grantCount() const { return m_grants.size(); }

private:
    struct ActiveGrant {
        std::size_t target = 0;
        base::SteadyTime expiresAt;
    };
    struct TargetUsage {
        unsigned inUse = 0; ///< Grants of this point.
        double smoothedInUse = 0; ///< The same, smoothed up to `smoothedAt`.
        base::SteadyTime smoothedAt;
        base::SteadyTime saturatedUntil; ///< An attempt indicated saturation; until then the target is chosen last.
        std::chrono::microseconds latency { 0 }; ///< Smoothed latency of good and slow responses; 0 when unknown.
    };
    struct PeerGrants {
        std::vector<GrantedSlots> granted;
        base::SteadyTime receivedAt;
    };

    void releaseExpiredGrants(base::SteadyTime now);
    void adjustSlotsInUse(TargetUsage& usage, int change, base::SteadyTime now) const;
    std::vector<double> totalSlotsInUse(base::SteadyTime now) const;
    std::size_t leastLoadedTarget(
        std::span<const std::size_t> candidates, std::span<const double> usage, base::SteadyTime now) const;
    std::vector<std::size_t> sampleByWeight(const std::vector<std::size_t>& candidates,
        std::span<const health::TargetView> health, config::RequestKind kind);

    config::Service m_service;
    std::string m_zone;
    std::mt19937_64 m_random;
    std::vector<TargetUsage> m_usage; ///< One per target.
    std::unordered_map<std::uint64_t, ActiveGrant> m_grants;
    std::unordered_map<std::string, PeerGrants> m_peers; ///< By zone.
    base::SteadyTime m_nextExpiryAt = base::SteadyTime::max(); ///< No grant expires earlier.
};

} // namespace buckthorncroft::routing
