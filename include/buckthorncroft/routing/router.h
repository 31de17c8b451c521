#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/config/model.h>
#include <buckthorncroft/health/target_view.h>
#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace buckthorncroft::routing {

/// The load of one target, as seen by this instance. Indexes match the targets of the service.
struct TargetLoad {
    unsigned inFlight = 0; ///< Attempts of this instance that are running at the target.
    unsigned connections = 0; ///< Open connections of this instance to the target.
    unsigned connectionShare = 0; ///< Maximum connections of this instance to the target.
    std::chrono::microseconds typicalLatency { 0 }; ///< Smoothed latency of good responses; 0 when unknown.
};

/// Properties of a request that needs a target.
struct PlacementRequest {
    config::RequestKind kind = config::RequestKind::Idempotent;
    bool firstAttempt = true;
    std::vector<std::size_t> excluded; ///< Targets of earlier attempts.
};

/// Why a target was not chosen.
enum class Rejection {
    None, ///< Chosen.
    Draining,
    Ejected,
    Suspect,
    LocallyAvoided, ///< The path from this instance to the target is faulty.
    Excluded, ///< Used by an earlier attempt.
    NoSlot, ///< All slots of the target are in use, according to its `TargetLoad`.
    NoConnection, ///< No idle connection, and no further one may be opened.
    OtherZone, ///< A target of the own zone was preferred.
    NotSampled, ///< Eligible, but not in the random sample.
    MoreLoaded, ///< In the sample, but with a higher expected latency than the chosen target.
    OnTrial,
};

/// Returns the reason's name in snake_case, as printed in the decision log.
const char* toString(Rejection rejection);

/// The result of choosing a target.
struct Decision {
    std::optional<std::size_t> target; ///< Empty when no target can take the request now.
    bool isTrial = false; ///< The target is in stage Trial, so a second attempt must back up this one.
    std::vector<Rejection> rejections; ///< One for each target of the service, in order.
};

/// A policy that chooses a target. Implementations are stateless: equal inputs and generator states give equal
/// decisions. Safe for concurrent use, if each thread has its own generator.
class Router {
public:
    Router() = default;
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;
    virtual ~Router() = default;

    /// Chooses a target for `request`. `health` and `load` hold one entry per target of `service`.
    virtual Decision choose(const PlacementRequest& request, const config::Service& service,
        std::span<const health::TargetView> health, std::span<const TargetLoad> load,
        std::mt19937_64& random) const = 0;
};

/// Chooses a random target, by health weight, among those that can take the request; the baseline for measurements.
/// `ownZone` is ignored; it is a parameter only because both factories have the same signature.
std::unique_ptr<Router> makeRandomRouter(const std::string& ownZone);

/// Draws two random candidates by health weight and zone, and chooses the one with the lower expected latency, which is
/// computed from its typical latency, the in-flight attempts of this instance and its zone. The policy used in
/// production.
std::unique_ptr<Router> makeTwoChoicesRouter(const std::string& ownZone);

} // namespace buckthorncroft::routing
