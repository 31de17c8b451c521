#pragma once

#include "../../platform/documents.h"
#include "../../platform/names.h"
#include "../../standins/registry_store.h"
#include "../io/platform_server.h"
#include "../io/process_fleet.h"

#include <mutex>
#include <set>

namespace buckthorncroft::test {

namespace names = platform::names;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

/// A target that responds to each request after a delay and counts its requests.
class Target {
public:
    explicit Target(std::chrono::milliseconds delay = 0ms)
        : m_delay(delay)
        , m_server([this](auto& socket, const auto& request) { respond(socket, request); })
    {
    }

    std::uint16_t port() const { return m_server.port(); }

    /// From now on, each response announces that the target leaves.
    void announceLeaving() { m_leaving = true; }

    unsigned requestCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_requestCount;
    }

private:
    void respond(tests::OneShotServer::Socket& socket, const tests::OneShotServer::Request& request)
    {
        {
            const std::lock_guard lock(m_mutex);
            ++m_requestCount;
        }
        std::this_thread::sleep_for(m_delay);
        tests::writeRaw(socket,
            fmt::format(
                "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: proof\r\n{}: {}\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
                names::requestIdHeader, std::string(request[names::requestIdHeader]), names::signatureHeader,
                names::leavingHeader, m_leaving ? 1 : 0));
    }

    mutable std::mutex m_mutex;
    std::chrono::milliseconds m_delay;
    unsigned m_requestCount = 0;
    std::atomic<bool> m_leaving { false };
    tests::OneShotServer m_server;
};

constexpr auto startTimeout = 5s;

/// Gateway processes that use an in-memory store. All ports are on the loopback address.
class Fleet {
public:
    Fleet()
        : m_directory(fmt::format("{}/gateway-process-{}", BINARY_DIR, ::getpid()))
    {
        std::filesystem::create_directories(m_directory);
    }
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    ~Fleet()
    {
        m_processes.clear();
        std::error_code ec;
        std::filesystem::remove_all(m_directory, ec);
    }

    /// Writes version `version` of the configuration, with one route for requests of `kind` below `prefix`.
    void configure(const std::string& kind = "safe", unsigned version = 2, const std::string& prefix = "/p/",
        const std::string& timeout = "3s")
    {
        store.put("op", "config",
            platform::encodeBase64(fmt::format(
                R"({{"version":"{:08x}","limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,
                "header_timeout":"3s","idle_timeout":"15s"}},"listeners":[{{"host":"h","rules":[{{"name":"r",
                "type":"{}","target_latency":"1s","priority":1,"match":{{"prefix":"{}"}},
                "action":{{"service":"s1","timeout":"{}","max_attempts":2}}}}]}}],"clusters":[{{"name":"s1"}}]}})",
                version, kind, prefix, timeout)));
    }

    void listTarget(const std::string& id, const Target& target, const std::string& state = "ready")
    {
        listTarget(id, target.port(), state);
    }

    void listTarget(const std::string& id, std::uint16_t port, const std::string& state = "ready",
        const std::string& service = "s1")
    {
        store.put("servers", id,
            platform::encodeBase64(fmt::format(
                R"({{"service":"{}","address":"127.0.0.1:{}","zone":"z1","slots":3,"state":"{}","seq":1,"born":7}})",
                service, port, state)));
    }

    /// Starts an instance. With `registryPort`, it reaches the store through that port.
    void start(std::uint16_t registryPort = 0)
    {
        const auto name = fmt::format("g{}", m_processes.size());
        callerPorts.push_back(m_ports.draw());
        readyPorts.push_back(m_ports.draw());
        std::ofstream(settingsFile(m_processes.size())) << fmt::format(
            R"(instance = "{}"
zone = "z1"
callers = "127.0.0.1:{}"
ready = "127.0.0.1:{}"
peers = "127.0.0.1:{}"
seeds = []
registry = "127.0.0.1:{}"
cores = 0.2
memory_mb = 260
grace = "6s"

[retries]
ratio = 0.2
window = "10s"
slack = 62
)",
            name, callerPorts.back(), readyPorts.back(), m_ports.draw(), registryPort ? registryPort : store.port());
        m_processes.push_back(startProcess(m_processes.size()));
    }

    /// Starts an instance again, whose process has ended, with its former settings.
    void restart(std::size_t n) { m_processes.at(n) = startProcess(n); }

    /// Starts `count` instances and waits until all are ready.
    void startReady(unsigned count)
    {
        for (unsigned n = 0; n < count; ++n)
            start();
        for (unsigned n = 0; n < count; ++n)
            BOOST_REQUIRE(waitForStatus(n, 200, startTimeout));
    }

    ChildProcess& process(std::size_t n) { return *m_processes.at(n); }

    /// Path of the settings file of an instance.
    std::string settingsFile(std::size_t n) const { return fmt::format("{}/g{}.toml", m_directory, n); }

    /// Waits until the readiness endpoint of an instance returns `status`. Returns false after `timeout`.
    bool waitForStatus(std::size_t n, unsigned status, std::chrono::milliseconds timeout) const
    {
        const auto end = Clock::now() + timeout;
        while (Clock::now() < end) {
            if (get(readyPorts.at(n), names::readyPath).first == status)
                return true;
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

    /// Sends one request on a new connection and returns the status, or 0 if no complete response arrives.
    unsigned send(std::size_t n, std::chrono::milliseconds delayBeforeRequest = 0ms)
    {
        namespace http = boost::beast::http;
        boost::asio::io_context context;
        boost::beast::tcp_stream stream(context);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        boost::system::error_code ec;
        stream.connect({ boost::asio::ip::address_v4::loopback(), callerPorts.at(n) }, ec);
        http::request<http::empty_body> request(http::verb::get, "/p/x", 11);
        request.set(http::field::host, "h");
        request.set(names::requestIdHeader, fmt::format("id{}", ++m_sent));
        request.set(names::deadlineHeader, "3000");
        std::this_thread::sleep_for(delayBeforeRequest);
        if (!ec)
            http::write(stream, request, ec);
        if (!ec)
            http::read(stream, buffer, response, ec);
        return ec ? 0 : response.result_int();
    }

    std::string program { BINARY_DIR "/buckthorncroft-gateway" }; ///< Path of the gateway that `start` runs.
    standin::RegistryStore store;
    std::vector<std::uint16_t> callerPorts; ///< By number of the instance.
    std::vector<std::uint16_t> readyPorts; ///< By number of the instance.

private:
    std::unique_ptr<ChildProcess> startProcess(std::size_t n) const
    {
        return std::make_unique<ChildProcess>(std::vector<std::string> { program, settingsFile(n) });
    }

    std::string m_directory;
    PortPool m_ports;
    std::vector<std::unique_ptr<ChildProcess>> m_processes;
    std::atomic<unsigned> m_sent = 0;
};

// Bounds that the platform specifies.
constexpr auto configurationBound = 2s;
constexpr auto drainBound = 2s;
constexpr auto grace = 6s;
constexpr auto lastRequestBound = 3s; // A request sent until then may be broken off at the end of the grace period.

} // namespace buckthorncroft::test
