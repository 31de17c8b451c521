#include "gateway_traffic.h"

#include <algorithm>
#include <fmt/format.h>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::milliseconds;

    // Delay before accepting again after an error, so that a process without free file descriptors does not spin.
    constexpr milliseconds acceptRetryDelay { 20 };

    // Interval at which expired connections to targets are closed and ended sessions are removed.
    constexpr milliseconds cleanupInterval { 1000 };

} // namespace

GatewayTraffic::GatewayTraffic(TrafficContext& context)
    : m_context(context)
    , m_acceptor(context.io)
{
}

base::Result<void> GatewayTraffic::open(const daemon::Endpoint& address)
{
    http::error_code ec;
    const http::tcp::endpoint endpoint(http::asio::ip::make_address(address.host, ec), address.port);
    if (!ec)
        m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(http::tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(http::asio::socket_base::max_listen_connections, ec);
    if (ec) {
        return base::Error { base::ErrorCode::Unavailable,
            fmt::format("cannot listen on {}: {}", toString(address), ec.message()) };
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void GatewayTraffic::start()
{
    http::asio::co_spawn(
        m_context.io, [this] { return acceptLoop(); }, http::asio::detached);
    http::asio::co_spawn(
        m_context.io, [this] { return cleanupLoop(); }, http::asio::detached);
}

http::Awaitable<void> GatewayTraffic::acceptLoop()
{
    while (m_acceptor.is_open()) {
        http::tcp::socket socket(m_context.io);
        http::error_code ec;
        co_await m_acceptor.async_accept(socket, http::captureError(ec));
        if (!ec) {
            startSession(std::move(socket));
        } else if (m_acceptor.is_open()) {
            http::asio::steady_timer retryTimer(m_context.io, acceptRetryDelay);
            co_await retryTimer.async_wait(http::captureError(ec));
        }
    }
}

void GatewayTraffic::startSession(http::tcp::socket socket)
{
    const auto session = std::make_shared<CallerSession>(m_context, std::move(socket));
    m_sessions.push_back(session);
    http::asio::co_spawn(
        m_context.io, [session] { return session->run(); }, http::asio::detached);
}

http::Awaitable<void> GatewayTraffic::cleanupLoop()
{
    http::asio::steady_timer timer(m_context.io);
    while (true) {
        http::error_code ec;
        timer.expires_after(cleanupInterval);
        co_await timer.async_wait(http::captureError(ec));
        if (ec)
            co_return;
        m_context.pool.closeExpired();
        m_sessions.remove_if([](const std::weak_ptr<CallerSession>& it) { return it.expired(); });
    }
}

bool GatewayTraffic::isIdle() const
{
    return std::all_of(m_sessions.begin(), m_sessions.end(), [](const auto& it) { return it.expired(); });
}

void GatewayTraffic::stopIdleSessions()
{
    for (const auto& it : m_sessions) {
        if (const auto session = it.lock())
            session->stop();
    }
}

void GatewayTraffic::closeKeptCallerConnections()
{
    m_context.closingKeptConnections = true;
    stopIdleSessions();
}

void GatewayTraffic::closeIdleCallerConnections()
{
    m_context.closingIdleConnections = true;
    stopIdleSessions();
}

void GatewayTraffic::rejectWaitingRequests()
{
    for (const auto& it : m_sessions) {
        if (const auto session = it.lock())
            session->rejectWaitingRequests();
    }
}

void GatewayTraffic::endActiveRequests()
{
    for (const auto& it : m_sessions) {
        if (const auto session = it.lock())
            session->endRequests();
    }
}

void GatewayTraffic::resetUnfinishedStreams()
{
    for (const auto& it : m_sessions) {
        if (const auto session = it.lock())
            session->resetUnfinishedStreams();
    }
}

void GatewayTraffic::logUnfinishedSessions() const
{
    for (const auto& it : m_sessions) {
        if (const auto session = it.lock())
            session->logUnfinished();
    }
}

void GatewayTraffic::stopAccepting()
{
    http::error_code ec;
    m_acceptor.cancel(ec);
    m_acceptor.non_blocking(true, ec);
    while (!ec) {
        http::tcp::socket socket(m_context.io);
        m_acceptor.accept(socket, ec);
        if (!ec)
            startSession(std::move(socket));
    }
    m_acceptor.close(ec);
}

} // namespace buckthorncroft::gateway
