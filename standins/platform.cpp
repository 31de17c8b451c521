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

// Imitates the platform's service for tests and scenarios. Serves loopback only and keeps everything in memory.

namespace {

using namespace buckthorncroft;

class PlatformResponder final : public cxxtools::http::Responder {
public:
    PlatformResponder(cxxtools::http::Service& service, store::MemoryPlatform& model)
        : Responder(service)
        , m_model(model)
    {
    }

    void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override
    {
        // The call runs first and is answered late, so that a client that gives up meanwhile meets a write that took
        // effect. The control call is never delayed.
        const auto callDelay = m_model.faults().callDelay;
        const auto response = store::serveCall(m_model, request.url(), request.bodyStr());
        if (callDelay.count() > 0 && request.url() != "/control")
            std::this_thread::sleep_for(callDelay);
        reply.httpReturn(response.status, response.status == 200 ? "OK" : "Error");
        reply.setHeader("Content-Type", "application/json");
        out << response.body;
    }

private:
    store::MemoryPlatform& m_model;
};

class PlatformService final : public cxxtools::http::Service {
public:
    explicit PlatformService(store::MemoryPlatform& model)
        : m_model(model)
    {
    }

protected:
    cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override
    {
        return new PlatformResponder(*this, m_model);
    }
    void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

private:
    store::MemoryPlatform& m_model;
};

struct Settings {
    std::string host;
    unsigned short port = 0;
    unsigned threads = 0; ///< Calls that run at the same time.
    unsigned listLagMs = 0;
    unsigned heartbeatExpiryMs = 0;
    store::PlatformLimits limits;
};

boost::program_options::options_description describeOptions(Settings& settings)
{
    namespace po = boost::program_options;
    po::options_description options("standin-platform");
    auto add = options.add_options();
    add("help", "print this help");
    add("host", po::value(&settings.host)->default_value("127.0.0.1"), "loopback address to listen on");
    add("port", po::value(&settings.port)->default_value(7600), "port");
    add("threads", po::value(&settings.threads)->default_value(100), "calls that run at the same time");
    add("writes-per-second", po::value(&settings.limits.writesPerSecond)->default_value(500),
        "writes above this rate are refused; 0: no bound");
    add("reads-per-second", po::value(&settings.limits.readsPerSecond)->default_value(2000),
        "reads above this rate are refused; 0: no bound");
    add("list-lag-ms", po::value(&settings.listLagMs)->default_value(2000), "delay of changes of the instance list");
    add("heartbeat-expiry-ms", po::value(&settings.heartbeatExpiryMs)->default_value(10000),
        "silence after which an instance leaves the list");
    return options;
}

cxxtools::EventLoop* runningLoop = nullptr;

int serve(const Settings& settings)
{
    const base::SystemClock clock;
    store::MemoryPlatform model(clock, settings.limits);
    cxxtools::EventLoop loop;
    cxxtools::http::Server server(loop, settings.host, settings.port);
    // A slow call holds its thread, so there must be more threads than calls in flight.
    server.minThreads(4);
    server.maxThreads(settings.threads);
    PlatformService service(model);
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
    const auto options = describeOptions(settings);
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
        return serve(settings);
    } catch (const po::error& e) {
        fmt::print(stderr, "{}\n", e.what());
        return 2;
    } catch (const std::exception& e) {
        fmt::print(stderr, "level=error event=failed reason=\"{}\"\n", e.what());
        return 1;
    }
}
