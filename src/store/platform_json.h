#pragma once

#include <buckthorncroft/store/platform.h>
#include <nlohmann/json.hpp>

// JSON representations that HttpPlatform and the platform stand-in share.
namespace buckthorncroft::store {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Row, key, value, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ListedInstance, instance, zone, address, leaving)

/// Converts a transaction to JSON. A write without `value` deletes the row.
inline nlohmann::json writesToJson(const std::vector<Write>& writes)
{
    auto result = nlohmann::json::array();
    for (const auto& it : writes) {
        result.push_back({ { "key", it.key }, { "expected_version", it.expectedVersion } });
        if (it.value)
            result.back()["value"] = *it.value;
    }
    return result;
}

/// Reverses `writesToJson`. Throws nlohmann::json::exception for malformed input.
inline std::vector<Write> writesFromJson(const nlohmann::json& json)
{
    std::vector<Write> writes;
    for (const auto& it : json) {
        auto& write = writes.emplace_back();
        it.at("key").get_to(write.key);
        it.at("expected_version").get_to(write.expectedVersion);
        if (it.contains("value"))
            write.value = it["value"].get<std::string>();
    }
    return writes;
}

} // namespace buckthorncroft::store
