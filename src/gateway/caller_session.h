#pragma once

#include "../http/connection.h"
#include "request_flow.h"

#include <deque>
#include <memory>

namespace buckthorncroft::gateway {

/// One caller's connection. Requests that arrive behind another are read and served at once, and their answers are sent
/// in the order of the requests. Runs on the traffic thread.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(TrafficContext& context, http::tcp::socket socket);

    /// Reads and serves until the connection ends.
    http::Awaitable<void> run();

    /// The process stops: an idle connection is closed, a busy one after its answers.
    void stop();

private:
    struct Exchange {
        std::shared_ptr<RequestFlow> flow;
        std::optional<CallerResponse> response;
        bool keepAlive = true; ///< As the caller wishes.
        bool head = false; ///< The request is a HEAD request.
    };

    http::Awaitable<bool> readRequest();
    http::Awaitable<bool> awaitBytes();
    http::Awaitable<void> watchCaller();
    bool allAnswered() const;
    http::Awaitable<bool> readBody(http::bhttp::request_parser<http::bhttp::string_body>& parser);
    void accept(CallerRequest request, base::SteadyTime arrived);
    void refuseMalformed(http::error_code ec);
    void queueResponse(const std::shared_ptr<Exchange>& exchange, CallerResponse response);
    http::Awaitable<void> writeResponses();
    http::Awaitable<bool> writeOne(Exchange& exchange, bool closes);
    void startWriting();
    http::Awaitable<void> finish();
    routing::CallerLimits limits() const;

    TrafficContext& m_context;
    std::shared_ptr<http::Connection> m_connection;
    std::deque<std::shared_ptr<Exchange>> m_exchanges; ///< Oldest first.
    http::asio::steady_timer m_room; ///< Wakes the reader when answers were sent.
    bool m_writing = false;
    bool m_closing = false; ///< No further request is read.
    bool m_closed = false; ///< The last answer was sent.
    bool m_interruptible = false; ///< The reader only waits, so its operation may be cancelled.
    bool m_lost = false; ///< The caller left.
    bool m_idle = false;
};

} // namespace buckthorncroft::gateway
