#pragma once

#include "simulation.h"

#include <buckthorncroft/base/finding.h>

namespace buckthorncroft::simulation {

/// An event of a scenario.
struct Action {
    std::string verb; ///< `fault`, `load`, `cut` or `restart`.
    std::vector<std::string> arguments; ///< The words after the verb, without the times.
    double startAt = 0; ///< Seconds from the start.
    double duration = 0; ///< Seconds; 0: until the end of the scenario.
    double interval = 0; ///< Seconds between the restarts of a group; 0 for other verbs.
    unsigned line = 0;
};

/// A bound that a metric must keep.
struct Expectation {
    std::string metric;
    std::string target; ///< Restricts detection times to one target; empty: all targets.
    std::string relation; ///< `<=` or `>=`.
    double value = 0;
    unsigned line = 0;
};

/// A parsed scenario file. The file has one verb per line; `#` starts a comment.
///
///     deployment NAME [SERVICE...]             first line; all services when none is named
///     time SECONDS
///     load SERVICE RATE [at S]                 requests per second, or a percentage of the capacity such as 85%
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

/// Parses the text of a scenario file. The findings contain every problem with its line.
ParsedScenario parseScenario(const std::string& text, const std::string& file);

/// Runs the scenario in virtual time and returns its metrics.
Metrics runScenario(const Scenario& scenario, Options options);

/// Returns a finding for each expectation that does not hold. The invariants of the design are checked for every
/// scenario, whether it names them or not.
base::Findings checkScenario(const Scenario& scenario, const Metrics& metrics);

} // namespace buckthorncroft::simulation
