#pragma once

#include "simulation.h"

#include <buckthorncroft/base/finding.h>

namespace buckthorncroft::simulation {

/// Something that happens during a scenario.
struct Action {
    std::string verb; ///< `fault`, `load`, `cut` or `restart`.
    std::vector<std::string> words; ///< What follows the verb, without the times.
    double at = 0; ///< Seconds from the start.
    double lasts = 0; ///< Seconds until it ends; 0: until the end of the scenario.
    double every = 0; ///< Seconds between the members of a group; 0 when it does not apply.
    unsigned line = 0;
};

/// A bound on a metric.
struct Expectation {
    std::string metric;
    std::string target; ///< Limits detection times to one target; may be empty.
    std::string relation; ///< `<=` or `>=`.
    double value = 0;
    unsigned line = 0;
};

/// A scenario file has one verb a line; `#` starts a comment.
///
///     deployment NAME [SERVICE...]             first line; all services when none is named
///     time SECONDS
///     load SERVICE RATE [at S]                 requests per second, or a share of the capacity such as 85%
///     fault KIND[=VALUE] TARGET at S [for S]   slow, wrong, mismatched, hanging, bookings, flapping, dead
///     fault platform-away at S [for S]
///     fault zone-lost ZONE at S [for S]
///     cut FROM TO at S [for S]                 one direction; names of instances or targets, zones, or *
///     restart targets SERVICE at S every S
///     restart instances at S every S
///     expect METRIC [TARGET] <=|>= VALUE
struct Scenario {
    std::string file;
    std::string deployment;
    std::vector<std::string> services;
    double seconds = 0;
    std::vector<Action> actions;
    std::vector<Expectation> expectations;
};

struct ParsedScenario {
    Scenario scenario;
    base::Findings findings;
};

/// Parses the text of a scenario file; all problems are reported with their lines.
ParsedScenario parseScenario(const std::string& text, const std::string& file);

/// Runs the scenario.
Metrics runScenario(const Scenario& scenario, Options options);

/// Returns the expectations that do not hold. The invariants of the design are checked for every scenario.
base::Findings checkScenario(const Scenario& scenario, const Metrics& metrics);

} // namespace buckthorncroft::simulation
