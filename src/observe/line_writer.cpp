#include <buckthorncroft/observe/line_writer.h>

#include <poll.h>
#include <string>
#include <unistd.h>
#include <utility>

namespace buckthorncroft::observe {

LineWriter::LineWriter(const base::Clock& clock, int descriptor, unsigned maxLinesPerSecond)
    : m_clock(clock)
    , m_descriptor(descriptor)
    , m_maxLinesPerSecond(maxLinesPerSecond)
{
}

bool LineWriter::tryAcquireLine()
{
    const auto now = m_clock.now();
    if (now - m_secondStartedAt >= std::chrono::seconds(1)) {
        m_secondStartedAt = now;
        m_linesInSecond = 0;
    }
    return m_linesInSecond++ < m_maxLinesPerSecond;
}

void LineWriter::write(std::string_view line)
{
    std::string truncated;
    if (line.size() > maxLineBytes) {
        truncated = std::string(line.substr(0, maxLineBytes - 1)) + "\n";
        line = truncated;
    }
    const std::lock_guard lock(m_mutex);
    pollfd pollEntry { m_descriptor, POLLOUT, 0 };
    // A pipe that polls as writable has room for `PIPE_BUF` bytes, so it takes the line whole and without blocking.
    const bool canWrite = tryAcquireLine() && ::poll(&pollEntry, 1, 0) == 1 && (pollEntry.revents & POLLOUT) != 0;
    if (!canWrite || ::write(m_descriptor, line.data(), line.size()) < 0)
        ++m_droppedCount;
}

std::uint64_t LineWriter::takeDroppedCount()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_droppedCount, 0);
}

} // namespace buckthorncroft::observe
