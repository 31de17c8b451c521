#pragma once

namespace buckthorncroft::limits {

/// Shares are computed for at least this many instances, the largest number that currently runs. A target thus stays
/// below its limit when instances start while others still hold their connections.
constexpr unsigned minAssumedInstances = 44;

/// Returns the number of connections that one instance may hold to a target that accepts `limit` connections from all
/// instances: 90 % of the limit, divided by the number of instances. At least 1, because an instance without a
/// connection could not use the target.
unsigned connectionShare(unsigned limit, unsigned liveInstances);

} // namespace buckthorncroft::limits
