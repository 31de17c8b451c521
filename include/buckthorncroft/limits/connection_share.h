#pragma once

namespace buckthorncroft::limits {

/// The most instances that run today. Shares are computed for at least this many, so that instances that start while
/// others still hold their connections do not push a target over its limit.
constexpr unsigned expectedInstances = 44;

/// Connections that one instance may hold to a target that accepts `limit` connections over all instances: 90 % of the
/// limit, divided by the live instances; at least 1, because an instance without a connection could not use the target.
unsigned connectionShare(unsigned limit, unsigned liveInstances);

} // namespace buckthorncroft::limits
