#pragma once

#include <buckthorncroft/base/finding.h>
#include <buckthorncroft/daemon/settings.h>
#include <buckthorncroft/limits/fleet_retry_budget.h>
#include <buckthorncroft/routing/zone_costs.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorncroft::gateway {

/// Settings of one gateway instance, as read from its settings file. Routes and targets come from the registry.
struct GatewaySettings {
    std::string instance; ///< Name of the instance, unique in the fleet.
    std::string zone; ///< Availability zone.
    daemon::Endpoint callers; ///< Address on which callers are served.
    daemon::Endpoint ready; ///< Address that serves readiness to the load balancer and metrics to operators.
    daemon::Endpoint peers; ///< UDP address for datagrams of other instances.
    std::vector<std::string> seeds; ///< IP addresses of instances to contact at the start, on the port of `peers`.
    daemon::Endpoint registry; ///< Address of the metadata store that holds routes and targets.
    double capacity = 1; ///< Processor time available to the instance, in cores.
    std::uint64_t memoryBudget = 128u << 20; ///< Maximum total size of request bodies in flight, in bytes.
    limits::RetryAllowance retries; ///< Retry budget of the whole fleet for each service.
    routing::ZonePrices zonePrices; ///< What it costs to serve a request in another zone.
    std::chrono::milliseconds gracePeriod { 6000 }; ///< Maximum time from SIGTERM to the end of the process.
    daemon::LogLevel logLevel = daemon::LogLevel::Info;
};

/// Result of `parseGatewaySettings`. `settings` is valid only if `findings` is empty.
struct ParsedGatewaySettings {
    GatewaySettings settings;
    base::Findings findings;
};

/// Parses and checks the TOML text of a settings file. Reports all problems, not just the first. `file` is the name
/// that the findings refer to.
ParsedGatewaySettings parseGatewaySettings(std::string_view text, const std::string& file);

} // namespace buckthorncroft::gateway
