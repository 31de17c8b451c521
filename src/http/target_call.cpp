#include "target_call.h"

#include "framing.h"
#include "read_parsed.h"

#include <algorithm>
#include <boost/beast/http/span_body.hpp>

namespace buckthorncroft::http {

namespace {

    constexpr std::uint32_t maxResponseHeaderBytes = 64 * 1024;

    // Without this limit, a target that sends only interim responses would occupy its slot until the deadline.
    constexpr unsigned maxInterimResponses = 16;

    bool isFormatError(error_code ec)
    {
        return ec.category() == make_error_code(bhttp::error::end_of_stream).category()
            && ec != bhttp::error::end_of_stream && ec != bhttp::error::partial_message;
    }

} // namespace

TargetCall::TargetCall(std::shared_ptr<Connection> connection, CallRules rules)
    : m_connection(std::move(connection))
    , m_rules(std::move(rules))
{
}

Awaitable<bool> TargetCall::connect(tcp::endpoint endpoint)
{
    error_code ec;
    co_await m_connection->socket().async_connect(endpoint, captureError(ec));
    if (!ec)
        m_connection->socket().set_option(tcp::no_delay(true), ec);
    co_return !ec;
}

Awaitable<bool> TargetCall::send(bhttp::request_header<> head, std::string_view body, bool hasBody)
{
    bhttp::request<bhttp::span_body<const char>> message(std::move(head));
    message.body() = beast::span<const char>(body.data(), body.size());
    if (hasBody)
        message.content_length(body.size());
    error_code ec;
    co_await bhttp::async_write(m_connection->socket(), message, captureError(ec));
    m_sendError = ec;
    co_return !ec;
}

Awaitable<bool> TargetCall::sendHead(bhttp::request_header<> head)
{
    m_streamedRequest.emplace(std::move(head));
    m_streamedRequest->body().data = nullptr;
    m_streamedRequest->body().more = true;
    m_serializer.emplace(*m_streamedRequest);
    error_code ec;
    co_await bhttp::async_write_header(m_connection->socket(), *m_serializer, captureError(ec));
    m_sendError = ec;
    co_return !ec;
}

Awaitable<bool> TargetCall::sendBodyPiece(std::string_view piece)
{
    auto& body = m_streamedRequest->body();
    // The serializer only reads from the buffer, although its type is not const.
    body.data = piece.empty() ? nullptr : const_cast<char*>(piece.data());
    body.size = piece.size();
    body.more = !piece.empty();
    error_code ec;
    co_await bhttp::async_write(m_connection->socket(), *m_serializer, captureError(ec));
    if (ec == bhttp::error::need_buffer)
        ec = {};
    m_sendError = ec;
    co_return !ec;
}

Awaitable<error_code> TargetCall::readNextHead(bhttp::verb method)
{
    m_parser.emplace();
    m_parser->header_limit(maxResponseHeaderBytes);
    m_parser->body_limit(unlimitedBody);
    if (method == bhttp::verb::head)
        m_parser->skip(true);
    const auto ec = co_await readHead(*m_connection, *m_parser);
    m_sawResponseBytes = m_sawResponseBytes || m_parser->got_some();
    co_return ec ? ec : checkResponseHead(m_parser->get());
}

void TargetCall::fail(error_code ec)
{
    m_failed = true;
    if (isFormatError(ec))
        m_formatError = ec;
}

CallResult TargetCall::failureResult() const
{
    return m_connection->timedOut() ? CallResult::TimedOut : CallResult::Truncated;
}

Awaitable<bool> TargetCall::awaitContinue(bhttp::verb method)
{
    while (m_interimResponses < maxInterimResponses) {
        const auto ec = co_await readNextHead(method);
        m_headRead = true;
        if (ec) {
            fail(ec);
            co_return false;
        }
        const auto status = m_parser->get().result_int();
        if (status / 100 != 1 || status == 101)
            co_return false;
        ++m_interimResponses;
        m_headRead = false;
        if (status == 100)
            co_return true;
    }
    m_failed = true;
    co_return false;
}

Awaitable<bool> TargetCall::readFinalHead(bhttp::verb method)
{
    while (!m_headRead && !m_failed) {
        const auto ec = co_await readNextHead(method);
        if (ec)
            fail(ec);
        m_headRead = !ec && (m_parser->get().result_int() / 100 != 1 || ++m_interimResponses > maxInterimResponses);
    }
    if (m_failed)
        co_return false;
    const auto& fields = m_parser->get();
    const bool interim = fields.result_int() / 100 == 1;
    // Without a length, a failed connection would look like the end of the response.
    const bool forbiddenCloseDelimited = m_parser->need_eof() && !m_rules.allowCloseDelimitedResponses;
    m_failed = interim || forbiddenCloseDelimited || fields.count(bhttp::field::content_length) > 1;
    m_headBeforeTrailer.reset();
    if (m_parser->chunked())
        m_headBeforeTrailer = fields.base();
    co_return !m_failed;
}

Awaitable<bool> TargetCall::skipMismatchedResponse()
{
    if (m_skippedResponses >= m_rules.maxMismatchedResponses || m_parser->need_eof())
        co_return false;
    ++m_skippedResponses;
    std::string discarded(std::size_t { 16 } * 1024, '\0');
    while (!m_parser->is_done() && !m_failed)
        co_await readSome(discarded.data(), discarded.size());
    m_headRead = false;
    co_return !m_failed;
}

Awaitable<CallResult> TargetCall::readResponse(bhttp::verb method, std::string id)
{
    while (true) {
        const bool read = co_await readFinalHead(method);
        if (!read)
            co_return failureResult();
        const auto echoed = m_parser->get()[m_rules.idHeader];
        if (echoed == id || (echoed.empty() && !m_rules.requireRequestId))
            break;
        const bool skipped = co_await skipMismatchedResponse();
        if (!skipped) {
            m_failed = true;
            co_return CallResult::Mismatched;
        }
    }
    const auto status = m_parser->get().result_int();
    const bool bodyless = method == bhttp::verb::head || status == 204 || status == 304;
    co_return co_await bufferBody(bodyless);
}

Awaitable<CallResult> TargetCall::bufferBody(bool bodyless)
{
    while (!m_parser->is_done() && m_bufferedBody.size() < maxBufferedBodyBytes) {
        const auto old = m_bufferedBody.size();
        m_bufferedBody.resize(std::min(maxBufferedBodyBytes, old + std::size_t { 16 } * 1024));
        const auto n = co_await readSome(m_bufferedBody.data() + old, m_bufferedBody.size() - old);
        m_bufferedBody.resize(old + n);
        if (m_failed)
            co_return failureResult();
    }
    // Bytes after a complete response mean that the declared length is wrong, so the response may be truncated.
    if (!bodyless && m_rules.rejectTrailingBytes && m_parser->is_done() && m_connection->buffer().size() != 0) {
        m_failed = true;
        co_return CallResult::Truncated;
    }
    co_return CallResult::Answered;
}

Awaitable<std::size_t> TargetCall::readSome(char* data, std::size_t size)
{
    auto& body = m_parser->get().body();
    body.data = data;
    body.size = size;
    while (!m_parser->is_done() && body.size == size) {
        const auto ec = co_await readParsed(*m_connection, *m_parser);
        if (ec && ec != bhttp::error::need_buffer) {
            fail(ec);
            break;
        }
    }
    co_return size - body.size;
}

std::optional<std::uint64_t> TargetCall::contentLength() const
{
    const auto n = m_parser->content_length();
    return n ? std::optional<std::uint64_t>(*n) : std::nullopt;
}

bool TargetCall::isReusable()
{
    return isComplete() && !m_sendError && m_interimResponses == 0 && m_skippedResponses == 0 && m_parser->keep_alive()
        && !m_connection->timedOut() && m_connection->isOpenAndIdle();
}

} // namespace buckthorncroft::http
