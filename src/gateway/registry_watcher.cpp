#include "registry_watcher.h"

#include <fmt/format.h>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::milliseconds;

    // Routes change rarely, so the question waits for long; keep-alive probes find a silent connection.
    constexpr milliseconds routesWait { 28'000 };

    // Heartbeats change the targets' entries all the time, so the question returns at once; a target that leaves must
    // be known within 2 s.
    constexpr milliseconds targetsWait { 1000 };
    constexpr milliseconds targetsInterval { 700 };

    // All instances call again when the store is away, and each call is priced.
    constexpr milliseconds retryPause { 250 };
    constexpr milliseconds longestRetryPause { 1000 };

    // How often an instance that hears from readers looks whether it must read by itself.
    constexpr milliseconds roleCheck { 150 };
    constexpr milliseconds joinPause { 1000 };

} // namespace

RegistryWatcher::RegistryWatcher(http::asio::io_context& io, const base::Clock& clock, Registry& registry,
    const observe::Logger& log, TargetRelay& relay, PeerRecord self, Events events)
    : m_io(io)
    , m_clock(clock)
    , m_registry(registry)
    , m_log(log)
    , m_relay(relay)
    , m_self(std::move(self))
    , m_events(std::move(events))
    , m_retryPause(retryPause)
{
}

void RegistryWatcher::start()
{
    http::asio::co_spawn(
        m_io, [this] { return watchRoutes(); }, http::asio::detached);
    http::asio::co_spawn(
        m_io, [this] { return watchTargets(); }, http::asio::detached);
    http::asio::co_spawn(
        m_io, [this] { return joinPeers(); }, http::asio::detached);
}

void RegistryWatcher::refresh()
{
    m_routesStale = true;
    m_targetsStale = true;
}

http::Awaitable<void> RegistryWatcher::pause(milliseconds time)
{
    http::asio::steady_timer timer(m_io, time);
    http::error_code ec;
    co_await timer.async_wait(http::captureError(ec));
}

void RegistryWatcher::noteError(const char* what, const base::Error& error, bool& lost)
{
    if (!std::exchange(lost, true)) {
        m_log.write(observe::Level::Warning, "registry_lost",
            { { "reading", what }, { "error", toString(error.code) }, { "reason", error.message } });
    }
}

void RegistryWatcher::noteSuccess(const char* what, bool& lost)
{
    if (std::exchange(lost, false))
        m_log.write(observe::Level::Info, "registry_regained", { { "reading", what } });
}

http::Awaitable<void> RegistryWatcher::watchRoutes()
{
    while (true) {
        if (std::exchange(m_routesStale, false))
            m_routesVersion = 0;
        auto call = m_routesVersion ? m_registry.nextRoutes(m_routesVersion, routesWait) : m_registry.routes();
        auto reading = co_await std::move(call);
        if (reading) {
            noteSuccess("routes", m_routesLost);
            takeRoutes(reading.value());
            continue;
        }
        m_routesVersion = 0;
        if (reading.error().code == base::ErrorCode::NotFound)
            continue;
        noteError("routes", reading.error(), m_routesLost);
        co_await pause(retryPause);
    }
}

void RegistryWatcher::takeRoutes(const RoutesReading& reading)
{
    m_routesVersion = reading.version;
    if (!reading.problem.empty()) {
        m_log.write(observe::Level::Error, "routes_rejected",
            { { "reason", reading.problem }, { "in_force", std::to_string(m_routesInForce) } });
    }
    // A process never goes back to older routes, whatever it reads.
    if (!reading.routes || reading.routes->version <= m_routesInForce)
        return;
    m_log.write(observe::Level::Info, "routes_applied",
        { { "version", std::to_string(reading.routes->version) }, { "previous", std::to_string(m_routesInForce) },
            { "routes", std::to_string(reading.routes->routes.size()) } });
    m_routesInForce = reading.routes->version;
    m_events.routes(std::make_shared<const routing::RouteTable>(*reading.routes));
}

http::Awaitable<void> RegistryWatcher::watchTargets()
{
    while (true) {
        const auto began = m_clock.now();
        expireTargets();
        const bool stale = std::exchange(m_targetsStale, false);
        if (stale)
            m_targetsVersion = 0;
        const bool missed = std::exchange(m_newsMissed, false);
        if (m_targetsVersion != 0 && !missed && m_relay.role() == ReaderRole::None) {
            co_await pause(roleCheck);
            continue;
        }
        co_await readTargets();
        const auto next = began + targetsInterval;
        if (const auto now = m_clock.now(); now < next && !m_targetsLost)
            co_await pause(std::chrono::duration_cast<milliseconds>(next - now));
    }
}

http::Awaitable<void> RegistryWatcher::readTargets()
{
    const bool whole = m_targetsVersion == 0;
    auto call = whole ? m_registry.targets() : m_registry.nextTargets(m_targetsVersion, targetsWait);
    auto reading = co_await std::move(call);
    if (reading) {
        noteSuccess("targets", m_targetsLost);
        m_retryPause = retryPause;
        takeTargets(reading.value(), whole);
        co_return;
    }
    if (reading.error().code == base::ErrorCode::NotFound) {
        m_targetsVersion = 0;
        co_return;
    }
    m_directory.recordFailedRead(m_clock.now());
    noteError("targets", reading.error(), m_targetsLost);
    if (m_relay.role() == ReaderRole::Reader)
        m_relay.tellLost();
    co_await pause(m_retryPause);
    m_retryPause = std::min(longestRetryPause, m_retryPause * 2);
}

void RegistryWatcher::takeTargets(const TargetsReading& reading, bool whole)
{
    for (const auto& it : reading.malformed)
        m_log.write(observe::Level::Warning, "target_entry_ignored", { { "reason", it } });
    if (whole) {
        replaceTargets(reading);
        return;
    }
    TargetNews news { m_targetsVersion, reading.version, std::exchange(m_untold, {}) };
    bool changed = false;
    for (const auto& it : reading.changes) {
        if (!applyChange(it, "registry"))
            continue;
        changed = true;
        news.changes.push_back(it);
    }
    m_targetsVersion = std::max(m_targetsVersion, reading.version);
    if (changed)
        m_events.targets(m_directory.targets());
    if (m_relay.role() == ReaderRole::Reader)
        m_relay.tell(news);
}

void RegistryWatcher::replaceTargets(const TargetsReading& reading)
{
    std::vector<membership::TargetRecord> records;
    for (const auto& it : reading.changes) {
        if (it.record)
            records.push_back(*it.record);
    }
    m_directory.replaceAll(records, m_clock.now());
    m_targetsVersion = reading.version;
    m_log.write(observe::Level::Info, "targets_listed",
        { { "targets", std::to_string(records.size()) }, { "registry_version", std::to_string(reading.version) } });
    m_events.targets(m_directory.targets());
}

bool RegistryWatcher::applyChange(const TargetChange& change, const char* source)
{
    const auto now = m_clock.now();
    const bool changed = change.record ? m_directory.upsert(*change.record, now) : m_directory.remove(change.id, now);
    if (changed) {
        const char* state = !change.record ? "gone" : change.record->draining ? "draining" : "ready";
        m_log.write(observe::Level::Info, "target_changed",
            { { "target", change.id }, { "state", state }, { "source", source } });
    }
    return changed;
}

void RegistryWatcher::expireTargets()
{
    const auto expired = m_directory.applyDueRemovals(m_clock.now());
    for (const auto& it : expired) {
        m_untold.push_back({ it, std::nullopt });
        m_log.write(observe::Level::Info, "target_changed",
            { { "target", it }, { "state", "gone" }, { "source", "not registered again" } });
    }
    if (!expired.empty())
        m_events.targets(m_directory.targets());
}

void RegistryWatcher::takeNews(const TargetNews& news)
{
    if (m_targetsVersion == 0 || news.to <= m_targetsVersion)
        return;
    if (news.from > m_targetsVersion) {
        m_newsMissed = true;
        return;
    }
    m_targetsVersion = news.to;
    bool changed = false;
    for (const auto& it : news.changes)
        changed = applyChange(it, "peer") || changed;
    if (changed)
        m_events.targets(m_directory.targets());
}

http::Awaitable<void> RegistryWatcher::joinPeers()
{
    while (true) {
        auto announced = co_await m_registry.announce(m_self);
        if (announced) {
            auto peers = co_await m_registry.peers();
            if (peers) {
                noteSuccess("peers", m_peersLost);
                for (const auto& it : peers.value())
                    m_events.peer(it);
                co_return;
            }
            noteError("peers", peers.error(), m_peersLost);
        } else {
            noteError("peers", announced.error(), m_peersLost);
        }
        co_await pause(joinPause);
    }
}

} // namespace buckthorncroft::gateway
