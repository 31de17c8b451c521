#include "caller_exchange.h"

#include "framing.h"
#include "read_parsed.h"

#include <boost/beast/http/span_body.hpp>

namespace buckthorncroft::http {

namespace {

    constexpr std::uint32_t maxRequestHeaderBytes = 16 * 1024;

} // namespace

CallerExchange::CallerExchange(std::shared_ptr<Connection> connection, std::chrono::milliseconds stallTimeout)
    : m_connection(std::move(connection))
    , m_stallTimeout(stallTimeout)
{
    m_parser.header_limit(maxRequestHeaderBytes);
    // The body limit depends on the route, which is not yet known; whoever reads the body enforces it.
    m_parser.body_limit(unlimitedBody);
}

Awaitable<error_code> CallerExchange::readHead()
{
    auto ec = co_await bufferRequestHead(*m_connection, maxRequestHeaderBytes);
    if (!ec)
        co_await bhttp::async_read_header(m_connection->socket(), m_connection->buffer(), m_parser, captureError(ec));
    co_return ec;
}

bool CallerExchange::expectsContinue() const
{
    return head().version() >= 11 && beast::iequals(head()[bhttp::field::expect], "100-continue");
}

std::optional<std::uint64_t> CallerExchange::contentLength() const
{
    const auto n = m_parser.content_length();
    return n ? std::optional<std::uint64_t>(*n) : std::nullopt;
}

bool CallerExchange::hasBody() const
{
    return m_parser.chunked() || m_parser.content_length();
}

Awaitable<std::size_t> CallerExchange::readSome(char* data, std::size_t size, error_code& ec)
{
    if (expectsContinue() && !m_continueSent && !m_parser.is_done() && m_connection->buffer().size() == 0) {
        m_continueSent = true;
        const std::string_view line = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(m_connection->socket(), asio::buffer(line), captureError(ec));
        if (ec)
            co_return 0;
    }
    auto& body = m_parser.get().body();
    body.data = data;
    body.size = size;
    while (!m_parser.is_done() && body.size == size) {
        ec = co_await readParsed(*m_connection, m_parser);
        if (ec == bhttp::error::need_buffer)
            ec = {};
        if (ec)
            break;
    }
    co_return size - body.size;
}

Awaitable<bool> CallerExchange::sendResponse(bhttp::response_header<> head, std::string_view body, bool keepAlive)
{
    bhttp::response<bhttp::span_body<const char>> message(std::move(head));
    const bool bodyless = responseHasNoBody(this->head().method(), message.result_int());
    message.version(11);
    // A response to HEAD keeps the target's Content-Length, which describes the omitted body.
    if (!bodyless)
        message.content_length(body.size());
    message.keep_alive(keepAlive);
    if (!bodyless)
        message.body() = beast::span<const char>(body.data(), body.size());
    m_responseStarted = true;
    m_connection->closeAt(std::chrono::steady_clock::now() + m_stallTimeout);
    error_code ec;
    co_await bhttp::async_write(m_connection->socket(), message, captureError(ec));
    m_connection->clearDeadline();
    co_return !ec;
}

Awaitable<bool> CallerExchange::sendHead(
    bhttp::response_header<> head, std::optional<std::uint64_t> length, bool keepAlive)
{
    m_response.emplace(std::move(head));
    m_response->version(11);
    const bool supportsChunked = this->head().version() >= 11;
    if (length)
        m_response->content_length(*length);
    else if (supportsChunked)
        m_response->chunked(true);
    m_response->keep_alive(keepAlive && (length || supportsChunked));
    m_response->body().data = nullptr;
    m_response->body().more = true;
    m_serializer.emplace(*m_response);
    m_responseStarted = true;
    m_connection->closeAt(std::chrono::steady_clock::now() + m_stallTimeout);
    error_code ec;
    co_await bhttp::async_write_header(m_connection->socket(), *m_serializer, captureError(ec));
    m_connection->clearDeadline();
    co_return !ec;
}

Awaitable<bool> CallerExchange::sendBodyPiece(std::string_view piece)
{
    auto& body = m_response->body();
    // The serializer only reads from the buffer, although its type is not const.
    body.data = piece.empty() ? nullptr : const_cast<char*>(piece.data());
    body.size = piece.size();
    body.more = !piece.empty();
    m_connection->closeAt(std::chrono::steady_clock::now() + m_stallTimeout);
    error_code ec;
    co_await bhttp::async_write(m_connection->socket(), *m_serializer, captureError(ec));
    m_connection->clearDeadline();
    if (ec == bhttp::error::need_buffer)
        ec = {};
    co_return !ec;
}

} // namespace buckthorncroft::http
