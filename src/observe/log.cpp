#include <buckthorncroft/observe/log.h>

#include <algorithm>
#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace buckthorncroft::observe {

namespace {

    // Longer values are truncated. They come from callers and would only fill the disk of the log collector.
    constexpr std::size_t maxValueBytes = 1024;

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
            return c <= ' ' || c == '"' || c == '=' || c == 0x7f;
        });
    }

    void appendValue(fmt::memory_buffer& buf, std::string_view value)
    {
        value = value.substr(0, maxValueBytes);
        if (!needsQuotes(value)) {
            buf.append(value);
            return;
        }
        buf.push_back('"');
        for (const unsigned char c : value) {
            if (c == '"' || c == '\\')
                fmt::format_to(std::back_inserter(buf), "\\{}", static_cast<char>(c));
            else if (c < ' ' || c == 0x7f)
                fmt::format_to(std::back_inserter(buf), "\\x{:02x}", c);
            else
                buf.push_back(static_cast<char>(c));
        }
        buf.push_back('"');
    }

    void appendTime(fmt::memory_buffer& buf, base::WallTime time)
    {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
        const auto seconds = static_cast<std::time_t>(ms / 1000);
        fmt::format_to(std::back_inserter(buf), "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), ms % 1000);
    }

} // namespace

const char* toString(Level level)
{
    switch (level) {
    case Level::Debug:
        return "debug";
    case Level::Info:
        return "info";
    case Level::Warning:
        return "warning";
    case Level::Error:
        return "error";
    }
    return "unknown";
}

Logger::Logger(
    const base::Clock& clock, const std::string& instance, const std::string& zone, Level minLevel, std::FILE* out)
    : m_clock(clock)
    , m_minLevel(minLevel)
    , m_out(out)
{
    fmt::memory_buffer buf;
    buf.append(std::string_view(" instance="));
    appendValue(buf, instance);
    buf.append(std::string_view(" zone="));
    appendValue(buf, zone);
    m_prefix = fmt::to_string(buf);
}

Logger::Logger(
    const base::Clock& clock, const std::string& instance, const std::string& zone, Level minLevel, LineWriter& out)
    : Logger(clock, instance, zone, minLevel, nullptr)
{
    m_writer = &out;
}

void Logger::write(Level level, std::string_view event, std::initializer_list<Field> fields) const
{
    if (!isEnabled(level))
        return;
    fmt::memory_buffer buf;
    appendTime(buf, m_clock.wallNow());
    fmt::format_to(std::back_inserter(buf), " level={}{} event={}", toString(level), m_prefix, event);
    for (const auto& it : fields) {
        fmt::format_to(std::back_inserter(buf), " {}=", it.key);
        appendValue(buf, it.value);
    }
    buf.push_back('\n');
    if (m_writer) {
        m_writer->write({ buf.data(), buf.size() });
        return;
    }
    // A single call keeps the line whole, because the stream is locked for the duration of the call.
    std::fwrite(buf.data(), 1, buf.size(), m_out);
}

} // namespace buckthorncroft::observe
