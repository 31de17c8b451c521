#pragma once

#include "../http/asio.h"

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/base/error.h>
#include <buckthorncroft/daemon/settings.h>
#include <functional>
#include <string>

namespace buckthorncroft::gateway {

/// Answers small questions over HTTP: readiness and metrics.
class ReadyEndpoint {
public:
    /// Status and body of an answer.
    struct Response {
        unsigned status = 200;
        std::string body;
    };

    /// `response` is called with the path of each GET request.
    ReadyEndpoint(http::asio::io_context& io, std::function<Response(const std::string&)> response);

    /// Opens the address and serves until `close`. Errors: `Unavailable`.
    base::Result<void> open(const daemon::Endpoint& address);

    void close();

private:
    http::Awaitable<void> acceptLoop();
    http::Awaitable<void> serve(http::tcp::socket socket);

    http::asio::io_context& m_io;
    std::function<Response(const std::string&)> m_response;
    http::tcp::acceptor m_acceptor;
};

} // namespace buckthorncroft::gateway
