#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/store/configuration_store.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

// Keys and contents of the rows that store the configuration.
namespace buckthorncroft::store::detail {

constexpr const char* changeKey = "config/change";
constexpr const char* indexKey = "config/index";
constexpr const char* servicePrefix = "config/service/";

std::string operationKey(const std::string& operationId);
std::string historyPrefix(const std::string& service);

/// Returns a key that sorts newer versions first, so that a bounded scan returns the newest ones.
std::string historyKey(const std::string& service, std::uint64_t version);

/// Returns whether `text` can be part of a key: 1 to `maxBytes` letters, digits, `-`, `_` or `.`.
bool isKeyPart(const std::string& text, std::size_t maxBytes);

/// Returns a row's value: `content` with its digest. Returns nothing if `content` includes text that is not UTF-8.
std::optional<std::string> formatWithDigest(const nlohmann::json& content);

/// Returns the content of a row's value, or nothing if its digest does not match.
std::optional<nlohmann::json> parseWithDigest(const std::string& text);

/// Content of a row whose digest matched, and the row's version. Version 0 and empty content if there is no row.
struct VerifiedRow {
    nlohmann::json content = nlohmann::json::object();
    std::uint64_t version = 0;
};

/// Reads a row linearizably and verifies its digest. Errors: `Malformed` for a damaged row, and `Unavailable`.
base::Result<VerifiedRow> readVerifiedRow(
    Platform& platform, const std::string& key, std::chrono::milliseconds timeout);

/// Parses the text of a service's record. `key` names the record in error messages. Error: `InvalidArgument`.
base::Result<config::Service> parseService(const std::string& text, const std::string& key);

/// Runs `function`, which returns a Result, and converts JSON exceptions to `Malformed`. They occur if a row has a
/// valid digest but lacks an expected value.
template <typename Function> auto catchStructureErrors(Function function) -> decltype(function())
{
    try {
        return function();
    } catch (const nlohmann::json::exception& e) {
        return base::Error { base::ErrorCode::Malformed,
            std::string("a row has an unexpected structure: ") + e.what() };
    }
}

/// Returns whether a write that failed with `code` may have taken effect.
bool mayHaveTakenEffect(base::ErrorCode code);

/// Deadline of a call that consists of several platform calls.
class Deadline {
public:
    Deadline(const base::Clock& clock, std::chrono::milliseconds timeout)
        : m_clock(clock)
        , m_end(clock.now() + timeout)
    {
    }

    /// Returns the remaining time; 0 or less once the deadline has passed.
    std::chrono::milliseconds remaining() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_end - m_clock.now());
    }
    bool hasPassed() const { return remaining().count() <= 0; }

private:
    const base::Clock& m_clock;
    base::SteadyTime m_end;
};

} // namespace buckthorncroft::store::detail
