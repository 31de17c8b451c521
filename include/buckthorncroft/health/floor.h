#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace buckthorncroft::health {

/// One target that somebody wants out of the service.
struct FloorCandidate {
    std::string target; ///< Target id.
    double score = 0; ///< Largest score over this instance and its peers.
};

/// Puts candidates into the order in which they may be out: the worst first, then by id. Scores are compared in steps
/// that survive the transport as a 32-bit float, so that every instance finds the same order.
void sortWorstFirst(std::vector<FloorCandidate>& candidates);

/// Number of targets that may be out when `available` targets are configured, not draining and not down.
std::size_t allowedOut(std::size_t available, std::size_t floor);

} // namespace buckthorncroft::health
