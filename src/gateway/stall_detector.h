#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>

namespace buckthorncroft::gateway {

/// Detects that a thread did not run for a while, because the process was stopped or had no processor time. The thread
/// calls `recordTick` every `tickInterval`. Not safe for concurrent use.
class StallDetector {
public:
    static constexpr std::chrono::milliseconds tickInterval { 50 };

    explicit StallDetector(base::SteadyTime now)
        : m_lastTickAt(now)
        , m_previousTickAt(now)
    {
    }

    void recordTick(base::SteadyTime now)
    {
        m_previousTickAt = m_lastTickAt;
        m_lastTickAt = now;
    }

    /// Returns the earliest time at which an event can have occurred that the thread sees now: `now`, or the last time
    /// before a stall at which the thread ran.
    base::SteadyTime earliestEventTime(base::SteadyTime now) const
    {
        // After a stall, the overdue tick may be processed before the event.
        if (isStall(m_lastTickAt - m_previousTickAt))
            return m_previousTickAt;
        return isStall(now - m_lastTickAt) ? m_lastTickAt : now;
    }

private:
    // Timers fire slightly late also on an idle machine.
    static constexpr std::chrono::milliseconds maxTickDelay { 40 };

    static bool isStall(base::SteadyTime::duration sinceTick) { return sinceTick > tickInterval + maxTickDelay; }

    base::SteadyTime m_lastTickAt;
    base::SteadyTime m_previousTickAt;
};

} // namespace buckthorncroft::gateway
