#include "settings_fields.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace buckthorncroft::daemon {

std::string toString(const Endpoint& endpoint)
{
    const bool isIpv6 = endpoint.host.find(':') != std::string::npos;
    return (isIpv6 ? "[" + endpoint.host + "]" : endpoint.host) + ":" + std::to_string(endpoint.port);
}

namespace detail {

    namespace {

        constexpr std::size_t maxNameBytes = 128;

    } // namespace

    std::optional<Endpoint> parseEndpoint(std::string_view text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string_view::npos || colon == 0)
            return std::nullopt;
        auto host = text.substr(0, colon);
        const bool isBracketed = host.front() == '[' && host.back() == ']';
        if (isBracketed)
            host = host.substr(1, host.size() - 2);
        if (host.empty() || host.find_first_not_of("0123456789abcdefABCDEF.:") != std::string_view::npos
            || (!isBracketed && host.find(':') != std::string_view::npos))
            return std::nullopt;
        Endpoint result { std::string(host), 0 };
        const auto port = text.substr(colon + 1);
        const auto end = port.data() + port.size();
        const auto [parsedEnd, error] = std::from_chars(port.data(), end, result.port);
        return !port.empty() && error == std::errc() && parsedEnd == end ? std::optional(result) : std::nullopt;
    }

    Endpoint readEndpoint(TomlReader& reader, const std::string& key, bool required)
    {
        const auto text = required ? reader.requiredText(key) : reader.text(key, "");
        if (text.empty())
            return {};
        const auto result = parseEndpoint(text);
        if (!result)
            reader.report(key, "is not an address", addressHint);
        return result.value_or(Endpoint {});
    }

    std::string readName(TomlReader& reader, const std::string& key)
    {
        auto name = reader.requiredText(key);
        const auto allowed = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
        if (name.size() > maxNameBytes || !std::all_of(name.begin(), name.end(), allowed))
            reader.report(key, "is not a name", "use up to 128 letters, digits, '-', '_' and '.'");
        return name;
    }

    LogLevel readLogLevel(TomlReader& reader)
    {
        const auto text = reader.text("log_level", "info");
        if (text == "debug")
            return LogLevel::Debug;
        if (text == "warning")
            return LogLevel::Warning;
        if (text == "error")
            return LogLevel::Error;
        if (text != "info")
            reader.report("log_level", "is not a log level", "use debug, info, warning or error");
        return LogLevel::Info;
    }

} // namespace detail

} // namespace buckthorncroft::daemon
