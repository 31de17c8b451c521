#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace buckthorncroft::standin {

/// A blocking TCP connection that sends and receives raw bytes, for peers that violate the protocol on purpose.
class RawConnection {
public:
    explicit RawConnection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;
    ~RawConnection() { close(); }

    static std::unique_ptr<RawConnection> connectTo(std::uint16_t port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
        // Sends each piece of a test at once, in a segment of its own.
        const int enabled = 1;
        (void)::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        return std::make_unique<RawConnection>(fd);
    }

    void send(const std::string& text)
    {
        for (std::size_t sentBytes = 0; sentBytes < text.size();) {
            const auto n = ::send(m_descriptor, text.data() + sentBytes, text.size() - sentBytes, MSG_NOSIGNAL);
            if (n <= 0)
                return;
            sentBytes += static_cast<std::size_t>(n);
        }
    }

    /// Sends all of `text`. Returns false if the peer closed the connection, or took nothing for `timeout`.
    bool sendFor(const std::string& text, std::chrono::milliseconds timeout)
    {
        for (std::size_t sentBytes = 0; sentBytes < text.size();) {
            pollfd it { m_descriptor, POLLOUT, 0 };
            if (::poll(&it, 1, static_cast<int>(timeout.count())) <= 0)
                return false;
            const auto n
                = ::send(m_descriptor, text.data() + sentBytes, text.size() - sentBytes, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n <= 0)
                return false;
            sentBytes += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Reads until `delimiter` has arrived, the peer closes or 10 s have passed without a byte. Removes and returns the
    /// text up to the end of the delimiter, or all that has arrived.
    std::string readUntil(const std::string& delimiter)
    {
        while (m_buffer.find(delimiter) == std::string::npos && readMore()) { }
        const auto pos = m_buffer.find(delimiter);
        return take(pos == std::string::npos ? m_buffer.size() : pos + delimiter.size());
    }

    std::string readBytes(std::size_t n)
    {
        while (m_buffer.size() < n && readMore()) { }
        return take(std::min(n, m_buffer.size()));
    }

    /// Reads until the peer closes the connection, or sends nothing for 10 s.
    std::string readAll()
    {
        while (readMore()) { }
        return take(m_buffer.size());
    }

    /// Reads one message that has a Content-Length or no body. `bodyless`: a response to HEAD.
    std::string readMessage(bool bodyless = false)
    {
        auto head = readUntil("\r\n\r\n");
        const auto pos = head.find("Content-Length: ");
        if (pos == std::string::npos || bodyless)
            return head;
        return head + readBytes(std::stoul(head.substr(pos + 16)));
    }

    /// Waits for the peer to close the connection. Returns false if it sends anything, or nothing for 10 s.
    bool waitForPeerClose() { return readAll().empty() && m_ended; }

    /// Whether the last read failed, as after a connection reset.
    bool wasReset() const { return m_reset; }

    void close()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
    }

    /// Closes the connection with a TCP reset.
    void reset()
    {
        const linger enabled { 1, 0 };
        (void)::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &enabled, sizeof enabled);
        close();
    }

    /// Sends no more, as `close` does, but still receives.
    void closeSending() { (void)::shutdown(m_descriptor, SHUT_WR); }

private:
    bool readMore()
    {
        pollfd it { m_descriptor, POLLIN, 0 };
        if (m_ended || ::poll(&it, 1, 10'000) <= 0)
            return false;
        char buf[65536];
        const auto n = ::recv(m_descriptor, buf, sizeof buf, 0);
        m_reset = n < 0;
        m_ended = n <= 0;
        if (n > 0)
            m_buffer.append(buf, static_cast<std::size_t>(n));
        return n > 0;
    }

    std::string take(std::size_t n)
    {
        auto result = m_buffer.substr(0, n);
        m_buffer.erase(0, n);
        return result;
    }

    int m_descriptor;
    std::string m_buffer;
    bool m_ended = false;
    bool m_reset = false;
};

/// A target that runs a script for each accepted connection, on a thread of its own. The script gets the connection and
/// its number, from 0.
class RawTarget {
public:
    using Script = std::function<void(RawConnection&, unsigned)>;

    explicit RawTarget(Script script)
        : m_script(std::move(script))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        (void)::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size);
        ::listen(m_listener, SOMAXCONN);
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_acceptThread = std::thread([this] { accept(); });
    }
    RawTarget(const RawTarget&) = delete;
    RawTarget& operator=(const RawTarget&) = delete;
    ~RawTarget()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptThread.join();
        ::close(m_listener);
        for (auto& it : m_connectionThreads)
            it.join();
    }

    std::uint16_t port() const { return m_port; }
    unsigned connections() const { return m_connections; }

private:
    void accept()
    {
        while (true) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const unsigned number = m_connections++;
            m_connectionThreads.emplace_back([this, fd, number] {
                RawConnection peer(fd);
                m_script(peer, number);
            });
        }
    }

    Script m_script;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<unsigned> m_connections { 0 };
    std::thread m_acceptThread;
    std::vector<std::thread> m_connectionThreads;
};

/// Returns the value of a header in a raw message, or an empty string.
inline std::string headerOf(const std::string& message, const std::string& name)
{
    const auto pos = message.find("\r\n" + name + ": ");
    if (pos == std::string::npos)
        return {};
    const auto begin = pos + name.size() + 4;
    return message.substr(begin, message.find("\r\n", begin) - begin);
}

/// Returns a 200 response that echoes the request id. `extra`: further header lines, each with CRLF.
inline std::string okResponse(const std::string& request, const std::string& body, const std::string& extra = "")
{
    return "HTTP/1.1 200 OK\r\nBuckthorncroft-Request-Id: " + headerOf(request, "Buckthorncroft-Request-Id") + "\r\n"
        + extra + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Responds to each request with the same body by `okResponse`, until the peer closes.
inline void serveOkResponses(RawConnection& peer, const std::string& body = "well")
{
    while (true) {
        const auto request = peer.readMessage();
        if (request.empty())
            return;
        peer.send(okResponse(request, body));
    }
}

} // namespace buckthorncroft::standin
