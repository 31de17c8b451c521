#pragma once

#include <buckthorncroft/base/finding.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorncroft::config {

/// Reads typed values from a TOML table and collects findings with file, line and key. Each key that is read counts as
/// known. `reportUnknownKeys` reports all others, so that misspelt keys are detected.
///
/// Usage: call `TomlReader::parse`, read the keys of the root table and of its sub-tables, then call
/// `reportUnknownKeys` on each reader. All readers of a document refer to `findings`, which must outlive them.
class TomlReader {
public:
    /// Parses `text` and returns a reader of the root table. A syntax error becomes a finding, and the reader then
    /// behaves as for an empty table.
    static TomlReader parse(std::string_view text, const std::string& file, base::Findings& findings);

    TomlReader(TomlReader&&) noexcept;
    TomlReader& operator=(TomlReader&&) noexcept;
    ~TomlReader();

    bool has(const std::string& key) const;

    /// The following functions return the value of `key`, or `fallback` if the key is absent. For a wrong type or a
    /// value out of bounds they report a finding and return `fallback`. Both bounds are inclusive.
    std::string text(const std::string& key, const std::string& fallback);
    std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t minValue, std::int64_t maxValue);
    double number(const std::string& key, double fallback, double minValue, double maxValue);
    bool boolean(const std::string& key, bool fallback);
    std::vector<std::string> texts(const std::string& key);

    /// Reads an integer number of milliseconds.
    std::chrono::milliseconds milliseconds(const std::string& key, std::chrono::milliseconds fallback,
        std::chrono::milliseconds minValue, std::chrono::milliseconds maxValue);

    /// Like `text`, but reports an absent or empty value as a finding.
    std::string requiredText(const std::string& key);

    /// Returns a reader of the sub-table. If the key is absent, the reader behaves as for an empty table.
    TomlReader table(const std::string& key);

    /// Returns readers of the tables in an array of tables, in order.
    std::vector<TomlReader> tables(const std::string& key);

    /// Adds a finding for `key`. Its line is that of the key, or that of this table if the key is absent.
    void report(const std::string& key, const std::string& reason, const std::string& suggestion = {});

    /// Reports each key of this table that has not been read.
    void reportUnknownKeys();

    /// Replaces the path of this table in its findings, for example by one that contains the name of a service.
    void setPath(const std::string& path);

private:
    struct State;
    explicit TomlReader(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace buckthorncroft::config
