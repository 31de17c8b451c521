#pragma once

#include "../http/asio.h"
#include "stall_detector.h"

#include <boost/asio/signal_set.hpp>
#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/observe/log.h>
#include <functional>
#include <thread>

namespace buckthorncroft::gateway {

/// Receives SIGTERM, SIGINT and SIGHUP on a thread of its own, so that a busy event loop does not delay the time from
/// which a stop counts. A machine without free processor time can delay the receipt as well, so the time is the
/// earliest at which the signal can have been sent.
class SignalReceiver {
public:
    /// Called with the signal and the earliest time at which it can have been sent.
    using Callback = std::function<void(int signal, base::SteadyTime sentAt)>;

    /// Posts calls of `callback` to `callbackLoop`. The references must outlive this object.
    SignalReceiver(
        http::asio::io_context& callbackLoop, const base::Clock& clock, const observe::Logger& log, Callback callback);
    SignalReceiver(const SignalReceiver&) = delete;
    SignalReceiver& operator=(const SignalReceiver&) = delete;
    ~SignalReceiver();

private:
    void awaitSignal();
    void scheduleTick();

    http::asio::io_context& m_callbackLoop;
    const base::Clock& m_clock;
    Callback m_callback;
    http::asio::io_context m_io { 1 };
    http::asio::signal_set m_signals;
    http::asio::steady_timer m_tickTimer;
    StallDetector m_stalls;
    std::thread m_thread;
};

} // namespace buckthorncroft::gateway
