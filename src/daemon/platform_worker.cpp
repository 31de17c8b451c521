#include "platform_worker.h"

#include "../http/framing.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace buckthorncroft::daemon::detail {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds platformCallTimeout { 1500 };
    constexpr milliseconds loopInterval { 50 };
    constexpr milliseconds heartbeatInterval { 2000 };
    constexpr milliseconds instanceListInterval { 2000 };
    constexpr milliseconds readerPollInterval { 1000 };
    constexpr milliseconds fallbackPollInterval { 30'000 };
    constexpr milliseconds probeTimeout { 1000 };
    // Few instances poll, so a short backoff puts little load on a recovering store and keeps the time until a change
    // is in force within its bound.
    constexpr unsigned maxBackoffDoublings = 1;
    constexpr std::size_t maxPendingProbes = 1000;
    constexpr const char* drainingHeader = "Buckthorncroft-Draining";

} // namespace

PlatformWorker::PlatformWorker(const ControlPlaneDependencies& dependencies, store::ListedInstance self,
    std::uint64_t seed, PlatformCallbacks callbacks)
    : m_dependencies(dependencies)
    , m_self(std::move(self))
    , m_random(seed)
    , m_callbacks(std::move(callbacks))
    , m_thread([this] { run(); })
{
}

PlatformWorker::~PlatformWorker()
{
    m_stopping = true;
    m_thread.join();
}

void PlatformWorker::addProbes(std::vector<ControlState::DrainProbeRequest> requests)
{
    const std::lock_guard lock(m_mutex);
    for (auto& it : requests) {
        if (m_pendingProbes.size() < maxPendingProbes)
            m_pendingProbes.push_back(std::move(it));
    }
}

void PlatformWorker::run()
{
    while (!m_stopping) {
        sendHeartbeat();
        readInstanceList();
        pollConfiguration();
        runProbes();
        std::this_thread::sleep_for(loopInterval);
    }
    // The last heartbeat announces that this instance is leaving.
    m_heartbeatSchedule.dueAt = {};
    sendHeartbeat();
}

void PlatformWorker::reschedule(Schedule& schedule, bool succeeded, milliseconds interval)
{
    schedule.failures = succeeded ? 0 : std::min(schedule.failures + 1, maxBackoffDoublings);
    const auto maxDelay = interval * (1 << schedule.failures);
    const auto minDelay = succeeded ? interval * 9 / 10 : interval;
    std::uniform_int_distribution<std::int64_t> delay(minDelay.count(), std::max(minDelay, maxDelay).count());
    schedule.dueAt = m_dependencies.clock.now() + milliseconds(delay(m_random));
}

void PlatformWorker::sendHeartbeat()
{
    if (!m_dependencies.platform.heartbeat || m_dependencies.clock.now() < m_heartbeatSchedule.dueAt)
        return;
    m_self.leaving = m_leaving;
    const auto sent = m_dependencies.platform.heartbeat(m_self, platformCallTimeout);
    reschedule(m_heartbeatSchedule, sent.has_value(), heartbeatInterval);
}

void PlatformWorker::readInstanceList()
{
    if (!m_dependencies.platform.client || m_dependencies.clock.now() < m_instanceListSchedule.dueAt)
        return;
    auto list = m_dependencies.platform.client->listInstances(platformCallTimeout);
    reschedule(m_instanceListSchedule, list.has_value(), instanceListInterval);
    if (list)
        m_callbacks.onInstanceList(std::move(list).value());
}

void PlatformWorker::pollConfiguration()
{
    if (!m_dependencies.platform.store || m_dependencies.clock.now() < m_configurationSchedule.dueAt)
        return;
    const auto interval = m_isConfigurationReader ? readerPollInterval : fallbackPollInterval;
    const auto latest = m_dependencies.platform.store->readChangeNumber(platformCallTimeout);
    m_dependencies.metrics.count(
        "buckthorncroft_configuration_polls_total", { { "result", latest ? "ok" : toString(latest.error().code) } });
    bool succeeded = latest.has_value();
    if (latest && latest.value() > m_changeNumber) {
        auto configuration = m_dependencies.platform.store->readConfiguration(platformCallTimeout);
        succeeded = configuration.has_value();
        if (configuration)
            m_callbacks.onConfiguration(std::move(configuration).value());
        else
            m_dependencies.logger.write(observe::Level::Warning, "configuration_not_read",
                { { "change", std::to_string(latest.value()) }, { "error", configuration.error().message } });
    }
    reschedule(m_configurationSchedule, succeeded, interval);
}

void PlatformWorker::runProbes()
{
    std::vector<ControlState::DrainProbeRequest> probes;
    {
        const std::lock_guard lock(m_mutex);
        probes.swap(m_pendingProbes);
    }
    for (const auto& it : probes)
        m_callbacks.onDrainProbe(it.name, probeTarget(it));
}

// Sends a request to a target's health endpoint on a new connection; one deadline covers the whole call.
membership::DrainProbeResult PlatformWorker::probeTarget(const ControlState::DrainProbeRequest& request) const
{
    namespace beast = boost::beast;
    namespace http = beast::http;
    using tcp = boost::asio::ip::tcp;
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(request.host, ec);
    if (ec)
        return membership::DrainProbeResult::NoResponse;
    boost::asio::io_context io;
    beast::tcp_stream stream(io);
    http::request<http::empty_body> message(http::verb::get, "/health", 11);
    message.set(http::field::host, request.name.service);
    message.set(http::field::connection, "close");
    beast::flat_buffer buf;
    http::response<http::string_body> response;
    bool isResponseComplete = false;
    stream.expires_after(probeTimeout);
    stream.async_connect(tcp::endpoint(address, request.port), [&](boost::system::error_code connectError) {
        if (connectError)
            return;
        http::async_write(stream, message, [&](boost::system::error_code writeError, std::size_t) {
            if (writeError)
                return;
            http::async_read(stream, buf, response,
                [&](boost::system::error_code readError, std::size_t) { isResponseComplete = !readError; });
        });
    });
    io.run();
    if (!isResponseComplete || buckthorncroft::http::checkResponseHead(response))
        return membership::DrainProbeResult::NoResponse;
    return response.count(drainingHeader) ? membership::DrainProbeResult::StillDraining
                                          : membership::DrainProbeResult::NotDraining;
}

} // namespace buckthorncroft::daemon::detail
