#pragma once

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthorncroft::soak {

using Clock = std::chrono::steady_clock;

/// What a caller saw of one request.
struct CallerRecord {
    std::string id;
    bool mayRepeat = false;
    std::size_t instance = 0;
    Clock::time_point sentAt;
    Clock::time_point endedAt;
    unsigned status = 0; ///< 0: no complete response.
    bool brokenOff = false; ///< The connection failed after the head of the response.
    std::string body;
};

/// One process of an instance, and the signals that it got.
struct ProcessRun {
    Clock::time_point startedAt;
    std::optional<Clock::time_point> stoppedAt; ///< SIGTERM.
    std::optional<Clock::time_point> killedAt; ///< SIGKILL.
    bool paused = false; ///< SIGSTOP, at any time.
};

/// Collects what callers, targets and the test itself saw, and finds the promises that were broken. Safe for concurrent
/// use.
class RequestModel {
public:
    explicit RequestModel(std::size_t instanceCount)
        : m_runs(instanceCount)
    {
    }

    /// `isHealthy`: the target sends a complete response in time.
    void recordExecution(const std::string& id, bool isHealthy)
    {
        const std::lock_guard lock(m_mutex);
        ++m_executions[id];
        (isHealthy ? m_healthyExecutions : m_faultyExecutions).insert(id);
    }

    void recordCaller(CallerRecord record)
    {
        const std::lock_guard lock(m_mutex);
        m_callers.push_back(std::move(record));
    }

    void recordStart(std::size_t instance)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.at(instance).push_back({ Clock::now(), {}, {}, false });
    }

    /// Records a signal before it is sent.
    template <typename Change> void changeRun(std::size_t instance, Change change)
    {
        const std::lock_guard lock(m_mutex);
        change(m_runs.at(instance).back());
    }

    std::size_t served() const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(
            std::count_if(m_callers.begin(), m_callers.end(), [](const auto& it) { return it.status == 200; }));
    }

    /// Returns a line for each broken promise.
    std::vector<std::string> brokenPromises() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> result;
        for (const auto& it : m_callers) {
            const auto found = m_executions.find(it.id);
            const unsigned executions = found == m_executions.end() ? 0 : found->second;
            const auto report = [&](const std::string& promise) {
                result.push_back(fmt::format("{}: request {} at instance {}, status {}, run {} times", promise, it.id,
                    it.instance, it.status, executions));
            };
            if (!it.mayRepeat && executions > 1)
                report("run more than once");
            if (promisesNotRun(it.status) && executions != 0)
                report("run although the response promises that it was not");
            if (it.status == 200 && (executions == 0 || it.body != it.id))
                report("response of another request");
            if (it.status == 0 && !it.brokenOff && executions != 0 && !mayBeCutOff(it))
                report("run, and its connection ended without a response");
            else if (it.status == 502 && m_healthyExecutions.contains(it.id) && cameLateInStop(it))
                report("accepted late in a stop, and cut off at its end");
            else if (it.status != 200 && !promisesNotRun(it.status) && executions != 0
                && !m_faultyExecutions.contains(it.id) && !mayBeBrokenOff(it))
                report("broken off while sound targets worked on it");
        }
        return result;
    }

    /// Requests that an instance receives until then after SIGTERM may be cut off at its end.
    static constexpr std::chrono::seconds lastRequestBound { 3 };
    static constexpr std::chrono::seconds lastSixthOfGrace { 5 }; ///< From SIGTERM to its begin.

    static constexpr std::chrono::milliseconds minTimeout { 2600 }; ///< Shortest timeout of a route.
    static constexpr std::chrono::milliseconds timeoutSlack { 100 };

private:
    static bool promisesNotRun(unsigned status)
    {
        return status == 503 || status == 421 || status == 429 || status == 408;
    }

    // Returns the process that the request was sent to, or null.
    const ProcessRun* runOf(const CallerRecord& record) const
    {
        const auto& runs = m_runs.at(record.instance);
        const auto next = std::upper_bound(runs.begin(), runs.end(), record.sentAt,
            [](Clock::time_point time, const ProcessRun& run) { return time < run.startedAt; });
        return next == runs.begin() ? nullptr : &*std::prev(next);
    }

    bool cameLateInStop(const CallerRecord& record) const
    {
        const auto* run = runOf(record);
        return run && run->stoppedAt && !run->paused && record.sentAt >= *run->stoppedAt + lastRequestBound;
    }

    bool mayBeCutOff(const CallerRecord& record) const
    {
        const auto* run = runOf(record);
        if (!run)
            return false;
        if (run->killedAt && *run->killedAt <= record.endedAt)
            return true;
        // A paused process may notice the signal, and that its time is up, only when it continues.
        return run->stoppedAt && *run->stoppedAt <= record.endedAt && !cameLateInStop(record);
    }

    bool mayBeBrokenOff(const CallerRecord& record) const
    {
        const auto* run = runOf(record);
        if (!run || run->paused || record.endedAt - record.sentAt >= minTimeout - timeoutSlack)
            return true;
        if (run->killedAt && *run->killedAt <= record.endedAt)
            return true;
        return run->stoppedAt && record.endedAt >= *run->stoppedAt + lastSixthOfGrace && !cameLateInStop(record);
    }

    mutable std::mutex m_mutex;
    std::map<std::string, unsigned> m_executions; ///< By request id.
    std::set<std::string> m_healthyExecutions; ///< Request ids.
    std::set<std::string> m_faultyExecutions; ///< Request ids.
    std::vector<CallerRecord> m_callers;
    std::vector<std::vector<ProcessRun>> m_runs; ///< By instance, oldest first.
};

} // namespace buckthorncroft::soak
