#include "configuration_rows.h"

#include <algorithm>
#include <buckthorncroft/config/parse.h>
#include <cctype>
#include <fmt/core.h>

namespace buckthorncroft::store::detail {

using base::Error;
using base::ErrorCode;
using nlohmann::json;

std::string operationKey(const std::string& operationId)
{
    return "config/operation/" + operationId;
}

std::string historyPrefix(const std::string& service)
{
    return "config/history/" + service + "/";
}

std::string historyKey(const std::string& service, std::uint64_t version)
{
    return historyPrefix(service) + fmt::format("{:020}", UINT64_MAX - version);
}

bool isKeyPart(const std::string& text, std::size_t maxBytes)
{
    return !text.empty() && text.size() <= maxBytes && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) || c == '-' || c == '_' || c == '.';
    });
}

std::optional<std::string> formatWithDigest(const json& content)
{
    try {
        return json { { "digest", config::contentDigest(content.dump()) }, { "content", content } }.dump();
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<json> parseWithDigest(const std::string& text)
{
    try {
        const auto row = json::parse(text);
        if (row.at("digest").get<std::string>() != config::contentDigest(row.at("content").dump()))
            return std::nullopt;
        return row.at("content").is_object() ? std::optional(row.at("content")) : std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

base::Result<VerifiedRow> readVerifiedRow(Platform& platform, const std::string& key, std::chrono::milliseconds timeout)
{
    const auto row = platform.read(key, true, timeout);
    if (!row && row.error().code == ErrorCode::NotFound)
        return VerifiedRow {};
    if (!row)
        return Error { ErrorCode::Unavailable, "cannot read " + key + ": " + row.error().message };
    auto content = parseWithDigest(row.value().value);
    if (!content)
        return Error { ErrorCode::Malformed, "the row " + key + " is damaged" };
    return VerifiedRow { std::move(*content), row.value().version };
}

base::Result<config::Service> parseService(const std::string& text, const std::string& key)
{
    auto parsed = config::parseConfiguration(text, key);
    if (!parsed.findings.empty()) {
        std::string reasons;
        for (const auto& it : parsed.findings)
            reasons += (reasons.empty() ? "" : "; ") + base::toString(it);
        return Error { ErrorCode::InvalidArgument, reasons };
    }
    if (parsed.configuration.services.size() != 1)
        return Error { ErrorCode::InvalidArgument, key + ": must contain exactly one service" };
    return std::move(parsed.configuration.services.front());
}

bool mayHaveTakenEffect(ErrorCode code)
{
    return code == ErrorCode::Timeout || code == ErrorCode::OutcomeUnknown || code == ErrorCode::Malformed;
}

} // namespace buckthorncroft::store::detail
