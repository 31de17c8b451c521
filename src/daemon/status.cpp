#include "status.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace buckthorncroft::daemon::detail {

namespace {

    using nlohmann::json;

    json scoresJson(const health::KindScores& scores)
    {
        json result = json::object();
        for (unsigned i = 0; i < config::requestKindCount; ++i)
            result[config::toString(static_cast<config::RequestKind>(i))] = scores[i];
        return result;
    }

    json targetJson(const health::StageExplanation& target, base::SteadyTime now)
    {
        return { { "target", target.target }, { "stage", health::toString(target.stage) },
            { "reason", health::toString(target.reason) },
            { "in_stage_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - target.since).count() },
            { "own_scores", scoresJson(target.own) }, { "pooled_scores", scoresJson(target.pooled) },
            { "reporters", target.reporters }, { "ejections", target.ejections },
            { "held_by_floor", target.heldByFloor }, { "avoided_by_this_instance", target.avoidLocally },
            { "draining", target.draining }, { "down", target.down } };
    }

    json serviceJson(const ControlState& state, const std::string& service, base::SteadyTime now)
    {
        json targets = json::array();
        unsigned inServiceCount = 0;
        unsigned floor = 0;
        for (const auto& it : state.explain(service)) {
            inServiceCount = it.inServiceCount;
            floor = it.floor;
            targets.push_back(targetJson(it, now));
        }
        return { { "service", service }, { "targets_in", inServiceCount }, { "floor", floor },
            { "targets", std::move(targets) } };
    }

} // namespace

std::string formatScores(const health::KindScores& scores)
{
    std::string result;
    for (unsigned i = 0; i < config::requestKindCount; ++i) {
        if (scores[i] > 0)
            result += fmt::format("{}{}:{:.1f}", result.empty() ? "" : ",",
                config::toString(static_cast<config::RequestKind>(i)), scores[i]);
    }
    return result.empty() ? "none" : result;
}

std::string makeStatusDocument(const ControlState& state, const InstanceSettings& settings, base::SteadyTime now)
{
    json peers = json::array();
    for (const auto& it : state.members().live(now))
        peers.push_back({ { "instance", it.instance }, { "zone", it.zone }, { "address", it.address } });
    json services = json::array();
    for (const auto& it : state.services())
        services.push_back(serviceJson(state, it, now));
    const json document { { "instance", settings.instance }, { "zone", settings.zone },
        { "change", state.changeNumber() }, { "configuration_reader", state.isConfigurationReader(now) },
        { "live_instances", std::move(peers) }, { "control_bytes_sent", state.bytesSent() },
        { "services", std::move(services) } };
    return document.dump();
}

} // namespace buckthorncroft::daemon::detail
