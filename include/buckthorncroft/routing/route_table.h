#pragma once

#include <buckthorncroft/config/model.h>
#include <buckthorncroft/routing/key_directory.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace buckthorncroft::routing {

/// Lowest priority of a route or a workspace; 0 is the highest.
constexpr unsigned lowestPriority = 1000;

/// A service that a route sends requests to, and its weight among the services of the route.
struct WeightedService {
    std::string service;
    double weight = 1; ///< Relative to the other weights; 0 or more.
};

/// A route: requests of one host and path prefix, and the rules for forwarding them.
struct HostRoute {
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string prefix; ///< Begins and ends with `/`.
    config::RequestKind kind = config::RequestKind::NonIdempotent;
    std::vector<WeightedService> services; ///< At least one.
    std::chrono::milliseconds timeout { 5000 }; ///< Maximum time from the arrival of a request to its final response.
    std::chrono::milliseconds latencyObjective { 1000 }; ///< Intended maximum latency; later responses count as late.
    unsigned maxAttempts = 2; ///< Maximum number of targets that one request is sent to.
    unsigned priority = 0; ///< 0 is the highest.
    bool isPublic = false; ///< Requests need no key, even if the configuration has workspaces.
};

/// Limits on the size and duration of a caller's request.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 64u << 20;
    std::chrono::milliseconds headerTimeout { 3000 }; ///< Maximum time to receive the header of a request.
    std::chrono::milliseconds idleTimeout { 15'000 }; ///< A connection without a request is closed after this time.
};

/// Limits of one service, as configured by the operator.
struct ServiceLimits {
    std::string service;
    unsigned connectionLimit = 0; ///< Connections that one target accepts from all instances; 0 when not configured.
};

/// Maximum rate of requests of a workspace, over all instances.
struct Quota {
    double ratePerSecond = 0; ///< 0 if the rate is not limited.
    double burst = 0; ///< Requests that may exceed the rate at once.

    bool isLimited() const { return ratePerSecond > 0; }
};

/// A workspace: callers that share keys, a priority and a quota.
struct Workspace {
    std::string name;
    std::vector<KeyDigest> keys; ///< Empty in a `RouteTable`, which moves them to its directory.
    unsigned priority = 0; ///< Goes before the priority of the route; 0 is the highest.
    Quota quota;
};

/// Workspaces and keys that were left out of a `RouteSet`, because they are not valid.
struct WorkspaceProblems {
    std::size_t workspaces = 0;
    std::size_t keys = 0;
    std::vector<std::string> reasons; ///< Of the first `maxReasons`, without keys.

    static constexpr std::size_t maxReasons = 10;

    bool isEmpty() const { return workspaces == 0 && keys == 0; }
};

/// One version of the operator's route configuration. A higher version replaces a lower one completely.
struct RouteSet {
    std::uint64_t version = 0;
    CallerLimits limits;
    std::vector<HostRoute> routes;
    std::vector<ServiceLimits> services;
    std::vector<Workspace> workspaces; ///< If there are none, requests need no key.
    WorkspaceProblems workspaceProblems;

    /// Whether requests of routes that are not public need a key. Workspaces that were left out count, so that an error
    /// in the configuration does not open routes to everyone.
    bool requiresKeys() const { return !workspaces.empty() || workspaceProblems.workspaces > 0; }
};

/// Finds routes by host and longest prefix. Immutable, so that threads may share it.
class RouteTable {
public:
    explicit RouteTable(RouteSet routes);

    /// Returns the route of the host with the longest prefix that matches `path`, or null. The case and the port of
    /// `host` and the query of `path` are ignored.
    const HostRoute* find(std::string_view host, std::string_view path) const;

    /// Returns the workspace that holds the key with this digest, or null.
    const Workspace* findWorkspace(const KeyDigest& key) const;

    const RouteSet& routeSet() const { return m_routeSet; }

private:
    RouteSet m_routeSet;
    std::unordered_map<std::string, std::vector<const HostRoute*>> m_byHost; ///< Longest prefix first.
    KeyDirectory m_keys;
};

/// Chooses one of the services of the route with probability proportional to its weight. `draw` must be uniformly
/// distributed in [0, 1).
const std::string& chooseService(const HostRoute& route, double draw);

/// Combines the priorities of a workspace and of a route: the route decides among requests of equal workspaces.
/// `workspace` and `route` must not exceed `lowestPriority`.
constexpr unsigned combinedPriority(unsigned workspace, unsigned route)
{
    return workspace * (lowestPriority + 1) + route;
}

/// Returns the keys of all workspaces with the indexes of their owners.
std::vector<KeyOwner> collectKeys(const std::vector<Workspace>& workspaces);

/// Returns `host` in lower case and without its port.
std::string normalizedHost(std::string_view host);

} // namespace buckthorncroft::routing
