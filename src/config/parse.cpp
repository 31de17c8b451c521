#include <buckthorncroft/config/parse.h>

#include <algorithm>
#include <buckthorncroft/config/toml_reader.h>
#include <fmt/format.h>
#include <set>
#include <xxhash.h>

namespace buckthorncroft::config {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds minDeadline { 1 };
    constexpr milliseconds maxDeadline { 3'600'000 };
    constexpr milliseconds maxColdStart { 3'600'000 };
    constexpr std::int64_t maxUploadBytes = std::int64_t { 1 } << 40;
    constexpr unsigned maxSlots = 10'000;
    constexpr unsigned maxConnections = 100'000;
    constexpr unsigned maxQueueLimit = 1'000'000;
    constexpr std::size_t maxNameBytes = 128;

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= maxNameBytes
            && std::all_of(text.begin(), text.end(),
                [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
    }

    std::string readName(TomlReader& reader, const std::string& key)
    {
        auto name = reader.requiredText(key);
        if (!name.empty() && !isName(name))
            reader.report(key, "is not a valid name", "use up to 128 letters, digits, '-', '_' and '.'");
        return name;
    }

    RequestKind readKind(TomlReader& reader)
    {
        const auto kind = reader.requiredText("kind");
        for (const auto it : { RequestKind::Idempotent, RequestKind::NonIdempotent, RequestKind::Upload }) {
            if (kind == toString(it))
                return it;
        }
        if (!kind.empty())
            reader.report("kind", fmt::format("is \"{}\"", kind), "use idempotent, non-idempotent or upload");
        return RequestKind::NonIdempotent;
    }

    Route readRoute(TomlReader& reader, const std::string& service)
    {
        Route route;
        route.name = readName(reader, "name");
        reader.setPath("service." + service + ".route." + route.name);
        route.pathPrefix = reader.requiredText("path_prefix");
        if (!route.pathPrefix.empty() && route.pathPrefix.front() != '/')
            reader.report("path_prefix", "must start with /");
        route.methods = reader.texts("methods");
        for (const auto& it : route.methods) {
            if (it.empty() || !std::all_of(it.begin(), it.end(), [](unsigned char c) { return std::isupper(c) != 0; }))
                reader.report(
                    "methods", fmt::format("\"{}\" is not a method", it), "use upper case, for example \"GET\"");
        }
        route.kind = readKind(reader);
        route.deadline = reader.milliseconds("deadline_ms", route.deadline, minDeadline, maxDeadline);
        route.maxBodyBytes = static_cast<std::uint64_t>(
            reader.integer("max_body_bytes", static_cast<std::int64_t>(route.maxBodyBytes), 0, maxUploadBytes));
        route.hedge = reader.boolean("hedge", route.hedge);
        route.requireIdempotencyKey = reader.boolean("require_idempotency_key", route.requireIdempotencyKey);
        if (route.hedge && route.kind != RequestKind::Idempotent)
            reader.report("hedge", "a hedge runs the request twice", "remove it, or make the route idempotent");
        reader.reportUnknownKeys();
        return route;
    }

    Target readTarget(TomlReader& reader, const std::string& service)
    {
        Target target;
        target.id = readName(reader, "id");
        reader.setPath("service." + service + ".target." + target.id);
        target.host = reader.requiredText("host");
        if (!target.host.empty() && target.host.find_first_not_of("0123456789abcdefABCDEF.:") != std::string::npos)
            reader.report("host", "must be an IP address", "host names are not resolved");
        target.port = static_cast<std::uint16_t>(reader.integer("port", 0, 1, 65535));
        if (!reader.has("port"))
            reader.report("port", "is missing", "add the key");
        target.zone = readName(reader, "zone");
        target.slots = static_cast<unsigned>(reader.integer("slots", target.slots, 1, maxSlots));
        target.connectionLimit
            = static_cast<unsigned>(reader.integer("connection_limit", target.connectionLimit, 1, maxConnections));
        target.draining = reader.boolean("draining", false);
        reader.reportUnknownKeys();
        return target;
    }

    template <typename Items, typename KeyOf>
    void reportDuplicates(TomlReader& reader, const std::string& key, const Items& items, KeyOf keyOf)
    {
        std::set<std::string> seen;
        for (const auto& it : items) {
            if (!seen.insert(keyOf(it)).second)
                reader.report(key, fmt::format("\"{}\" appears twice", keyOf(it)), "give each entry its own value");
        }
    }

    void checkService(TomlReader& reader, const Service& service)
    {
        if (service.routes.empty())
            reader.report("route", "the service has no route", "add a [[service.route]]");
        if (service.targets.empty())
            reader.report("target", "the service has no target", "add a [[service.target]]");
        if (!service.targets.empty() && service.floorCount > service.targets.size())
            reader.report(
                "floor_count", "the floor is higher than the number of targets", "lower the floor or add targets");
        reportDuplicates(reader, "route", service.routes, [](const Route& it) { return it.name; });
        reportDuplicates(reader, "target", service.targets, [](const Target& it) { return it.id; });
        reportDuplicates(
            reader, "target", service.targets, [](const Target& it) { return fmt::format("{}:{}", it.host, it.port); });
    }

    Service readService(TomlReader& reader, const ParseLimits& limits)
    {
        Service service;
        service.name = readName(reader, "name");
        reader.setPath("service." + service.name);
        service.version = static_cast<std::uint64_t>(reader.integer("version", 0, 0, INT64_MAX));
        service.floorFraction = reader.number("floor_fraction", service.floorFraction, 0, 1);
        service.floorCount = static_cast<unsigned>(reader.integer("floor_count", service.floorCount, 1, maxSlots));
        service.bias = reader.number("bias", service.bias, 0, 1);
        service.coldStart = reader.milliseconds("cold_start_ms", service.coldStart, milliseconds(0), maxColdStart);
        service.retryShare = reader.number("retry_share", service.retryShare, 0, 0.1);
        service.queueLimit = static_cast<unsigned>(reader.integer("queue_limit", service.queueLimit, 0, maxQueueLimit));
        auto notRun = reader.table("not_run");
        service.notRun.status = static_cast<unsigned>(notRun.integer("status", service.notRun.status, 400, 599));
        service.notRun.header = notRun.text("header", service.notRun.header);
        notRun.reportUnknownKeys();
        auto routes = reader.tables("route");
        auto targets = reader.tables("target");
        if (routes.size() > limits.maxRoutesPerService || targets.size() > limits.maxTargetsPerService) {
            reader.report("", "has too many routes or targets", "split the service");
            return service;
        }
        for (auto& it : routes)
            service.routes.push_back(readRoute(it, service.name));
        for (auto& it : targets)
            service.targets.push_back(readTarget(it, service.name));
        checkService(reader, service);
        reader.reportUnknownKeys();
        return service;
    }

    std::string quote(const std::string& text)
    {
        std::string result = "\"";
        for (const unsigned char c : text) {
            if (c == '"' || c == '\\')
                result += fmt::format("\\{}", static_cast<char>(c));
            else if (c < 0x20 || c == 0x7f)
                result += fmt::format("\\u{:04x}", c);
            else
                result += static_cast<char>(c);
        }
        return result + "\"";
    }

    // Writes a value such as 1 as 1.0, because TOML distinguishes integers from floating-point numbers.
    std::string formatDouble(double value)
    {
        auto result = fmt::format("{}", value);
        return result.find_first_of(".e") == std::string::npos ? result + ".0" : result;
    }

    std::string formatRoute(const Route& route)
    {
        std::string methods;
        for (const auto& it : route.methods)
            methods += (methods.empty() ? "" : ", ") + quote(it);
        return fmt::format("\n[[service.route]]\nname = {}\npath_prefix = {}\nmethods = [{}]\nkind = \"{}\"\n"
                           "deadline_ms = {}\nmax_body_bytes = {}\nhedge = {}\nrequire_idempotency_key = {}\n",
            quote(route.name), quote(route.pathPrefix), methods, toString(route.kind), route.deadline.count(),
            route.maxBodyBytes, route.hedge, route.requireIdempotencyKey);
    }

    std::string formatTarget(const Target& target)
    {
        return fmt::format("\n[[service.target]]\nid = {}\nhost = {}\nport = {}\nzone = {}\nslots = {}\n"
                           "connection_limit = {}\ndraining = {}\n",
            quote(target.id), quote(target.host), target.port, quote(target.zone), target.slots, target.connectionLimit,
            target.draining);
    }

} // namespace

ParsedConfiguration parseConfiguration(std::string_view text, const std::string& file, const ParseLimits& limits)
{
    ParsedConfiguration result;
    if (text.size() > limits.maxBytes) {
        result.findings.push_back({ file, 0, "", "the document is too large", "split it" });
        return result;
    }
    auto reader = TomlReader::parse(text, file, result.findings);
    result.configuration.changeNumber = static_cast<std::uint64_t>(reader.integer("change", 0, 0, INT64_MAX));
    auto services = reader.tables("service");
    if (services.size() > limits.maxServices) {
        reader.report("service", "there are too many services");
        return result;
    }
    for (auto& it : services)
        result.configuration.services.push_back(readService(it, limits));
    reportDuplicates(reader, "service", result.configuration.services, [](const Service& it) { return it.name; });
    reader.reportUnknownKeys();
    std::sort(result.configuration.services.begin(), result.configuration.services.end(),
        [](const Service& a, const Service& b) { return a.name < b.name; });
    return result;
}

std::string formatService(const Service& service)
{
    auto text = fmt::format("[[service]]\nname = {}\nversion = {}\nfloor_fraction = {}\nfloor_count = {}\nbias = {}\n"
                            "cold_start_ms = {}\nretry_share = {}\nqueue_limit = {}\n"
                            "not_run = {{ status = {}, header = {} }}\n",
        quote(service.name), service.version, formatDouble(service.floorFraction), service.floorCount,
        formatDouble(service.bias), service.coldStart.count(), formatDouble(service.retryShare), service.queueLimit,
        service.notRun.status, quote(service.notRun.header));
    for (const auto& it : service.routes)
        text += formatRoute(it);
    for (const auto& it : service.targets)
        text += formatTarget(it);
    return text;
}

std::string formatConfiguration(const Configuration& configuration)
{
    auto text = fmt::format("change = {}\n", configuration.changeNumber);
    for (const auto& it : configuration.services)
        text += "\n" + formatService(it);
    return text;
}

std::string contentDigest(std::string_view text)
{
    const auto hash = XXH3_128bits(text.data(), text.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

} // namespace buckthorncroft::config
