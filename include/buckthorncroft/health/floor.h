#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace buckthorncroft::health {

/// A target that this instance or a peer has ejected or is about to eject.
struct EjectionCandidate {
    std::string target; ///< Target id.
    double score = 0; ///< Largest score on this instance and its peers.
};

/// Sorts candidates by decreasing score, then by id. Scores are rounded to steps that survive the transport as a 32-bit
/// float, so that every instance computes the same order.
void sortWorstFirst(std::vector<EjectionCandidate>& candidates);

/// Maximum number of targets that may be out of service (ejected or in trial). `available` is the number of configured
/// targets that are not draining and not down; `floor` is the number of targets that must stay in service.
std::size_t maxOutOfService(std::size_t available, std::size_t floor);

} // namespace buckthorncroft::health
