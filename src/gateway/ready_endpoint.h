#pragma once

#include "../http/asio.h"

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/base/error.h>
#include <buckthorncroft/daemon/settings.h>
#include <functional>
#include <string>

namespace buckthorncroft::gateway {

/// Minimal HTTP server for readiness checks and metrics.
class ReadyEndpoint {
public:
    /// Status and body of a response.
    struct Response {
        unsigned status = 200;
        std::string body;
    };

    /// `respond` is called with the path and query of each request and returns its response.
    ReadyEndpoint(http::asio::io_context& io, std::function<Response(const std::string&)> respond);

    /// Listens on `address` and serves requests until `close`. Errors: `Unavailable`.
    base::Result<void> open(const daemon::Endpoint& address);

    void close();

private:
    http::Awaitable<void> acceptLoop();
    http::Awaitable<void> serve(http::tcp::socket socket);

    http::asio::io_context& m_io;
    std::function<Response(const std::string&)> m_respond;
    http::tcp::acceptor m_acceptor;
};

} // namespace buckthorncroft::gateway
