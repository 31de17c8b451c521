#include <buckthorncroft/gateway/settings.h>

#include "../daemon/settings_fields.h"

namespace buckthorncroft::gateway {

namespace {

    using config::TomlReader;
    using std::chrono::milliseconds;

    // Fraction of the memory of the process that may buffer request bodies. The rest is for response bodies, code,
    // connections and state.
    constexpr double bodyMemoryFraction = 0.4;
    constexpr double minMemoryMegabytes = 32;
    constexpr double maxMemoryMegabytes = 1e6;
    constexpr double minCores = 0.001;
    constexpr double maxCores = 1024;
    using Milliseconds = std::chrono::duration<double, std::milli>;
    constexpr Milliseconds maxZoneDelay { 1000 };
    constexpr milliseconds maxDuration { 3'600'000 };

    // Reads a number with the unit `ms` or `s`, such as `250ms` or `2.5s`.
    milliseconds readDuration(TomlReader& reader, const std::string& key, milliseconds fallback)
    {
        const auto text = reader.text(key, "");
        if (text.empty())
            return fallback;
        std::size_t used = 0;
        double value = -1;
        try {
            value = std::stod(text, &used);
        } catch (const std::exception&) {
            used = 0;
        }
        const auto unit = text.substr(used);
        const double scale = unit == "ms" ? 1 : unit == "s" ? 1000 : 0;
        const auto count = value * scale;
        if (used == 0 || scale == 0 || count < 0 || count > static_cast<double>(maxDuration.count())) {
            reader.report(key, "is not a valid duration", "write a number with its unit, for example 250ms or 2.5s");
            return fallback;
        }
        return milliseconds(static_cast<std::int64_t>(count));
    }

    void readSeeds(TomlReader& reader, GatewaySettings& settings)
    {
        // The port of a seed is ignored: `PeerGroup::contact` uses the port of this instance's own `peers` address.
        for (const auto& it : reader.texts("seeds")) {
            if (it.empty())
                continue;
            const auto seed = daemon::detail::parseEndpoint(it);
            if (seed)
                settings.seeds.push_back(seed->host);
            else
                reader.report("seeds", "\"" + it + "\" is not an address", daemon::detail::addressHint);
        }
    }

    void readRetries(TomlReader& reader, limits::RetryAllowance& retries)
    {
        auto table = reader.table("retries");
        retries.ratio = table.number("ratio", retries.ratio, 0, 1);
        retries.window = readDuration(table, "window", retries.window);
        retries.slack = table.number("slack", retries.slack, 0, 1e6);
        if (retries.window < milliseconds(100))
            table.report("window", "is too short", "use at least 100ms");
        table.reportUnknownKeys();
    }

    void readZones(TomlReader& reader, routing::ZonePrices& prices)
    {
        auto table = reader.table("zones");
        prices.pricePerGigabyte = table.number("price_per_gb", prices.pricePerGigabyte, 0, 1e6);
        prices.pricePerMillionRequests
            = table.number("price_per_million_requests", prices.pricePerMillionRequests, 1e-3, 1e9);
        prices.valueLostPerSecond = table.number("value_lost_per_second", prices.valueLostPerSecond, 0, 1000);
        const auto delay = table.number("delay_ms", Milliseconds(prices.zoneDelay).count(), 0, maxZoneDelay.count());
        prices.zoneDelay = std::chrono::duration_cast<std::chrono::microseconds>(Milliseconds(delay));
        table.reportUnknownKeys();
    }

} // namespace

ParsedGatewaySettings parseGatewaySettings(std::string_view text, const std::string& file)
{
    ParsedGatewaySettings result;
    auto& settings = result.settings;
    auto reader = TomlReader::parse(text, file, result.findings);
    if (!result.findings.empty())
        return result;
    settings.instance = daemon::detail::readName(reader, "instance");
    settings.zone = daemon::detail::readName(reader, "zone");
    settings.callers = daemon::detail::readEndpoint(reader, "callers", true);
    settings.ready = daemon::detail::readEndpoint(reader, "ready", true);
    settings.peers = daemon::detail::readEndpoint(reader, "peers", true);
    readSeeds(reader, settings);
    settings.registry = daemon::detail::readEndpoint(reader, "registry", true);
    settings.capacity = reader.number("cores", settings.capacity, minCores, maxCores);
    const auto megabytes = reader.number("memory_mb", 320, minMemoryMegabytes, maxMemoryMegabytes);
    settings.memoryBudget = static_cast<std::uint64_t>(megabytes * bodyMemoryFraction * 1024 * 1024);
    readRetries(reader, settings.retries);
    readZones(reader, settings.zonePrices);
    settings.gracePeriod = readDuration(reader, "grace", settings.gracePeriod);
    settings.logLevel = daemon::detail::readLogLevel(reader);
    reader.reportUnknownKeys();
    return result;
}

} // namespace buckthorncroft::gateway
