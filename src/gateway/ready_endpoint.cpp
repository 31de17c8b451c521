#include "ready_endpoint.h"

#include "../http/connection.h"

#include <fmt/format.h>

namespace buckthorncroft::gateway {

namespace {

    // A connection is closed unless its next request arrives and the response is sent within this time.
    constexpr std::chrono::seconds exchangeTimeout { 10 };

    constexpr std::uint32_t maxHeaderBytes = 4096;

    // Delay before accepting again after an error, so that a process without free file descriptors does not spin.
    constexpr std::chrono::milliseconds acceptRetryDelay { 20 };

} // namespace

ReadyEndpoint::ReadyEndpoint(http::asio::io_context& io, std::function<Response(const std::string&)> respond)
    : m_io(io)
    , m_respond(std::move(respond))
    , m_acceptor(io)
{
}

base::Result<void> ReadyEndpoint::open(const daemon::Endpoint& address)
{
    http::error_code ec;
    const http::tcp::endpoint endpoint(http::asio::ip::make_address(address.host, ec), address.port);
    if (!ec)
        m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(http::tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(http::asio::socket_base::max_listen_connections, ec);
    if (ec) {
        return base::Error { base::ErrorCode::Unavailable,
            fmt::format("cannot listen on {}: {}", toString(address), ec.message()) };
    }
    http::asio::co_spawn(
        m_io, [this] { return acceptLoop(); }, http::asio::detached);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void ReadyEndpoint::close()
{
    http::error_code ec;
    m_acceptor.close(ec);
}

http::Awaitable<void> ReadyEndpoint::acceptLoop()
{
    while (m_acceptor.is_open()) {
        http::tcp::socket socket(m_io);
        http::error_code ec;
        co_await m_acceptor.async_accept(socket, http::captureError(ec));
        if (ec) {
            http::asio::steady_timer retryTimer(m_io, acceptRetryDelay);
            co_await retryTimer.async_wait(http::captureError(ec));
            continue;
        }
        http::asio::co_spawn(
            m_io, [this, socket = std::move(socket)]() mutable { return serve(std::move(socket)); },
            http::asio::detached);
    }
}

http::Awaitable<void> ReadyEndpoint::serve(http::tcp::socket socket)
{
    const auto connection = std::make_shared<http::Connection>(std::move(socket));
    while (true) {
        connection->closeAt(std::chrono::steady_clock::now() + exchangeTimeout);
        http::bhttp::request_parser<http::bhttp::empty_body> parser;
        parser.header_limit(maxHeaderBytes);
        http::error_code ec;
        co_await http::bhttp::async_read(connection->socket(), connection->buffer(), parser, http::captureError(ec));
        if (ec)
            break;
        auto response = m_respond(std::string(parser.get().target()));
        http::bhttp::response<http::bhttp::string_body> message;
        message.result(response.status);
        message.keep_alive(parser.get().keep_alive());
        message.body() = std::move(response.body);
        message.prepare_payload();
        co_await http::bhttp::async_write(connection->socket(), message, http::captureError(ec));
        if (ec || !message.keep_alive())
            break;
    }
    connection->close();
}

} // namespace buckthorncroft::gateway
