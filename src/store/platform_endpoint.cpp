#include <buckthorncroft/store/platform_endpoint.h>

#include "platform_json.h"

namespace buckthorncroft::store {

using base::ErrorCode;
using nlohmann::json;

namespace {

    // The delay of a slow platform is spent by the server, so the model itself must not count it as exceeded.
    constexpr std::chrono::hours unbounded { 1 };

    unsigned statusOf(ErrorCode code)
    {
        switch (code) {
        case ErrorCode::NotFound:
            return 404;
        case ErrorCode::Conflict:
            return 409;
        case ErrorCode::LimitExceeded:
            return 429;
        case ErrorCode::Unavailable:
            return 503;
        default:
            return 504;
        }
    }

    EndpointResponse failure(const base::Error& error)
    {
        const json body { { "error", base::toString(error.code) }, { "message", error.message } };
        return { statusOf(error.code), body.dump() };
    }

    EndpointResponse responseOf(const base::Result<void>& result)
    {
        return result ? EndpointResponse { 200, R"({"done":true})" } : failure(result.error());
    }

    template <typename T> EndpointResponse responseOf(const char* name, const base::Result<T>& result)
    {
        return result ? EndpointResponse { 200, json { { name, result.value() } }.dump() } : failure(result.error());
    }

    json faultsToJson(const PlatformFaults& faults)
    {
        return { { "down", faults.down }, { "read_only", faults.readOnly }, { "slow_ms", faults.callDelay.count() },
            { "lose_answers", faults.loseResponses }, { "lose_share", faults.loseShare },
            { "delay_commits", faults.delayCommits }, { "commit_delay_ms", faults.commitDelay.count() },
            { "stale_ms", faults.readStaleness.count() } };
    }

    EndpointResponse control(MemoryPlatform& platform, const json& request)
    {
        const auto before = platform.faults();
        for (const auto& [key, value] : request.items()) {
            if (!faultsToJson(before).contains(key))
                return { 400, json { { "error", "invalid_argument" }, { "message", "unknown fault " + key } }.dump() };
        }
        const auto milliseconds = [&](const char* key, std::chrono::milliseconds old) {
            return std::chrono::milliseconds(request.value(key, old.count()));
        };
        auto faults = before;
        faults.down = request.value("down", before.down);
        faults.readOnly = request.value("read_only", before.readOnly);
        faults.callDelay = milliseconds("slow_ms", before.callDelay);
        faults.loseResponses = request.value("lose_answers", before.loseResponses);
        faults.loseShare = request.value("lose_share", before.loseShare);
        faults.delayCommits = request.value("delay_commits", before.delayCommits);
        faults.commitDelay = milliseconds("commit_delay_ms", before.commitDelay);
        faults.readStaleness = milliseconds("stale_ms", before.readStaleness);
        platform.setFaults(faults);
        return { 200, faultsToJson(faults).dump() };
    }

    EndpointResponse dispatch(MemoryPlatform& platform, const std::string& path, const json& request)
    {
        if (path == "/table/read")
            return responseOf("row", platform.read(request.at("key"), request.at("linearizable"), unbounded));
        if (path == "/table/scan")
            return responseOf("rows", platform.scan(request.at("prefix"), request.at("limit"), unbounded));
        if (path == "/table/commit")
            return responseOf(platform.commit(writesFromJson(request.at("writes")), unbounded));
        if (path == "/objects/put")
            return responseOf(platform.putObject(request.at("name"), request.at("content"), unbounded));
        if (path == "/objects/get")
            return responseOf("content", platform.getObject(request.at("name"), unbounded));
        if (path == "/instances/list")
            return responseOf("instances", platform.listInstances(unbounded));
        if (path == "/instances/heartbeat")
            return responseOf(platform.heartbeat(request.get<ListedInstance>(), unbounded));
        if (path == "/control")
            return control(platform, request);
        return { 404, json { { "error", "invalid_argument" }, { "message", "unknown call " + path } }.dump() };
    }

} // namespace

EndpointResponse serveCall(MemoryPlatform& platform, const std::string& path, const std::string& body)
{
    try {
        return dispatch(platform, path, json::parse(body));
    } catch (const json::exception& e) {
        return { 400, json { { "error", "invalid_argument" }, { "message", e.what() } }.dump() };
    }
}

} // namespace buckthorncroft::store
