#include <buckthorncroft/observe/line_writer.h>

#include <poll.h>
#include <string>
#include <unistd.h>
#include <utility>

namespace buckthorncroft::observe {

LineWriter::LineWriter(const base::Clock& clock, int descriptor, unsigned linesPerSecond)
    : m_clock(clock)
    , m_descriptor(descriptor)
    , m_linesPerSecond(linesPerSecond)
{
}

bool LineWriter::withinRate()
{
    const auto now = m_clock.now();
    if (now - m_secondBegan >= std::chrono::seconds(1)) {
        m_secondBegan = now;
        m_lines = 0;
    }
    return m_lines++ < m_linesPerSecond;
}

void LineWriter::write(std::string_view line)
{
    std::string cut;
    if (line.size() > maxLineBytes) {
        cut = std::string(line.substr(0, maxLineBytes - 1)) + "\n";
        line = cut;
    }
    const std::lock_guard lock(m_mutex);
    pollfd it { m_descriptor, POLLOUT, 0 };
    // A pipe that is ready takes a line of this size whole and at once.
    const bool ready = withinRate() && ::poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
    if (!ready || ::write(m_descriptor, line.data(), line.size()) < 0)
        ++m_dropped;
}

std::uint64_t LineWriter::takeDroppedCount()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_dropped, 0);
}

} // namespace buckthorncroft::observe
