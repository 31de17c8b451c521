#include "platform_worker.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace buckthorncroft::daemon::detail {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds callTimeout { 1500 };
    constexpr milliseconds loopInterval { 50 };
    constexpr milliseconds heartbeatInterval { 2000 };
    constexpr milliseconds listInterval { 2000 };
    constexpr milliseconds readerInterval { 1000 };
    constexpr milliseconds safetyInterval { 30'000 };
    constexpr milliseconds probeTimeout { 1000 };
    // Few instances poll, so a short backoff loads the returning store little and keeps the time until a change is in
    // force within its bound.
    constexpr unsigned maxBackoffDoublings = 1;
    constexpr std::size_t maxPendingProbes = 1000;
    constexpr const char* drainingHeader = "Buckthorncroft-Draining";

} // namespace

PlatformWorker::PlatformWorker(
    const ControlPlaneParts& parts, store::ListedInstance self, std::uint64_t seed, PlatformEvents events)
    : m_parts(parts)
    , m_self(std::move(self))
    , m_random(seed)
    , m_events(std::move(events))
    , m_thread([this] { run(); })
{
}

PlatformWorker::~PlatformWorker()
{
    m_stopping = true;
    m_thread.join();
}

void PlatformWorker::probe(std::vector<ControlState::DrainProbeRequest> requests)
{
    const std::lock_guard lock(m_mutex);
    for (auto& it : requests) {
        if (m_probes.size() < maxPendingProbes)
            m_probes.push_back(std::move(it));
    }
}

void PlatformWorker::run()
{
    while (!m_stopping) {
        sendHeartbeat();
        readList();
        pollConfiguration();
        runProbes();
        std::this_thread::sleep_for(loopInterval);
    }
    // The last heartbeat says that this instance is leaving.
    m_heartbeat.due = {};
    sendHeartbeat();
}

void PlatformWorker::reschedule(Schedule& schedule, bool succeeded, milliseconds interval)
{
    schedule.failures = succeeded ? 0 : std::min(schedule.failures + 1, maxBackoffDoublings);
    const auto longest = interval * (1 << schedule.failures);
    const auto shortest = succeeded ? interval * 9 / 10 : interval;
    std::uniform_int_distribution<std::int64_t> delay(shortest.count(), std::max(shortest, longest).count());
    schedule.due = m_parts.clock.now() + milliseconds(delay(m_random));
}

void PlatformWorker::sendHeartbeat()
{
    if (!m_parts.platform.heartbeat || m_parts.clock.now() < m_heartbeat.due)
        return;
    m_self.leaving = m_leaving;
    const auto sent = m_parts.platform.heartbeat(m_self, callTimeout);
    reschedule(m_heartbeat, sent.has_value(), heartbeatInterval);
}

void PlatformWorker::readList()
{
    if (!m_parts.platform.platform || m_parts.clock.now() < m_list.due)
        return;
    auto list = m_parts.platform.platform->listInstances(callTimeout);
    reschedule(m_list, list.has_value(), listInterval);
    if (list)
        m_events.listed(std::move(list).value());
}

void PlatformWorker::pollConfiguration()
{
    if (!m_parts.platform.store || m_parts.clock.now() < m_poll.due)
        return;
    const auto interval = m_reader ? readerInterval : safetyInterval;
    const auto latest = m_parts.platform.store->readChangeNumber(callTimeout);
    m_parts.metrics.count(
        "buckthorncroft_configuration_polls_total", { { "result", latest ? "ok" : toString(latest.error().code) } });
    bool succeeded = latest.has_value();
    if (latest && latest.value() > m_change) {
        auto configuration = m_parts.platform.store->readConfiguration(callTimeout);
        succeeded = configuration.has_value();
        if (configuration)
            m_events.configuration(std::move(configuration).value());
        else
            m_parts.logger.write(observe::Level::Warning, "configuration_not_read",
                { { "change", std::to_string(latest.value()) }, { "error", configuration.error().message } });
    }
    reschedule(m_poll, succeeded, interval);
}

void PlatformWorker::runProbes()
{
    std::vector<ControlState::DrainProbeRequest> probes;
    {
        const std::lock_guard lock(m_mutex);
        probes.swap(m_probes);
    }
    for (const auto& it : probes)
        m_events.drainProbed(it.name, probeTarget(it));
}

// Asks a target's health endpoint on a connection of its own; one deadline covers the whole call.
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
    bool answered = false;
    stream.expires_after(probeTimeout);
    stream.async_connect(tcp::endpoint(address, request.port), [&](boost::system::error_code connectError) {
        if (connectError)
            return;
        http::async_write(stream, message, [&](boost::system::error_code writeError, std::size_t) {
            if (writeError)
                return;
            http::async_read(stream, buf, response,
                [&](boost::system::error_code readError, std::size_t) { answered = !readError; });
        });
    });
    io.run();
    if (!answered)
        return membership::DrainProbeResult::NoResponse;
    return response.count(drainingHeader) ? membership::DrainProbeResult::StillDraining
                                          : membership::DrainProbeResult::NotDraining;
}

} // namespace buckthorncroft::daemon::detail
