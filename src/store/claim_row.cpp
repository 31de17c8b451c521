#include <buckthorncroft/store/claim_row.h>

#include <buckthorncroft/config/parse.h>
#include <cctype>
#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace buckthorncroft::store {

using nlohmann::json;

namespace {

    // Escapes all bytes that the table's interface may not be able to carry, because callers choose the idempotency
    // key.
    std::string escapeKeyPart(const std::string& text)
    {
        std::string result;
        for (const unsigned char c : text) {
            if (std::isalnum(c) || c == '-' || c == '_' || c == '.')
                result += static_cast<char>(c);
            else
                result += fmt::format("%{:02X}", c);
        }
        return result;
    }

    // Encodes the parts of a target's response, which may contain any bytes, because JSON strings must be UTF-8.
    std::string encodeBase64(const std::string& bytes)
    {
        std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
        const auto n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
            reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
        text.resize(static_cast<std::size_t>(n));
        return text;
    }

    std::optional<std::string> decodeBase64(const std::string& text)
    {
        std::string bytes(text.size(), '\0');
        const auto n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
            reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
        if (n < 0)
            return std::nullopt;
        // EVP_DecodeBlock includes the padding in the number of decoded bytes.
        const auto padding = text.ends_with("==") ? 2u : text.ends_with('=') ? 1u : 0u;
        bytes.resize(static_cast<std::size_t>(n) - padding);
        return bytes;
    }

    json responseToJson(const outcome::RecordedResponse& response)
    {
        auto headers = json::array();
        for (const auto& [name, value] : response.headers)
            headers.push_back({ encodeBase64(name), encodeBase64(value) });
        return { { "status", response.status }, { "headers", headers }, { "body", encodeBase64(response.body) },
            { "body_recorded", response.bodyRecorded } };
    }

    std::optional<outcome::RecordedResponse> responseFromJson(const json& value)
    {
        outcome::RecordedResponse response;
        value.at("status").get_to(response.status);
        value.at("body_recorded").get_to(response.bodyRecorded);
        const auto body = decodeBase64(value.at("body"));
        if (!body)
            return std::nullopt;
        response.body = *body;
        for (const auto& it : value.at("headers")) {
            const auto headerName = decodeBase64(it.at(0));
            const auto headerValue = decodeBase64(it.at(1));
            if (!headerName || !headerValue)
                return std::nullopt;
            response.headers.emplace_back(*headerName, *headerValue);
        }
        return response;
    }

} // namespace

std::string claimKey(const outcome::ClaimRequest& request)
{
    const auto name = escapeKeyPart(request.service) + "/" + escapeKeyPart(request.key);
    return claimKeyPrefix + config::contentDigest(name) + "/" + name;
}

std::string formatClaim(const outcome::ClaimRow& row)
{
    const auto created = std::chrono::duration_cast<std::chrono::milliseconds>(row.createdAt.time_since_epoch());
    json value { { "holder", row.holder }, { "token", row.token }, { "request", row.requestDigest },
        { "created_ms", created.count() }, { "state", row.response ? "completed" : "claimed" } };
    if (row.response)
        value["answer"] = responseToJson(*row.response);
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<outcome::ClaimRow> parseClaim(const std::string& text)
{
    try {
        const auto value = json::parse(text);
        outcome::ClaimRow row;
        value.at("holder").get_to(row.holder);
        value.at("token").get_to(row.token);
        value.at("request").get_to(row.requestDigest);
        row.createdAt = base::WallTime(std::chrono::milliseconds(value.at("created_ms").get<std::int64_t>()));
        if (value.at("state") == "completed") {
            row.response = responseFromJson(value.at("answer"));
            if (!row.response)
                return std::nullopt;
        } else if (value.at("state") != "claimed") {
            return std::nullopt;
        }
        return row;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace buckthorncroft::store
