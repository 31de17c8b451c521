#define BOOST_TEST_MODULE EntryDaemon
#include <boost/test/unit_test.hpp>

#include "port_pool.h"
#include "traffic_fixture.h"

#include <buckthorncroft/daemon/settings.h>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <vector>

using namespace buckthorncroft;
using namespace buckthorncroft::test;

namespace {

const std::string program = BINARY_DIR "/buckthorncroft";

/// A temporary folder that is removed with the object.
struct TemporaryFolder {
    TemporaryFolder() { (void)::mkdtemp(path.data()); }
    ~TemporaryFolder()
    {
        for (const auto& it : files)
            std::remove(it.c_str());
        ::rmdir(path.c_str());
    }
    std::string write(const std::string& name, const std::string& text)
    {
        files.push_back(path + "/" + name);
        std::ofstream(files.back()) << text;
        return files.back();
    }
    std::string path = "/tmp/buckthorncroft-test-XXXXXX";
    std::vector<std::string> files;
};

/// Runs the daemon's program with `arguments`. Returns its exit code, and stdout and stderr together.
std::pair<int, std::string> runCommand(const std::string& arguments)
{
    std::string output;
    auto* const pipe = ::popen((program + " " + arguments + " 2>&1").c_str(), "r");
    char buf[4096];
    for (std::size_t n = 0; (n = std::fread(buf, 1, sizeof buf, pipe)) > 0;)
        output.append(buf, n);
    return { WEXITSTATUS(::pclose(pipe)), output };
}

/// Returns a free port that is held until this program ends.
std::uint16_t freePort()
{
    static PortPool ports;
    return ports.draw();
}

std::string settingsText(std::uint16_t callers, std::uint16_t operators, const std::string& configuration)
{
    const auto address = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
    return "instance = \"i1\"\nzone = \"z1\"\ncallers = " + address(callers) + "operators = " + address(operators)
        + "inner = " + address(freePort()) + "configuration_file = \"" + configuration
        + "\"\nbalancer_lag_ms = 300\noperators_tls = { plaintext = true }\ninner_tls = { plaintext = true }\n";
}

std::string configurationText(std::uint16_t target)
{
    return "change = 1\n[[service]]\nname = \"s\"\n[[service.route]]\nname = \"r\"\npath_prefix = \"/\"\n"
           "kind = \"non-idempotent\"\n[[service.target]]\nid = \"t\"\nhost = \"127.0.0.1\"\nport = "
        + std::to_string(target) + "\nzone = \"z1\"\n";
}

/// An entry daemon that was started with a settings file.
struct Process {
    explicit Process(const std::string& settings)
    {
        std::string name = program;
        std::string argument = settings;
        std::vector<char*> arguments { name.data(), argument.data(), nullptr };
        (void)::posix_spawn(&pid, program.c_str(), nullptr, nullptr, arguments.data(), environ);
    }
    /// Waits for the process to end. Returns its exit code, or -1 if a signal ended it.
    int wait() const
    {
        int status = 0;
        ::waitpid(pid, &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    pid_t pid = 0;
};

std::string get(std::uint16_t port, const std::string& path)
{
    const auto connection = RawConnection::connectTo(port);
    connection->send("GET " + path + " HTTP/1.1\r\nHost: s\r\n\r\n");
    return connection->readMessage();
}

std::string statusOf(const std::string& response)
{
    return response.size() > 12 ? response.substr(9, 3) : "";
}

/// A target that delays its response by `responseDelay`, and a daemon in front of it. The constructor waits until the
/// daemon is ready.
struct RunningDaemon {
    explicit RunningDaemon(std::chrono::milliseconds responseDelay)
        : target([responseDelay](RawConnection& peer, unsigned) {
            const auto request = peer.readMessage();
            std::this_thread::sleep_for(responseDelay);
            peer.send(okResponse(request, "done"));
        })
        , process(folder.write("settings.toml",
              settingsText(callers, operators, folder.write("configuration.toml", configurationText(target.port())))))
    {
        for (int i = 0; i < 1000 && statusOf(get(operators, "/ready")) != "200"; ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    RawTarget target;
    TemporaryFolder folder;
    std::uint16_t callers = freePort();
    std::uint16_t operators = freePort();
    Process process;
};

} // namespace

// Guards against `--check` reporting only the first error, and against a daemon that starts with invalid settings.
BOOST_AUTO_TEST_CASE(checkReportsAllFindings)
{
    TemporaryFolder folder;
    auto text = settingsText(1, 2, folder.write("c.toml", "chnge = 1\n"));
    text += "traffic_threads = 0\nunknown = 1\n";
    const auto file = folder.write("s.toml", text);
    const auto [code, output] = runCommand("--check " + file);
    BOOST_TEST(code == 2);
    for (const std::string it : { "traffic_threads", "unknown", "chnge" })
        BOOST_TEST(output.find(it) != std::string::npos, it);
    BOOST_TEST(runCommand(file).first == 2);
    BOOST_TEST(runCommand("--check " + folder.path + "/none").first == 2);
    const auto good = folder.write("g.toml", settingsText(1, 2, folder.write("d.toml", configurationText(9))));
    BOOST_TEST(runCommand("--check " + good).first == 0);
    BOOST_TEST(runCommand("--version").first == 0);
    BOOST_TEST(runCommand("--help").second.find("Exit codes") != std::string::npos);
    BOOST_TEST(runCommand("--nonsense").first == 2);
}

// Guards against a missing TLS table that silently disables encryption, and against malformed addresses that are
// accepted.
BOOST_AUTO_TEST_CASE(settingsRejectImplicitPlaintextAndBadAddresses)
{
    auto text = settingsText(1, 2, "c.toml");
    BOOST_TEST(daemon::parseSettings(text, "s").findings.empty());
    text.replace(text.find("inner_tls"), std::string::npos, "");
    BOOST_TEST(daemon::parseSettings(text, "s").findings.size() == 1u);
    for (const std::string it :
        { "127.0.0.1", ":80", "host:80", "127.0.0.1:99999", "::1:80", "[]:80", "127.0.0.1:x" }) {
        auto other = settingsText(1, 2, "c.toml");
        other.replace(other.find("127.0.0.1:1"), 11, it);
        BOOST_TEST(daemon::parseSettings(other, "s").findings.size() == 1u, it);
    }
}

// Guards against a graceful stop that aborts a request in flight, or that closes the port while the load balancer still
// sends requests to it.
BOOST_AUTO_TEST_CASE(terminationFinishesRequestsInFlight)
{
    RunningDaemon daemon(std::chrono::milliseconds(800));
    BOOST_TEST(statusOf(get(daemon.operators, "/live")) == "200");
    BOOST_TEST(statusOf(get(daemon.operators, "/readyx")) == "404");
    const auto caller = RawConnection::connectTo(daemon.callers);
    caller->send("POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n\r\n");
    while (daemon.target.connections() == 0)
        std::this_thread::yield();
    ::kill(daemon.process.pid, SIGTERM);
    while (statusOf(get(daemon.operators, "/ready")) == "200")
        std::this_thread::yield();
    const auto duringLag = RawConnection::connectTo(daemon.callers);
    duringLag->send("GET /x HTTP/1.1\r\nHost: s\r\n\r\n");
    BOOST_TEST(statusOf(caller->readMessage()) == "200");
    BOOST_TEST(statusOf(duringLag->readMessage()) == "200");
    caller->close();
    duringLag->close();
    BOOST_TEST(daemon.process.wait() == 0);
}

// Guards against an instance that cannot be stopped while a request hangs.
BOOST_AUTO_TEST_CASE(secondTerminationStopsImmediately)
{
    RunningDaemon daemon(std::chrono::milliseconds(3000));
    const auto caller = RawConnection::connectTo(daemon.callers);
    caller->send("POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n\r\n");
    while (daemon.target.connections() == 0)
        std::this_thread::yield();
    ::kill(daemon.process.pid, SIGTERM);
    while (statusOf(get(daemon.operators, "/ready")) == "200")
        std::this_thread::yield();
    ::kill(daemon.process.pid, SIGTERM);
    BOOST_TEST(daemon.process.wait() == 3);
}

// Guards against a stop that closes a connection whose request was sent before the stop.
BOOST_AUTO_TEST_CASE(stopAnswersRequestsThatWereSentBefore)
{
    constexpr unsigned rounds = 20;
    constexpr unsigned callersPerRound = 16;
    unsigned answered = 0;
    for (unsigned round = 0; round < rounds; ++round) {
        RawTarget target([](RawConnection& peer, unsigned) { serveOkResponses(peer); });
        ServerFixture fixture;
        fixture.settings.trafficThreads = 2;
        fixture.addTarget(target.port(), callersPerRound);
        fixture.start();
        std::vector<std::unique_ptr<RawConnection>> callers;
        for (unsigned n = 0; n < callersPerRound; ++n) {
            callers.push_back(fixture.caller());
            callers.back()->send("GET /x HTTP/1.1\r\nHost: s\r\n\r\n");
        }
        std::thread stop([&] { fixture.server->stopGracefully(); });
        for (const auto& it : callers)
            answered += it->readMessage().starts_with("HTTP/1.1 200") ? 1 : 0;
        callers.clear();
        stop.join();
    }
    BOOST_TEST(answered == rounds * callersPerRound);
}
