#pragma once

#include <buckthorncroft/config/model.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace buckthorncroft::routing {

/// One service that a route may send requests to, with its share among the route's services.
struct WeightedService {
    std::string service;
    double weight = 1; ///< Relative; 0 or more.
};

/// Requests of one host and path prefix, and how they may be treated.
struct HostRoute {
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string prefix; ///< Begins and ends with `/`.
    config::RequestKind kind = config::RequestKind::NonIdempotent;
    std::vector<WeightedService> services; ///< At least one.
    std::chrono::milliseconds timeout { 5000 }; ///< From the arrival of a request to its final answer, at most.
    std::chrono::milliseconds latencyObjective { 1000 }; ///< An answer within this time has its full worth.
    unsigned maxAttempts = 2; ///< Targets that one request may be sent to, at most.
    unsigned priority = 0; ///< 0 is the highest.
};

/// What a caller may send, and how long it may take.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 64u << 20;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15'000 };
};

/// What the operator states about one service.
struct ServiceLimits {
    std::string service;
    unsigned connectionLimit = 0; ///< Connections that one target accepts from all instances; 0 when not stated.
};

/// One version of the operator's routes. A higher version replaces a lower one whole.
struct RouteSet {
    std::uint64_t version = 0;
    CallerLimits limits;
    std::vector<HostRoute> routes;
    std::vector<ServiceLimits> services;
};

/// Finds routes by host and longest prefix. Immutable, so that threads may share it.
class RouteTable {
public:
    explicit RouteTable(RouteSet routes);

    /// Returns the route of the host with the longest prefix that begins `path`, or null. `host` may carry a port and
    /// any case.
    const HostRoute* find(std::string_view host, std::string_view path) const;

    const RouteSet& routeSet() const { return m_routes; }

private:
    RouteSet m_routes;
    std::unordered_map<std::string, std::vector<const HostRoute*>> m_byHost; ///< Longest prefix first.
};

/// Chooses one of the route's services by weight. `draw` is uniform in [0, 1).
const std::string& chooseService(const HostRoute& route, double draw);

/// Returns `host` in lower case and without its port.
std::string normalizedHost(std::string_view host);

} // namespace buckthorncroft::routing
