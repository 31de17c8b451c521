#include "caller_session.h"

#include "../http/framing.h"

#include <cerrno>
#include <sys/socket.h>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::milliseconds;

    // Further requests of a connection are read only when fewer than this many are in flight.
    constexpr std::size_t maxPipelinedRequests = 32;

    constexpr std::size_t readBufferBytes = 4096;

    // A caller that sends no byte of a request body for this long is considered gone.
    constexpr milliseconds bodyReadTimeout { 10'000 };

    // Before the connection is closed, bytes that the caller still sends are read and discarded, for at most this time
    // and size. Closing with unread bytes resets the connection, so the caller could lose the response.
    constexpr milliseconds discardTimeout { 500 };
    constexpr std::size_t maxDiscardedBytes = 1 << 20;

} // namespace

CallerSession::CallerSession(TrafficContext& context, http::tcp::socket socket)
    : m_context(context)
    , m_connection(std::make_shared<http::Connection>(std::move(socket)))
    , m_responsesSentTimer(context.io)
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
    while (!m_closing && !m_callerDisconnected) {
        const bool again = co_await readRequest();
        if (!again)
            break;
    }
    while (!m_callerDisconnected && !allResponsesSent())
        co_await waitForDisconnect();
    co_await closeConnection();
}

bool CallerSession::allResponsesSent() const
{
    // Requests that follow the response after which the connection closes get no response.
    return !m_writing && (m_exchanges.empty() || m_lastResponseSent);
}

// Waits for the first byte of a request. Returns false if the connection ends first.
http::Awaitable<bool> CallerSession::waitForRequest()
{
    while (m_connection->buffer().size() == 0) {
        m_idle = m_exchanges.empty();
        if (m_lastResponseSent || (m_idle && m_context.closingIdleConnections))
            co_return false;
        if (m_idle)
            m_connection->closeAt(m_context.clock.now() + limits().idleTimeout);
        else
            m_connection->clearDeadline();
        m_interruptible = true;
        http::error_code ec;
        const auto n = co_await m_connection->socket().async_read_some(
            m_connection->buffer().prepare(readBufferBytes), http::captureError(ec));
        m_connection->buffer().commit(n);
        m_interruptible = m_idle = false;
        const bool interrupted = ec == http::asio::error::operation_aborted && m_connection->socket().is_open();
        if (ec && !interrupted) {
            m_callerDisconnected = true;
            co_return false;
        }
    }
    co_return true;
}

// Waits until the caller disconnects or a response was sent. Called after the last request was read.
http::Awaitable<void> CallerSession::waitForDisconnect()
{
    http::error_code ec;
    char c = 0;
    const auto n = ::recv(m_connection->socket().native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
        m_callerDisconnected = true;
        co_return;
    }
    if (n > 0) {
        // Unread bytes keep the socket readable, so a disconnect cannot be detected; wait for a response instead.
        m_responsesSentTimer.expires_at(base::SteadyTime::max());
        co_await m_responsesSentTimer.async_wait(http::captureError(ec));
        co_return;
    }
    m_interruptible = true;
    co_await m_connection->socket().async_wait(http::tcp::socket::wait_read, http::captureError(ec));
    m_interruptible = false;
}

http::Awaitable<bool> CallerSession::readRequest()
{
    while (m_exchanges.size() >= maxPipelinedRequests) {
        http::error_code ec;
        m_responsesSentTimer.expires_at(base::SteadyTime::max());
        co_await m_responsesSentTimer.async_wait(http::captureError(ec));
    }
    const bool arrived = co_await waitForRequest();
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
        startRequest(parser.release(), begin);
        co_return true;
    }
    handleReadError(ec);
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
        m_connection->closeAt(m_context.clock.now() + bodyReadTimeout);
        co_await http::bhttp::async_read_some(
            m_connection->socket(), m_connection->buffer(), parser, http::captureError(ec));
    }
    m_connection->clearDeadline();
    if (ec)
        handleReadError(ec);
    co_return !ec;
}

// Queues a rejection of a malformed request, or records that the connection failed or ended.
void CallerSession::handleReadError(http::error_code ec)
{
    const auto rejection = http::rejectionForReadError(ec);
    if (!rejection || ec == http::bhttp::error::partial_message) {
        m_callerDisconnected = true;
        return;
    }
    CallerResponse response;
    response.message.result(rejection->status);
    response.message.body() = rejection->reason + "\n";
    response.message.content_length(response.message.body().size());
    response.closesConnection = true;
    m_context.log.write(observe::Level::Info, "request_malformed",
        { { "status", std::to_string(rejection->status) }, { "reason", rejection->reason } });
    auto exchange = std::make_shared<Exchange>();
    m_exchanges.push_back(exchange);
    queueResponse(exchange, std::move(response));
}

void CallerSession::startRequest(CallerRequest request, base::SteadyTime arrivedAt)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->keepAlive = request.keep_alive();
    exchange->isHead = request.method() == http::bhttp::verb::head;
    exchange->flow = std::make_shared<RequestFlow>(m_context, std::move(request), arrivedAt);
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
        const bool closesConnection
            = exchange->response->closesConnection || !exchange->keepAlive || m_context.stopping;
        bool sent = false;
        if (!m_callerDisconnected)
            sent = co_await writeResponse(*exchange, closesConnection);
        m_exchanges.pop_front();
        if (!sent || closesConnection) {
            m_closing = m_lastResponseSent = true;
            m_callerDisconnected = m_callerDisconnected || !sent;
            // Later requests on the connection get no response, so they are treated as if the caller had disconnected.
            for (const auto& it : m_exchanges) {
                if (it->flow)
                    it->flow->onCallerDisconnected();
            }
            break;
        }
    }
    m_writing = false;
    m_responsesSentTimer.cancel();
    http::error_code ec;
    // Wakes the reader, which then applies the idle timeout or ends the connection.
    if (m_interruptible)
        m_connection->socket().cancel(ec);
}

http::Awaitable<bool> CallerSession::writeResponse(Exchange& exchange, bool closesConnection)
{
    auto& message = exchange.response->message;
    message.version(11);
    message.keep_alive(!closesConnection);
    if (exchange.isHead)
        message.body().clear();
    http::error_code ec;
    http::bhttp::serializer<false, http::bhttp::string_body> serializer(message);
    if (exchange.isHead)
        co_await http::bhttp::async_write_header(m_connection->socket(), serializer, http::captureError(ec));
    else
        co_await http::bhttp::async_write(m_connection->socket(), serializer, http::captureError(ec));
    co_return !ec;
}

http::Awaitable<void> CallerSession::closeConnection()
{
    if (m_callerDisconnected) {
        for (const auto& it : m_exchanges) {
            if (it->flow)
                it->flow->onCallerDisconnected();
        }
        m_connection->close();
        co_return;
    }
    http::error_code ec;
    m_connection->socket().shutdown(http::tcp::socket::shutdown_send, ec);
    m_connection->closeAt(m_context.clock.now() + discardTimeout);
    std::string discarded(std::size_t { 16 } * 1024, '\0');
    for (std::size_t n = 0; !ec && n < maxDiscardedBytes;)
        n += co_await m_connection->socket().async_read_some(http::asio::buffer(discarded), http::captureError(ec));
    m_connection->close();
}

void CallerSession::stop()
{
    http::error_code ec;
    // If bytes have arrived, a request is pending and is served first.
    if (m_idle && m_interruptible && m_connection->socket().available(ec) == 0)
        m_connection->socket().cancel(ec);
}

} // namespace buckthorncroft::gateway
