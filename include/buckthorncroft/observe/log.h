#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/observe/line_writer.h>
#include <cstdio>
#include <initializer_list>
#include <string>
#include <string_view>

namespace buckthorncroft::observe {

enum class Level {
    Debug,
    Info,
    Warning,
    Error,
};

/// Returns `debug`, `info`, `warning` or `error`.
const char* toString(Level level);

/// One `key=value` pair of a log line. Values with spaces, quotes or control characters are quoted and escaped.
struct Field {
    std::string_view key;
    std::string value;
};

/// Writes one line per event to standard error, or to a line writer: `time=… level=… instance=… zone=… event=…
/// key=value …`. Safe for concurrent use; a line is written whole.
class Logger {
public:
    Logger(const base::Clock& clock, const std::string& instance, const std::string& zone, Level minimum,
        std::FILE* out = stderr);

    /// Writes to `out`, which must outlive the logger.
    Logger(
        const base::Clock& clock, const std::string& instance, const std::string& zone, Level minimum, LineWriter& out);

    bool isEnabled(Level level) const { return level >= m_minimum; }

    void write(Level level, std::string_view event, std::initializer_list<Field> fields) const;

private:
    const base::Clock& m_clock;
    std::string m_prefix; ///< Instance and zone, formatted once.
    Level m_minimum;
    std::FILE* m_out = nullptr; ///< Null when lines go to `m_writer`.
    LineWriter* m_writer = nullptr;
};

} // namespace buckthorncroft::observe
