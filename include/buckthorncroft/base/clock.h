#pragma once

#include <chrono>

namespace buckthorncroft::base {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/// Source of time. Production code uses SystemClock; tests use ManualClock, so that no test depends on real time.
class Clock {
public:
    Clock() = default;
    Clock(const Clock&) = delete;
    Clock& operator=(const Clock&) = delete;
    virtual ~Clock() = default;

    /// Monotonic time, for durations, deadlines and timeouts.
    virtual SteadyTime now() const = 0;

    /// Wall-clock time, for records and logs that are read outside this process. It may jump.
    virtual WallTime wallNow() const = 0;
};

/// The operating system's clocks.
class SystemClock final : public Clock {
public:
    SteadyTime now() const override { return std::chrono::steady_clock::now(); }
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

/// A clock for tests that changes only through `advance`. Not safe for concurrent use.
class ManualClock final : public Clock {
public:
    SteadyTime now() const override { return m_now; }
    WallTime wallNow() const override { return m_wallNow; }

    /// Advances the monotonic and the wall-clock time by `step`.
    void advance(std::chrono::nanoseconds step)
    {
        m_now += std::chrono::duration_cast<SteadyTime::duration>(step);
        m_wallNow += std::chrono::duration_cast<WallTime::duration>(step);
    }

private:
    // Starts well after the epoch, so that subtracting a retention period never underflows.
    SteadyTime m_now { std::chrono::hours(1000) };
    WallTime m_wallNow { std::chrono::hours(1000) };
};

} // namespace buckthorncroft::base
