#include "cli_command.h"
#include "operators_client.h"

#include <algorithm>
#include <buckthorncroft/daemon/operator_cli.h>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

namespace buckthorncroft::daemon::detail {

namespace {

    using nlohmann::json;

    constexpr std::chrono::milliseconds statusTimeout { 2000 };
    constexpr std::chrono::milliseconds pollInterval { 200 };

    struct InstanceStatus {
        std::string endpoint;
        json document; ///< Null if the instance did not respond.
        std::string problem;
    };

    InstanceStatus readStatus(const Endpoint& endpoint, const CliCommand& command)
    {
        InstanceStatus result { toString(endpoint), {}, {} };
        const auto response = fetchPath(endpoint, "/status", command.tls, statusTimeout);
        if (!response) {
            result.problem = response.error().message;
            return result;
        }
        result.document = json::parse(response.value(), nullptr, false);
        if (!result.document.is_object() || !result.document.contains("instance")) {
            result.document = {};
            result.problem = "the response is not a status document";
        }
        return result;
    }

    std::vector<InstanceStatus> readAllStatuses(const CliCommand& command)
    {
        std::vector<InstanceStatus> result;
        for (const auto& it : command.operators)
            result.push_back(readStatus(it, command));
        return result;
    }

    std::uint64_t changeNumberOf(const InstanceStatus& status)
    {
        return status.document.value("change", std::uint64_t { 0 });
    }

    int printJson(const std::vector<InstanceStatus>& statuses)
    {
        json document = json::array();
        for (const auto& it : statuses)
            document.push_back(
                it.problem.empty() ? it.document : json { { "endpoint", it.endpoint }, { "problem", it.problem } });
        fmt::print("{}\n", document.dump(2));
        return CliOk;
    }

    // Prints for each zone how many instances have the newest change in force.
    void printZones(const std::vector<InstanceStatus>& statuses, std::uint64_t newestChange)
    {
        // By zone: number of instances with the newest change in force, and of all instances.
        std::map<std::string, std::pair<unsigned, unsigned>> zones;
        for (const auto& it : statuses) {
            if (!it.problem.empty())
                continue;
            auto& zone = zones[it.document.value("zone", "")];
            zone.first += changeNumberOf(it) == newestChange ? 1 : 0;
            ++zone.second;
        }
        fmt::print("\n{:<14} change {} in force\n", "zone", newestChange);
        for (const auto& [zone, counts] : zones)
            fmt::print("{:<14} {} of {} instances\n", zone, counts.first, counts.second);
    }

    // Number of instances by stage of one target, for example `healthy 5, suspect 1`.
    struct TargetSummary {
        std::map<std::string, unsigned> stages;
        unsigned draining = 0;
        unsigned heldByFloor = 0;
    };

    std::string formatStages(const TargetSummary& summary)
    {
        std::string text;
        for (const auto& [stage, n] : summary.stages)
            text += fmt::format("{}{} {}", text.empty() ? "" : ", ", stage, n);
        if (summary.draining)
            text += fmt::format(", draining {}", summary.draining);
        if (summary.heldByFloor)
            text += fmt::format(", held by floor {}", summary.heldByFloor);
        return text;
    }

    void addToSummary(const json& document, std::map<std::string, std::map<std::string, TargetSummary>>& services)
    {
        for (const auto& service : document.value("services", json::array())) {
            for (const auto& target : service.value("targets", json::array())) {
                auto& summary = services[service.value("service", "")][target.value("target", "")];
                ++summary.stages[target.value("stage", "unknown")];
                summary.draining += target.value("draining", false) ? 1 : 0;
                summary.heldByFloor += target.value("held_by_floor", false) ? 1 : 0;
            }
        }
    }

    std::string formatNonZeroScores(const json& scores)
    {
        std::string text;
        for (const auto& [kind, score] : scores.items()) {
            if (score.get<double>() > 0)
                text += fmt::format("{}{} {:.1f}", text.empty() ? "" : ", ", kind, score.get<double>());
        }
        return text.empty() ? "none" : text;
    }

    bool printExplanation(const InstanceStatus& status, const std::string& service, const std::string& target)
    {
        for (const auto& s : status.document.value("services", json::array())) {
            if (s.value("service", "") != service)
                continue;
            for (const auto& t : s.value("targets", json::array())) {
                if (t.value("target", "") != target)
                    continue;
                fmt::print("{} ({}): stage {} for {:.1f} s, because of {}\n", status.document.value("instance", ""),
                    status.document.value("zone", ""), t.value("stage", ""), t.value("in_stage_ms", 0.0) / 1000,
                    t.value("reason", ""));
                fmt::print("  scores from this instance's requests: {}\n", formatNonZeroScores(t["own_scores"]));
                fmt::print("  scores pooled from {} instances: {}\n", t.value("reporters", 0),
                    formatNonZeroScores(t["pooled_scores"]));
                fmt::print("  targets in: {}, floor: {}{}{}{}\n", s.value("targets_in", 0), s.value("floor", 0),
                    t.value("held_by_floor", false) ? ", kept in by the floor" : "",
                    t.value("avoided_by_this_instance", false) ? ", avoided by this instance only" : "",
                    t.value("draining", false) ? ", draining" : "");
                return true;
            }
        }
        return false;
    }

} // namespace

int runStatus(const CliCommand& command)
{
    const auto statuses = readAllStatuses(command);
    if (command.json)
        return printJson(statuses);
    std::uint64_t newestChange = 0;
    for (const auto& it : statuses)
        newestChange = std::max(newestChange, it.problem.empty() ? changeNumberOf(it) : 0);
    fmt::print("{:<22} {:<12} {:<12} {:>7} {:>6}  {}\n", "endpoint", "instance", "zone", "change", "peers", "note");
    bool allResponded = true;
    for (const auto& it : statuses) {
        if (!it.problem.empty()) {
            allResponded = false;
            fmt::print("{:<22} {:<12} {:<12} {:>7} {:>6}  {}\n", it.endpoint, "-", "-", "-", "-", it.problem);
            continue;
        }
        fmt::print("{:<22} {:<12} {:<12} {:>7} {:>6}  {}\n", it.endpoint, it.document.value("instance", ""),
            it.document.value("zone", ""), changeNumberOf(it),
            it.document.value("live_instances", json::array()).size(),
            changeNumberOf(it) < newestChange ? "lags behind" : "");
    }
    printZones(statuses, newestChange);
    return allResponded ? CliOk : CliRefused;
}

int runTargets(const CliCommand& command)
{
    const auto statuses = readAllStatuses(command);
    if (command.json)
        return printJson(statuses);
    std::map<std::string, std::map<std::string, TargetSummary>> services;
    for (const auto& it : statuses) {
        if (it.problem.empty())
            addToSummary(it.document, services);
        else
            fmt::print(stderr, "{}: {}\n", it.endpoint, it.problem);
    }
    for (const auto& [service, targets] : services) {
        fmt::print("{}\n", service);
        for (const auto& [target, summary] : targets)
            fmt::print("  {:<20} {}\n", target, formatStages(summary));
    }
    return services.empty() ? CliRefused : CliOk;
}

int runExplain(const CliCommand& command)
{
    const auto statuses = readAllStatuses(command);
    if (command.json)
        return printJson(statuses);
    bool found = false;
    for (const auto& it : statuses) {
        if (!it.problem.empty())
            fmt::print(stderr, "{}: {}\n", it.endpoint, it.problem);
        else
            found = printExplanation(it, command.arguments.at(0), command.arguments.at(1)) || found;
    }
    if (!found)
        fmt::print(stderr, "no instance that responded has target {} of service {}\n", command.arguments.at(1),
            command.arguments.at(0));
    return found ? CliOk : CliRefused;
}

bool waitUntilInForce(const CliCommand& command, std::uint64_t changeNumber)
{
    const auto deadline = std::chrono::steady_clock::now() + command.timeout;
    std::vector<Endpoint> lagging = command.operators;
    while (true) {
        std::erase_if(lagging, [&](const Endpoint& it) {
            const auto status = readStatus(it, command);
            return status.problem.empty() && changeNumberOf(status) >= changeNumber;
        });
        if (lagging.empty() || std::chrono::steady_clock::now() >= deadline)
            break;
        std::this_thread::sleep_for(pollInterval);
    }
    for (const auto& it : lagging)
        fmt::print(
            stderr, "{}: change {} was not reported as in force before the timeout\n", toString(it), changeNumber);
    return lagging.empty();
}

} // namespace buckthorncroft::daemon::detail
