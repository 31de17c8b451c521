#pragma once

#include "connection.h"

#include <buckthorncroft/base/clock.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace buckthorncroft::http {

/// How far a call to a target got.
enum class CallResult {
    Answered, ///< The head of the final answer was read, and its body whole or up to the holding limit.
    ConnectFailed, ///< No connection; no byte was sent.
    Truncated, ///< The connection ended early, or the answer is malformed or longer than it states.
    Mismatched, ///< The answer echoes the id of another request.
    TimedOut,
    Cancelled,
};

/// Header by which a request is named towards a target, and which a target may echo.
constexpr const char* requestIdHeader = "Buckthorncroft-Request-Id";

/// Bytes of an answer that are held before any of it is passed on, so that a broken small answer can be replaced.
constexpr std::size_t maxBufferedBodyBytes = std::size_t { 64 } * 1024;

/// What a deployment's targets may do, and how they name requests.
struct CallRules {
    std::string idHeader = requestIdHeader; ///< Echoed by targets.
    bool responsesMayEndWithConnection = false; ///< Without a length the end of the connection is the answer's end.
    bool extraBytesSpoilResponse = true; ///< Bytes behind a whole answer make it doubtful, not only the connection.
    unsigned foreignResponses = 0; ///< Answers to other requests that are skipped before the call fails.
};

/// One call over one connection. The connection is reusable only after a clean and complete exchange.
class TargetCall {
public:
    explicit TargetCall(std::shared_ptr<Connection> connection, CallRules rules = {});

    /// Opens the connection. Returns false on failure; nothing was sent then.
    Awaitable<bool> connect(tcp::endpoint endpoint);

    /// Sends a whole request. Returns false when the connection broke; an answer may still be there to read.
    Awaitable<bool> send(bhttp::request_header<> head, std::string_view body, bool hasBody);

    /// Sends the head of a request whose body follows through `sendBodyPiece`.
    Awaitable<bool> sendHead(bhttp::request_header<> head);

    /// Sends a piece of the body; an empty piece ends it.
    Awaitable<bool> sendBodyPiece(std::string_view piece);

    /// Reads the answer's head, past interim answers, and its body up to `maxBufferedBodyBytes`.
    /// `onContinue` becomes true when the target asked for the body by 100 Continue; the call then returns early.
    Awaitable<CallResult> readResponse(bhttp::verb method, std::string id);

    /// Waits for 100 Continue. Returns true on it; false when a final answer's head or an error came instead, which
    /// `readResponse` then returns.
    Awaitable<bool> awaitContinue(bhttp::verb method);

    /// Reads the next piece of an answer that was not held whole. 0 bytes mean that the answer is complete, or that it
    /// broke, as `complete` tells.
    Awaitable<std::size_t> readSome(char* data, std::size_t size);

    const bhttp::response_header<>& head() const { return m_parser->get().base(); }
    const std::string& bufferedBody() const { return m_held; }
    bool isComplete() const { return m_parser && m_parser->is_done() && !m_broken; }
    std::optional<std::uint64_t> contentLength() const;

    /// Whether the connection may serve another call.
    bool isReusable();

    Connection& connection() { return *m_connection; }
    std::shared_ptr<Connection> takeConnection() { return std::move(m_connection); }
    bool sawResponseBytes() const { return m_sawResponseBytes; }

private:
    using Parser = bhttp::response_parser<bhttp::buffer_body>;

    Awaitable<error_code> readHeadOnce(bhttp::verb method);
    Awaitable<CallResult> holdBody(bool bodyless);
    Awaitable<bool> readFinalHead(bhttp::verb method);
    Awaitable<bool> skipForeignResponse();
    CallResult brokenEnd() const;

    std::shared_ptr<Connection> m_connection;
    CallRules m_rules;
    std::optional<Parser> m_parser;
    std::optional<bhttp::request<bhttp::buffer_body>> m_upload;
    std::optional<bhttp::request_serializer<bhttp::buffer_body>> m_serializer;
    std::string m_held;
    unsigned m_interim = 0;
    unsigned m_skipped = 0; ///< Answers to other requests.
    bool m_headRead = false;
    bool m_sendFailed = false;
    bool m_broken = false;
    bool m_sawResponseBytes = false;
};

} // namespace buckthorncroft::http
