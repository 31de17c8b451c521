#pragma once

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace buckthorncroft::load {

/// A stream of requests of one kind.
struct StreamSpec {
    std::string service;
    std::string method;
    std::string path;
    double ratePerSecond = 0;
    std::uint64_t bodyBytes = 0;
    bool keyed = false; ///< Whether each request carries its own `Idempotency-Key`.
};

namespace detail {

    inline std::vector<std::string> split(const std::string& text, char separator)
    {
        std::vector<std::string> parts { "" };
        for (const char c : text) {
            if (c == separator)
                parts.emplace_back();
            else
                parts.back() += c;
        }
        return parts;
    }

    template <typename Number> bool readNumber(const std::string& text, Number& value)
    {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc() && end == text.data() + text.size();
    }

} // namespace detail

/// Parses `service:METHOD:path:rate_per_s[:body_bytes][:keyed]`. Returns no value for anything else.
inline std::optional<StreamSpec> parseStream(const std::string& text)
{
    auto parts = detail::split(text, ':');
    StreamSpec spec;
    if (parts.size() > 4 && parts.back() == "keyed") {
        spec.keyed = true;
        parts.pop_back();
    }
    if (parts.size() < 4 || parts.size() > 5)
        return std::nullopt;
    spec.service = parts[0];
    spec.method = parts[1];
    spec.path = parts[2];
    if (!detail::readNumber(parts[3], spec.ratePerSecond) || !(spec.ratePerSecond > 0))
        return std::nullopt;
    if (parts.size() == 5 && !detail::readNumber(parts[4], spec.bodyBytes))
        return std::nullopt;
    if (spec.service.empty() || spec.method.empty() || spec.path.empty() || spec.path.front() != '/')
        return std::nullopt;
    return spec;
}

/// How an attempt or a request ended, as its caller sees it.
enum class Ending {
    Completed, ///< A whole answer with outcome `completed`.
    NotRun, ///< Outcome `not-run`.
    Unknown, ///< Outcome `unknown`.
    NoOutcome, ///< A whole answer without an outcome header.
    Refused, ///< No connection could be made, so that nothing was sent.
    Broken, ///< The connection ended before the header of an answer.
    Truncated, ///< The connection ended within an answer.
    TimedOut, ///< No whole answer within the caller's patience.
    Wrong, ///< A whole answer that is not the answer to the request.
};

constexpr std::array<const char*, 9> endingNames { "completed", "not_run", "unknown", "no_outcome", "refused", "broken",
    "truncated", "timed_out", "wrong" };

using EndingCounts = std::array<std::uint64_t, endingNames.size()>;

inline std::uint64_t& countOf(EndingCounts& counts, Ending ending)
{
    return counts.at(static_cast<std::size_t>(ending));
}

inline std::uint64_t countOf(const EndingCounts& counts, Ending ending)
{
    return counts.at(static_cast<std::size_t>(ending));
}

/// Figures of one stream.
struct StreamStats {
    std::uint64_t requests = 0;
    std::uint64_t retries = 0; ///< Attempts of the caller beyond the first of each request.
    std::uint64_t replayed = 0; ///< Answers that were recorded at an earlier attempt.
    std::uint64_t serverErrors = 0; ///< Completed answers with a status of 500 or above.
    std::uint64_t late = 0; ///< Completed answers that came after the caller's deadline.
    EndingCounts attempts {}; ///< How each attempt ended.
    EndingCounts finals {}; ///< How each request ended, after its retries.
    std::vector<double> latenciesMs; ///< Of completed requests, from the intended start.
};

/// Returns the value below which the share `share` of the values lies; 0 when there is none. Sorts the values.
inline double percentile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(rank, values.size() - 1)];
}

/// Formats the figures of one stream as JSON.
inline nlohmann::json toJson(const StreamSpec& spec, StreamStats& stats)
{
    nlohmann::json result { { "service", spec.service }, { "method", spec.method }, { "path", spec.path },
        { "rate_per_s", spec.ratePerSecond }, { "requests", stats.requests }, { "retries", stats.retries },
        { "replayed", stats.replayed }, { "server_errors", stats.serverErrors }, { "late", stats.late },
        { "p50_ms", percentile(stats.latenciesMs, 0.5) }, { "p90_ms", percentile(stats.latenciesMs, 0.9) },
        { "p99_ms", percentile(stats.latenciesMs, 0.99) }, { "p999_ms", percentile(stats.latenciesMs, 0.999) } };
    for (std::size_t it = 0; it < endingNames.size(); ++it) {
        result["attempts"][endingNames[it]] = stats.attempts[it];
        result["finals"][endingNames[it]] = stats.finals[it];
    }
    return result;
}

/// Formats the latencies and the final endings of all streams as a table.
inline std::string formatTable(const std::vector<StreamSpec>& specs, std::vector<StreamStats>& stats)
{
    auto text = fmt::format(
        "{:<44}{:>9}{:>9}{:>9}{:>9}{:>9}\n", "stream", "requests", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms");
    const auto name
        = [&](std::size_t it) { return fmt::format("{} {} {}", specs[it].service, specs[it].method, specs[it].path); };
    for (std::size_t it = 0; it < specs.size(); ++it) {
        auto& values = stats[it].latenciesMs;
        text += fmt::format("{:<44}{:>9}{:>9.1f}{:>9.1f}{:>9.1f}{:>9.1f}\n", name(it), stats[it].requests,
            percentile(values, 0.5), percentile(values, 0.9), percentile(values, 0.99), percentile(values, 0.999));
    }
    text += fmt::format("\n{:<44}", "stream");
    for (const auto* it : endingNames)
        text += fmt::format("{:>11}", it);
    text += fmt::format("{:>9}{:>9}{:>9}{:>6}\n", "5xx", "retries", "replays", "late");
    for (std::size_t it = 0; it < specs.size(); ++it) {
        text += fmt::format("{:<44}", name(it));
        for (const auto count : stats[it].finals)
            text += fmt::format("{:>11}", count);
        text += fmt::format(
            "{:>9}{:>9}{:>9}{:>6}\n", stats[it].serverErrors, stats[it].retries, stats[it].replayed, stats[it].late);
    }
    return text;
}

/// Formats the sums over all streams as one line of `name=value`; endings are those of attempts.
inline std::string formatTotals(const std::vector<StreamStats>& stats)
{
    EndingCounts attempts {};
    std::uint64_t requests = 0;
    for (const auto& it : stats) {
        requests += it.requests;
        for (std::size_t ending = 0; ending < attempts.size(); ++ending)
            attempts[ending] += it.attempts[ending];
    }
    auto text = fmt::format("total requests={}", requests);
    for (std::size_t ending = 0; ending < attempts.size(); ++ending)
        text += fmt::format(" {}={}", endingNames[ending], attempts[ending]);
    return text;
}

} // namespace buckthorncroft::load
