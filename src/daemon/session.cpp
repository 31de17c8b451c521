#include "session.h"

#include "../http/caller_exchange.h"
#include "../http/framing.h"
#include "request_executor.h"

namespace buckthorncroft::daemon {

namespace {

    // Bounds of the lingering close. Closing a socket with unread bytes resets the connection, and a caller that is
    // still sending would then lose the response. The rest is therefore read and discarded first.
    constexpr std::chrono::seconds lingerTimeout { 1 };
    constexpr std::size_t maxDiscardedBytes = 1 << 20;

} // namespace

Session::Session(TrafficContext& context, http::tcp::socket socket)
    : m_context(context)
    , m_connection(std::make_shared<http::Connection>(std::move(socket)))
{
}

http::Awaitable<void> Session::run()
{
    const auto self = shared_from_this();
    http::error_code ec;
    m_connection->socket().set_option(http::tcp::no_delay(true), ec);
    while (true) {
        const bool arrived = co_await awaitRequest();
        if (!arrived)
            break;
        ++m_context.shared.activeRequests;
        const bool reusable = co_await serveRequest();
        --m_context.shared.activeRequests;
        if (!reusable || m_stopping)
            break;
    }
    co_await lingeringClose();
}

http::Awaitable<bool> Session::awaitRequest()
{
    if (m_connection->buffer().size() != 0)
        co_return true;
    http::error_code ec;
    // A request can arrive before the session of an accepted connection starts.
    if (m_stopping && m_connection->socket().available(ec) == 0)
        co_return false;
    m_idle = true;
    m_connection->closeAt(m_context.clock().now() + m_context.shared.dependencies.timeouts.keepAlive);
    co_await m_connection->socket().async_wait(http::tcp::socket::wait_read, http::captureError(ec));
    m_idle = false;
    m_connection->clearDeadline();
    co_return !ec && m_connection->socket().is_open();
}

http::Awaitable<bool> Session::serveRequest()
{
    const auto& timeouts = m_context.shared.dependencies.timeouts;
    http::CallerExchange exchange(m_connection, timeouts.stall);
    m_connection->closeAt(m_context.clock().now() + timeouts.head);
    const auto ec = co_await exchange.readHead();
    m_connection->clearDeadline();
    if (ec) {
        const auto rejection = http::rejectionForReadError(ec);
        if (rejection && ec != http::bhttp::error::partial_message) {
            http::bhttp::response_header<> head;
            head.result(rejection->status);
            head.set(http::bhttp::field::content_type, "text/plain; charset=utf-8");
            head.set("Buckthorncroft-Outcome", "not-run");
            co_await exchange.sendResponse(std::move(head), rejection->reason + "\n", false);
            if (m_context.shared.dependencies.finished)
                m_context.shared.dependencies.finished({ "", "", outcome::Outcome::NotRun, rejection->status, 0, {} });
        }
        co_return false;
    }
    RequestExecutor executor(m_context, exchange);
    co_return co_await executor.run();
}

http::Awaitable<void> Session::lingeringClose()
{
    http::error_code ec;
    if (!m_connection->socket().is_open())
        co_return;
    m_connection->socket().shutdown(http::tcp::socket::shutdown_send, ec);
    m_connection->closeAt(m_context.clock().now() + lingerTimeout);
    std::string discarded(std::size_t { 16 } * 1024, '\0');
    for (std::size_t n = 0; !ec && n < maxDiscardedBytes;)
        n += co_await m_connection->socket().async_read_some(http::asio::buffer(discarded), http::captureError(ec));
    m_connection->close();
}

void Session::stop()
{
    m_stopping = true;
    http::error_code ec;
    // If bytes have arrived, they begin a request, which is still served.
    if (m_idle && m_connection->socket().available(ec) == 0)
        m_connection->socket().cancel(ec);
}

} // namespace buckthorncroft::daemon
