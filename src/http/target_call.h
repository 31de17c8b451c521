#pragma once

#include "connection.h"

#include <buckthorncroft/base/clock.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace buckthorncroft::http {

/// Result of a call to a target.
enum class CallResult {
    Answered, ///< The final head was read, and the body completely or up to `maxBufferedBodyBytes`.
    ConnectFailed, ///< The connection failed; nothing was sent.
    Truncated, ///< The connection ended early, or the response is malformed or longer than declared.
    Mismatched, ///< The response echoes the id of another request.
    TimedOut,
    Cancelled,
};

/// Header that carries the request id to a target, which may echo it.
constexpr const char* requestIdHeader = "Buckthorncroft-Request-Id";

/// Bytes of a response body that are buffered before any of it is relayed, so that a small response that fails can be
/// replaced.
constexpr std::size_t maxBufferedBodyBytes = std::size_t { 64 } * 1024;

/// Which irregular responses of a deployment's targets are accepted, and the name of their request id header.
struct CallRules {
    std::string idHeader = requestIdHeader; ///< Request id header that targets echo.
    bool allowCloseDelimitedResponses = false; ///< A response without a length may end with the connection.
    bool rejectTrailingBytes = true; ///< Bytes after a response invalidate the response, not only the connection.
    bool requireRequestId = false; ///< A response without a request id counts as a response to another request.
    unsigned maxMismatchedResponses = 0; ///< Responses to other requests that are skipped before the call fails.
};

/// One request to a target and its response over one connection. Belongs to one thread.
class TargetCall {
public:
    explicit TargetCall(std::shared_ptr<Connection> connection, CallRules rules = {});

    /// Opens the connection. Returns false on failure.
    Awaitable<bool> connect(tcp::endpoint endpoint);

    /// Sends a request with its whole body. Returns false if the connection failed; a response may still be readable.
    Awaitable<bool> send(bhttp::request_header<> head, std::string_view body, bool hasBody);

    /// Sends the head of a request whose body follows by `sendBodyPiece`.
    Awaitable<bool> sendHead(bhttp::request_header<> head);

    /// Sends a piece of the body; an empty piece ends it.
    Awaitable<bool> sendBodyPiece(std::string_view piece);

    /// Reads the head of the final response, skipping interim ones, and its body up to `maxBufferedBodyBytes`. `id` is
    /// the request id that the response must echo, if it echoes one or `CallRules::requireRequestId` is set. If the
    /// result is `Answered`, the head is valid, but `mayBeCutOff` must be checked before the body is used.
    Awaitable<CallResult> readResponse(bhttp::verb method, std::string id);

    /// Waits for 100 Continue and returns true when it is received. Returns false if a final head or an error came
    /// instead; `readResponse` then reports it.
    Awaitable<bool> awaitContinue(bhttp::verb method);

    /// Reads the next piece of a body that was not buffered completely. Returns 0 when the response is complete or has
    /// failed; `isComplete` distinguishes the two.
    Awaitable<std::size_t> readSome(char* data, std::size_t size);

    /// The head, without the fields of a trailer.
    const bhttp::response_header<>& head() const
    {
        return m_headBeforeTrailer ? *m_headBeforeTrailer : m_parser->get().base();
    }
    const std::string& bufferedBody() const { return m_bufferedBody; }
    std::string takeBufferedBody() { return std::exchange(m_bufferedBody, {}); }
    bool isComplete() const { return m_parser && m_parser->is_done() && !m_failed && !mayBeCutOff(); }

    /// Whether the end of the connection ends the response, but need not be its end, because sending the request
    /// failed. The system reports a connection reset to one operation only: if that was the sending, reading ends as
    /// after an orderly close. After an orderly close, Linux reports a reset as a broken pipe.
    bool mayBeCutOff() const { return m_sendError && m_sendError != asio::error::broken_pipe && m_parser->need_eof(); }
    std::optional<std::uint64_t> contentLength() const;

    /// Whether the connection can be used for another call. Requires a complete exchange without errors, interim or
    /// mismatched responses.
    bool isReusable();

    Connection& connection() { return *m_connection; }
    std::shared_ptr<Connection> takeConnection() { return std::move(m_connection); }
    bool sawResponseBytes() const { return m_sawResponseBytes; }

    /// Why the response is not a valid HTTP message. Not set if it ended early or the connection failed.
    error_code formatError() const { return m_formatError; }

private:
    using Parser = bhttp::response_parser<bhttp::buffer_body>;

    Awaitable<error_code> readNextHead(bhttp::verb method);
    Awaitable<CallResult> bufferBody(bool bodyless);
    Awaitable<bool> readFinalHead(bhttp::verb method);
    Awaitable<bool> skipMismatchedResponse();
    void fail(error_code ec);
    CallResult failureResult() const;

    std::shared_ptr<Connection> m_connection;
    CallRules m_rules;
    std::optional<Parser> m_parser;
    /// Set for a chunked response, because the parser adds the fields of the trailer to those of the head.
    std::optional<bhttp::response_header<>> m_headBeforeTrailer;
    std::optional<bhttp::request<bhttp::buffer_body>> m_streamedRequest; ///< Sent by `sendHead` and `sendBodyPiece`.
    std::optional<bhttp::request_serializer<bhttp::buffer_body>> m_serializer;
    std::string m_bufferedBody;
    error_code m_formatError;
    error_code m_sendError;
    unsigned m_interimResponses = 0;
    unsigned m_skippedResponses = 0; ///< Responses to other requests.
    bool m_headRead = false;
    bool m_failed = false;
    bool m_sawResponseBytes = false;
};

} // namespace buckthorncroft::http
