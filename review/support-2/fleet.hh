#pragma once

#include "../../standins/registry_store.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

/// Parts of the cases: a platform whose store is the project's stand-in, servers, gateway processes and clients. All
/// addresses are on loopback, and all times come from the real clock.
namespace review {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr const char* idHeader = "X-Buckthorncroft-Request-Id";
constexpr const char* deadlineHeader = "X-Buckthorncroft-Deadline-Ms";
constexpr const char* signatureHeader = "X-Buckthorncroft-Response-Signature";
constexpr const char* expectedHeader = "X-Buckthorncroft-Expected-Instance";
constexpr const char* notRunHeader = "X-Buckthorncroft-Not-Executed";

inline const Clock::time_point processStart = Clock::now();

/// Seconds since the start of the script.
inline double seconds(Clock::time_point time = Clock::now())
{
    return std::chrono::duration<double>(time - processStart).count();
}

/// Appends lines to the record of the case. Safe for concurrent use.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }

    template <typename... Args> void line(fmt::format_string<Args...> text, Args&&... args)
    {
        const std::lock_guard lock(m_mutex);
        m_file << fmt::format("{:9.3f} ", seconds()) << fmt::format(text, std::forward<Args>(args)...) << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline std::string encodeBase64(const std::string& bytes)
{
    std::string result(boost::beast::detail::base64::encoded_size(bytes.size()), '\0');
    result.resize(boost::beast::detail::base64::encode(result.data(), bytes.data(), bytes.size()));
    return result;
}

/// Returns loopback ports that are free now. They are drawn below the range that the kernel gives to clients.
inline std::uint16_t drawPort()
{
    static std::mt19937 random { std::random_device {}() };
    static std::set<std::uint16_t> drawn;
    while (true) {
        const auto port = static_cast<std::uint16_t>(std::uniform_int_distribution<int>(12'000, 31'000)(random));
        asio::io_context io;
        boost::system::error_code ec;
        tcp::acceptor acceptor(io);
        acceptor.open(tcp::v4(), ec);
        acceptor.bind({ asio::ip::address_v4::loopback(), port }, ec);
        asio::ip::udp::socket socket(io);
        if (!ec)
            socket.open(asio::ip::udp::v4(), ec);
        if (!ec)
            socket.bind({ asio::ip::address_v4::loopback(), port }, ec);
        if (!ec && drawn.insert(port).second)
            return port;
    }
}

/// A server as the pages describe it: it has some slots and a short queue, refuses what is beyond, refuses requests
/// for another server with 421, and checks in at the platform's store.
class Server {
public:
    using Request = bhttp::request<bhttp::string_body>;

    struct Options {
        std::string id;
        milliseconds work { 300 };
        bool dropsOnClose = true; ///< Stops to work on a request whose connection was closed.
        unsigned slots = 3;
        unsigned queue = 12;
    };

    Server(Record& record, Options options)
        : m_record(record)
        , m_options(std::move(options))
        , m_acceptor(m_io, { asio::ip::address_v4::loopback(), 0 })
    {
        std::thread([this] { acceptLoop(); }).detach();
    }

    /// A request that ran.
    struct Run {
        std::string request;
        Clock::time_point startedAt;
        Clock::time_point endedAt;
        bool done = false;
    };

    std::vector<Run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runLog;
    }

    const std::string& id() const { return m_options.id; }
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    unsigned runCount() const { return m_runs; }

private:
    void acceptLoop()
    {
        while (true) {
            boost::system::error_code ec;
            auto socket = std::make_shared<tcp::socket>(m_io);
            m_acceptor.accept(*socket, ec);
            if (ec)
                return;
            std::thread([this, socket] { serve(*socket); }).detach();
        }
    }

    void serve(tcp::socket& socket)
    {
        boost::beast::flat_buffer buffer;
        boost::system::error_code ec;
        socket.set_option(tcp::no_delay(true), ec);
        while (true) {
            bhttp::request_parser<bhttp::string_body> parser;
            parser.body_limit(64 << 20);
            bhttp::read(socket, buffer, parser, ec);
            if (ec)
                return;
            auto response = handle(parser.release(), socket);
            if (!response.keep_alive())
                return;
            bhttp::write(socket, response, ec);
            if (ec || !response.keep_alive())
                return;
        }
    }

    static bool isClosed(tcp::socket& socket)
    {
        char c = 0;
        const auto n = ::recv(socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    // Works on the request. Returns false if the connection was closed meanwhile.
    bool work(tcp::socket& socket) const
    {
        for (const auto end = Clock::now() + m_options.work; Clock::now() < end; std::this_thread::sleep_for(5ms)) {
            if (m_options.dropsOnClose && isClosed(socket))
                return false;
        }
        return true;
    }

    // The response closes the connection if the request was dropped.
    bhttp::response<bhttp::string_body> handle(const Request& request, tcp::socket& socket)
    {
        const std::string id(request[idHeader]);
        bhttp::response<bhttp::string_body> response(bhttp::status::ok, 11);
        response.set(idHeader, id);
        response.set("Keep-Alive", "timeout=10");
        const std::string expected(request[expectedHeader]);
        if (!expected.empty() && expected != m_options.id) {
            response.result(421);
            response.set(notRunHeader, "1");
        } else if (!takeSlot()) {
            response.result(503);
            response.set(notRunHeader, "1");
        } else {
            ++m_runs;
            m_record.line("server {} runs {} {} {}", m_options.id, id, std::string(request.method_string()),
                std::string(request.target()));
            const auto startedAt = Clock::now();
            const bool done = work(socket);
            releaseSlot();
            {
                const std::lock_guard lock(m_mutex);
                m_runLog.push_back({ id, startedAt, Clock::now(), done });
            }
            m_record.line("server {} {} {}", m_options.id, done ? "ends" : "drops", id);
            response.keep_alive(done);
            response.set(signatureHeader, "proof." + m_options.id + "." + id);
            response.body() = "answer of " + m_options.id + " to " + id;
        }
        response.prepare_payload();
        return response;
    }

    bool takeSlot()
    {
        std::unique_lock lock(m_mutex);
        if (m_inUse >= m_options.slots && m_waiting >= m_options.queue)
            return false;
        ++m_waiting;
        m_freed.wait(lock, [this] { return m_inUse < m_options.slots; });
        --m_waiting;
        ++m_inUse;
        return true;
    }

    void releaseSlot()
    {
        const std::lock_guard lock(m_mutex);
        --m_inUse;
        m_freed.notify_one();
    }

    Record& m_record;
    Options m_options;
    asio::io_context m_io;
    tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex;
    std::condition_variable m_freed;
    std::vector<Run> m_runLog;
    unsigned m_inUse = 0;
    unsigned m_waiting = 0;
    std::atomic<unsigned> m_runs = 0;
};

/// The platform's store with the check-ins of servers: each one checks in at an interval. A check-in that changes no
/// more than the sequence number leaves the entry as it is. After three intervals without a check-in the entry is
/// removed, also while the store is down.
class Platform {
public:
    static constexpr milliseconds heartbeat { 1500 };

    explicit Platform(Record& record)
        : m_record(record)
    {
    }

    ~Platform()
    {
        m_stopped = true;
        for (auto& it : m_threads)
            it.join();
    }

    std::uint16_t port() const { return m_store.port(); }
    buckthorncroft::standin::RegistryStore& store() { return m_store; }

    void configure(const std::string& document) { m_store.put("op", "config", encodeBase64(document)); }

    /// The server checks in from `firstAt` on, every `heartbeat`.
    void checkIn(const Server& server, const std::string& service, const std::string& zone, Clock::time_point firstAt)
    {
        m_threads.emplace_back([this, &server, service, zone, firstAt] {
            std::uint64_t sequence = 0;
            bool listed = false;
            auto nextAt = firstAt;
            auto lastAt = firstAt;
            while (!m_stopped) {
                std::this_thread::sleep_for(5ms);
                const auto now = Clock::now();
                if (now >= nextAt) {
                    nextAt += heartbeat;
                    ++sequence;
                    if (!m_down)
                        lastAt = now;
                    if (!m_down && !std::exchange(listed, true)) {
                        m_store.put("servers", server.id(),
                            encodeBase64(fmt::format(
                                R"({{"service":"{}","address":"127.0.0.1:{}","zone":"{}","version":"1","slots":3,)"
                                R"("state":"ready","cold_remaining":"0ms","seq":{},"born":1700000000000}})",
                                service, server.port(), zone, sequence)));
                        m_record.line("platform lists {}", server.id());
                    }
                }
                if (listed && now - lastAt >= 3 * heartbeat) {
                    m_store.remove("servers", server.id());
                    listed = false;
                    m_record.line("platform removes {}: no check-in for {} ms", server.id(), (3 * heartbeat).count());
                }
            }
        });
    }

    /// While it is down, each call is answered with 503 and has no effect.
    void setDown(bool down)
    {
        m_down = down;
        m_store.setFault(
            down ? buckthorncroft::standin::StoreFault::Returns503 : buckthorncroft::standin::StoreFault::None);
        m_record.line("platform's store {}", down ? "is down" : "is up");
    }

private:
    Record& m_record;
    buckthorncroft::standin::RegistryStore m_store;
    std::atomic<bool> m_down = false;
    std::atomic<bool> m_stopped = false;
    std::list<std::thread> m_threads;
};

/// A gateway process with its settings file.
class Gateway {
public:
    struct Options {
        std::string name;
        std::string zone = "z1";
        std::string program = "target/buckthorncroft-gateway";
        std::string memory = "260";
    };

    Gateway(Record& record, std::string folder, Options options, std::uint16_t store)
        : m_record(record)
        , m_folder(std::move(folder))
        , m_options(std::move(options))
    {
        std::ofstream(settings()) << fmt::format(R"(instance = "{}"
zone = "{}"
callers = "127.0.0.1:{}"
ready = "127.0.0.1:{}"
peers = "127.0.0.1:{}"
seeds = []
registry = "127.0.0.1:{}"
cores = 0.2
memory_mb = {}
grace = "6s"
[retries]
ratio = 0.2
window = "10s"
slack = 62
)",
            m_options.name, m_options.zone, m_callers, m_ready, m_peers, store, m_options.memory);
    }
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    ~Gateway()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
        }
    }

    void start()
    {
        const auto path = settings();
        const auto log = fmt::format("{}/{}.log", m_folder, m_options.name);
        m_pid = ::fork();
        if (m_pid == 0) {
            // The gateway ends with the script, also if that is stopped early.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(file, 1);
            ::dup2(file, 2);
            for (int n = 3; n < 1024; ++n)
                ::close(n);
            // As the deploy file has it: without an argument.
            ::setenv("BUCKTHORNCROFT_NODE_FILE", path.c_str(), 1);
            ::execl(m_options.program.c_str(), m_options.program.c_str(), nullptr);
            ::_exit(127);
        }
        m_record.line("gateway {} starts", m_options.name);
    }

    void signal(int number)
    {
        m_record.line("gateway {} gets signal {}", m_options.name, number);
        ::kill(m_pid, number);
    }

    /// Waits for the end of the process. Returns false after `timeout`.
    bool waitForEnd(milliseconds timeout)
    {
        for (const auto end = Clock::now() + timeout; Clock::now() < end; std::this_thread::sleep_for(5ms)) {
            int status = 0;
            if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
                m_pid = -1;
                m_record.line("gateway {} ended with status {}", m_options.name, status);
                return true;
            }
        }
        return false;
    }

    bool isReady() const
    {
        boost::system::error_code ec;
        asio::io_context io;
        tcp::socket socket(io);
        socket.connect({ asio::ip::address_v4::loopback(), m_ready }, ec);
        if (ec)
            return false;
        bhttp::request<bhttp::empty_body> request(bhttp::verb::get, "/buckthorncroft/ready", 11);
        request.set(bhttp::field::host, "ready");
        request.keep_alive(false);
        bhttp::write(socket, request, ec);
        boost::beast::flat_buffer buffer;
        bhttp::response<bhttp::string_body> response;
        bhttp::read(socket, buffer, response, ec);
        return !ec && response.result_int() == 200;
    }

    bool waitUntilReady(milliseconds timeout) const
    {
        for (const auto end = Clock::now() + timeout; Clock::now() < end; std::this_thread::sleep_for(20ms)) {
            if (isReady())
                return true;
        }
        return false;
    }

    const std::string& name() const { return m_options.name; }
    std::uint16_t callers() const { return m_callers; }
    pid_t pid() const { return m_pid; }

private:
    std::string settings() const { return fmt::format("{}/{}.toml", m_folder, m_options.name); }

    Record& m_record;
    std::string m_folder;
    Options m_options;
    std::uint16_t m_callers = drawPort();
    std::uint16_t m_ready = drawPort();
    std::uint16_t m_peers = drawPort();
    pid_t m_pid = -1;
};

/// Whether the disruption is to be left out.
inline bool withoutTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value && std::string(value) == "0";
}

/// Sends one request on a new connection. Returns the status, or 0 if there is no complete answer.
inline unsigned sendOnce(std::uint16_t port, bhttp::verb method, const std::string& path, const std::string& id,
    milliseconds timeLimit, const std::string& requestBody = "")
{
    asio::io_context io;
    boost::beast::tcp_stream stream(io);
    stream.expires_after(timeLimit);
    boost::system::error_code ec;
    unsigned status = 0;
    bhttp::request<bhttp::string_body> request(method, path, 11);
    request.set(bhttp::field::host, "hulo84.example");
    request.set(idHeader, id);
    request.set(deadlineHeader, std::to_string(timeLimit.count()));
    request.keep_alive(false);
    request.body() = requestBody;
    if (method != bhttp::verb::get)
        request.prepare_payload();
    boost::beast::flat_buffer buffer;
    bhttp::response<bhttp::string_body> response;
    stream.async_connect({ asio::ip::address_v4::loopback(), port }, [&](boost::system::error_code failed) {
        if (failed)
            return;
        bhttp::async_write(stream, request, [&](boost::system::error_code failed, std::size_t) {
            if (failed)
                return;
            bhttp::async_read(stream, buffer, response, [&](boost::system::error_code failed, std::size_t) {
                if (!failed)
                    status = response.result_int();
            });
        });
    });
    io.run();
    return status;
}

} // namespace review
