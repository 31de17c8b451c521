#pragma once

#include "../http/asio.h"

#include <buckthorncroft/base/clock.h>
#include <optional>

namespace buckthorncroft::daemon {

/// Lets one coroutine wait for one value that arrives on the same thread.
template <typename T> class Gate {
public:
    explicit Gate(http::asio::io_context& context)
        : m_timer(context)
    {
    }

    /// Stores the value and wakes the waiting coroutine. Only the first value counts.
    void set(T value)
    {
        if (!m_value)
            m_value = std::move(value);
        m_timer.cancel();
    }

    /// Waits until a value is there or `until` has come; empty in the second case.
    http::Awaitable<std::optional<T>> wait(base::SteadyTime until)
    {
        if (!m_value) {
            http::error_code ec;
            m_timer.expires_at(until);
            co_await m_timer.async_wait(http::captureError(ec));
        }
        co_return std::exchange(m_value, std::nullopt);
    }

private:
    http::asio::steady_timer m_timer;
    std::optional<T> m_value;
};

} // namespace buckthorncroft::daemon
