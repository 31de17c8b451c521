#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <string>
#include <thread>

namespace buckthorncroft::tests {

/// HTTP server on a free loopback port. Reads one request from each connection, passes the connection and the request
/// to `handler`, and closes the connection afterwards. Handles one connection at a time, in its own thread.
class OneShotServer {
public:
    using Socket = boost::asio::ip::tcp::socket;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    explicit OneShotServer(std::function<void(Socket&, const Request&)> handler)
        : m_handler(std::move(handler))
        , m_acceptor(m_context, { boost::asio::ip::address_v4::loopback(), 0 })
        , m_thread([this] { serve(); })
    {
    }
    OneShotServer(const OneShotServer&) = delete;
    OneShotServer& operator=(const OneShotServer&) = delete;

    ~OneShotServer()
    {
        m_stopped = true;
        // Connects once more, because the thread blocks in `accept`.
        boost::system::error_code ec;
        Socket socket(m_context);
        socket.connect(m_acceptor.local_endpoint(), ec);
        socket.close(ec);
        m_thread.join();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    /// Returns the number of requests received.
    unsigned requests() const { return m_requests; }

private:
    void serve()
    {
        while (!m_stopped) {
            boost::system::error_code ec;
            Socket socket(m_context);
            m_acceptor.accept(socket, ec);
            boost::beast::flat_buffer buffer;
            Request request;
            boost::beast::http::read(socket, buffer, request, ec);
            if (ec)
                continue;
            ++m_requests;
            m_handler(socket, request);
        }
    }

    std::function<void(Socket&, const Request&)> m_handler;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopped = false;
    std::atomic<unsigned> m_requests = 0;
    std::thread m_thread;
};

/// Writes `text` unchanged. Ignores errors, because the client may have closed the connection.
inline void writeRaw(OneShotServer::Socket& socket, const std::string& text)
{
    boost::system::error_code ec;
    boost::asio::write(socket, boost::asio::buffer(text), ec);
}

} // namespace buckthorncroft::tests
