#include <buckthorncroft/store/platform_endpoint.h>

#include "platform_json.h"

namespace buckthorncroft::store {

using base::ErrorCode;
using nlohmann::json;

namespace {

    // The stand-in's server waits for `callDelay` itself, so the simulated platform must not treat it as a timeout.
    constexpr std::chrono::hours noTimeout { 1 };

    unsigned toHttpStatus(ErrorCode code)
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

    EndpointResponse makeErrorResponse(const base::Error& error)
    {
        const json body { { "error", base::toString(error.code) }, { "message", error.message } };
        return { toHttpStatus(error.code), body.dump() };
    }

    EndpointResponse makeResponse(const base::Result<void>& result)
    {
        return result ? EndpointResponse { 200, R"({"done":true})" } : makeErrorResponse(result.error());
    }

    template <typename T> EndpointResponse makeResponse(const char* name, const base::Result<T>& result)
    {
        return result ? EndpointResponse { 200, json { { name, result.value() } }.dump() }
                      : makeErrorResponse(result.error());
    }

    json faultsToJson(const PlatformFaults& faults)
    {
        return { { "down", faults.down }, { "read_only", faults.readOnly }, { "slow_ms", faults.callDelay.count() },
            { "lose_answers", faults.responsesToLose }, { "lose_share", faults.responseLossProbability },
            { "delay_commits", faults.commitsToDelay }, { "commit_delay_ms", faults.commitDelay.count() },
            { "stale_ms", faults.readStaleness.count() } };
    }

    EndpointResponse updateFaults(MemoryPlatform& platform, const json& request)
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
        faults.responsesToLose = request.value("lose_answers", before.responsesToLose);
        faults.responseLossProbability = request.value("lose_share", before.responseLossProbability);
        faults.commitsToDelay = request.value("delay_commits", before.commitsToDelay);
        faults.commitDelay = milliseconds("commit_delay_ms", before.commitDelay);
        faults.readStaleness = milliseconds("stale_ms", before.readStaleness);
        platform.setFaults(faults);
        return { 200, faultsToJson(faults).dump() };
    }

    EndpointResponse dispatch(MemoryPlatform& platform, const std::string& path, const json& request)
    {
        if (path == "/table/read")
            return makeResponse("row", platform.read(request.at("key"), request.at("linearizable"), noTimeout));
        if (path == "/table/scan")
            return makeResponse("rows", platform.scan(request.at("prefix"), request.at("limit"), noTimeout));
        if (path == "/table/commit")
            return makeResponse(platform.commit(writesFromJson(request.at("writes")), noTimeout));
        if (path == "/objects/put")
            return makeResponse(platform.putObject(request.at("name"), request.at("content"), noTimeout));
        if (path == "/objects/get")
            return makeResponse("content", platform.getObject(request.at("name"), noTimeout));
        if (path == "/instances/list")
            return makeResponse("instances", platform.listInstances(noTimeout));
        if (path == "/instances/heartbeat")
            return makeResponse(platform.heartbeat(request.get<ListedInstance>(), noTimeout));
        if (path == "/control")
            return updateFaults(platform, request);
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
