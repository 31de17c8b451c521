#include <buckthorncroft/membership/target_record.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>

namespace buckthorncroft::membership {

namespace {

    // A longer value is shortened in a message.
    constexpr std::size_t maxQuotedBytes = 60;

    std::string quote(const std::string& value)
    {
        return "\"" + value.substr(0, maxQuotedBytes) + (value.size() > maxQuotedBytes ? "...\"" : "\"");
    }

    std::string nameProblem(const char* field, const std::string& value)
    {
        return std::string(field) + " is " + quote(value) + ", but must be 1 to " + std::to_string(maxNameBytes)
            + " printable ASCII characters without spaces";
    }

    template <typename T> std::string rangeProblem(const char* field, T value, const std::string& min, T max)
    {
        return std::string(field) + " is " + std::to_string(value) + ", but must be from " + min + " to "
            + std::to_string(max);
    }

} // namespace

bool isValidName(const std::string& name)
{
    return !name.empty() && name.size() <= maxNameBytes
        && std::all_of(name.begin(), name.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

bool isValidHost(const std::string& host)
{
    in_addr v4 {};
    if (::inet_pton(AF_INET, host.c_str(), &v4) == 1) {
        const auto address = ntohl(v4.s_addr);
        return address != INADDR_ANY && address != INADDR_BROADCAST && !IN_MULTICAST(address);
    }
    in6_addr v6 {};
    return ::inet_pton(AF_INET6, host.c_str(), &v6) == 1 && !IN6_IS_ADDR_UNSPECIFIED(&v6)
        && !IN6_IS_ADDR_MULTICAST(&v6);
}

std::optional<std::string> findProblem(const TargetRecord& record)
{
    if (!isValidName(record.id))
        return nameProblem("id", record.id);
    if (!isValidName(record.service))
        return nameProblem("service", record.service);
    if (!isValidName(record.zone))
        return nameProblem("zone", record.zone);
    if (!isValidHost(record.host))
        return "host is " + quote(record.host) + ", but must be the IP address of one host";
    if (record.port == 0)
        return rangeProblem<unsigned>("port", record.port, "1", maxPort);
    if (record.slots == 0 || record.slots > maxSlots)
        return rangeProblem("slots", record.slots, "1", maxSlots);
    if (record.coldRemaining.count() < 0 || record.coldRemaining > maxColdTime)
        return rangeProblem<std::int64_t>("cold start in ms", record.coldRemaining.count(), "0", maxColdTime.count());
    if (record.startedAtUnixMs < 0 || record.startedAtUnixMs > maxUnixMs)
        return rangeProblem("start in ms of Unix time", record.startedAtUnixMs, "0", maxUnixMs);
    return std::nullopt;
}

} // namespace buckthorncroft::membership
