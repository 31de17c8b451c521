#include <buckthorncroft/daemon/settings.h>

#include "settings_fields.h"

#include <algorithm>
#include <buckthorncroft/config/toml_reader.h>

namespace buckthorncroft::daemon {

namespace {

    using config::TomlReader;
    using detail::addressHint;
    using detail::parseEndpoint;
    using detail::readEndpoint;
    using detail::readLogLevel;
    using detail::readName;

    constexpr unsigned maxTrafficThreads = 64;
    constexpr std::chrono::milliseconds maxBalancerLag { 600'000 };
    constexpr std::int64_t minMemoryBudgetBytes = 1 << 20;
    constexpr std::int64_t maxMemoryBudgetBytes = std::int64_t { 1 } << 40;

    // Plaintext must be set explicitly, so that a missing table never disables encryption.
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

    void readInnerPeers(TomlReader& reader, InstanceSettings& settings)
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
    readInnerPeers(reader, settings);
    settings.platform = readEndpoint(reader, "platform", false);
    settings.configurationFile = reader.text("configuration_file", "");
    settings.trafficThreads
        = static_cast<unsigned>(reader.integer("traffic_threads", settings.trafficThreads, 1, maxTrafficThreads));
    settings.balancerLag
        = reader.milliseconds("balancer_lag_ms", settings.balancerLag, std::chrono::milliseconds(0), maxBalancerLag);
    settings.memoryBudget = static_cast<std::uint64_t>(reader.integer("memory_budget_bytes",
        static_cast<std::int64_t>(settings.memoryBudget), minMemoryBudgetBytes, maxMemoryBudgetBytes));
    settings.logLevel = readLogLevel(reader);
    settings.operatorsTls = readTls(reader, "operators_tls");
    settings.innerTls = readTls(reader, "inner_tls");
    if (settings.platform.host.empty() && settings.configurationFile.empty() && !reader.has("platform"))
        reader.report("platform", "there is no source of configuration", "set platform or configuration_file");
    reader.reportUnknownKeys();
    return result;
}

} // namespace buckthorncroft::daemon
