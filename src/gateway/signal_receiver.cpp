#include "signal_receiver.h"

#include "event_loop.h"

#include <csignal>

namespace buckthorncroft::gateway {

SignalReceiver::SignalReceiver(
    http::asio::io_context& callbackLoop, const base::Clock& clock, const observe::Logger& log, Callback callback)
    : m_callbackLoop(callbackLoop)
    , m_clock(clock)
    , m_callback(std::move(callback))
    , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
    , m_tickTimer(m_io)
    , m_stalls(clock.now())
{
    awaitSignal();
    scheduleTick();
    m_thread = std::thread([this, &log] { runEventLoop(m_io, log, "signals"); });
}

SignalReceiver::~SignalReceiver()
{
    m_io.stop();
    m_thread.join();
}

void SignalReceiver::awaitSignal()
{
    m_signals.async_wait([this](http::error_code ec, int signal) {
        if (ec)
            return;
        const auto sentAt = m_stalls.earliestEventTime(m_clock.now());
        awaitSignal();
        http::asio::post(m_callbackLoop, [this, signal, sentAt] { m_callback(signal, sentAt); });
    });
}

void SignalReceiver::scheduleTick()
{
    m_tickTimer.expires_after(StallDetector::tickInterval);
    m_tickTimer.async_wait([this](http::error_code ec) {
        if (ec)
            return;
        m_stalls.recordTick(m_clock.now());
        scheduleTick();
    });
}

} // namespace buckthorncroft::gateway
