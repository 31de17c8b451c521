#pragma once

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace buckthorncroft::test {

/// What a caller saw of one request.
struct CallerView {
    std::string id;
    std::size_t instance = 0;
    std::chrono::steady_clock::time_point sentAt; ///< When the last byte was sent.
    std::chrono::steady_clock::time_point endedAt;
    std::chrono::milliseconds deadline {}; ///< Counts from `sentAt`.
    unsigned status = 0; ///< 0: no complete response.
    bool isFromTarget = false; ///< The response has a target's signature and the id of the request.
    bool mayRepeat = true; ///< The request is idempotent.
};

/// Collects what callers and targets saw while instances stop, and finds requests that were lost. Safe for concurrent
/// use.
class RequestLedger {
public:
    using Clock = std::chrono::steady_clock;

    // Bounds that the platform specifies.
    static constexpr std::chrono::milliseconds grace { 6000 };
    static constexpr std::chrono::milliseconds lastSixthOfGrace { 5000 }; ///< From the signal to its begin.
    static constexpr std::chrono::milliseconds lastRequestBound { 3000 };
    static constexpr std::chrono::milliseconds lossSlack { 200 };
    static constexpr std::chrono::milliseconds deadlineSlack { 50 };

    void recordStop(std::size_t instance, Clock::time_point time)
    {
        const std::lock_guard lock(m_mutex);
        m_stops[instance].push_back(time);
    }

    void recordExecutionBegin(const std::string& id, Clock::time_point time = Clock::now())
    {
        const std::lock_guard lock(m_mutex);
        m_executions[id].push_back({ time, {} });
    }

    /// Records that the target has finished the oldest execution of the request that has no end yet.
    void recordExecutionEnd(const std::string& id, Clock::time_point time = Clock::now())
    {
        const std::lock_guard lock(m_mutex);
        auto& executions = m_executions[id];
        const auto it = std::find_if(executions.begin(), executions.end(), [](const auto& e) { return !e.endedAt; });
        if (it != executions.end())
            it->endedAt = time;
    }

    void recordCaller(CallerView view)
    {
        const std::lock_guard lock(m_mutex);
        m_callers.push_back(std::move(view));
    }

    std::size_t countStatus(unsigned status) const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(
            std::count_if(m_callers.begin(), m_callers.end(), [=](const auto& it) { return it.status == status; }));
    }

    /// Returns a line for each request that was lost.
    std::vector<std::string> lostRequests() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> result;
        for (const auto& it : m_callers) {
            const auto problem = describeLoss(it);
            if (problem.empty())
                continue;
            const auto stop = lastStop(it);
            const auto sinceStop = [&](Clock::time_point time) {
                return stop
                    ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time - *stop).count())
                    : "none";
            };
            auto line = fmt::format("{}: request {} at instance {}, sent {} ms after its stop, ended at {} ms with {}",
                problem, it.id, it.instance, sinceStop(it.sentAt), sinceStop(it.endedAt), it.status);
            for (const auto& execution : executionsOf(it.id)) {
                line += fmt::format("; run from {} to {} ms", sinceStop(execution.beganAt),
                    execution.endedAt ? sinceStop(*execution.endedAt) : "end of the test");
            }
            result.push_back(line);
        }
        return result;
    }

private:
    struct Execution {
        Clock::time_point beganAt;
        std::optional<Clock::time_point> endedAt;
    };

    // Returns what is wrong with the outcome of the request, or an empty string.
    std::string describeLoss(const CallerView& view) const
    {
        const auto executions = executionsOf(view.id);
        const bool wasPassedOn = !executions.empty();
        if (!view.mayRepeat && executions.size() > 1)
            return "run more than once";
        if (view.status == 503)
            return wasPassedOn ? "run although the response promises that it was not" : "";
        const bool missedDeadline = view.endedAt - view.sentAt >= view.deadline - deadlineSlack;
        if (view.isFromTarget || missedDeadline)
            return "";
        if (wasPassedOn)
            return mayBeBrokenOff(view) ? "" : "passed on and broken off";
        return view.status == 0 && view.endedAt - view.sentAt > lossSlack ? "read and not answered" : "";
    }

    // A request may be broken off at the end of the grace period if it came early and all its targets still run it.
    bool mayBeBrokenOff(const CallerView& view) const
    {
        const auto stop = lastStop(view);
        if (!stop || view.sentAt > *stop + lastRequestBound || view.endedAt < *stop + lastSixthOfGrace)
            return false;
        const auto executions = executionsOf(view.id);
        return std::all_of(executions.begin(), executions.end(), [&](const Execution& it) {
            return it.beganAt <= *stop + grace && (!it.endedAt || *it.endedAt >= *stop + lastSixthOfGrace);
        });
    }

    // Returns the last stop of the instance before the request ended, if its grace period had not passed by then.
    std::optional<Clock::time_point> lastStop(const CallerView& view) const
    {
        std::optional<Clock::time_point> result;
        if (const auto stops = m_stops.find(view.instance); stops != m_stops.end()) {
            for (const auto time : stops->second) {
                if (time <= view.endedAt && view.endedAt < time + grace + std::chrono::seconds(1))
                    result = time;
            }
        }
        return result;
    }

    std::vector<Execution> executionsOf(const std::string& id) const
    {
        const auto it = m_executions.find(id);
        return it == m_executions.end() ? std::vector<Execution> {} : it->second;
    }

    mutable std::mutex m_mutex;
    std::map<std::size_t, std::vector<Clock::time_point>> m_stops; ///< By instance, oldest first.
    std::map<std::string, std::vector<Execution>> m_executions; ///< By request id.
    std::vector<CallerView> m_callers;
};

} // namespace buckthorncroft::test
