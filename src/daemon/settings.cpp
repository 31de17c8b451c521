#include <buckthorncroft/daemon/settings.h>

#include <algorithm>
#include <buckthorncroft/config/toml_reader.h>
#include <charconv>
#include <optional>

namespace buckthorncroft::daemon {

namespace {

    using config::TomlReader;

    constexpr unsigned maxTrafficThreads = 64;
    constexpr std::chrono::milliseconds maxBalancerLag { 600'000 };
    constexpr std::int64_t minMemoryBudget = 1 << 20;
    constexpr std::int64_t maxMemoryBudget = std::int64_t { 1 } << 40;
    constexpr std::size_t maxNameBytes = 128;
    constexpr const char* addressHint = "write an IP number and a port, for example 127.0.0.1:8080 or [::1]:8080";

    std::optional<Endpoint> parseEndpoint(std::string_view text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string_view::npos || colon == 0)
            return std::nullopt;
        auto host = text.substr(0, colon);
        const bool bracketed = host.front() == '[' && host.back() == ']';
        if (bracketed)
            host = host.substr(1, host.size() - 2);
        if (host.empty() || host.find_first_not_of("0123456789abcdefABCDEF.:") != std::string_view::npos
            || (!bracketed && host.find(':') != std::string_view::npos))
            return std::nullopt;
        Endpoint result { std::string(host), 0 };
        const auto port = text.substr(colon + 1);
        const auto end = port.data() + port.size();
        const auto [place, error] = std::from_chars(port.data(), end, result.port);
        return !port.empty() && error == std::errc() && place == end ? std::optional(result) : std::nullopt;
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

    // Plain text must be asked for, so that a forgotten table never turns encryption off.
    TlsFiles readTls(TomlReader& reader, const std::string& key)
    {
        auto table = reader.table(key);
        TlsFiles result;
        result.plaintext = table.boolean("plaintext", false);
        result.certificate = table.text("certificate", "");
        result.privateKey = table.text("private_key", "");
        result.authority = table.text("authority", "");
        const bool anyFile = !(result.certificate + result.privateKey + result.authority).empty();
        const bool allFiles = !result.certificate.empty() && !result.privateKey.empty() && !result.authority.empty();
        if (result.plaintext && anyFile)
            table.report("plaintext", "contradicts the file names", "remove either");
        else if (!result.plaintext && !allFiles)
            reader.report(
                key, "needs certificate, private_key and authority", "name the three files, or set plaintext = true");
        table.reportUnknownKeys();
        return result;
    }

    void readPeers(TomlReader& reader, InstanceSettings& settings)
    {
        for (const auto& it : reader.texts("inner_peers")) {
            const auto peer = parseEndpoint(it);
            if (peer && peer->port != 0)
                settings.innerPeers.push_back(*peer);
            else
                reader.report("inner_peers", "\"" + it + "\" is not an address", addressHint);
        }
    }

} // namespace

std::string toString(const Endpoint& endpoint)
{
    const bool v6 = endpoint.host.find(':') != std::string::npos;
    return (v6 ? "[" + endpoint.host + "]" : endpoint.host) + ":" + std::to_string(endpoint.port);
}

ParsedSettings parseSettings(std::string_view text, const std::string& file)
{
    ParsedSettings result;
    auto& settings = result.settings;
    auto reader = TomlReader::parse(text, file, result.findings);
    if (!result.findings.empty())
        return result;
    settings.instance = readName(reader, "instance");
    settings.zone = readName(reader, "zone");
    settings.callers = readEndpoint(reader, "callers", true);
    settings.operators = readEndpoint(reader, "operators", true);
    settings.inner = readEndpoint(reader, "inner", true);
    readPeers(reader, settings);
    settings.platform = readEndpoint(reader, "platform", false);
    settings.configurationFile = reader.text("configuration_file", "");
    settings.trafficThreads
        = static_cast<unsigned>(reader.integer("traffic_threads", settings.trafficThreads, 1, maxTrafficThreads));
    settings.balancerLag
        = reader.milliseconds("balancer_lag_ms", settings.balancerLag, std::chrono::milliseconds(0), maxBalancerLag);
    settings.memoryBudget = static_cast<std::uint64_t>(reader.integer(
        "memory_budget_bytes", static_cast<std::int64_t>(settings.memoryBudget), minMemoryBudget, maxMemoryBudget));
    settings.logLevel = readLogLevel(reader);
    settings.operatorsTls = readTls(reader, "operators_tls");
    settings.innerTls = readTls(reader, "inner_tls");
    if (settings.platform.host.empty() && settings.configurationFile.empty() && !reader.has("platform"))
        reader.report("platform", "there is no source of configuration", "set platform or configuration_file");
    reader.reportUnknownKeys();
    return result;
}

} // namespace buckthorncroft::daemon
