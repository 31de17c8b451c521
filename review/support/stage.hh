#pragma once

// Parts that the scripts of the cases share: the platform's store, back ends, gateway processes, a balancer, callers
// and the record. All addresses are loopback addresses; all times come from the steady clock.

#include "../../standins/registry_store.h"

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using namespace std::chrono_literals;
using Time = Clock::time_point;

/// Exit statuses of a script.
enum Status { Held = 0, Broken = 1, CouldNotRun = 2 };

inline Time processStart()
{
    static const Time value = Clock::now();
    return value;
}

inline double seconds(Time time)
{
    return std::chrono::duration<double>(time - processStart()).count();
}

inline void sleepUntil(Time time)
{
    std::this_thread::sleep_until(time);
}

/// Writes `record.txt`: what was sent, answered and run. Safe for concurrent use.
class Record {
public:
    explicit Record(const std::string& file)
        : m_out(file)
    {
        processStart();
    }

    template <typename... Parts> void write(const Parts&... parts)
    {
        std::ostringstream line;
        line.setf(std::ios::fixed);
        line.precision(3);
        line << seconds(Clock::now()) << " s  ";
        (line << ... << parts);
        const std::lock_guard lock(m_mutex);
        m_out << line.str() << "\n";
        m_out.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

inline std::string encodeBase64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0u);
        for (std::size_t k = 0; k < 4; ++k)
            result += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63] : '=';
    }
    return result;
}

inline sockaddr_in address(std::uint16_t port)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    result.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return result;
}

inline int listenOn(std::uint16_t& port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto local = address(port);
    socklen_t size = sizeof local;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&local), size) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&local), &size);
    port = ntohs(local.sin_port);
    return fd;
}

/// Returns a port that is free for TCP and UDP at the time of the call.
inline std::uint16_t freePort()
{
    static std::set<std::uint16_t> used;
    while (true) {
        std::uint16_t port = 0;
        const int fd = listenOn(port);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const auto local = address(port);
        const bool isFree = ::bind(udp, reinterpret_cast<const sockaddr*>(&local), sizeof local) == 0;
        ::close(udp);
        ::close(fd);
        if (isFree && used.insert(port).second)
            return port;
    }
}

inline int connectTo(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto remote = address(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/// An HTTP/1.1 message: its first line, its header fields by lower-case name, and its body.
struct Message {
    std::string firstLine;
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string& name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? "" : it->second;
    }
    unsigned status() const
    {
        return firstLine.size() > 12 ? static_cast<unsigned>(std::atoi(firstLine.c_str() + 9)) : 0;
    }
};

/// Reads HTTP messages with a length or in chunks from a socket.
class Reader {
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    /// Returns false if the connection ends, or nothing complete arrives before `end`.
    bool read(Message& message, Time end)
    {
        message = {};
        std::size_t headEnd = std::string::npos;
        while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(end))
                return false;
        }
        std::istringstream lines(m_buffer.substr(0, headEnd + 2));
        m_buffer.erase(0, headEnd + 4);
        std::string line;
        for (bool first = true; std::getline(lines, line); first = false) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const auto colon = line.find(':');
            if (first) {
                message.firstLine = line;
            } else if (colon != std::string::npos) {
                std::string name = line.substr(0, colon);
                for (auto& c : name)
                    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                const auto begin = line.find_first_not_of(" \t", colon + 1);
                message.fields[name] = begin == std::string::npos ? "" : line.substr(begin);
            }
        }
        if (message.field("transfer-encoding") == "chunked")
            return readChunks(message, end);
        const auto length = static_cast<std::size_t>(std::atoll(message.field("content-length").c_str()));
        return take(message.body, length, end);
    }

    bool hasBytes() const { return !m_buffer.empty(); }

private:
    bool fill(Time end)
    {
        while (true) {
            const auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now()).count();
            if (left <= 0)
                return false;
            pollfd it { m_fd, POLLIN, 0 };
            const int ready = ::poll(&it, 1, static_cast<int>(std::min<long long>(left, 1000)));
            if (ready < 0)
                return false;
            if (ready == 0)
                continue;
            char bytes[16384];
            const auto n = ::recv(m_fd, bytes, sizeof bytes, 0);
            if (n <= 0)
                return false;
            m_buffer.append(bytes, static_cast<std::size_t>(n));
            return true;
        }
    }

    bool take(std::string& to, std::size_t length, Time end)
    {
        while (m_buffer.size() < length) {
            if (!fill(end))
                return false;
        }
        to += m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return true;
    }

    bool readChunks(Message& message, Time end)
    {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(end))
                    return false;
            }
            const auto length = std::stoul(m_buffer.substr(0, lineEnd), nullptr, 16);
            m_buffer.erase(0, lineEnd + 2);
            std::string lineBreak;
            if (!take(message.body, length, end) || !take(lineBreak, 2, end))
                return false;
            if (length == 0)
                return true;
        }
    }

    int m_fd;
    std::string m_buffer;
};

/// What a caller got for one request.
struct Answer {
    Time sentAt;
    Time endedAt;
    unsigned status = 0; ///< 0: the connection ended, or nothing came in time.
    bool isSigned = false;
    std::string requestId;
};

inline std::string requestText(const std::string& method, const std::string& host, const std::string& path,
    const std::string& id, unsigned deadlineMs, const std::string& body = "")
{
    std::ostringstream text;
    text << method << " " << path << " HTTP/1.1\r\nHost: " << host << "\r\nX-Buckthorncroft-Request-Id: " << id
         << "\r\nX-Buckthorncroft-Deadline-Ms: " << deadlineMs << "\r\n";
    if (!body.empty() || method == "POST")
        text << "Content-Length: " << body.size() << "\r\n";
    text << "\r\n" << body;
    return text.str();
}

/// Sends one request on a new connection and waits for its answer.
inline Answer callOnce(std::uint16_t port, const std::string& text, milliseconds timeout)
{
    Answer result;
    result.sentAt = Clock::now();
    const int fd = connectTo(port);
    if (fd >= 0) {
        Message message;
        Reader reader(fd);
        if (sendAll(fd, text) && reader.read(message, result.sentAt + timeout)) {
            result.status = message.status();
            result.isSigned = !message.field("x-buckthorncroft-response-signature").empty();
            result.requestId = message.field("x-buckthorncroft-request-id");
        }
        ::close(fd);
    }
    result.endedAt = Clock::now();
    return result;
}

/// A back end that follows the pages: it runs one request at a time on a connection and `slots` at once, rejects a
/// request for another instance (421), without an id (400) or beyond its queue (503, not executed), echoes the id,
/// signs what it ran and announces its idle time. Each request that it begins to work on is recorded.
class Backend {
public:
    struct Run {
        std::string id;
        Time startedAt;
        Time endedAt {};
    };

    static constexpr unsigned slots = 3;
    static constexpr unsigned queue = 12;
    static constexpr auto lateBy = 5ms;

    /// `extra`, if set, is called after each complete response and returns additional bytes, which are sent late: once
    /// the next request has arrived on the connection.
    Backend(Record& record, std::string id, std::function<milliseconds(const Message&)> work,
        std::function<std::string()> extra = nullptr)
        : m_record(record)
        , m_id(std::move(id))
        , m_work(std::move(work))
        , m_extra(std::move(extra))
        , m_listener(listenOn(m_port))
        , m_thread([this] { acceptLoop(); })
    {
    }
    Backend(const Backend&) = delete;
    Backend& operator=(const Backend&) = delete;

    ~Backend()
    {
        exit();
        m_thread.join();
        for (auto& it : m_connections)
            it.join();
    }

    /// Ends the process of the back end: closes its port and all connections.
    void exit()
    {
        m_ended = true;
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_sockets)
            ::shutdown(fd, SHUT_RDWR);
    }

    const std::string& id() const { return m_id; }
    std::uint16_t port() const { return m_port; }

    std::vector<Run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

    std::string row(const std::string& service, const std::string& state, unsigned sequence) const
    {
        return nlohmann::json {
            { "service", service }, { "address", "127.0.0.1:" + std::to_string(m_port) }, { "zone", "zone-a" },
            { "version", "v1" }, { "slots", slots }, { "state", state }, { "cold_remaining", "0ms" },
            { "seq", sequence }, { "born", m_born }
        }.dump();
    }

private:
    void acceptLoop()
    {
        while (!m_ended) {
            pollfd it { m_listener, POLLIN, 0 };
            if (::poll(&it, 1, 20) <= 0)
                continue;
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard lock(m_mutex);
            m_sockets.insert(fd);
            m_connections.emplace_back([this, fd] { serve(fd); });
        }
        ::close(m_listener);
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        std::string extra;
        while (!m_ended && reader.read(request, Clock::now() + 10s)) {
            if (!extra.empty()) {
                std::this_thread::sleep_for(lateBy);
                m_record.write("back end ", m_id, " sends the additional bytes, while ",
                    request.field("x-buckthorncroft-request-id"), " waits");
                if (!sendAll(fd, extra))
                    break;
            }
            if (!sendAll(fd, respond(request)))
                break;
            extra = m_extra ? m_extra() : "";
        }
        {
            const std::lock_guard lock(m_mutex);
            m_sockets.erase(fd);
        }
        ::close(fd);
    }

    static std::string response(const std::string& status, const std::string& fields, const std::string& body)
    {
        return "HTTP/1.1 " + status + "\r\n" + fields
            + "Keep-Alive: timeout=10\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string respond(const Message& request)
    {
        const auto id = request.field("x-buckthorncroft-request-id");
        const auto expected = request.field("x-buckthorncroft-expected-instance");
        const auto echo = "X-Buckthorncroft-Request-Id: " + id + "\r\n";
        if (!expected.empty() && expected != m_id)
            return response("421 Misdirected Request", echo + "X-Buckthorncroft-Instance-Id: " + m_id + "\r\n", "");
        if (id.empty())
            return response("400 Bad Request", "X-Buckthorncroft-Not-Executed: 1\r\n", "");
        if (++m_active > slots + queue) {
            --m_active;
            return response("503 Service Unavailable", echo + "X-Buckthorncroft-Not-Executed: 1\r\n", "");
        }
        std::size_t index = 0;
        const auto work = m_work(request);
        {
            std::unique_lock lock(m_mutex);
            m_slotFree.wait(lock, [this] { return m_ended || m_running < slots; });
            ++m_running;
            index = m_runs.size();
            m_runs.push_back({ id, Clock::now() });
        }
        m_record.write("back end ", m_id, " begins ", id, " (", request.firstLine, ")");
        const auto end = Clock::now() + work;
        while (!m_ended && Clock::now() < end)
            std::this_thread::sleep_for(std::min<Clock::duration>(5ms, end - Clock::now()));
        {
            const std::lock_guard lock(m_mutex);
            --m_running;
            m_runs[index].endedAt = Clock::now();
        }
        m_slotFree.notify_one();
        --m_active;
        m_record.write("back end ", m_id, m_ended ? " exits at work on " : " ends ", id);
        return response("200 OK", echo + "X-Buckthorncroft-Response-Signature: " + m_id + "." + id + "\r\n", "done\n");
    }

    Record& m_record;
    std::string m_id;
    std::function<milliseconds(const Message&)> m_work;
    std::function<std::string()> m_extra;
    std::int64_t m_born
        = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::uint16_t m_port = 0;
    int m_listener;
    mutable std::mutex m_mutex;
    std::condition_variable m_slotFree;
    std::vector<Run> m_runs;
    std::set<int> m_sockets;
    unsigned m_running = 0;
    std::atomic<unsigned> m_active { 0 };
    std::atomic<bool> m_ended { false };
    std::list<std::thread> m_connections;
    std::thread m_thread;
};

/// The path from one machine to the store. While it is cut, it swallows all bytes; connections that were open or were
/// opened meanwhile stay silent for good, and new ones work once it is no longer cut. While it refuses, it resets all
/// connections.
class StorePath {
public:
    explicit StorePath(std::uint16_t store)
        : m_store(store)
        , m_listener(listenOn(m_port))
        , m_thread([this] { acceptLoop(); })
    {
    }
    StorePath(const StorePath&) = delete;
    StorePath& operator=(const StorePath&) = delete;

    ~StorePath()
    {
        m_ended = true;
        m_thread.join();
        for (auto& it : m_connections)
            it.join();
        ::close(m_listener);
    }

    std::uint16_t port() const { return m_port; }

    void setCut(bool cut)
    {
        if (cut)
            ++m_cutCount;
        m_cut = cut;
    }

    void setRefusing(bool refusing) { m_refusing = refusing; }

private:
    void acceptLoop()
    {
        while (!m_ended) {
            pollfd it { m_listener, POLLIN, 0 };
            if (::poll(&it, 1, 10) <= 0)
                continue;
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
                m_connections.emplace_back([this, fd] { forward(fd); });
        }
    }

    void forward(int client)
    {
        const auto cutCount = m_cutCount.load();
        bool silent = m_cut;
        const int server = silent ? -1 : connectTo(m_store);
        bool isOpen = silent || server >= 0;
        while (isOpen && !m_ended) {
            if (m_refusing) {
                const linger reset { 1, 0 };
                ::setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                break;
            }
            silent = silent || m_cut || m_cutCount != cutCount;
            pollfd both[] { { client, POLLIN, 0 }, { server, POLLIN, 0 } };
            if (::poll(both, silent ? 1 : 2, 5) <= 0)
                continue;
            if (both[0].revents)
                isOpen = copy(client, silent ? -1 : server);
            if (isOpen && !silent && both[1].revents)
                isOpen = copy(server, client);
        }
        ::close(client);
        if (server >= 0)
            ::close(server);
    }

    static bool copy(int from, int to)
    {
        char bytes[16384];
        const auto n = ::recv(from, bytes, sizeof bytes, 0);
        return n > 0 && (to < 0 || sendAll(to, std::string(bytes, static_cast<std::size_t>(n))));
    }

    std::uint16_t m_store;
    std::uint16_t m_port = 0;
    int m_listener;
    std::atomic<bool> m_cut { false };
    std::atomic<bool> m_refusing { false };
    std::atomic<unsigned> m_cutCount { 0 };
    std::atomic<bool> m_ended { false };
    std::list<std::thread> m_connections;
    std::thread m_thread;
};

inline std::string replaceAll(std::string text, const std::string& from, const std::string& to)
{
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
        text.replace(at, from.size(), to);
    return text;
}

/// A gateway process, started as the deploy file says: in the root of the repository, with the settings that its
/// template gives, named by the platform's variable.
class Gateway {
public:
    Gateway(const std::string& name, std::uint16_t storePort, const std::string& directory)
        : m_name(name)
        , m_directory(directory)
        , m_callers(freePort())
        , m_ready(freePort())
    {
        std::ifstream in("deploy/settings.toml");
        std::string text((std::istreambuf_iterator<char>(in)), {});
        const auto begin = text.find("{{#seeds}}");
        const auto end = text.find("{{/seeds}}");
        if (begin != std::string::npos && end != std::string::npos)
            text.erase(begin, end + 10 - begin);
        const auto local = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
        const std::map<std::string, std::string> values { { "node", name }, { "zone", "zone-a" },
            { "listen.front", local(m_callers) }, { "listen.ready", local(m_ready) }, { "ip", "127.0.0.1" },
            { "port_range.0", std::to_string(freePort()) }, { "platform.address", local(storePort) },
            { "limits.cpu_share", "0.2" }, { "limits.memory_mb", "260" }, { "bounds.grace", "6s" },
            { "bounds.budget_ratio", "0.2" }, { "bounds.budget_window", "10s" }, { "bounds.budget_slack", "62" } };
        for (const auto& [key, value] : values)
            text = replaceAll(text, "{{" + key + "}}", value);
        m_file = directory + "/" + name + ".toml";
        std::ofstream(m_file) << text;
        start();
    }
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    ~Gateway()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }

    const std::string& name() const { return m_name; }
    std::uint16_t port() const { return m_callers; }
    std::uint16_t readyPort() const { return m_ready; }
    void signal(int number) const { ::kill(m_pid, number); }

    bool isReady() const
    {
        return callOnce(m_ready, "GET /buckthorncroft/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1000ms).status == 200;
    }

    bool waitUntilReady(milliseconds timeout) const
    {
        const auto end = Clock::now() + timeout;
        while (Clock::now() < end) {
            if (isReady())
                return true;
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

    /// Waits for the end of the process. Returns its status as `waitpid` gives it, or -1 if it has not ended.
    int waitForEnd(milliseconds timeout)
    {
        const auto end = Clock::now() + timeout;
        int status = 0;
        while (Clock::now() < end) {
            if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
                m_pid = -1;
                return status;
            }
            std::this_thread::sleep_for(10ms);
        }
        return -1;
    }

    /// Starts the gateway again, with the same settings, if its process has ended. Returns whether it has. To be called
    /// in the main thread: a gateway ends with the thread that started it.
    bool startAgainIfEnded()
    {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) != m_pid)
            return false;
        start();
        return true;
    }

private:
    void start()
    {
        const char* program = std::getenv("GATEWAY_PROGRAM");
        std::string path = program ? program : "target/buckthorncroft-gateway";
        std::string variable = "BUCKTHORNCROFT_NODE_FILE=" + m_file;
        std::string home = "HOME=" + m_directory;
        std::string search = "PATH=/usr/bin:/bin";
        char* argv[] = { path.data(), nullptr };
        char* envp[] = { variable.data(), home.data(), search.data(), nullptr };
        const auto log = m_directory + "/" + m_name + ".log";
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
        m_pid = ::fork();
        if (m_pid == 0) {
            // Ends the gateway also if the script is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::dup2(out, 1);
            ::dup2(out, 2);
            for (int fd = 3; fd < 4096; ++fd)
                ::close(fd);
            ::execve(path.c_str(), argv, envp);
            ::_exit(127);
        }
        ::close(out);
    }

    std::string m_name;
    std::string m_directory;
    std::uint16_t m_callers;
    std::uint16_t m_ready;
    std::string m_file;
    pid_t m_pid = -1;
};

/// A route of the configuration, on the host `shop.example`.
struct Route {
    std::string name;
    std::string type;
    std::string prefix;
    std::string service;
    std::string timeout;
    unsigned maxAttempts = 2;
};

constexpr const char* host = "shop.example";

inline void writeConfiguration(buckthorncroft::standin::RegistryStore& store, const std::vector<Route>& routes)
{
    using nlohmann::json;
    json rules = json::array();
    json clusters = json::array();
    std::set<std::string> services;
    for (const auto& it : routes) {
        rules.push_back({ { "name", it.name }, { "type", it.type }, { "target_latency", "1000ms" }, { "priority", 1 },
            { "match", { { "prefix", it.prefix } } },
            { "action",
                { { "service", it.service }, { "timeout", it.timeout }, { "max_attempts", it.maxAttempts } } } });
        services.insert(it.service);
    }
    for (const auto& it : services)
        clusters.push_back({ { "name", it }, { "health_path", "/health" }, { "max_conns", 390 }, { "protocol", "h1" },
            { "tls", false } });
    const json configuration { { "version", "00000007" },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 67108864 }, { "header_timeout", "3000ms" },
                { "idle_timeout", "15000ms" } } },
        { "listeners", json::array({ { { "host", host }, { "rules", rules } } }) }, { "clusters", clusters } };
    store.put("op", "config", encodeBase64(configuration.dump()));
}

/// Writes the entry of each listed back end every 1.5 s, as the back ends do.
class Heartbeats {
public:
    explicit Heartbeats(buckthorncroft::standin::RegistryStore& store)
        : m_store(store)
    {
    }
    ~Heartbeats() { stop(); }

    void list(const Backend& backend, const std::string& service)
    {
        const std::lock_guard lock(m_mutex);
        m_listed.push_back({ &backend, service, 1 });
        m_store.put("servers", backend.id(), encodeBase64(backend.row(service, "ready", 1)));
    }

    /// Removes the entry. When this returns, the store has acknowledged the removal.
    Time remove(const Backend& backend)
    {
        const std::lock_guard lock(m_mutex);
        m_listed.remove_if([&](const Listed& it) { return it.backend == &backend; });
        m_store.remove("servers", backend.id());
        return Clock::now();
    }

    /// While paused, no back end reaches the store.
    void setPaused(bool paused) { m_paused = paused; }

    void start()
    {
        m_thread = std::thread([this] {
            while (!m_ended) {
                std::size_t n = 0;
                {
                    const std::lock_guard lock(m_mutex);
                    n = m_listed.size();
                    if (n && !m_paused) {
                        auto it = m_listed.front();
                        m_listed.pop_front();
                        m_store.put("servers", it.backend->id(),
                            encodeBase64(it.backend->row(it.service, "ready", ++it.sequence)));
                        m_listed.push_back(it);
                    }
                }
                std::this_thread::sleep_for(1500ms / std::max<std::size_t>(1, n));
            }
        });
    }

    void stop()
    {
        m_ended = true;
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    struct Listed {
        const Backend* backend;
        std::string service;
        unsigned sequence;
    };

    buckthorncroft::standin::RegistryStore& m_store;
    std::mutex m_mutex;
    std::list<Listed> m_listed;
    std::atomic<bool> m_paused { false };
    std::atomic<bool> m_ended { false };
    std::thread m_thread;
};

/// Directory, record and switch of a script: `CASE DIRECTORY`, run in the root of the repository.
struct Script {
    std::string folder;
    std::string directory;
    bool hasTrouble;
    Record record;

    explicit Script(char** argv)
        : folder(argv[1])
        , directory(argv[2])
        , hasTrouble(std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0")
        , record(folder + "/record.txt")
    {
        std::signal(SIGPIPE, SIG_IGN);
        record.write(hasTrouble ? "with the disruption" : "without the disruption");
    }

    int end(Status status, const std::string& reason)
    {
        static const char* names[] = { "held", "BROKEN", "could not run" };
        record.write("result: ", names[status], " - ", reason);
        std::cout << names[status] << ": " << reason << std::endl;
        return status;
    }
};

} // namespace review
