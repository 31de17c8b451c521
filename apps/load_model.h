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

/// A stream of requests with the same service, method and path.
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

    template <typename Number> bool parseNumber(const std::string& text, Number& value)
    {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc() && end == text.data() + text.size();
    }

} // namespace detail

/// Parses `service:METHOD:path:rate_per_s[:body_bytes][:keyed]`. Returns no value when the text is invalid.
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
    if (!detail::parseNumber(parts[3], spec.ratePerSecond) || !(spec.ratePerSecond > 0))
        return std::nullopt;
    if (parts.size() == 5 && !detail::parseNumber(parts[4], spec.bodyBytes))
        return std::nullopt;
    if (spec.service.empty() || spec.method.empty() || spec.path.empty() || spec.path.front() != '/')
        return std::nullopt;
    return spec;
}

/// How an attempt, or a request after its last attempt, ended from the caller's point of view.
enum class AttemptOutcome {
    Completed, ///< A complete response with outcome `completed`.
    NotRun, ///< A complete response with outcome `not-run`.
    Unknown, ///< A complete response with outcome `unknown`.
    NoOutcome, ///< A complete response without an outcome header.
    Refused, ///< The connection could not be established, so nothing was sent.
    Broken, ///< The connection ended before the response header.
    Truncated, ///< The connection ended in the middle of the response body.
    TimedOut, ///< No complete response arrived within the caller's timeout.
    Wrong, ///< A complete response that does not belong to the request.
};

constexpr std::array<const char*, 9> outcomeNames { "completed", "not_run", "unknown", "no_outcome", "refused",
    "broken", "truncated", "timed_out", "wrong" };

using OutcomeCounts = std::array<std::uint64_t, outcomeNames.size()>;

inline std::uint64_t& countOf(OutcomeCounts& counts, AttemptOutcome outcome)
{
    return counts.at(static_cast<std::size_t>(outcome));
}

inline std::uint64_t countOf(const OutcomeCounts& counts, AttemptOutcome outcome)
{
    return counts.at(static_cast<std::size_t>(outcome));
}

/// Statistics of one stream.
struct StreamStats {
    std::uint64_t requests = 0;
    std::uint64_t retries = 0; ///< The caller's attempts after the first of each request.
    std::uint64_t replayed = 0; ///< Responses that were recorded at an earlier attempt and replayed.
    std::uint64_t serverErrors = 0; ///< Completed responses with a status of 500 or above.
    std::uint64_t late = 0; ///< Responses to the first attempt after the caller's deadline; uploads are not counted.
    OutcomeCounts attemptOutcomes {}; ///< How each attempt ended.
    OutcomeCounts requestOutcomes {}; ///< How each request ended, after its retries.
    /// Latencies of the requests that ended as Completed or NoOutcome, measured from the scheduled start.
    std::vector<double> latenciesMs;
};

/// Returns the value below which the given fraction (0 to 1) of the values lies, or 0 when `values` is empty. Sorts
/// `values`.
inline double percentile(std::vector<double>& values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(rank, values.size() - 1)];
}

/// Converts the statistics of one stream to JSON. Sorts the latencies.
inline nlohmann::json toJson(const StreamSpec& spec, StreamStats& stats)
{
    nlohmann::json result { { "service", spec.service }, { "method", spec.method }, { "path", spec.path },
        { "rate_per_s", spec.ratePerSecond }, { "requests", stats.requests }, { "retries", stats.retries },
        { "replayed", stats.replayed }, { "server_errors", stats.serverErrors }, { "late", stats.late },
        { "p50_ms", percentile(stats.latenciesMs, 0.5) }, { "p90_ms", percentile(stats.latenciesMs, 0.9) },
        { "p99_ms", percentile(stats.latenciesMs, 0.99) }, { "p999_ms", percentile(stats.latenciesMs, 0.999) } };
    for (std::size_t it = 0; it < outcomeNames.size(); ++it) {
        result["attempts"][outcomeNames[it]] = stats.attemptOutcomes[it];
        result["finals"][outcomeNames[it]] = stats.requestOutcomes[it];
    }
    return result;
}

/// Formats the latencies and the request outcomes of all streams as tables. Sorts the latencies.
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
    for (const auto* it : outcomeNames)
        text += fmt::format("{:>11}", it);
    text += fmt::format("{:>9}{:>9}{:>9}{:>6}\n", "5xx", "retries", "replays", "late");
    for (std::size_t it = 0; it < specs.size(); ++it) {
        text += fmt::format("{:<44}", name(it));
        for (const auto count : stats[it].requestOutcomes)
            text += fmt::format("{:>11}", count);
        text += fmt::format(
            "{:>9}{:>9}{:>9}{:>6}\n", stats[it].serverErrors, stats[it].retries, stats[it].replayed, stats[it].late);
    }
    return text;
}

/// Formats the sums over all streams as one line of `name=value`. Outcomes are counted per attempt.
inline std::string formatTotals(const std::vector<StreamStats>& stats)
{
    OutcomeCounts attempts {};
    std::uint64_t requests = 0;
    for (const auto& it : stats) {
        requests += it.requests;
        for (std::size_t outcome = 0; outcome < attempts.size(); ++outcome)
            attempts[outcome] += it.attemptOutcomes[outcome];
    }
    auto text = fmt::format("total requests={}", requests);
    for (std::size_t outcome = 0; outcome < attempts.size(); ++outcome)
        text += fmt::format(" {}={}", outcomeNames[outcome], attempts[outcome]);
    return text;
}

} // namespace buckthorncroft::load
