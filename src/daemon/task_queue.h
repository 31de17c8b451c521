#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace buckthorncroft::daemon::detail {

/// Bounded queue of tasks for one thread. A full queue rejects further tasks, so that producers cannot exhaust memory.
class TaskQueue {
public:
    explicit TaskQueue(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Adds a task; returns false when the queue is full or closed.
    bool post(std::function<void()> task)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || m_tasks.size() >= m_capacity)
                return false;
            m_tasks.push_back(std::move(task));
        }
        m_changed.notify_one();
        return true;
    }

    /// Runs all queued tasks; waits up to `timeout` if there are none. Returns false if the queue is closed and empty.
    bool run(std::chrono::milliseconds timeout)
    {
        std::deque<std::function<void()>> tasks;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait_for(lock, timeout, [&] { return m_closed || !m_tasks.empty(); });
            tasks.swap(m_tasks);
            if (tasks.empty() && m_closed)
                return false;
        }
        for (auto& it : tasks)
            it();
        return true;
    }

    /// Rejects further tasks. Tasks that are queued already still run.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_changed.notify_one();
    }

private:
    std::size_t m_capacity;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    bool m_closed = false;
};

} // namespace buckthorncroft::daemon::detail
