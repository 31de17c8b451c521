#pragma once

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <map>
#include <mutex>
#include <optional>
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

    void recordExecution(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        ++m_executions[id];
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
        }
        return result;
    }

    /// Requests that an instance receives until then after SIGTERM may be cut off at its end.
    static constexpr std::chrono::seconds lastRequestBound { 3 };

private:
    static bool promisesNotRun(unsigned status)
    {
        return status == 503 || status == 421 || status == 429 || status == 408;
    }

    bool mayBeCutOff(const CallerRecord& record) const
    {
        for (const auto& it : m_runs.at(record.instance)) {
            const bool wasKilled = it.killedAt && *it.killedAt >= record.sentAt && *it.killedAt <= record.endedAt;
            // A paused process may notice the signal, and that its time is up, only when it continues.
            const bool wasStopped = it.stoppedAt && *it.stoppedAt <= record.endedAt && it.startedAt <= record.sentAt
                && (it.paused || record.sentAt < *it.stoppedAt + lastRequestBound);
            if (wasKilled || wasStopped)
                return true;
        }
        return false;
    }

    mutable std::mutex m_mutex;
    std::map<std::string, unsigned> m_executions; ///< By request id.
    std::vector<CallerRecord> m_callers;
    std::vector<std::vector<ProcessRun>> m_runs; ///< By instance, oldest first.
};

} // namespace buckthorncroft::soak
