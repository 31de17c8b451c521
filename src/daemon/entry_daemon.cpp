#include <buckthorncroft/daemon/entry_daemon.h>

#include "../http/asio.h"
#include "cli_command.h"
#include "files.h"

#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <buckthorncroft/config/parse.h>
#include <buckthorncroft/daemon/control_plane.h>
#include <buckthorncroft/daemon/operators_endpoint.h>
#include <buckthorncroft/daemon/settings.h>
#include <buckthorncroft/daemon/snapshot.h>
#include <buckthorncroft/daemon/traffic_server.h>
#include <buckthorncroft/daemon/version.h>
#include <buckthorncroft/observe/metrics.h>
#include <buckthorncroft/store/configuration_store.h>
#include <buckthorncroft/store/http_platform.h>
#include <buckthorncroft/store/table_claim_service.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace buckthorncroft::daemon {

namespace {

    namespace po = boost::program_options;

    constexpr const char* exitCodesText = "\nExit codes:\n"
                                          "  0  graceful stop, or nothing to report\n"
                                          "  1  an address could not be opened\n"
                                          "  2  the command line or the settings have problems; all are listed\n"
                                          "  3  a second SIGTERM or SIGINT ended requests in flight\n";

    struct Options {
        std::string settingsFile;
        bool check = false;
    };

    struct LoadedFiles {
        InstanceSettings settings;
        config::Configuration configuration;
        base::Findings findings;
    };

    LoadedFiles loadFiles(const std::string& settingsFile)
    {
        LoadedFiles result;
        const auto text = detail::readWholeFile(settingsFile, result.findings);
        if (!result.findings.empty())
            return result;
        auto parsed = parseSettings(text, settingsFile);
        result.settings = std::move(parsed.settings);
        result.findings = std::move(parsed.findings);
        const auto& name = result.settings.configurationFile;
        if (name.empty())
            return result;
        base::Findings fileFindings;
        const auto document = detail::readWholeFile(name, fileFindings);
        if (fileFindings.empty()) {
            auto configuration = config::parseConfiguration(document, name);
            result.configuration = std::move(configuration.configuration);
            fileFindings = std::move(configuration.findings);
            if (!result.configuration.changeNumber)
                fileFindings.push_back({ name, 0, "change", "is 0 or missing", "set it to 1 or more" });
        }
        result.findings.insert(result.findings.end(), fileFindings.begin(), fileFindings.end());
        return result;
    }

    observe::Level toLoggerLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return observe::Level::Debug;
        case LogLevel::Warning:
            return observe::Level::Warning;
        case LogLevel::Error:
            return observe::Level::Error;
        case LogLevel::Info:
            break;
        }
        return observe::Level::Info;
    }

    std::string toHex(std::uint64_t value)
    {
        return fmt::format("{:016x}", value);
    }

    std::uint64_t random64()
    {
        std::random_device device;
        return static_cast<std::uint64_t>(device()) << 32 | device();
    }

    /// Clients of the platform's service; created only if the settings name a platform.
    struct PlatformClients {
        PlatformClients(const InstanceSettings& settings, const base::Clock& clock)
            : http(settings.platform.host, settings.platform.port)
            , store(http, clock)
            , claims(http, clock, claimSettings(settings), random64())
        {
        }

        static store::ClaimServiceSettings claimSettings(const InstanceSettings& settings)
        {
            store::ClaimServiceSettings result;
            result.holder = settings.instance + "-" + toHex(random64());
            return result;
        }

        store::HttpPlatform http;
        store::ConfigurationStore store;
        store::TableClaimService claims;
    };

    /// A running instance: creates its parts, serves until a signal arrives and then stops gracefully.
    class EntryDaemon {
    public:
        explicit EntryDaemon(LoadedFiles files)
            : m_files(std::move(files))
            , m_log(m_clock, m_files.settings.instance, m_files.settings.zone, toLoggerLevel(m_files.settings.logLevel))
            , m_router(routing::makeTwoChoicesRouter(m_files.settings.zone))
            , m_platform(m_files.settings.platform.host.empty()
                      ? nullptr
                      : std::make_unique<PlatformClients>(m_files.settings, m_clock))
            , m_operators(m_files.settings.operators, m_files.settings.operatorsTls)
            , m_traffic(m_files.settings, trafficDependencies())
        {
        }

        int run()
        {
            m_operators.addHandler("/live", [] { return OperatorsResponse { 200, "text/plain", "live\n" }; });
            m_operators.addHandler("/ready", [this] { return readinessResponse(); });
            m_operators.addHandler("/metrics", [this] { return metricsResponse(); });
            m_operators.addHandler("/status", [this] { return statusResponse(); });
            auto bootstrap = m_files.configuration;
            // The platform's table takes precedence over the file, so that a file with a high change number cannot hide
            // accepted changes.
            if (m_platform && bootstrap.changeNumber)
                bootstrap.changeNumber = 1;
            auto control = ControlPlane::start(controlPlaneDependencies(), bootstrap);
            if (!control)
                return reportStartFailure(control.error());
            m_control = std::move(control).value();
            if (const auto started = m_operators.start(); !started)
                return reportStartFailure(started.error());
            if (const auto started = m_traffic.start(); !started)
                return reportStartFailure(started.error());
            m_log.write(observe::Level::Info, "started",
                { { "version", versionText() }, { "callers_port", std::to_string(m_traffic.port()) } });
            waitForSignal();
            stop();
            // All requests have ended and the platform has been informed. The process exits here without destructors:
            // after a failed TLS handshake the operators' endpoint does not end its threads, and the stop must not
            // hang.
            std::fflush(nullptr);
            ::_exit(ExitOk);
        }

    private:
        TrafficDependencies trafficDependencies()
        {
            TrafficDependencies result { m_clock, m_snapshots, m_observations, *m_router, m_log };
            result.seed = random64();
            result.claims = m_platform ? &m_platform->claims : nullptr;
            result.finished = [this](const FinishedRequest& request) { countRequest(request); };
            return result;
        }

        ControlPlaneDependencies controlPlaneDependencies()
        {
            PlatformAccess access;
            if (m_platform) {
                access.client = &m_platform->http;
                access.store = &m_platform->store;
                access.heartbeat = [this](const store::ListedInstance& self, std::chrono::milliseconds timeout) {
                    return m_platform->http.heartbeat(self, timeout);
                };
                access.liveInstancesChanged = [this](unsigned n) { m_platform->claims.setLiveInstances(n); };
            }
            return { m_files.settings, m_clock, m_snapshots, m_observations, m_log, m_metrics, access };
        }

        void countRequest(const FinishedRequest& request)
        {
            const observe::Labels service { { "service", request.service }, { "route", request.route } };
            m_metrics.count("buckthorncroft_requests_total",
                { { "service", request.service }, { "route", request.route },
                    { "outcome", outcome::toString(request.outcome) }, { "status", std::to_string(request.status) } });
            m_metrics.count("buckthorncroft_attempts_total", service, request.attempts);
            m_metrics.observeSeconds(
                "buckthorncroft_request_seconds", service, std::chrono::duration<double>(request.duration).count());
        }

        OperatorsResponse metricsResponse()
        {
            m_metrics.set("buckthorncroft_requests_active", {}, static_cast<double>(m_traffic.activeRequests()));
            m_metrics.set("buckthorncroft_buffered_bytes", {}, static_cast<double>(m_traffic.memoryUsed()));
            if (m_platform) {
                const auto claims = m_platform->claims.counters();
                m_metrics.set("buckthorncroft_claims_held", {}, static_cast<double>(claims.held));
                m_metrics.set("buckthorncroft_claims_refused_busy", {}, static_cast<double>(claims.refusedBusy));
                m_metrics.set("buckthorncroft_claims_refused_budget", {}, static_cast<double>(claims.refusedBudget));
                m_metrics.set("buckthorncroft_claims_cleanup_dropped", {}, static_cast<double>(claims.cleanupsDropped));
            }
            return { 200, "text/plain; version=0.0.4; charset=utf-8", m_metrics.text() };
        }

        OperatorsResponse statusResponse()
        {
            if (!m_control || m_stopping)
                return { 503, "text/plain", "starting or stopping\n" };
            return { 200, "application/json", m_control->status() };
        }

        OperatorsResponse readinessResponse() const
        {
            if (m_stopping)
                return { 503, "text/plain", "stopping\n" };
            if (!m_snapshots.read())
                return { 503, "text/plain", "no configuration\n" };
            return { 200, "text/plain", "ready\n" };
        }

        int reportStartFailure(const base::Error& error)
        {
            m_log.write(observe::Level::Error, "start_failed", { { "reason", error.message } });
            return ExitStartFailed;
        }

        void waitForSignal()
        {
            m_signals.async_wait([this](http::error_code, int) { m_mainLoop.stop(); });
            m_mainLoop.run();
            m_mainLoop.restart();
        }

        void stop()
        {
            m_stopping = true;
            m_control->setLeaving();
            // A second signal must take effect at any point of the stop, so a separate thread waits for it.
            m_signals.async_wait([this](http::error_code ec, int) {
                if (ec)
                    return;
                m_log.write(observe::Level::Warning, "stop_forced",
                    { { "active", std::to_string(m_traffic.activeRequests()) } });
                ::_exit(ExitForced);
            });
            std::thread secondSignalThread([this] { m_mainLoop.run(); });
            m_log.write(observe::Level::Info, "stopping", { { "active", std::to_string(m_traffic.activeRequests()) } });
            m_traffic.announceStop();
            std::this_thread::sleep_for(m_files.settings.balancerLag);
            m_traffic.stopGracefully();
            m_control.reset(); // Sends the last heartbeat, which announces that this instance is leaving.
            m_mainLoop.stop();
            secondSignalThread.join();
            m_log.write(observe::Level::Info, "stopped", {});
        }

        base::SystemClock m_clock;
        LoadedFiles m_files;
        observe::Logger m_log;
        http::asio::io_context m_mainLoop;
        http::asio::signal_set m_signals { m_mainLoop, SIGTERM, SIGINT };
        std::unique_ptr<routing::Router> m_router;
        observe::Metrics m_metrics;
        SnapshotStore m_snapshots;
        ObservationQueue m_observations;
        std::unique_ptr<PlatformClients> m_platform; ///< Outlives the control plane and the traffic, which use it.
        std::unique_ptr<ControlPlane> m_control;
        std::atomic<bool> m_stopping { false };
        OperatorsEndpoint m_operators;
        TrafficServer m_traffic;
    };

    int printFindings(const base::Findings& findings)
    {
        for (const auto& it : findings)
            fmt::print(stderr, "{}\n", base::toString(it));
        return ExitBadSettings;
    }

    int run(const Options& options)
    {
        auto files = loadFiles(options.settingsFile);
        if (!files.findings.empty())
            return printFindings(files.findings);
        if (options.check) {
            fmt::print("{}: no problems found\n", options.settingsFile);
            return ExitOk;
        }
        return EntryDaemon(std::move(files)).run();
    }

} // namespace

int runEntryDaemon(int argc, char** argv)
{
    Options options;
    po::options_description description("Usage: buckthorncroft [options] SETTINGS\n\nOptions");
    description.add_options()("help", "print this text")("version", "print the version")(
        "check", po::bool_switch(&options.check), "check the settings and the configuration file, then exit")(
        "settings", po::value(&options.settingsFile), "settings file in TOML");
    po::positional_options_description positions;
    positions.add("settings", 1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(description).positional(positions).run(), values);
        po::notify(values);
    } catch (const po::error& error) {
        fmt::print(stderr, "{}\nTry --help.\n", error.what());
        return ExitBadSettings;
    }
    if (values.count("help")) {
        std::ostringstream text;
        text << description << exitCodesText;
        fmt::print("{}", text.str());
        return ExitOk;
    }
    if (values.count("version")) {
        fmt::print("buckthorncroft {}\n", versionText());
        return ExitOk;
    }
    if (options.settingsFile.empty()) {
        fmt::print(stderr, "no settings file is given\nTry --help.\n");
        return ExitBadSettings;
    }
    return run(options);
}

} // namespace buckthorncroft::daemon
