#include "caller_session.h"

#include "../http/framing.h"
#include "../http/read_parsed.h"

#include <algorithm>
#include <cerrno>
#include <fmt/format.h>
#include <sys/socket.h>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::milliseconds;

    // Further requests of a connection are read only when fewer than this many are in flight.
    constexpr std::size_t maxPipelinedRequests = 32;

    constexpr std::size_t readBufferBytes = 4096;

    // A caller that sends no byte of a request body for this long is considered gone.
    constexpr milliseconds bodyReadTimeout { 10'000 };

    // A caller that takes no byte of a response for this long is considered gone.
    constexpr milliseconds writeStallTimeout { 10'000 };

    // Size of the pieces in which a long body is relayed.
    constexpr std::size_t streamPieceBytes = std::size_t { 16 } * 1024;

    // Before the connection is closed, bytes that the caller still sends are read and discarded, for at most this time
    // and size. Closing with unread bytes resets the connection, so the caller could lose the response.
    constexpr milliseconds discardTimeout { 500 };
    constexpr std::size_t maxDiscardedBytes = 16 << 20;

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

// Whether the process stops and the connection is not needed any more. If bytes have arrived, a request is pending and
// is served first.
bool CallerSession::mayCloseIdle()
{
    http::error_code ec;
    const bool closing = m_context.closingIdleConnections || (m_context.closingKeptConnections && m_hasServed);
    return closing && m_connection->socket().available(ec) == 0;
}

// Waits for the first byte of a request. Returns false if the connection ends first.
http::Awaitable<bool> CallerSession::waitForRequest()
{
    while (m_connection->buffer().size() == 0) {
        m_idle = m_exchanges.empty();
        if (m_lastResponseSent || (m_idle && mayCloseIdle()))
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
    // While the process stops, the connection closes after the requests in flight, so that this one will not get a
    // response.
    if (m_context.stopping && !m_exchanges.empty())
        m_closing = true;
    if (!arrived || m_closing)
        co_return false;
    m_reading = true;
    const auto begin = m_context.clock.now();
    const auto bounds = limits();
    http::bhttp::request_parser<http::bhttp::string_body> parser;
    parser.header_limit(bounds.maxHeaderBytes);
    parser.body_limit(bounds.maxBodyBytes);
    m_connection->closeAt(begin + bounds.headerTimeout);
    auto ec = co_await http::bufferRequestHead(*m_connection, bounds.maxHeaderBytes);
    if (!ec) {
        co_await http::bhttp::async_read_header(
            m_connection->socket(), m_connection->buffer(), parser, http::captureError(ec));
    }
    if (ec) {
        handleReadError(ec);
        co_return false;
    }
    // Must precede the body: if its framing is not supported, the body would be read as further requests.
    if (const auto rejection = http::checkRequestHead(parser.get().base())) {
        rejectUnread(rejection->status, rejection->reason, std::string(parser.get()[m_context.names.requestId]));
        co_return false;
    }
    auto memory = std::make_unique<limits::MemoryReservation>(m_context.memory);
    m_arrivingRequest = &parser.get();
    m_arrivingSince = begin;
    if (!parser.is_done() && isTooLateInStop(m_context, parser.get(), begin))
        rejectArrivingRequest();
    // The parser adds trailers to the headers, where they would pass for fields that were checked with the head.
    std::optional<http::bhttp::request_header<>> head;
    if (parser.get().chunked())
        head = parser.get().base();
    const bool whole = co_await readBody(parser, *memory);
    m_arrivingRequest = nullptr;
    // The response that closes the connection may have been chosen while the body arrived.
    if (!whole || m_closing)
        co_return false;
    m_reading = false;
    auto request = parser.release();
    if (head)
        request.base() = std::move(*head);
    startRequest(std::move(request), begin, std::move(memory));
    co_return true;
}

http::Awaitable<bool> CallerSession::readBody(RequestParser& parser, limits::MemoryReservation& memory)
{
    http::error_code ec;
    if (http::beast::iequals(parser.get()[http::bhttp::field::expect], "100-continue") && m_exchanges.empty()
        && !m_closing) {
        const std::string_view line = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await http::asio::async_write(m_connection->socket(), http::asio::buffer(line), http::captureError(ec));
    }
    while (!ec && !parser.is_done()) {
        if (!reserveBody(parser, memory))
            co_return false;
        m_connection->closeAt(m_context.clock.now() + bodyReadTimeout);
        ec = co_await http::readParsed(*m_connection, parser);
    }
    m_connection->clearDeadline();
    if (ec)
        handleReadError(ec);
    co_return !ec && reserveBody(parser, memory);
}

// Reserves memory for the body as far as it is known. Returns false, after queueing a rejection, if the budget does not
// allow it.
bool CallerSession::reserveBody(RequestParser& parser, limits::MemoryReservation& memory)
{
    const auto declared = parser.content_length();
    const auto known = std::max<std::uint64_t>(declared ? *declared : 0, parser.get().body().capacity());
    if (known <= memory.bytes() || memory.tryGrow(static_cast<std::size_t>(known - memory.bytes())))
        return true;
    rejectUnread(503, "the memory budget is used up");
    return false;
}

// Queues a rejection of a malformed request, or records that the connection failed or ended.
void CallerSession::handleReadError(http::error_code ec)
{
    const auto rejection = http::rejectionForReadError(ec);
    if (!rejection || ec == http::bhttp::error::partial_message) {
        m_callerDisconnected = true;
        return;
    }
    rejectUnread(rejection->status, rejection->reason);
}

// Queues the rejection of a request that was not read completely, after which the connection closes.
void CallerSession::rejectUnread(
    unsigned status, const std::string& reason, const std::string& id, milliseconds retryAfter)
{
    if (m_closing)
        return;
    m_closing = true;
    m_reading = false;
    CallerResponse response;
    response.message.result(status);
    if (!id.empty())
        response.message.set(m_context.names.requestId, id);
    if (status == 503)
        response.message.set(
            http::bhttp::field::retry_after, fmt::format("{:.3f}", std::chrono::duration<double>(retryAfter).count()));
    response.message.body() = reason + "\n";
    response.message.content_length(response.message.body().size());
    response.closesConnection = true;
    m_context.log.write(observe::Level::Info, "request_rejected_unread",
        { { "request", id }, { "status", std::to_string(status) }, { "reason", reason } });
    auto exchange = std::make_shared<Exchange>();
    m_exchanges.push_back(exchange);
    queueResponse(exchange, std::move(response));
}

// Rejects the request that is being read. Its body is still read, so that the caller can send it before it reads the
// response.
void CallerSession::rejectArrivingRequest()
{
    if (m_arrivingRequest)
        rejectUnread(
            503, "the instance stops", std::string((*m_arrivingRequest)[m_context.names.requestId]), stopRetryAfter);
}

void CallerSession::startRequest(
    CallerRequest request, base::SteadyTime arrivedAt, std::unique_ptr<limits::MemoryReservation> memory)
{
    auto exchange = std::make_shared<Exchange>();
    m_hasServed = true;
    exchange->keepAlive = request.keep_alive();
    exchange->isHead = request.method() == http::bhttp::verb::head;
    exchange->supportsChunked = request.version() >= 11;
    exchange->flow = std::make_shared<RequestFlow>(m_context, std::move(request), arrivedAt, std::move(memory));
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
        const bool isLast = m_exchanges.size() == 1;
        const bool closesConnection
            = exchange->response->closesConnection || !exchange->keepAlive || (m_context.stopping && isLast);
        // A request that is still being read is not started any more.
        m_closing = m_closing || closesConnection;
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
    // A request that is still being read gets no further response.
    if (m_lastResponseSent && m_arrivingRequest)
        m_connection->socket().shutdown(http::tcp::socket::shutdown_send, ec);
    // Wakes the reader, which then applies the idle timeout or ends the connection.
    if (m_interruptible)
        m_connection->socket().cancel(ec);
}

http::Awaitable<bool> CallerSession::writeResponse(Exchange& exchange, bool closesConnection)
{
    auto& message = exchange.response->message;
    if (exchange.response->stream && m_context.clock.now() >= exchange.response->stream->deadline())
        replaceOverdueStream(*exchange.response);
    message.version(11);
    message.keep_alive(!closesConnection);
    if (exchange.response->stream && !exchange.isHead)
        co_return co_await writeStream(exchange, closesConnection);
    if (exchange.isHead)
        message.body().clear();
    http::error_code ec;
    http::bhttp::serializer<false, http::bhttp::string_body> serializer(message);
    if (exchange.isHead)
        co_await http::bhttp::async_write_header(m_connection->socket(), serializer, http::captureError(ec));
    while (!exchange.isHead && !ec && !serializer.is_done()) {
        m_connection->closeAt(m_context.clock.now() + writeStallTimeout);
        co_await http::bhttp::async_write_some(m_connection->socket(), serializer, http::captureError(ec));
    }
    m_connection->clearDeadline();
    co_return !ec;
}

// Replaces a long response whose deadline passed before it could be sent, because earlier responses were pending.
void CallerSession::replaceOverdueStream(CallerResponse& response)
{
    const std::string id(response.message[m_context.names.requestId]);
    response.stream->cancel();
    response.stream.reset();
    response.message = {};
    response.message.result(504);
    response.message.set(m_context.names.requestId, id);
    response.message.body() = "the deadline has passed\n";
    response.message.content_length(response.message.body().size());
    m_context.log.write(
        observe::Level::Warning, "response_replaced", { { "request", id }, { "reason", "the deadline has passed" } });
}

// Relays a long body in pieces. If it breaks off, the connection is reset, so that the caller cannot take the part for
// the whole.
http::Awaitable<bool> CallerSession::writeStream(Exchange& exchange, bool closesConnection)
{
    auto& stream = *exchange.response->stream;
    const auto& buffered = exchange.response->message.body();
    StreamMessage message(exchange.response->message.base());
    const auto length = stream.length();
    if (length)
        message.content_length(*length);
    else if (exchange.supportsChunked)
        message.chunked(true);
    message.keep_alive(!closesConnection && (length || exchange.supportsChunked));
    message.body().more = true;
    StreamSerializer serializer(message);
    std::string piece(streamPieceBytes, '\0');
    m_connection->setResetOnClose(true);
    bool sent = co_await writePiece(message, serializer, buffered, stream.deadline());
    while (sent && !stream.isComplete()) {
        const auto n = co_await stream.read(piece.data(), piece.size());
        if (n == 0)
            break;
        sent = co_await writePiece(message, serializer, std::string_view(piece).substr(0, n), stream.deadline());
    }
    const bool whole = stream.isComplete();
    if (sent && whole)
        sent = co_await writePiece(message, serializer, {}, stream.deadline());
    if (sent && whole) {
        m_connection->setResetOnClose(false);
        co_return length || exchange.supportsChunked;
    }
    const bool overdue = m_context.clock.now() >= stream.deadline();
    const auto* cause = overdue ? "deadline" : whole || !sent ? "caller" : "target";
    m_context.log.write(observe::Level::Warning, "response_broken_off",
        { { "by", cause }, { "request", std::string(message[m_context.names.requestId]) } });
    stream.cancel();
    m_connection->reset();
    co_return false;
}

// Writes a piece of a body; an empty piece ends the body. Closes the connection if the caller has not taken the piece
// by the deadline.
http::Awaitable<bool> CallerSession::writePiece(
    StreamMessage& message, StreamSerializer& serializer, std::string_view piece, base::SteadyTime deadline)
{
    auto& body = message.body();
    // The serializer only reads from the buffer, although its type is not const.
    body.data = const_cast<char*>(piece.data());
    body.size = piece.size();
    body.more = !piece.empty();
    http::error_code ec;
    m_connection->closeAt(std::min(deadline, m_context.clock.now() + writeStallTimeout));
    co_await http::bhttp::async_write(m_connection->socket(), serializer, http::captureError(ec));
    m_connection->clearDeadline();
    co_return !ec || ec == http::bhttp::error::need_buffer;
}

http::Awaitable<void> CallerSession::closeConnection()
{
    if (m_callerDisconnected) {
        for (const auto& it : m_exchanges) {
            if (it->flow)
                it->flow->onCallerDisconnected();
            if (it->response && it->response->stream)
                it->response->stream->cancel();
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
    if (isIdle() && mayCloseIdle())
        m_connection->socket().cancel(ec);
}

void CallerSession::logUnfinished() const
{
    if (m_exchanges.empty() && !m_reading)
        return;
    std::string unsent;
    for (const auto& it : m_exchanges) {
        if (it->response)
            unsent += (unsent.empty() ? "" : ",") + std::string(it->response->message[m_context.names.requestId]);
    }
    m_context.log.write(observe::Level::Warning, "connection_cut",
        { { "requests", std::to_string(m_exchanges.size()) }, { "unsent_responses", unsent },
            { "reading", m_reading ? "yes" : "no" } });
}

void CallerSession::rejectWaitingRequests()
{
    for (const auto& it : m_exchanges) {
        if (it->flow)
            it->flow->onLastRequestTime();
    }
    if (m_arrivingRequest && isTooLateInStop(m_context, *m_arrivingRequest, m_arrivingSince))
        rejectArrivingRequest();
}

void CallerSession::endRequests()
{
    for (const auto& it : m_exchanges) {
        if (it->flow)
            it->flow->end();
    }
    rejectArrivingRequest();
}

void CallerSession::resetUnfinishedStreams()
{
    for (const auto& it : m_exchanges) {
        // The end of the process would look like the end of a body without a length.
        if (it->response && it->response->stream)
            m_connection->reset();
    }
}

} // namespace buckthorncroft::gateway
