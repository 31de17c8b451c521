#pragma once

#include "connection.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace buckthorncroft::http {

/// Reads one request of a caller and sends its response. Belongs to one thread.
class CallerExchange {
public:
    /// `stallTimeout`: the connection is closed if a write of the response does not complete within this time.
    CallerExchange(std::shared_ptr<Connection> connection, std::chrono::milliseconds stallTimeout);

    /// Reads the head of the request. Returns the error, if any.
    Awaitable<error_code> readHead();
    const bhttp::request_header<>& head() const { return m_parser.get().base(); }
    bool requestsKeepAlive() const { return m_parser.keep_alive(); }
    bool expectsContinue() const;
    std::optional<std::uint64_t> contentLength() const;

    /// Whether the request declares a body, even an empty one.
    bool hasBody() const;
    bool isBodyComplete() const { return m_parser.is_done(); }

    /// Reads a piece of the body. Returns 0 without an error when the body is complete. Sends 100 Continue before the
    /// first piece if the caller expects it.
    Awaitable<std::size_t> readSome(char* data, std::size_t size, error_code& ec);

    /// Sends a response with its whole body. Returns false if sending failed.
    Awaitable<bool> sendResponse(bhttp::response_header<> head, std::string_view body, bool keepAlive);

    /// Sends the head of a streamed response. Without a length the body is sent chunked; for HTTP/1.0 callers, which
    /// don't support chunks, the end of the connection ends the response. Returns false if sending failed.
    Awaitable<bool> sendHead(bhttp::response_header<> head, std::optional<std::uint64_t> length, bool keepAlive);

    /// Sends a piece of a streamed body; an empty piece ends it. Returns false if sending failed.
    Awaitable<bool> sendBodyPiece(std::string_view piece);

    /// Whether sending of a response has begun.
    bool responseStarted() const { return m_responseStarted; }

    Connection& connection() { return *m_connection; }

private:
    std::shared_ptr<Connection> m_connection;
    std::chrono::milliseconds m_stallTimeout;
    bhttp::request_parser<bhttp::buffer_body> m_parser;
    std::optional<bhttp::response<bhttp::buffer_body>> m_response;
    std::optional<bhttp::response_serializer<bhttp::buffer_body>> m_serializer;
    bool m_continueSent = false;
    bool m_responseStarted = false;
};

} // namespace buckthorncroft::http
