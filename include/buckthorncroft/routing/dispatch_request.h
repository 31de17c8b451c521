#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/config/model.h>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthorncroft::routing {

/// Identifies a slot request of one instance.
struct DispatchKey {
    std::string instance;
    std::uint64_t request = 0; ///< Unique on the instance.
    bool operator==(const DispatchKey&) const = default;
};

/// A request of an instance for a slot on any target of the service.
struct DispatchRequest {
    DispatchKey key;
    std::string zone; ///< Availability zone of the instance.
    config::RequestKind kind = config::RequestKind::Idempotent;
    unsigned priority = 0; ///< 0 is the highest.
    unsigned attempt = 0; ///< 0 for the first attempt; further attempts are charged to the retry budget.
    base::SteadyTime objectiveDeadline; ///< A response up to this time meets the latency objective.
    base::SteadyTime deadline; ///< A response after this time is of no use to the caller.
    std::vector<std::string> connectedTargets; ///< Targets to which the instance has an idle connection.
    std::vector<std::string> excluded; ///< Targets that must not receive this request.
    std::string workspace; ///< Workspace of the caller; empty if it has none.
    std::uint32_t requestBytes = 0; ///< Length of the body.
    std::uint32_t responseBytes = 0; ///< Expected length of the response's body.
};

/// A request that waits at the dispatch point for a slot.
struct QueuedRequest {
    DispatchRequest request;
    base::SteadyTime queuedAt;
    base::SteadyTime waitDeadline; ///< At this time the request is granted at any risk, or refused.
};

/// Orders requests of one priority and workspace. Requests that can still meet their latency objective come first, by
/// that objective; late requests follow, by deadline.
bool hasPrecedence(const DispatchRequest& a, const DispatchRequest& b, base::SteadyTime now);

} // namespace buckthorncroft::routing
