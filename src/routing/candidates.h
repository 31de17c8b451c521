#pragma once

#include <buckthorncroft/routing/router.h>

namespace buckthorncroft::routing::detail {

/// The targets that may take one request, and the reasons against the others.
struct Candidates {
    std::vector<std::size_t> targets;
    std::vector<Rejection> rejections; ///< None for each candidate.
};

/// Applies health, drains, earlier attempts, slots and connections. When no healthy target can take the request, the
/// least bad group of the remaining ones is returned.
Candidates findCandidates(const PlacementRequest& request, const config::Service& service,
    std::span<const health::TargetView> health, std::span<const TargetLoad> load);

/// Chooses a target in stage Trial for a small share of the first attempts of idempotent requests.
std::optional<std::size_t> chooseTrial(const PlacementRequest& request, const config::Service& service,
    std::span<const health::TargetView> health, std::span<const TargetLoad> load, std::mt19937_64& random);

/// Share of ordinary work of the kind that the target receives, 0 to 1.
double weightOf(const health::TargetView& view, config::RequestKind kind);

/// Draws one of `targets`, which must not be empty, with probability proportional to the weight for the kind.
std::size_t drawByWeight(std::span<const std::size_t> targets, std::span<const health::TargetView> health,
    config::RequestKind kind, std::mt19937_64& random);

} // namespace buckthorncroft::routing::detail
