#include "registry_watcher.h"

#include <algorithm>
#include <fmt/format.h>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::milliseconds;

    // A call that the registry does not answer, because it was unreachable, keeps an instance from reading the routes
    // until this timeout and the one of the call have passed.
    constexpr milliseconds routesWaitTimeout { 800 };

    // How long an instance waits for new routes from its zone before it reads them itself, and for how much longer if
    // pieces of them arrive. A random time up to the jitter is added, so that the instances do not read all at once.
    constexpr milliseconds zoneRelayTimeout { 350 };
    constexpr milliseconds zoneRelayProgressTimeout { 300 };
    constexpr milliseconds maxZoneRelayTime { 1200 };
    constexpr milliseconds zoneRelayJitter { 250 };

    // Interval of reads while the registry does not return the version that a peer announced.
    constexpr milliseconds minRoutesReadDelay { 500 };
    constexpr milliseconds maxRoutesReadDelay { 30'000 };

    // After this time without contact with the registry or a peer, the routes may be outdated.
    constexpr milliseconds contactTimeout { 3000 };

    // After the list of instances was read, instances that start at the same time announce themselves within this time.
    constexpr milliseconds roleSettleTime { 300 };

    // A call returns with the first change or after the timeout. Each response is passed on to the other instances,
    // which read for themselves without news for 1.3 s, so both times together must be shorter. Only responses may be
    // passed on: the registry can be silent to the readers while it serves the others. The interval limits the calls; a
    // target that leaves must be detected within 2 s.
    constexpr milliseconds targetsWaitTimeout { 300 };
    constexpr milliseconds targetsPollInterval { 700 };

    // Backoff while the registry is unreachable, because all instances retry and each call is charged.
    constexpr milliseconds minRetryDelay { 250 };
    constexpr milliseconds maxRetryDelay { 1000 };

    // Interval at which an instance that receives deltas checks whether it must read the registry itself.
    constexpr milliseconds roleCheckInterval { 150 };
    constexpr milliseconds peersRetryDelay { 1000 };

} // namespace

RegistryWatcher::RegistryWatcher(http::asio::io_context& io, const base::Clock& clock, Registry& registry,
    const observe::Logger& log, observe::Metrics& metrics, RegistryRelay& relay, PeerRecord self, Handlers handlers)
    : m_io(io)
    , m_clock(clock)
    , m_registry(registry)
    , m_log(log)
    , m_metrics(metrics)
    , m_relay(relay)
    , m_self(std::move(self))
    , m_handlers(std::move(handlers))
    , m_lastContactAt(clock.now())
    , m_random(static_cast<std::minstd_rand::result_type>(std::hash<std::string> {}(m_self.instance)))
    , m_routesTimer(io)
    , m_removalTimer(io)
    , m_targetsRetryDelay(minRetryDelay)
{
}

void RegistryWatcher::start()
{
    startTask("routes", &RegistryWatcher::watchRoutes);
    startTask("targets", &RegistryWatcher::watchTargets);
    startTask("peers", &RegistryWatcher::registerAndListPeers);
}

void RegistryWatcher::startTask(const char* name, Task task)
{
    http::asio::co_spawn(
        m_io, [this, name, task] { return runTask(name, task); }, http::asio::detached);
}

// Runs a task to its end. After an unexpected error, reads everything again and runs the task once more, so that the
// instance does not keep its state for good.
http::Awaitable<void> RegistryWatcher::runTask(const char* name, Task task)
{
    while (true) {
        std::string reason;
        try {
            co_await (this->*task)();
            co_return;
        } catch (const std::exception& error) {
            reason = error.what();
        }
        m_log.write(observe::Level::Error, "task_failed", { { "task", name }, { "reason", reason } });
        refresh();
        co_await sleepFor(maxRetryDelay);
    }
}

void RegistryWatcher::refresh()
{
    m_routesStale = true;
    m_targetsStale = true;
    m_lastContactAt = {};
    m_routesTimer.cancel();
}

http::Awaitable<void> RegistryWatcher::sleepFor(milliseconds time)
{
    http::asio::steady_timer timer(m_io, time);
    http::error_code ec;
    co_await timer.async_wait(http::captureError(ec));
}

void RegistryWatcher::recordFailure(const char* dataSet, const base::Error& error, bool& isUnreachable)
{
    if (!std::exchange(isUnreachable, true)) {
        m_log.write(observe::Level::Warning, "registry_lost",
            { { "reading", dataSet }, { "error", toString(error.code) }, { "reason", error.message } });
    }
}

void RegistryWatcher::recordSuccess(const char* dataSet, bool& isUnreachable)
{
    if (std::exchange(isUnreachable, false))
        m_log.write(observe::Level::Info, "registry_regained", { { "reading", dataSet } });
}

http::Awaitable<void> RegistryWatcher::watchRoutes()
{
    while (true) {
        if (std::exchange(m_routesStale, false))
            m_routesRegistryVersion = 0;
        const bool isFullRead = m_routesRegistryVersion == 0 || isRoutesReadDue();
        if (!isFullRead && m_relay.role() == ReaderRole::None) {
            co_await waitForRouteNews();
            continue;
        }
        auto operation = isFullRead ? m_registry.readRoutes()
                                    : m_registry.waitForRoutes(m_routesRegistryVersion, routesWaitTimeout);
        auto update = co_await std::move(operation);
        if (update) {
            recordSuccess("routes", m_routesUnreachable);
            m_lastContactAt = m_clock.now();
            applyRoutes(update.value());
            if (isFullRead && m_wantedRoutesVersion != 0)
                scheduleRoutesRetry();
            continue;
        }
        m_routesRegistryVersion = 0;
        if (update.error().code == base::ErrorCode::NotFound)
            continue;
        recordFailure("routes", update.error(), m_routesUnreachable);
        co_await sleepFor(minRetryDelay);
    }
}

// Whether the wanted routes must be read from the registry, because the peers have not sent them.
bool RegistryWatcher::isRoutesReadDue()
{
    const auto now = m_clock.now();
    if (now < m_readRoutesAt)
        return false;
    const auto progressAt = m_relay.routes().lastProgressAt();
    if (progressAt + zoneRelayProgressTimeout <= now || now - m_routesWantedAt >= maxZoneRelayTime)
        return true;
    m_readRoutesAt = progressAt + zoneRelayProgressTimeout;
    return false;
}

// The registry does not hold the version that a peer announced.
void RegistryWatcher::scheduleRoutesRetry()
{
    m_routesReadDelay = std::clamp(m_routesReadDelay * 2, minRoutesReadDelay, maxRoutesReadDelay);
    m_readRoutesAt = m_clock.now() + m_routesReadDelay;
}

// Waits until there may be something to do for an instance that does not wait for routes at the registry.
http::Awaitable<void> RegistryWatcher::waitForRouteNews()
{
    http::error_code ec;
    m_routesTimer.expires_at(std::min(m_readRoutesAt, m_clock.now() + roleCheckInterval));
    co_await m_routesTimer.async_wait(http::captureError(ec));
}

void RegistryWatcher::noteRouteVersion(std::uint64_t version)
{
    if (version <= m_appliedRoutesVersion || version <= m_wantedRoutesVersion)
        return;
    m_wantedRoutesVersion = version;
    m_routesWantedAt = m_clock.now();
    m_routesReadDelay = milliseconds(0);
    m_relay.routes().want(version);
    const milliseconds jitter(std::uniform_int_distribution<int>(0, zoneRelayJitter.count())(m_random));
    m_readRoutesAt = m_routesWantedAt + (m_relay.isZoneReader() ? milliseconds(0) : zoneRelayTimeout + jitter);
    m_routesTimer.cancel();
}

bool RegistryWatcher::mayBeOutdated() const
{
    return m_wantedRoutesVersion > m_appliedRoutesVersion || m_clock.now() - m_lastContactAt > contactTimeout;
}

void RegistryWatcher::applyRelayedRoutes(std::uint64_t version, const std::string& document)
{
    if (version <= m_appliedRoutesVersion)
        return;
    const auto routes = m_registry.decodeRoutes(document);
    if (!routes || routes.value().version != version) {
        m_log.write(observe::Level::Warning, "relayed_routes_rejected",
            { { "version", std::to_string(version) },
                { "reason", routes ? "the version differs" : routes.error().message } });
        m_relay.routes().reject(version);
        return;
    }
    installRoutes(routes.value(), document, "peer");
}

void RegistryWatcher::applyRoutes(const RoutesUpdate& update)
{
    m_routesRegistryVersion = update.version;
    if (!update.problem.empty()) {
        m_log.write(observe::Level::Error, "routes_rejected",
            { { "reason", update.problem }, { "in_force", std::to_string(m_appliedRoutesVersion) } });
    }
    if (!update.routes || !installRoutes(*update.routes, update.document, "registry"))
        return;
    const bool isReader = m_relay.role() == ReaderRole::Reader;
    if (isReader)
        m_relay.sendRouteVersion();
    if (isReader || m_relay.isZoneReader())
        m_relay.routes().distribute();
}

// A process never returns to older routes, even if the registry does.
bool RegistryWatcher::installRoutes(const routing::RouteSet& routes, const std::string& document, const char* source)
{
    if (routes.version <= m_appliedRoutesVersion)
        return false;
    m_log.write(observe::Level::Info, "routes_applied",
        { { "version", std::to_string(routes.version) }, { "previous", std::to_string(m_appliedRoutesVersion) },
            { "routes", std::to_string(routes.routes.size()) }, { "source", source } });
    reportWorkspaceProblems(routes);
    m_appliedRoutesVersion = routes.version;
    m_relay.routes().setCurrent({ routes.version, document });
    if (m_wantedRoutesVersion <= routes.version) {
        m_wantedRoutesVersion = 0;
        m_readRoutesAt = base::SteadyTime::max();
    }
    m_handlers.onRoutes(std::make_shared<const routing::RouteTable>(routes));
    return true;
}

// Entries that cannot be read are left out; the other workspaces and keys hold.
void RegistryWatcher::reportWorkspaceProblems(const routing::RouteSet& routes)
{
    const auto& problems = routes.workspaceProblems;
    m_metrics.set("buckthorncroft_workspaces_ignored", {}, static_cast<double>(problems.workspaces));
    m_metrics.set("buckthorncroft_workspace_keys_ignored", {}, static_cast<double>(problems.keys));
    if (problems.isEmpty())
        return;
    m_log.write(observe::Level::Warning, "workspaces_ignored",
        { { "version", std::to_string(routes.version) }, { "workspaces", std::to_string(problems.workspaces) },
            { "keys", std::to_string(problems.keys) },
            { "reason", fmt::format("{}", fmt::join(problems.reasons, "; ")) } });
}

http::Awaitable<void> RegistryWatcher::watchTargets()
{
    while (true) {
        const auto startedAt = m_clock.now();
        const bool isStale = std::exchange(m_targetsStale, false);
        if (isStale)
            m_targetsRegistryVersion = 0;
        const bool wasDeltaMissed = std::exchange(m_deltaMissed, false);
        if (m_targetsRegistryVersion != 0 && !wasDeltaMissed && m_relay.role() == ReaderRole::None) {
            co_await sleepFor(roleCheckInterval);
            continue;
        }
        co_await pollTargets();
        const auto nextPollAt = startedAt + targetsPollInterval;
        if (const auto now = m_clock.now(); now < nextPollAt && !m_targetsUnreachable)
            co_await sleepFor(std::chrono::duration_cast<milliseconds>(nextPollAt - now));
    }
}

http::Awaitable<void> RegistryWatcher::pollTargets()
{
    const bool isFullListing = m_targetsRegistryVersion == 0;
    m_outage.recordReadStart(m_clock.now());
    auto operation = isFullListing ? m_registry.readTargets()
                                   : m_registry.waitForTargets(m_targetsRegistryVersion, targetsWaitTimeout);
    auto update = co_await std::move(operation);
    const bool hasResponded = update || update.error().code == base::ErrorCode::NotFound;
    if (hasResponded)
        m_outage.recordReadSuccess(m_clock.now());
    else
        m_outage.recordReadFailure();
    if (update) {
        recordSuccess("targets", m_targetsUnreachable);
        m_lastContactAt = m_clock.now();
        m_targetsRetryDelay = minRetryDelay;
        applyTargets(update.value(), isFullListing);
        co_return;
    }
    if (hasResponded) {
        m_targetsRegistryVersion = 0;
        co_return;
    }
    recordFailure("targets", update.error(), m_targetsUnreachable);
    if (m_relay.role() == ReaderRole::Reader)
        m_relay.sendRegistryUnreachable();
    co_await sleepFor(m_targetsRetryDelay);
    m_targetsRetryDelay = std::min(maxRetryDelay, m_targetsRetryDelay * 2);
}

void RegistryWatcher::applyTargets(const TargetsUpdate& update, bool isFullListing)
{
    reportMalformed(update, isFullListing);
    if (isFullListing) {
        replaceTargets(update);
        return;
    }
    // A peer's delta was newer than this response. Its changes are known, and some may have been undone since.
    if (update.version < m_targetsRegistryVersion)
        return;
    TargetDelta delta { m_targetsRegistryVersion, update.version, {} };
    bool changed = false;
    for (const auto& it : update.changes) {
        const bool applied = applyChange(it, "registry");
        changed = changed || applied;
        // Each receiver decides for itself whether it delays a removal. It does not read this version again.
        if (applied || !it.record)
            delta.changes.push_back(it);
    }
    m_targetsRegistryVersion = update.version;
    if (changed)
        m_handlers.onTargets(m_directory.targets());
    if (m_relay.role() == ReaderRole::Reader)
        m_relay.sendDelta(delta, m_directory.leavingTargets(m_clock.now(), RegistryRelay::leavingRepeatTime));
}

// Logs and counts each invalid entry once, until its reason changes.
void RegistryWatcher::reportMalformed(const TargetsUpdate& update, bool isFullListing)
{
    std::map<std::string, std::string> reasons;
    for (const auto& it : update.malformed)
        reasons[it.id] = it.reason;
    for (const auto& [id, reason] : reasons) {
        const auto known = m_malformedEntries.find(id);
        if (known != m_malformedEntries.end() && known->second == reason)
            continue;
        m_metrics.count("buckthorncroft_registry_entries_ignored_total");
        m_log.write(observe::Level::Warning, "target_entry_ignored", { { "target", id }, { "reason", reason } });
    }
    if (isFullListing)
        m_malformedEntries.clear();
    for (const auto& it : update.changes)
        m_malformedEntries.erase(it.id);
    m_malformedEntries.merge(reasons);
}

bool RegistryWatcher::markLeaving(const membership::LeavingTarget& target)
{
    if (!m_directory.markLeaving(target, m_clock.now()))
        return false;
    m_log.write(observe::Level::Info, "target_changed",
        { { "target", target.id }, { "state", "draining" }, { "source", "response" } });
    m_handlers.onTargets(m_directory.targets());
    return true;
}

void RegistryWatcher::replaceTargets(const TargetsUpdate& update)
{
    std::vector<membership::TargetRecord> records;
    for (const auto& it : update.changes) {
        if (it.record)
            records.push_back(*it.record);
    }
    m_directory.replaceAll(records, m_clock.now());
    scheduleDelayedRemovals();
    m_targetsRegistryVersion = update.version;
    m_log.write(observe::Level::Info, "targets_listed",
        { { "targets", std::to_string(records.size()) }, { "registry_version", std::to_string(update.version) } });
    m_handlers.onTargets(m_directory.targets());
}

bool RegistryWatcher::applyChange(const TargetChange& change, const char* source)
{
    const auto now = m_clock.now();
    const bool changed = change.record ? m_directory.upsert(*change.record, now) : m_directory.remove(change.id, now);
    if (changed) {
        const char* state = !change.record ? "gone" : change.record->draining ? "draining" : "ready";
        m_log.write(observe::Level::Info, "target_changed",
            { { "target", change.id }, { "state", state }, { "source", source } });
    } else if (!change.record && m_directory.isRemovalDelayed(change.id)) {
        m_log.write(observe::Level::Info, "target_removal_delayed", { { "target", change.id }, { "source", source } });
        scheduleDelayedRemovals();
    }
    return changed;
}

void RegistryWatcher::scheduleDelayedRemovals()
{
    const auto dueAt = m_directory.nextRemovalAt();
    if (!dueAt)
        return;
    m_removalTimer.expires_at(*dueAt);
    m_removalTimer.async_wait([this](http::error_code ec) {
        if (ec)
            return;
        applyDelayedRemovals();
        scheduleDelayedRemovals();
    });
}

void RegistryWatcher::applyDelayedRemovals()
{
    const auto removed = m_directory.applyDueRemovals(m_clock.now());
    for (const auto& it : removed) {
        m_log.write(observe::Level::Info, "target_changed",
            { { "target", it }, { "state", "gone" }, { "source", "not registered again" } });
    }
    if (!removed.empty())
        m_handlers.onTargets(m_directory.targets());
}

void RegistryWatcher::applyDelta(const TargetDelta& delta)
{
    m_outage.recordRelayedResponse(m_clock.now());
    if (m_targetsRegistryVersion == 0 || delta.toVersion <= m_targetsRegistryVersion)
        return;
    if (delta.fromVersion > m_targetsRegistryVersion) {
        m_deltaMissed = true;
        return;
    }
    m_targetsRegistryVersion = delta.toVersion;
    bool changed = false;
    for (const auto& it : delta.changes)
        changed = applyChange(it, "peer") || changed;
    if (changed)
        m_handlers.onTargets(m_directory.targets());
}

http::Awaitable<void> RegistryWatcher::registerAndListPeers()
{
    while (true) {
        auto announced = co_await m_registry.announce(m_self);
        if (announced) {
            auto peers = co_await m_registry.listPeers();
            if (peers) {
                recordSuccess("peers", m_peersUnreachable);
                for (const auto& it : peers.value())
                    m_handlers.onPeer(it);
                co_await sleepFor(roleSettleTime);
                m_relay.setPeersKnown();
                co_return;
            }
            recordFailure("peers", peers.error(), m_peersUnreachable);
        } else {
            recordFailure("peers", announced.error(), m_peersUnreachable);
        }
        co_await sleepFor(peersRetryDelay);
    }
}

} // namespace buckthorncroft::gateway
