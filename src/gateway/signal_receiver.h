#pragma once

#include "../http/asio.h"

#include <boost/asio/signal_set.hpp>
#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/observe/log.h>
#include <functional>
#include <thread>

namespace buckthorncroft::gateway {

/// Receives SIGTERM, SIGINT and SIGHUP on a thread of its own, so that a busy event loop does not delay the time from
/// which a stop counts.
class SignalReceiver {
public:
    /// Called with the signal and the time of its receipt.
    using Callback = std::function<void(int signal, base::SteadyTime receivedAt)>;

    /// Posts calls of `callback` to `callbackLoop`. The references must outlive this object.
    SignalReceiver(
        http::asio::io_context& callbackLoop, const base::Clock& clock, const observe::Logger& log, Callback callback);
    SignalReceiver(const SignalReceiver&) = delete;
    SignalReceiver& operator=(const SignalReceiver&) = delete;
    ~SignalReceiver();

private:
    void awaitSignal();

    http::asio::io_context& m_callbackLoop;
    const base::Clock& m_clock;
    Callback m_callback;
    http::asio::io_context m_io { 1 };
    http::asio::signal_set m_signals;
    std::thread m_thread;
};

} // namespace buckthorncroft::gateway
