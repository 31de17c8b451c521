#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/observe/line_writer.h>
#include <cstdio>
#include <initializer_list>
#include <string>
#include <string_view>

namespace buckthorncroft::observe {

/// Severity of a log line, in ascending order.
enum class Level {
    Debug,
    Info,
    Warning,
    Error,
};

/// Returns `debug`, `info`, `warning` or `error`.
const char* toString(Level level);

/// One `key=value` pair of a log line. Values are untrusted: they are truncated at 1024 bytes, and empty values and
/// values with spaces, quotes, equals signs or control characters are quoted and escaped. Keys are written as they are.
struct Field {
    std::string_view key;
    std::string value;
};

/// Writes one line for each event to a stream or to a `LineWriter`, in the form `time=… level=… instance=… zone=…
/// event=… key=value …`. Safe for concurrent use; lines of several threads are not interleaved.
class Logger {
public:
    /// Writes lines of at least `minLevel` to `out`. `clock` and `out` must outlive the logger.
    Logger(const base::Clock& clock, const std::string& instance, const std::string& zone, Level minLevel,
        std::FILE* out = stderr);

    /// The same for a `LineWriter`, which must outlive the logger too.
    Logger(const base::Clock& clock, const std::string& instance, const std::string& zone, Level minLevel,
        LineWriter& out);

    /// Whether lines of this level are written. Lets callers skip the formatting of fields that would be discarded.
    bool isEnabled(Level level) const { return level >= m_minLevel; }

    /// Writes a line if its level is enabled. `event` is written without escaping, so it must be a fixed name.
    void write(Level level, std::string_view event, std::initializer_list<Field> fields) const;

private:
    const base::Clock& m_clock;
    std::string m_prefix; ///< The `instance` and `zone` fields, formatted in advance.
    Level m_minLevel;
    std::FILE* m_out = nullptr; ///< Null if lines go to `m_writer`.
    LineWriter* m_writer = nullptr;
};

} // namespace buckthorncroft::observe
