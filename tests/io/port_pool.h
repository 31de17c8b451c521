#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <fcntl.h>
#include <list>

namespace buckthorncroft::test {

/// Draws loopback ports for servers that are started later, and holds them until the pool is destroyed. A held port is
/// bound but not listened on, so no other socket gets it as its ephemeral port. A server can listen on it if it sets
/// SO_REUSEADDR.
class PortPool {
public:
    /// Returns a port that is free for TCP and UDP and differs from all ports drawn before. Only the TCP port is held,
    /// because a server could not bind a UDP port that is held.
    std::uint16_t draw()
    {
        while (true) {
            const auto port = holdTcpPort();
            if (isFreeForUdp(port))
                return port;
        }
    }

private:
    using tcp = boost::asio::ip::tcp;
    using udp = boost::asio::ip::udp;

    std::uint16_t holdTcpPort()
    {
        auto& socket = m_held.emplace_back(m_context, tcp::v4());
        ::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
        socket.bind({ boost::asio::ip::address_v4::loopback(), 0 });
        // Set after binding, because otherwise the kernel chooses from half of its port range only.
        socket.set_option(tcp::socket::reuse_address(true));
        return socket.local_endpoint().port();
    }

    bool isFreeForUdp(std::uint16_t port)
    {
        boost::system::error_code ec;
        udp::socket socket(m_context, udp::v4());
        socket.bind({ boost::asio::ip::address_v4::loopback(), port }, ec);
        return !ec;
    }

    boost::asio::io_context m_context;
    std::list<tcp::socket> m_held;
};

} // namespace buckthorncroft::test
