#pragma once

#include "../../standins/registry_store.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

// Parts that the scripts of this review share: a record, gateway processes, and a plain TCP listener.
namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

inline bool isTroubled()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// Writes one line for each event, with the time since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }

    void write(const std::string& line)
    {
        const std::lock_guard lock(m_mutex);
        const double seconds = std::chrono::duration<double>(Clock::now() - m_start).count();
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", seconds);
        m_file << time << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

inline std::string encodeBase64(const std::string& text)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned value = 0;
        const auto n = std::min<std::size_t>(3, text.size() - i);
        for (std::size_t k = 0; k < 3; ++k)
            value = value << 8 | (k < n ? static_cast<unsigned char>(text[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            result += k <= n ? digits[value >> (18 - 6 * k) & 63] : '=';
    }
    return result;
}

/// Returns a loopback port that is free for TCP and UDP at the moment and that this process was not given before. The
/// ports lie below those that the system gives to connections.
inline std::uint16_t freePort()
{
    static std::uint16_t next = static_cast<std::uint16_t>(12'000 + ::getpid() % 180 * 110);
    while (true) {
        const auto port = next++;
        asio::io_context io;
        boost::system::error_code ec;
        Tcp::acceptor tcp(io);
        asio::ip::udp::socket udp(io);
        tcp.open(Tcp::v4(), ec);
        tcp.bind({ asio::ip::address_v4::loopback(), port }, ec);
        if (ec)
            continue;
        udp.open(asio::ip::udp::v4(), ec);
        udp.bind({ asio::ip::address_v4::loopback(), port }, ec);
        if (!ec)
            return port;
    }
}

/// A gateway process, started with the command of the deploy file. It is killed at the end.
class Gateway {
public:
    Gateway(const std::string& folder, std::string name, const std::string& zone, std::uint16_t storePort)
        : m_name(std::move(name))
        , m_callers(freePort())
        , m_ready(freePort())
        , m_peers(freePort())
        , m_log(folder + "/" + m_name + ".log")
        , m_settings(folder + "/" + m_name + ".toml")
    {
        std::ofstream(m_settings) << "instance = \"" << m_name << "\"\nzone = \"" << zone
                                  << "\"\ncallers = \"127.0.0.1:" << m_callers << "\"\nready = \"127.0.0.1:" << m_ready
                                  << "\"\npeers = \"127.0.0.1:" << m_peers
                                  << "\"\nseeds = []\nregistry = \"127.0.0.1:" << storePort
                                  << "\"\ncores = 0.2\nmemory_mb = 260\ngrace = \"6s\"\n"
                                     "[retries]\nratio = 0.2\nwindow = \"10s\"\nslack = 56\n";
        start();
    }
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;
    ~Gateway() { kill(); }

    void start()
    {
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        // The process ends with this one, also if a script is stopped early.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("BUCKTHORNCROFT_NODE_FILE", m_settings.c_str(), 1);
        if (!std::freopen(m_log.c_str(), "a", stdout) || ::dup2(1, 2) < 0)
            std::_Exit(couldNotRun);
        ::execl("target/buckthorncroft-gateway", "target/buckthorncroft-gateway", static_cast<char*>(nullptr));
        std::_Exit(couldNotRun);
    }

    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }

    bool isReady() const
    {
        asio::io_context io;
        Tcp::socket socket(io);
        boost::system::error_code ec;
        socket.connect({ asio::ip::address_v4::loopback(), m_ready }, ec);
        if (ec)
            return false;
        const std::string request = "GET /buckthorncroft/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        asio::write(socket, asio::buffer(request), ec);
        std::string response;
        asio::read(socket, asio::dynamic_buffer(response), ec);
        return response.starts_with("HTTP/1.1 200");
    }

    bool waitUntilReady() const
    {
        const auto end = Clock::now() + std::chrono::seconds(10);
        while (Clock::now() < end) {
            if (isReady())
                return true;
            std::this_thread::sleep_for(milliseconds(50));
        }
        return false;
    }

    const std::string& name() const { return m_name; }
    std::uint16_t callers() const { return m_callers; }

private:
    std::string m_name;
    std::uint16_t m_callers;
    std::uint16_t m_ready;
    std::uint16_t m_peers;
    std::string m_log;
    std::string m_settings;
    pid_t m_pid = -1;
};

/// Accepts connections on a free loopback port and serves each in a thread of its own until the process ends.
class Listener {
public:
    explicit Listener(std::function<void(Tcp::socket&)> serve)
        : m_acceptor(m_io, { asio::ip::address_v4::loopback(), 0 })
        , m_serve(std::move(serve))
    {
        std::thread([this] {
            while (true) {
                auto socket = std::make_shared<Tcp::socket>(m_io);
                boost::system::error_code ec;
                m_acceptor.accept(*socket, ec);
                if (!ec)
                    std::thread([this, socket] { m_serve(*socket); }).detach();
            }
        }).detach();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    asio::io_context m_io;
    Tcp::acceptor m_acceptor;
    std::function<void(Tcp::socket&)> m_serve;
};

} // namespace review
