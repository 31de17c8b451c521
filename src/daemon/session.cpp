#include "session.h"

#include "../http/caller_exchange.h"
#include "../http/framing.h"
#include "request_executor.h"

namespace buckthorncroft::daemon {

namespace {

    // A caller that still sends while it is refused must be able to read the answer: closing with unread bytes would
    // reset the connection and discard it.
    constexpr std::chrono::seconds discardTime { 1 };
    constexpr std::size_t discardBytes = 1 << 20;

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
        const bool again = co_await serveOne();
        --m_context.shared.activeRequests;
        if (!again || m_stopping)
            break;
    }
    co_await closeGently();
}

http::Awaitable<bool> Session::awaitRequest()
{
    if (m_connection->buffer().size() != 0)
        co_return true;
    if (m_stopping)
        co_return false;
    m_idle = true;
    http::error_code ec;
    m_connection->closeAt(m_context.clock().now() + m_context.shared.dependencies.times.keepAlive);
    co_await m_connection->socket().async_wait(http::tcp::socket::wait_read, http::captureError(ec));
    m_idle = false;
    m_connection->clearDeadline();
    co_return !ec && m_connection->socket().is_open();
}

http::Awaitable<bool> Session::serveOne()
{
    const auto& times = m_context.shared.dependencies.times;
    http::CallerExchange exchange(m_connection, times.stall);
    m_connection->closeAt(m_context.clock().now() + times.head);
    const auto ec = co_await exchange.readHead();
    m_connection->clearDeadline();
    if (ec) {
        const auto refusal = http::rejectionForReadError(ec);
        if (refusal && ec != http::bhttp::error::partial_message) {
            http::bhttp::response_header<> head;
            head.result(refusal->status);
            head.set(http::bhttp::field::content_type, "text/plain; charset=utf-8");
            head.set("Buckthorncroft-Outcome", "not-run");
            co_await exchange.sendResponse(std::move(head), refusal->reason + "\n", false);
            if (m_context.shared.dependencies.finished)
                m_context.shared.dependencies.finished({ "", "", outcome::Outcome::NotRun, refusal->status, 0, {} });
        }
        co_return false;
    }
    RequestExecutor executor(m_context, exchange);
    co_return co_await executor.run();
}

http::Awaitable<void> Session::closeGently()
{
    http::error_code ec;
    if (!m_connection->socket().is_open())
        co_return;
    m_connection->socket().shutdown(http::tcp::socket::shutdown_send, ec);
    m_connection->closeAt(m_context.clock().now() + discardTime);
    std::string discarded(std::size_t { 16 } * 1024, '\0');
    for (std::size_t n = 0; !ec && n < discardBytes;)
        n += co_await m_connection->socket().async_read_some(http::asio::buffer(discarded), http::captureError(ec));
    m_connection->close();
}

void Session::stop()
{
    m_stopping = true;
    http::error_code ec;
    // Bytes that have arrived are a request, which is served.
    if (m_idle && m_connection->socket().available(ec) == 0)
        m_connection->socket().cancel(ec);
}

} // namespace buckthorncroft::daemon
