#include <boost/program_options.hpp>
#include <buckthorncroft/store/platform_endpoint.h>
#include <csignal>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <fmt/core.h>
#include <iostream>
#include <thread>

// Stand-in for the platform's service, used by tests and scenarios. Listens on loopback only and keeps all data in
// memory.

namespace {

using namespace buckthorncroft;

class PlatformResponder final : public cxxtools::http::Responder {
public:
    PlatformResponder(cxxtools::http::Service& service, store::MemoryPlatform& platform)
        : Responder(service)
        , m_platform(platform)
    {
    }

    void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override
    {
        // Runs the call before the delay, so that a write takes effect even when the client times out while it waits.
        // Control calls are never delayed.
        const auto callDelay = m_platform.faults().callDelay;
        const auto response = store::serveCall(m_platform, request.url(), request.bodyStr());
        if (callDelay.count() > 0 && request.url() != "/control")
            std::this_thread::sleep_for(callDelay);
        reply.httpReturn(response.status, response.status == 200 ? "OK" : "Error");
        reply.setHeader("Content-Type", "application/json");
        out << response.body;
    }

private:
    store::MemoryPlatform& m_platform;
};

class PlatformService final : public cxxtools::http::Service {
public:
    explicit PlatformService(store::MemoryPlatform& platform)
        : m_platform(platform)
    {
    }

protected:
    cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override
    {
        return new PlatformResponder(*this, m_platform);
    }
    void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

private:
    store::MemoryPlatform& m_platform;
};

struct Settings {
    std::string host;
    unsigned short port = 0;
    unsigned threads = 0; ///< Maximum number of calls that run concurrently.
    unsigned listLagMs = 0;
    unsigned heartbeatExpiryMs = 0;
    store::PlatformLimits limits;
};

boost::program_options::options_description makeOptionsDescription(Settings& settings)
{
    namespace po = boost::program_options;
    po::options_description options("standin-platform");
    auto add = options.add_options();
    add("help", "print this help and exit");
    add("host", po::value(&settings.host)->default_value("127.0.0.1"), "loopback address to listen on");
    add("port", po::value(&settings.port)->default_value(7600), "port");
    add("threads", po::value(&settings.threads)->default_value(100), "maximum number of calls that run concurrently");
    add("writes-per-second", po::value(&settings.limits.writesPerSecond)->default_value(500),
        "maximum rate of writes; writes above it are rejected; 0 means no limit");
    add("reads-per-second", po::value(&settings.limits.readsPerSecond)->default_value(2000),
        "maximum rate of reads; reads above it are rejected; 0 means no limit");
    add("list-lag-ms", po::value(&settings.listLagMs)->default_value(2000),
        "delay until a change is visible in the instance list");
    add("heartbeat-expiry-ms", po::value(&settings.heartbeatExpiryMs)->default_value(10000),
        "time without a heartbeat after which an instance is removed from the list");
    return options;
}

cxxtools::EventLoop* runningLoop = nullptr;

int runServer(const Settings& settings)
{
    const base::SystemClock clock;
    store::MemoryPlatform platform(clock, settings.limits);
    cxxtools::EventLoop loop;
    cxxtools::http::Server server(loop, settings.host, settings.port);
    // Each call occupies a thread until its response is sent, so there must be more threads than calls in flight.
    server.minThreads(4);
    server.maxThreads(settings.threads);
    PlatformService service(platform);
    server.addService(cxxtools::Regex("^/"), service);
    runningLoop = &loop;
    const auto stop = [](int) { runningLoop->exit(); };
    std::signal(SIGTERM, stop);
    std::signal(SIGINT, stop);
    fmt::print(stderr, "level=info event=listening address={}:{}\n", settings.host, settings.port);
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    Settings settings;
    const auto options = makeOptionsDescription(settings);
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        if (values.count("help")) {
            std::cout << options;
            return 0;
        }
        if (!settings.host.starts_with("127.")) {
            fmt::print(stderr, "--host must be a loopback address\n");
            return 2;
        }
        settings.limits.listLag = std::chrono::milliseconds(settings.listLagMs);
        settings.limits.heartbeatExpiry = std::chrono::milliseconds(settings.heartbeatExpiryMs);
        return runServer(settings);
    } catch (const po::error& e) {
        fmt::print(stderr, "{}\n", e.what());
        return 2;
    } catch (const std::exception& e) {
        fmt::print(stderr, "level=error event=failed reason=\"{}\"\n", e.what());
        return 1;
    }
}
