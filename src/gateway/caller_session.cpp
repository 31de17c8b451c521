#include "caller_session.h"

#include "../http/framing.h"

#include <cerrno>
#include <sys/socket.h>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::milliseconds;

    // Requests of one connection that are at work at the same time.
    constexpr std::size_t mostExchanges = 32;

    constexpr std::size_t readBytes = 4096;

    // Without a byte of a body for this long the caller is gone.
    constexpr milliseconds stallLimit { 10'000 };

    // A caller that still sends while it is refused must be able to read the answer: closing with unread bytes would
    // reset the connection and discard it.
    constexpr milliseconds discardTime { 500 };
    constexpr std::size_t discardBytes = 1 << 20;

} // namespace

CallerSession::CallerSession(TrafficContext& context, http::tcp::socket socket)
    : m_context(context)
    , m_connection(std::make_shared<http::Connection>(std::move(socket)))
    , m_room(context.io)
{
    http::error_code ec;
    m_connection->socket().set_option(http::tcp::no_delay(true), ec);
}

routing::CallerLimits CallerSession::limits() const
{
    const auto snapshot = m_context.snapshots.read();
    return snapshot->routes ? snapshot->routes->routeSet().limits : routing::CallerLimits {};
}

http::Awaitable<void> CallerSession::run()
{
    const auto self = shared_from_this();
    while (!m_closing && !m_lost) {
        const bool again = co_await readRequest();
        if (!again)
            break;
    }
    while (!m_lost && !allAnswered())
        co_await watchCaller();
    co_await finish();
}

bool CallerSession::allAnswered() const
{
    // After a closing answer the requests behind it get none.
    return !m_writing && (m_exchanges.empty() || m_closed);
}

// Waits for the first byte of a request. False when the connection ends first.
http::Awaitable<bool> CallerSession::awaitBytes()
{
    while (m_connection->buffer().size() == 0) {
        m_idle = m_exchanges.empty();
        if (m_closed || (m_idle && m_context.closingIdle))
            co_return false;
        if (m_idle)
            m_connection->closeAt(m_context.clock.now() + limits().idleTimeout);
        else
            m_connection->clearDeadline();
        m_interruptible = true;
        http::error_code ec;
        const auto n = co_await m_connection->socket().async_read_some(
            m_connection->buffer().prepare(readBytes), http::captureError(ec));
        m_connection->buffer().commit(n);
        m_interruptible = m_idle = false;
        const bool interrupted = ec == http::asio::error::operation_aborted && m_connection->socket().is_open();
        if (ec && !interrupted) {
            m_lost = true;
            co_return false;
        }
    }
    co_return true;
}

// While the last answers are due, only the end of the connection is of interest.
http::Awaitable<void> CallerSession::watchCaller()
{
    http::error_code ec;
    char c = 0;
    const auto n = ::recv(m_connection->socket().native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
        m_lost = true;
        co_return;
    }
    if (n > 0) {
        // Bytes that no one will read hide the end of the connection.
        m_room.expires_at(base::SteadyTime::max());
        co_await m_room.async_wait(http::captureError(ec));
        co_return;
    }
    m_interruptible = true;
    co_await m_connection->socket().async_wait(http::tcp::socket::wait_read, http::captureError(ec));
    m_interruptible = false;
}

http::Awaitable<bool> CallerSession::readRequest()
{
    while (m_exchanges.size() >= mostExchanges) {
        http::error_code ec;
        m_room.expires_at(base::SteadyTime::max());
        co_await m_room.async_wait(http::captureError(ec));
    }
    const bool arrived = co_await awaitBytes();
    if (!arrived || m_closing)
        co_return false;
    const auto begin = m_context.clock.now();
    const auto bounds = limits();
    http::bhttp::request_parser<http::bhttp::string_body> parser;
    parser.header_limit(bounds.maxHeaderBytes);
    parser.body_limit(bounds.maxBodyBytes);
    m_connection->closeAt(begin + bounds.headerTimeout);
    http::error_code ec;
    co_await http::bhttp::async_read_header(
        m_connection->socket(), m_connection->buffer(), parser, http::captureError(ec));
    if (!ec) {
        const bool whole = co_await readBody(parser);
        if (!whole)
            co_return false;
        accept(parser.release(), begin);
        co_return true;
    }
    refuseMalformed(ec);
    co_return false;
}

http::Awaitable<bool> CallerSession::readBody(http::bhttp::request_parser<http::bhttp::string_body>& parser)
{
    http::error_code ec;
    if (http::beast::iequals(parser.get()[http::bhttp::field::expect], "100-continue") && m_exchanges.empty()) {
        const std::string_view line = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await http::asio::async_write(m_connection->socket(), http::asio::buffer(line), http::captureError(ec));
    }
    while (!ec && !parser.is_done()) {
        m_connection->closeAt(m_context.clock.now() + stallLimit);
        co_await http::bhttp::async_read_some(
            m_connection->socket(), m_connection->buffer(), parser, http::captureError(ec));
    }
    m_connection->clearDeadline();
    if (ec)
        refuseMalformed(ec);
    co_return !ec;
}

void CallerSession::refuseMalformed(http::error_code ec)
{
    const auto refusal = http::rejectionForReadError(ec);
    if (!refusal || ec == http::bhttp::error::partial_message) {
        m_lost = true;
        return;
    }
    CallerResponse response;
    response.message.result(refusal->status);
    response.message.body() = refusal->reason + "\n";
    response.message.content_length(response.message.body().size());
    response.closes = true;
    m_context.log.write(observe::Level::Info, "request_malformed",
        { { "status", std::to_string(refusal->status) }, { "reason", refusal->reason } });
    auto exchange = std::make_shared<Exchange>();
    m_exchanges.push_back(exchange);
    queueResponse(exchange, std::move(response));
}

void CallerSession::accept(CallerRequest request, base::SteadyTime arrived)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->keepAlive = request.keep_alive();
    exchange->head = request.method() == http::bhttp::verb::head;
    exchange->flow = std::make_shared<RequestFlow>(m_context, std::move(request), arrived);
    m_exchanges.push_back(exchange);
    if (!exchange->keepAlive)
        m_closing = true;
    http::asio::co_spawn(
        m_context.io,
        [self = shared_from_this(), exchange]() -> http::Awaitable<void> {
            const auto flow = exchange->flow;
            auto response = co_await flow->run();
            self->queueResponse(exchange, std::move(response));
        },
        http::asio::detached);
}

void CallerSession::queueResponse(const std::shared_ptr<Exchange>& exchange, CallerResponse response)
{
    exchange->response = std::move(response);
    exchange->flow.reset();
    startWriting();
}

void CallerSession::startWriting()
{
    if (m_writing || m_exchanges.empty() || !m_exchanges.front()->response)
        return;
    m_writing = true;
    http::asio::co_spawn(
        m_context.io, [self = shared_from_this()] { return self->writeResponses(); }, http::asio::detached);
}

http::Awaitable<void> CallerSession::writeResponses()
{
    while (!m_exchanges.empty() && m_exchanges.front()->response) {
        const auto exchange = m_exchanges.front();
        const bool closes = exchange->response->closes || !exchange->keepAlive || m_context.stopping;
        bool sent = false;
        if (!m_lost)
            sent = co_await writeOne(*exchange, closes);
        m_exchanges.pop_front();
        if (!sent || closes) {
            m_closing = m_closed = true;
            m_lost = m_lost || !sent;
            // Requests behind a closing answer count as not read.
            for (const auto& it : m_exchanges) {
                if (it->flow)
                    it->flow->callerLeft();
            }
            break;
        }
    }
    m_writing = false;
    m_room.cancel();
    http::error_code ec;
    // The reader takes up the idle limit, or ends the connection.
    if (m_interruptible)
        m_connection->socket().cancel(ec);
}

http::Awaitable<bool> CallerSession::writeOne(Exchange& exchange, bool closes)
{
    auto& message = exchange.response->message;
    message.version(11);
    message.keep_alive(!closes);
    if (exchange.head)
        message.body().clear();
    http::error_code ec;
    http::bhttp::serializer<false, http::bhttp::string_body> serializer(message);
    if (exchange.head)
        co_await http::bhttp::async_write_header(m_connection->socket(), serializer, http::captureError(ec));
    else
        co_await http::bhttp::async_write(m_connection->socket(), serializer, http::captureError(ec));
    co_return !ec;
}

http::Awaitable<void> CallerSession::finish()
{
    if (m_lost) {
        for (const auto& it : m_exchanges) {
            if (it->flow)
                it->flow->callerLeft();
        }
        m_connection->close();
        co_return;
    }
    http::error_code ec;
    m_connection->socket().shutdown(http::tcp::socket::shutdown_send, ec);
    m_connection->closeAt(m_context.clock.now() + discardTime);
    std::string discarded(std::size_t { 16 } * 1024, '\0');
    for (std::size_t n = 0; !ec && n < discardBytes;)
        n += co_await m_connection->socket().async_read_some(http::asio::buffer(discarded), http::captureError(ec));
    m_connection->close();
}

void CallerSession::stop()
{
    http::error_code ec;
    // Bytes that have arrived are a request, which is served.
    if (m_idle && m_interruptible && m_connection->socket().available(ec) == 0)
        m_connection->socket().cancel(ec);
}

} // namespace buckthorncroft::gateway
