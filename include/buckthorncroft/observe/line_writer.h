#pragma once

#include <buckthorncroft/base/clock.h>
#include <cstdint>
#include <mutex>
#include <string_view>

namespace buckthorncroft::observe {

/// Writes whole lines to a file descriptor without ever waiting for its reader. Lines that do not fit, and lines beyond
/// a rate, are dropped and counted. Safe for concurrent use.
class LineWriter {
public:
    /// `linesPerSecond`: lines that are written within one second, at most.
    LineWriter(const base::Clock& clock, int descriptor, unsigned linesPerSecond = defaultLinesPerSecond);

    /// Writes a line with its line end; longer ones than `maxLineBytes` are cut.
    void write(std::string_view line);

    /// Lines dropped since the last call.
    std::uint64_t takeDroppedCount();

    static constexpr std::size_t maxLineBytes = 4096; ///< A pipe takes as much in one piece.
    static constexpr unsigned defaultLinesPerSecond = 2000; ///< About 0.05 s of processor time.

private:
    bool withinRate();

    const base::Clock& m_clock;
    int m_descriptor;
    unsigned m_linesPerSecond;
    std::mutex m_mutex;
    base::SteadyTime m_secondBegan {};
    unsigned m_lines = 0; ///< Since `m_secondBegan`.
    std::uint64_t m_dropped = 0;
};

} // namespace buckthorncroft::observe
