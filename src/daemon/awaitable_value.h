#pragma once

#include "../http/asio.h"

#include <buckthorncroft/base/clock.h>
#include <optional>

namespace buckthorncroft::daemon {

/// Holds a value that one coroutine waits for and another handler on the same thread sets. Can be reused after the
/// value was taken. Not safe for concurrent use.
template <typename T> class AwaitableValue {
public:
    explicit AwaitableValue(http::asio::io_context& context)
        : m_timer(context)
    {
    }

    /// Stores the value and resumes the waiting coroutine. While a value is stored, further values are ignored.
    void set(T value)
    {
        if (!m_value)
            m_value = std::move(value);
        m_timer.cancel();
    }

    /// Waits until a value is set, and takes it. Returns an empty optional if none was set before `until`.
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
