#include <buckthorncroft/gateway/gateway_daemon.h>

#include "../daemon/files.h"
#include "deployment.h"
#include "event_loop.h"
#include "gateway_control.h"
#include "gateway_traffic.h"
#include "ready_endpoint.h"
#include "signal_receiver.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <iostream>
#include <unistd.h>

namespace buckthorncroft::gateway {

namespace {

    namespace po = boost::program_options;
    using std::chrono::milliseconds;

    enum ExitStatus { ExitOk = 0, ExitStartFailed = 1, ExitBadSettings = 2 };

    // Delay from the stop signal until idle caller connections are closed. The load balancer checks readiness once a
    // second and removes an instance after two failed checks; until then it may still use these connections.
    constexpr milliseconds idleCloseDelay { 2600 };

    // Delay from the stop signal until the listener is closed, so that callers which the load balancer sends late can
    // still connect.
    constexpr milliseconds listenerCloseDelay { 3600 };

    // After the listener was closed, a connection without a request waits this long for its first one.
    constexpr milliseconds firstRequestTimeout { 500 };

    // Requests that no target has received by then after the stop signal are rejected, because the grace period can end
    // while their targets work. The load balancer has removed the instance by then, unless it has too few others.
    constexpr milliseconds lastRequestDelay { 2900 };

    // Requests end this long before the grace period does, which leaves time to send their responses.
    constexpr milliseconds shutdownMargin { 400 };

    // Reserved at the end of the grace period for the process to exit.
    constexpr milliseconds exitMargin { 250 };

    // Interval between checks for requests in flight while the instance stops.
    constexpr milliseconds drainPollInterval { 50 };

    constexpr milliseconds droppedLinesReportInterval { 5000 };

    observe::Level toLogLevel(daemon::LogLevel level)
    {
        return static_cast<observe::Level>(level);
    }

    /// A running gateway instance: owns its components, handles signals and performs the graceful stop.
    class Gateway {
    public:
        Gateway(GatewaySettings settings, std::string settingsFile, const Deployment& deployment)
            : m_headers(deployment.headers)
            , m_settings(std::move(settings))
            , m_settingsFile(std::move(settingsFile))
            , m_log(m_clock, m_settings.instance, m_settings.zone, toLogLevel(m_settings.logLevel), m_lines)
            , m_memory(static_cast<std::size_t>(m_settings.memoryBudget))
            , m_control(m_settings, deployment, m_clock, m_log, m_metrics, m_snapshots, m_io,
                  [this] { m_traffic.closeIdleTargetConnections(); })
            , m_context { m_io, m_clock, m_headers, m_snapshots, m_control, m_log, m_metrics, m_memory,
                ConnectionPool(m_clock), std::mt19937_64(std::random_device {}()), &m_control }
            , m_traffic(m_context)
            , m_ready(m_io, [this](const std::string& path) { return respond(path); })
            , m_signals(
                  m_io, m_clock, m_log, [this](int signal, base::SteadyTime sentAt) { handleSignal(signal, sentAt); })
        {
        }

        int run()
        {
            for (const auto& started :
                { m_control.start(), m_traffic.open(m_settings.callers), m_ready.open(m_settings.ready) }) {
                if (!started) {
                    m_log.write(observe::Level::Error, "start_failed", { { "reason", started.error().message } });
                    return ExitStartFailed;
                }
            }
            m_traffic.start();
            http::asio::co_spawn(
                m_io, [this] { return reportDroppedLines(); }, http::asio::detached);
            m_log.write(observe::Level::Info, "started", { { "callers", toString(m_settings.callers) } });
            runEventLoop(m_io, m_log, "traffic");
            m_control.stop();
            m_log.write(observe::Level::Info, "stopped", { { "active", std::to_string(m_context.activeRequests) } });
            // `_exit` runs no destructors; the kernel closes the connections that are still open.
            ::_exit(ExitOk);
        }

    private:
        ReadyEndpoint::Response respond(const std::string& path)
        {
            if (path == m_headers.readyPath) {
                const bool ready = !m_context.stopping && m_snapshots.read()->isComplete();
                return { ready ? 200u : 503u, ready ? "ready\n" : "not ready\n" };
            }
            if (path == "/metrics") {
                m_metrics.set("buckthorncroft_requests_active", {}, static_cast<double>(m_context.activeRequests));
                m_metrics.set("buckthorncroft_buffered_bytes", {}, static_cast<double>(m_memory.used()));
                return { 200, m_metrics.text() };
            }
            return { 404, "no such page\n" };
        }

        void handleSignal(int signal, base::SteadyTime sentAt)
        {
            if (signal == SIGHUP) {
                checkSettingsFile();
            } else if (!m_context.stopping) {
                http::asio::co_spawn(
                    m_io, [this, sentAt] { return stop(sentAt); }, http::asio::detached);
            }
        }

        // Only checks the settings file and logs its problems. Addresses cannot change while connections are open, and
        // the other values take effect at the next start.
        void checkSettingsFile()
        {
            base::Findings findings;
            std::error_code ec;
            const auto status = std::filesystem::status(m_settingsFile, ec);
            std::string text;
            // Opening a pipe would block the event loop until it has a writer.
            if (std::filesystem::exists(status) && !std::filesystem::is_regular_file(status))
                findings.push_back({ m_settingsFile, 0, "", "is not a regular file", "replace it by a file" });
            else
                text = daemon::detail::readWholeFile(m_settingsFile, findings);
            if (findings.empty())
                findings = parseGatewaySettings(text, m_settingsFile).findings;
            for (const auto& it : findings)
                m_log.write(observe::Level::Error, "settings_rejected", { { "reason", base::toString(it) } });
            if (findings.empty())
                m_log.write(observe::Level::Info, "settings_read", { { "file", m_settingsFile } });
        }

        http::Awaitable<void> reportDroppedLines()
        {
            while (true) {
                co_await sleepUntil(m_clock.now() + droppedLinesReportInterval);
                if (const auto n = m_lines.takeDroppedCount())
                    m_log.write(observe::Level::Warning, "log_lines_dropped", { { "count", std::to_string(n) } });
            }
        }

        http::Awaitable<void> sleepUntil(base::SteadyTime time)
        {
            http::asio::steady_timer timer(m_io, time);
            http::error_code ec;
            co_await timer.async_wait(http::captureError(ec));
        }

        // The times of the schedule count from `startedAt`, the earliest time at which the signal can have been sent.
        http::Awaitable<void> stop(base::SteadyTime startedAt)
        {
            const auto deadline = startedAt + m_settings.gracePeriod - shutdownMargin;
            const auto exitAt = startedAt + m_settings.gracePeriod - exitMargin;
            m_log.write(observe::Level::Info, "stopping",
                { { "active", std::to_string(m_context.activeRequests) },
                    { "delay_ms", std::to_string(duration_cast<milliseconds>(m_clock.now() - startedAt).count()) } });
            m_traffic.announceStop({ startedAt, std::min(startedAt + lastRequestDelay, deadline), deadline });
            m_control.announceStop();
            co_await sleepUntil(std::min(startedAt + idleCloseDelay, deadline));
            m_traffic.closeKeptCallerConnections();
            co_await sleepUntil(std::min(startedAt + lastRequestDelay, deadline));
            m_traffic.rejectWaitingRequests();
            co_await sleepUntil(std::min(startedAt + listenerCloseDelay, deadline));
            m_traffic.stopAccepting();
            const auto idleCloseAt = m_clock.now() + firstRequestTimeout;
            while (!m_traffic.isIdle() && m_clock.now() < deadline) {
                co_await sleepUntil(std::min(m_clock.now() + drainPollInterval, deadline));
                if (m_clock.now() >= idleCloseAt)
                    m_traffic.closeIdleCallerConnections();
            }
            m_traffic.endActiveRequests();
            m_traffic.closeIdleCallerConnections();
            while (!m_traffic.isIdle() && m_clock.now() < exitAt)
                co_await sleepUntil(std::min(m_clock.now() + drainPollInterval, exitAt));
            m_traffic.logUnfinishedSessions();
            m_traffic.resetUnfinishedStreams();
            m_io.stop();
        }

        base::SystemClock m_clock;
        HeaderNames m_headers;
        GatewaySettings m_settings;
        std::string m_settingsFile;
        observe::LineWriter m_lines { m_clock, STDOUT_FILENO };
        observe::Logger m_log;
        observe::Metrics m_metrics;
        limits::MemoryBudget m_memory;
        http::asio::io_context m_io { 1 };
        GatewaySnapshotHolder m_snapshots;
        GatewayControl m_control;
        TrafficContext m_context;
        GatewayTraffic m_traffic;
        ReadyEndpoint m_ready;
        SignalReceiver m_signals;
    };

    struct Options {
        std::string settingsFile;
        bool check = false;
        bool help = false;
    };

    po::options_description makeDescription(Options& options)
    {
        po::options_description result("Usage: buckthorncroft-gateway [options] [SETTINGS]\n\nOptions");
        result.add_options()("help", po::bool_switch(&options.help), "print this text")("check",
            po::bool_switch(&options.check),
            "check the settings, then exit")("settings", po::value(&options.settingsFile), "settings file in TOML");
        return result;
    }

    int checkAndRun(const Options& options, const Deployment& deployment)
    {
        base::Findings findings;
        const auto text = daemon::detail::readWholeFile(options.settingsFile, findings);
        ParsedGatewaySettings parsed;
        if (findings.empty()) {
            parsed = parseGatewaySettings(text, options.settingsFile);
            findings = parsed.findings;
        }
        for (const auto& it : findings)
            fmt::print(stderr, "{}\n", base::toString(it));
        if (!findings.empty())
            return ExitBadSettings;
        if (options.check) {
            fmt::print("{}: no problems found\n", options.settingsFile);
            return ExitOk;
        }
        std::signal(SIGPIPE, SIG_IGN);
        return Gateway(std::move(parsed.settings), options.settingsFile, deployment).run();
    }

} // namespace

int runGateway(int argc, char** argv, const Deployment& deployment)
{
    Options options;
    auto description = makeDescription(options);
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
    if (options.help) {
        std::cout << description;
        return ExitOk;
    }
    if (options.settingsFile.empty() && !deployment.settingsFileVariable.empty()) {
        if (const char* name = std::getenv(deployment.settingsFileVariable.c_str()))
            options.settingsFile = name;
    }
    if (options.settingsFile.empty()) {
        fmt::print(stderr, "no settings file is given\nTry --help.\n");
        return ExitBadSettings;
    }
    return checkAndRun(options, deployment);
}

} // namespace buckthorncroft::gateway
