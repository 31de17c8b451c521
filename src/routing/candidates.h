#pragma once

#include <buckthorncroft/routing/router.h>

namespace buckthorncroft::routing::detail {

/// The targets that can take one request, and the reasons why the others cannot.
struct Candidates {
    std::vector<std::size_t> targets;
    std::vector<Rejection> rejections; ///< One per target; None for each candidate.
};

/// Filters the targets by health, draining, earlier attempts, free slots and connections. When no healthy target can
/// take the request, the candidates are those of the remaining targets that are most likely to succeed.
Candidates findCandidates(const PlacementRequest& request, const config::Service& service,
    std::span<const health::TargetView> health, std::span<const TargetLoad> load);

/// Chooses a target in stage Trial for a small fraction of the first attempts of idempotent requests.
std::optional<std::size_t> chooseTrialTarget(const PlacementRequest& request, const config::Service& service,
    std::span<const health::TargetView> health, std::span<const TargetLoad> load, std::mt19937_64& random);

/// Returns the weight of the target for requests of `kind`, 0 to 1; a healthy target has 1.
double weightOf(const health::TargetView& view, config::RequestKind kind);

/// Draws one of `targets`, which must not be empty, with probability proportional to its weight for `kind`.
std::size_t drawByWeight(std::span<const std::size_t> targets, std::span<const health::TargetView> health,
    config::RequestKind kind, std::mt19937_64& random);

} // namespace buckthorncroft::routing::detail
