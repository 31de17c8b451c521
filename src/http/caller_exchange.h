#pragma once

#include "connection.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace buckthorncroft::http {

/// One request of a caller and its answer. Belongs to one thread.
class CallerExchange {
public:
    /// `stallLimit`: a caller that takes no byte of an answer for this long loses its connection.
    CallerExchange(std::shared_ptr<Connection> connection, std::chrono::milliseconds stallLimit);

    Awaitable<error_code> readHead();
    const bhttp::request_header<>& head() const { return m_parser.get().base(); }
    bool requestsKeepAlive() const { return m_parser.keep_alive(); }
    bool expectsContinue() const;
    std::optional<std::uint64_t> contentLength() const;

    /// Whether the request announces a body, of whatever length.
    bool hasBody() const;
    bool isBodyComplete() const { return m_parser.is_done(); }

    /// Reads a piece of the body. 0 bytes without an error mean that it is complete. Sends 100 Continue before the
    /// first piece if the caller waits for that.
    Awaitable<std::size_t> readSome(char* data, std::size_t size, error_code& ec);

    /// Sends an answer whose body is known.
    Awaitable<bool> sendResponse(bhttp::response_header<> head, std::string_view body, bool keepAlive);

    /// Sends the head of a streamed answer; without a length it is sent in chunks. For callers that do not know
    /// chunks, the end of the connection ends the answer.
    Awaitable<bool> sendHead(bhttp::response_header<> head, std::optional<std::uint64_t> length, bool keepAlive);

    /// Sends a piece of a streamed answer; an empty piece ends it.
    Awaitable<bool> sendBodyPiece(std::string_view piece);

    /// Whether a byte of an answer has been sent.
    bool responseStarted() const { return m_responseStarted; }

    Connection& connection() { return *m_connection; }

private:
    std::shared_ptr<Connection> m_connection;
    std::chrono::milliseconds m_stallLimit;
    bhttp::request_parser<bhttp::buffer_body> m_parser;
    std::optional<bhttp::response<bhttp::buffer_body>> m_response;
    std::optional<bhttp::response_serializer<bhttp::buffer_body>> m_serializer;
    bool m_continueSent = false;
    bool m_responseStarted = false;
};

} // namespace buckthorncroft::http
