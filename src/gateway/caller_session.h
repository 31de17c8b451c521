#pragma once

#include "../http/connection.h"
#include "request_flow.h"

#include <deque>
#include <memory>

namespace buckthorncroft::gateway {

/// Serves one caller's connection. Pipelined requests are processed concurrently, and their responses are sent in the
/// order of the requests. Runs on the traffic thread.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(TrafficContext& context, http::tcp::socket socket);

    /// Reads and serves requests until the connection ends.
    http::Awaitable<void> run();

    /// Called when the process stops. Closes the connection if it is idle and, by the flags of the context, no longer
    /// needed; a busy one closes after its responses.
    void stop();

    /// Called when requests that no target has received yet, including one that is still arriving, must be rejected,
    /// because the process stops.
    void rejectWaitingRequests();

    /// Ends all requests in flight with their final response and rejects one that is still arriving.
    void endRequests();

    /// Resets the connection if a long response is incomplete, because the process exits.
    void resetUnfinishedStreams();

    /// Logs what the end of the process will cut: responses that are not sent completely, and a request that is read.
    void logUnfinished() const;

    /// Whether the session waits for a request and none is in flight.
    bool isIdle() const { return m_idle && m_interruptible; }

private:
    using StreamMessage = http::bhttp::response<http::bhttp::buffer_body>;
    using StreamSerializer = http::bhttp::response_serializer<http::bhttp::buffer_body>;

    /// One request and its response.
    struct Exchange {
        std::shared_ptr<RequestFlow> flow;
        std::optional<CallerResponse> response;
        bool keepAlive = true; ///< The caller requests a persistent connection.
        bool isHead = false; ///< The request is a HEAD request.
        bool supportsChunked = true; ///< The caller understands a chunked response.
    };

    http::Awaitable<bool> readRequest();
    http::Awaitable<bool> waitForRequest();
    http::Awaitable<void> waitForDisconnect();
    bool allResponsesSent() const;
    bool mayCloseIdle();
    using RequestParser = http::bhttp::request_parser<http::bhttp::string_body>;

    http::Awaitable<bool> readBody(RequestParser& parser, limits::MemoryReservation& memory);
    bool reserveBody(RequestParser& parser, limits::MemoryReservation& memory);
    void startRequest(
        CallerRequest request, base::SteadyTime arrivedAt, std::unique_ptr<limits::MemoryReservation> memory);
    void handleReadError(http::error_code ec);
    void rejectUnread(unsigned status, const std::string& reason, const std::string& id = {},
        std::chrono::milliseconds retryAfter = std::chrono::seconds(1));
    void rejectArrivingRequest();
    void queueResponse(const std::shared_ptr<Exchange>& exchange, CallerResponse response);
    http::Awaitable<void> writeResponses();
    http::Awaitable<bool> writeResponse(Exchange& exchange, bool closesConnection);
    http::Awaitable<bool> writeStream(Exchange& exchange, bool closesConnection);
    http::Awaitable<bool> writePiece(
        StreamMessage& message, StreamSerializer& serializer, std::string_view piece, base::SteadyTime deadline);
    void replaceOverdueStream(CallerResponse& response);
    void startWriting();
    http::Awaitable<void> closeConnection();
    routing::CallerLimits limits() const;

    TrafficContext& m_context;
    std::shared_ptr<http::Connection> m_connection;
    std::deque<std::shared_ptr<Exchange>> m_exchanges; ///< Oldest first.
    http::asio::steady_timer m_responsesSentTimer; ///< Never expires; cancelled to wake the reader after a response.
    bool m_writing = false;
    bool m_hasServed = false; ///< At least one request was read.
    bool m_closing = false; ///< No further request is read.
    bool m_lastResponseSent = false; ///< The response after which the connection closes was sent.
    bool m_interruptible = false; ///< The reader waits for data and may be cancelled.
    bool m_callerDisconnected = false; ///< The connection failed or the caller closed it.
    bool m_reading = false; ///< A request has arrived in part and is not rejected.
    const CallerRequest* m_arrivingRequest = nullptr; ///< Set while the body of a request is read.
    base::SteadyTime m_arrivingSince; ///< When the first byte of `m_arrivingRequest` was received.
    bool m_idle = false; ///< The reader waits and no request is in flight.
};

} // namespace buckthorncroft::gateway
