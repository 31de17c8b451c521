#pragma once

#include <buckthorncroft/base/clock.h>
#include <cstdint>
#include <mutex>
#include <string_view>

namespace buckthorncroft::observe {

/// Writes whole lines to a file descriptor, usually a pipe, and never blocks on a slow reader. Lines are dropped and
/// counted if the descriptor cannot take them at once or if they exceed the rate limit. Safe for concurrent use.
class LineWriter {
public:
    /// Writes at most `maxLinesPerSecond` lines in each second. Does not take ownership of `descriptor`; `clock` must
    /// outlive the writer.
    LineWriter(const base::Clock& clock, int descriptor, unsigned maxLinesPerSecond = defaultMaxLinesPerSecond);

    /// Writes `line`, which ends with a newline. A line longer than `maxLineBytes` is truncated to that length,
    /// including a newline at its end.
    void write(std::string_view line);

    /// Returns the number of lines dropped since the last call.
    std::uint64_t takeDroppedCount();

    static constexpr std::size_t maxLineBytes = 4096; ///< `PIPE_BUF` on Linux: a pipe takes up to this size atomically.
    static constexpr unsigned defaultMaxLinesPerSecond = 2000; ///< Takes about 0.05 s of CPU time per second.

private:
    /// Counts one line towards the current second. Returns false if the line exceeds the rate limit.
    bool tryAcquireLine();

    const base::Clock& m_clock;
    int m_descriptor;
    unsigned m_maxLinesPerSecond;
    std::mutex m_mutex;
    base::SteadyTime m_secondStartedAt {};
    unsigned m_linesInSecond = 0; ///< Lines passed to `write` since `m_secondStartedAt`.
    std::uint64_t m_droppedCount = 0;
};

} // namespace buckthorncroft::observe
