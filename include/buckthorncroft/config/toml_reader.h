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

/// Reads typed values from a TOML document and collects findings with their place. Reading a key marks it as known;
/// `reportUnknownKeys` reports the rest, so that a misspelt key never passes silently.
///
/// Usage: `TomlReader::parse`, then read keys of the root table and of the sub-tables, then `reportUnknownKeys`.
class TomlReader {
public:
    /// Parses `text`. A syntax error becomes a finding, and the reader then behaves as an empty table.
    static TomlReader parse(std::string_view text, const std::string& file, base::Findings& findings);

    TomlReader(TomlReader&&) noexcept;
    TomlReader& operator=(TomlReader&&) noexcept;
    ~TomlReader();

    bool has(const std::string& key) const;

    /// Each reader returns `fallback` when the key is absent. A wrong type or a value outside of the bounds is a
    /// finding, and `fallback` is returned.
    std::string text(const std::string& key, const std::string& fallback);
    std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t low, std::int64_t high);
    double number(const std::string& key, double fallback, double low, double high);
    bool boolean(const std::string& key, bool fallback);
    std::vector<std::string> texts(const std::string& key);

    /// Reads an integer number of milliseconds.
    std::chrono::milliseconds milliseconds(const std::string& key, std::chrono::milliseconds fallback,
        std::chrono::milliseconds low, std::chrono::milliseconds high);

    /// Like `text`, but an absent or empty value is a finding.
    std::string requiredText(const std::string& key);

    /// Returns the sub-table, or an empty reader when the key is absent.
    TomlReader table(const std::string& key);

    /// Returns the tables of an array of tables, in order.
    std::vector<TomlReader> tables(const std::string& key);

    /// Adds a finding at `key`, or at this table when the key is absent.
    void report(const std::string& key, const std::string& reason, const std::string& suggestion = {});

    /// Reports each key of this table that no call has read.
    void reportUnknownKeys();

    /// Appends `suffix` to the path that findings print, for example the name of a service.
    void describeAs(const std::string& path);

private:
    struct State;
    explicit TomlReader(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace buckthorncroft::config
