#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <list>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace buckthorncroft::standin {

/// A TCP proxy to a port of this machine that can go silent: connections stay open, but their bytes are held back.
class SilencingProxy {
public:
    explicit SilencingProxy(std::uint16_t serverPort)
        : m_serverPort(serverPort)
        , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        auto address = makeAddress(0);
        socklen_t size = sizeof address;
        (void)::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size);
        ::listen(m_listener, SOMAXCONN);
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { acceptLoop(); });
    }
    SilencingProxy(const SilencingProxy&) = delete;
    SilencingProxy& operator=(const SilencingProxy&) = delete;

    ~SilencingProxy()
    {
        m_stopped = true;
        m_thread.join();
        ::close(m_listener);
        for (auto& it : m_connections)
            it.join();
    }

    std::uint16_t port() const { return m_port; }

    void setSilent(bool silent) { m_silent = silent; }

    /// Time after which a change by `setSilent` is in force on all connections.
    static constexpr std::chrono::milliseconds reactionTime { 50 };

private:
    static constexpr int pollMs = 10;

    static sockaddr_in makeAddress(std::uint16_t port)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(port);
        result.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return result;
    }

    void acceptLoop()
    {
        while (!m_stopped) {
            pollfd it { m_listener, POLLIN, 0 };
            if (::poll(&it, 1, pollMs) <= 0)
                continue;
            const int client = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (client >= 0)
                m_connections.emplace_back([this, client] { forward(client); });
        }
    }

    void forward(int client) const
    {
        const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = makeAddress(m_serverPort);
        bool isOpen = ::connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        while (isOpen && !m_stopped) {
            pollfd both[] { { client, POLLIN, 0 }, { server, POLLIN, 0 } };
            const bool hasBytes = ::poll(both, 2, pollMs) > 0;
            if (m_silent)
                std::this_thread::sleep_for(std::chrono::milliseconds(pollMs));
            if (m_silent || !hasBytes)
                continue;
            if (both[0].revents)
                isOpen = copy(client, server);
            if (isOpen && both[1].revents)
                isOpen = copy(server, client);
        }
        ::close(client);
        ::close(server);
    }

    static bool copy(int from, int to)
    {
        char buf[16384];
        const auto n = ::recv(from, buf, sizeof buf, 0);
        return n > 0 && ::send(to, buf, static_cast<std::size_t>(n), MSG_NOSIGNAL) == n;
    }

    std::uint16_t m_serverPort;
    int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_silent { false };
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
    std::list<std::thread> m_connections;
};

} // namespace buckthorncroft::standin
