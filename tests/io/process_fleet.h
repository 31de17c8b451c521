#pragma once

#include "port_pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace buckthorncroft::test {

/// A child process. The destructor kills it by its process id.
class ChildProcess {
public:
    explicit ChildProcess(std::vector<std::string> arguments)
    {
        std::vector<char*> argv;
        argv.reserve(arguments.size() + 1);
        for (auto& it : arguments)
            argv.push_back(it.data());
        argv.push_back(nullptr);
        BOOST_REQUIRE_EQUAL(::posix_spawn(&m_pid, argv.front(), nullptr, nullptr, argv.data(), environ), 0);
    }
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    ~ChildProcess()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }

    /// Sends a signal unless the process has ended. Safe while another thread waits for the end.
    void signal(int number) const
    {
        const std::lock_guard lock(m_mutex);
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    /// Returns the mask of the signals for which the process has a handler, or 0 if it is not known.
    std::uint64_t caughtSignals() const
    {
        std::ifstream file(fmt::format("/proc/{}/status", m_pid));
        std::string word;
        while (file >> word) {
            if (word == "SigCgt:" && file >> word)
                return std::stoull(word, nullptr, 16);
        }
        return 0;
    }

    /// Waits for the end and returns the exit status, or -1 after an end by a signal.
    int wait()
    {
        siginfo_t info {};
        // Leaves the process id in use, so that `signal` cannot reach another process.
        ::waitid(P_PID, static_cast<id_t>(m_pid), &info, WEXITED | WNOWAIT);
        const std::lock_guard lock(m_mutex);
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        m_pid = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

private:
    mutable std::mutex m_mutex;
    pid_t m_pid = -1;
};

/// Sends a GET request and returns status and body; status 0 if there is no complete response.
inline std::pair<unsigned, std::string> get(std::uint16_t port, const std::string& path)
{
    namespace http = boost::beast::http;
    boost::asio::io_context context;
    boost::beast::tcp_stream stream(context);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    boost::system::error_code ec;
    stream.connect({ boost::asio::ip::address_v4::loopback(), port }, ec);
    if (!ec) {
        http::request<http::empty_body> request(http::verb::get, path, 11);
        request.set(http::field::host, "test");
        http::write(stream, request, ec);
    }
    if (!ec)
        http::read(stream, buffer, response, ec);
    return ec ? std::pair(0u, std::string()) : std::pair(response.result_int(), response.body());
}

/// Runs targets of the service `bookdesk` and entry instances as processes on free ports, without a platform.
class ProcessFleet {
public:
    ProcessFleet(unsigned targets, unsigned entries)
        : m_directory(fmt::format("{}/process-fleet-{}", BINARY_DIR, ::getpid()))
    {
        std::filesystem::create_directories(m_directory);
        for (unsigned it = 0; it < targets; ++it)
            startTarget(it);
        std::ofstream(m_directory + "/configuration.toml") << configuration();
        for (unsigned it = 0; it < entries; ++it)
            startEntry();
        for (const auto port : m_targetPorts)
            waitUntilOk(port, "/health");
        for (const auto port : m_operatorPorts)
            waitUntilOk(port, "/ready");
    }

    ~ProcessFleet()
    {
        std::error_code ec;
        std::filesystem::remove_all(m_directory, ec);
    }
    ProcessFleet(const ProcessFleet&) = delete;
    ProcessFleet& operator=(const ProcessFleet&) = delete;

    ChildProcess& target(std::size_t number) { return *m_targets.at(number); }
    ChildProcess& entry(std::size_t number) { return *m_entries.at(number); }

    /// Starts the load generator against all entry instances with the given streams.
    std::unique_ptr<ChildProcess> startLoad(const std::vector<std::string>& streams) const
    {
        std::vector<std::string> arguments { programPath("buckthorncroft-load"), "--duration", "4", "--deadline-ms",
            "1000", "--json", m_directory + "/load.json" };
        for (std::size_t it = 0; it < m_callerPorts.size(); ++it) {
            arguments.insert(arguments.end(), { "--entry", fmt::format("127.0.0.1:{}", m_callerPorts[it]) });
            arguments.insert(arguments.end(), { "--ready", fmt::format("127.0.0.1:{}", m_operatorPorts[it]) });
        }
        for (const auto& it : streams)
            arguments.insert(arguments.end(), { "--stream", it });
        return std::make_unique<ChildProcess>(std::move(arguments));
    }

    /// Returns the report that the load generator wrote when it ended.
    nlohmann::json readLoadReport() const { return nlohmann::json::parse(std::ifstream(m_directory + "/load.json")); }

    /// Returns how often each request was executed, summed over all targets that respond; keys are `METHOD ID`.
    std::map<std::string, unsigned> executionCounts() const
    {
        std::map<std::string, unsigned> result;
        for (const auto port : m_targetPorts) {
            std::istringstream lines(get(port, "/control/ids").second);
            for (std::string method, id, count; lines >> method >> id >> count;)
                result[fmt::format("{} {}", method, id)] += static_cast<unsigned>(std::stoul(count));
        }
        return result;
    }

    /// Returns the sum of a counter over all targets that respond.
    std::uint64_t sumCounter(const std::string& counter) const
    {
        std::uint64_t result = 0;
        for (const auto port : m_targetPorts) {
            const auto [status, body] = get(port, "/control/counts");
            result += status == 200 ? nlohmann::json::parse(body).at(counter).get<std::uint64_t>() : 0;
        }
        return result;
    }

private:
    static std::string programPath(const std::string& name) { return fmt::format("{}/{}", BINARY_DIR, name); }

    void startTarget(unsigned number)
    {
        m_targetPorts.push_back(m_ports.draw());
        m_targets.push_back(std::make_unique<ChildProcess>(
            std::vector<std::string> { programPath("standin-target"), "--port", std::to_string(m_targetPorts.back()),
                "--id", fmt::format("b{}", number), "--service-ms", "20", "--seed", std::to_string(number + 1) }));
    }

    void startEntry()
    {
        const auto number = m_entries.size();
        m_callerPorts.push_back(m_ports.draw());
        m_operatorPorts.push_back(m_ports.draw());
        const auto file = fmt::format("{}/entry-{}.toml", m_directory, number);
        std::ofstream(file) << fmt::format(
            "instance = \"e{}\"\nzone = \"z1\"\ncallers = \"127.0.0.1:{}\"\noperators = \"127.0.0.1:{}\"\n"
            "inner = \"127.0.0.1:{}\"\nconfiguration_file = \"{}/configuration.toml\"\nbalancer_lag_ms = 1500\n"
            "log_level = \"error\"\n[operators_tls]\nplaintext = true\n[inner_tls]\nplaintext = true\n",
            number, m_callerPorts.back(), m_operatorPorts.back(), m_ports.draw(), m_directory);
        m_entries.push_back(
            std::make_unique<ChildProcess>(std::vector<std::string> { programPath("buckthorncroft"), file }));
    }

    std::string configuration() const
    {
        std::string text = "change = 1\n[[service]]\nname = \"bookdesk\"\nversion = 1\n";
        const auto route = [&](const char* method, const char* kind) {
            text += fmt::format("[[service.route]]\nname = \"{0}\"\npath_prefix = \"/\"\nmethods = [\"{0}\"]\n"
                                "kind = \"{1}\"\ndeadline_ms = 1000\nmax_body_bytes = 100000000\n",
                method, kind);
        };
        route("GET", "idempotent");
        route("POST", "non-idempotent");
        route("PUT", "upload");
        for (std::size_t it = 0; it < m_targetPorts.size(); ++it)
            text += fmt::format("[[service.target]]\nid = \"b{}\"\nhost = \"127.0.0.1\"\nport = {}\nzone = \"z1\"\n",
                it, m_targetPorts[it]);
        return text;
    }

    static void waitUntilOk(std::uint16_t port, const std::string& path)
    {
        for (int it = 0; it < 200 && get(port, path).first != 200; ++it)
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        BOOST_REQUIRE_EQUAL(get(port, path).first, 200);
    }

    std::string m_directory;
    PortPool m_ports;
    std::vector<std::uint16_t> m_targetPorts;
    std::vector<std::uint16_t> m_callerPorts;
    std::vector<std::uint16_t> m_operatorPorts;
    std::vector<std::unique_ptr<ChildProcess>> m_targets;
    std::vector<std::unique_ptr<ChildProcess>> m_entries;
};

} // namespace buckthorncroft::test
