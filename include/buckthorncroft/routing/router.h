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

/// What a choice needs to know about one target, besides its configuration. Indexes match the service's targets.
struct TargetLoad {
    unsigned inFlight = 0; ///< Attempts of this instance that are running there.
    unsigned connections = 0; ///< Connections of this instance that are open there.
    unsigned connectionShare = 0; ///< Connections that this instance may hold there.
    std::chrono::microseconds typicalLatency { 0 }; ///< Smoothed latency of good answers; 0 when unknown.
};

/// The request that needs a target.
struct PlacementRequest {
    config::RequestKind kind = config::RequestKind::Idempotent;
    bool firstAttempt = true;
    std::vector<std::size_t> excluded; ///< Targets that earlier attempts used.
};

/// Why a target was not chosen.
enum class Rejection {
    None, ///< Chosen.
    Draining,
    Ejected,
    Suspect,
    LocallyAvoided,
    Excluded,
    NoSlot,
    NoConnection,
    OtherZone,
    NotSampled, ///< Eligible, but outside of the random sample.
    MoreLoaded,
    OnTrial,
};

/// Returns the reason's name in snake_case, as printed in the decision log.
const char* toString(Rejection rejection);

/// The result of one choice.
struct Decision {
    std::optional<std::size_t> target; ///< Empty when no target may take the request now.
    bool isTrial = false; ///< The attempt tests a target in stage Trial and must be backed by a second one.
    std::vector<Rejection> rejections; ///< One for each target of the service, in order.
};

/// A policy that chooses a target. Implementations are pure: equal inputs and generator states give equal decisions.
class Router {
public:
    Router() = default;
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;
    virtual ~Router() = default;

    virtual Decision choose(const PlacementRequest& request, const config::Service& service,
        std::span<const health::TargetView> health, std::span<const TargetLoad> load,
        std::mt19937_64& random) const = 0;
};

/// Chooses at random among the targets that may take the request; the baseline for measurements.
std::unique_ptr<Router> makeRandomRouter(const std::string& ownZone);

/// Compares two random candidates by own in-flight count, health weight and zone; the policy in production.
std::unique_ptr<Router> makeTwoChoicesRouter(const std::string& ownZone);

} // namespace buckthorncroft::routing
