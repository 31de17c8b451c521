#include <buckthorncroft/daemon/control_state.h>

#include <algorithm>
#include <buckthorncroft/health/evidence_pool.h>
#include <buckthorncroft/membership/rendezvous.h>
#include <buckthorncroft/wire/codec.h>

namespace buckthorncroft::daemon {

namespace {

    using std::chrono::duration_cast;
    using std::chrono::milliseconds;

    constexpr double bytesPerMessage = 250; // Peers, sender and transport headers of one message.
    constexpr double bytesPerWindow = 36; // One evidence window, encoded.
    constexpr std::size_t maxRelayedWindows = 5000;
    // Windows that arrived at the time of the last relay are sent again, because some may have come after it.
    constexpr std::chrono::milliseconds relayOverlap { 1 };
    constexpr std::size_t readersPerZone = 2;
    // The set is repeated for this long after it became empty, so that a lost message does not keep a peer's view old.
    constexpr std::chrono::seconds ejectedRepeat { 5 };
    constexpr std::size_t maxKnownSenders = 10'000;
    constexpr std::size_t maxCountedPending = 100'000; // Attempts in flight on one instance are far fewer.
    constexpr double burstSeconds = 1;
    constexpr double transportBytesPerMessage
        = 120; // Frame, header and packet overhead, so that the budget holds on the wire.
    // Scores that are sent even when the budget is used up, because they end traffic to failing targets.
    constexpr std::size_t minScores = 8;
    constexpr double bytesPerScore = 50;

    std::size_t indexOf(const config::Service& service, const std::string& target)
    {
        const auto it = std::find_if(
            service.targets.begin(), service.targets.end(), [&](const config::Target& t) { return t.id == target; });
        return static_cast<std::size_t>(it - service.targets.begin());
    }

    // Keeps the windows of targets that have evidence against them, most suspicious target first, at most `limit`.
    // All windows of a target are kept or none, because good counts that are left out would make it look worse.
    std::vector<health::EvidenceWindow> selectForRelay(
        const std::vector<health::EvidenceWindow>& windows, const health::PooledScores& pooled, std::size_t limit)
    {
        std::vector<health::EvidenceWindow> result;
        for (const auto& score : pooled.scores) {
            if (!score.counts.slowOrBad())
                continue;
            const auto matches
                = [&](const health::EvidenceWindow& it) { return it.target == score.target && it.kind == score.kind; };
            const auto n = static_cast<std::size_t>(std::count_if(windows.begin(), windows.end(), matches));
            if (result.size() + n > limit)
                continue;
            std::copy_if(windows.begin(), windows.end(), std::back_inserter(result), matches);
        }
        return result;
    }

} // namespace

struct ControlState::ServiceState {
    ServiceState(std::shared_ptr<const config::Service> record, const health::Reporter& self, base::SteadyTime now)
        : service(std::move(record))
        , health(*service, self, now)
        , pool(*service, self)
        , pooledAt(now)
        , lastRelay(now)
    {
    }

    std::shared_ptr<const config::Service> service;
    health::ServiceHealth health;
    health::EvidencePool pool;
    health::PooledScores pooled; ///< Result of the last evaluation of `pool`.
    base::SteadyTime pooledAt;
    base::SteadyTime lastRelay;
    base::SteadyTime ejectedUntil {}; ///< The ejected set is sent until then, even when it is empty.
    bool coordinator = false; ///< Whether this instance coordinates the service in its zone.
};

ControlState::ControlState(const membership::Peer& self, std::uint64_t seed, ControlSettings settings)
    : m_settings(settings)
    , m_members(self)
    , m_reporter { self.instance, self.zone, self.incarnation }
    , m_random(seed)
    , m_budget(settings.bytesPerSecond)
{
}

ControlState::~ControlState() = default;

ControlState::ServiceState* ControlState::find(const std::string& service)
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : it->second.get();
}

void ControlState::record(const std::string& service, std::vector<health::StageChange> changes)
{
    for (auto& it : changes)
        m_stageChanges.push_back({ service, std::move(it) });
}

bool ControlState::applyConfiguration(const config::Configuration& configuration, base::SteadyTime now, bool complete)
{
    const bool repaired = !m_complete && complete && configuration.changeNumber == m_change;
    if (configuration.changeNumber <= m_change && !repaired)
        return false;
    std::map<std::string, std::unique_ptr<ServiceState>> services;
    for (const auto& it : configuration.services) {
        const auto known = m_services.find(it.name);
        auto record = std::make_shared<const config::Service>(it);
        if (known == m_services.end()) {
            services.emplace(it.name, std::make_unique<ServiceState>(record, m_reporter, now));
            continue;
        }
        auto& state = *known->second;
        this->record(it.name, state.health.reconfigure(*record, now));
        state.pool.reconfigure(*record);
        state.service = record;
        services.emplace(it.name, std::move(known->second));
    }
    m_services = std::move(services);
    m_change = configuration.changeNumber;
    m_complete = complete;
    for (auto& [name, state] : m_services) {
        for (std::size_t i = 0; i < state->service->targets.size(); ++i) {
            this->record(name,
                state->health.setDraining(
                    i, state->service->targets[i].draining, health::DrainSource::Configuration, now));
        }
    }
    return true;
}

void ControlState::observe(const std::vector<ReportedObservation>& observations)
{
    for (const auto& it : observations) {
        auto* state = it.service ? find(it.service->name) : nullptr;
        if (!state || it.observation.target >= it.service->targets.size())
            continue;
        auto observation = it.observation;
        if (it.service != state->service) {
            observation.target = indexOf(*state->service, it.service->targets[observation.target].id);
            if (observation.target >= state->service->targets.size())
                continue;
        }
        observeOne(*state, it, observation);
    }
}

// A hanging target shows by attempts that are still running, and by attempts that were abandoned because a hedge won;
// waiting for their deadline would keep the target in for seconds longer.
void ControlState::observeOne(ServiceState& state, const ReportedObservation& reported, health::Observation observation)
{
    auto& health = state.health;
    const auto counts = [&] {
        return health.countPendingAsSlow(observation.target, observation.kind, observation.latency, observation.at);
    };
    if (reported.pending) {
        if (m_countedPending.size() < maxCountedPending && !m_countedPending.count(reported.attempt) && counts())
            m_countedPending.insert(reported.attempt);
        return;
    }
    observation.alreadyCounted = m_countedPending.erase(reported.attempt) > 0;
    if (observation.verdict == health::Verdict::Cancelled && !observation.alreadyCounted)
        counts();
    if (observation.verdict == health::Verdict::Draining) {
        const membership::TargetName name { state.service->name, state.service->targets[observation.target].id };
        m_drains.recordAnnouncement(name, observation.at);
        setDraining(name, true, health::DrainSource::TargetResponse, observation.at);
    }
    health.observe(observation);
}

void ControlState::listed(const std::vector<membership::Peer>& entries, base::SteadyTime now)
{
    std::map<std::string, bool> leavingByAddress;
    for (const auto& it : entries)
        leavingByAddress[it.address] = it.leaving;
    std::vector<membership::Peer> instances;
    std::map<std::string, bool> targetAddresses;
    for (auto& [name, state] : m_services) {
        const auto& targets = state->service->targets;
        for (std::size_t i = 0; i < targets.size(); ++i) {
            const auto address = targets[i].host + ":" + std::to_string(targets[i].port);
            const auto it = leavingByAddress.find(address);
            const bool leaving = it != leavingByAddress.end() && it->second;
            targetAddresses[address] = true;
            record(name, state->health.setDraining(i, leaving, health::DrainSource::InstanceList, now));
        }
    }
    for (const auto& it : entries) {
        if (!targetAddresses.count(it.address))
            instances.push_back(it);
    }
    m_members.mergePlatformList(instances, now);
}

void ControlState::setDraining(
    const membership::TargetName& name, bool draining, health::DrainSource source, base::SteadyTime now)
{
    auto* state = find(name.service);
    if (!state)
        return;
    const auto i = indexOf(*state->service, name.target);
    if (i < state->service->targets.size())
        record(name.service, state->health.setDraining(i, draining, source, now));
}

std::vector<ControlState::DrainProbeRequest> ControlState::takeDrainProbes(base::SteadyTime now)
{
    std::vector<DrainProbeRequest> result;
    for (const auto& name : m_drains.takeDueProbes(now)) {
        const auto* state = find(name.service);
        if (!state)
            continue;
        const auto i = indexOf(*state->service, name.target);
        if (i < state->service->targets.size())
            result.push_back({ name, state->service->targets[i].host, state->service->targets[i].port });
    }
    return result;
}

void ControlState::drainProbed(
    const membership::TargetName& name, membership::DrainProbeResult result, base::SteadyTime now)
{
    m_drains.recordProbe(name, result, now);
}

// A target that has come back has restarted, so it ramps up like any started target.
void ControlState::endDrains(base::SteadyTime now)
{
    for (const auto& name : m_drains.takeEndedDrains(now)) {
        setDraining(name, false, health::DrainSource::TargetResponse, now);
        setDraining(name, false, health::DrainSource::Peer, now);
        auto* state = find(name.service);
        if (!state)
            continue;
        const auto i = indexOf(*state->service, name.target);
        if (i < state->service->targets.size())
            record(name.service, state->health.handleTargetStart(i, now));
    }
}

void ControlState::mergeService(const wire::ServiceReport& part, const wire::Report& report, base::SteadyTime now)
{
    auto* state = find(part.service);
    if (!state)
        return; // The sender has a newer or older configuration.
    if (!part.windows.empty())
        state->pool.merge(part.windows, now);
    if (part.pooled)
        state->health.mergePooledScores(*part.pooled, part.pooledAge, now);
    if (part.ejected)
        record(part.service, state->health.mergePeerEjections(report.sender.instance, *part.ejected, now));
    for (const auto& it : part.draining) {
        const membership::TargetName name { part.service, it.target };
        if (indexOf(*state->service, it.target) < state->service->targets.size()
            && m_drains.recordRelayedObservation({ name, it.age }, now))
            setDraining(name, true, health::DrainSource::Peer, now);
    }
}

void ControlState::mergeReport(const wire::Report& report, base::SteadyTime now)
{
    for (const auto& it : report.peers)
        m_members.recordRelayedContact(it.peer, it.age, now);
    if (m_peerChanges.size() < maxKnownSenders || m_peerChanges.count(report.sender.instance))
        m_peerChanges[report.sender.instance] = { report.configurationChange, report.sender.address };
    for (const auto& it : report.services)
        mergeService(it, report, now);
}

wire::Report ControlState::handleReport(const wire::Report& report, bool& accepted, base::SteadyTime now)
{
    accepted = m_members.recordDirectContact(report.sender, now);
    if (accepted) {
        auto& last = m_lastSequence[report.sender.instance];
        accepted = last.first != report.sender.incarnation || report.sequence > last.second;
        if (accepted)
            last = { report.sender.incarnation, report.sequence };
    }
    if (accepted)
        mergeReport(report, now);
    auto reply = makeReport(now);
    for (const auto& it : report.services) {
        if (find(it.service))
            servicePart(reply, it.service, now);
    }
    account(reply);
    return reply;
}

void ControlState::handleReply(const wire::Report& reply, base::SteadyTime now)
{
    // Replies carry no windows to relay, and scores have a sequence of their own, so a late reply does no harm.
    if (m_members.recordDirectContact(reply.sender, now))
        mergeReport(reply, now);
}

void ControlState::evaluatePools(base::SteadyTime now)
{
    std::vector<std::map<health::Reporter, std::set<std::string>>> deviatingReporters;
    for (auto& [name, state] : m_services) {
        const auto* coordinator = m_coordinators.find(name, m_reporter.zone);
        state->coordinator = coordinator && coordinator->instance == m_reporter.instance;
        if (!state->coordinator)
            continue;
        state->pooled = state->pool.evaluate(now);
        state->pooledAt = now;
        state->health.mergePooledScores(state->pooled, health::Duration(0), now);
        deviatingReporters.push_back(state->pool.deviatingReporters());
    }
    const auto faultyReporters = health::ReporterCheck::faultyReporters(deviatingReporters);
    for (auto& [name, state] : m_services)
        state->pool.setIgnoredReporters(faultyReporters);
}

void ControlState::tick(base::SteadyTime now)
{
    m_members.removeExpiredPeers(now);
    m_coordinators = membership::CoordinatorTable(m_members.live(now));
    endDrains(now);
    evaluatePools(now);
    for (auto& [name, state] : m_services)
        record(name, state->health.tick(now));
}

void ControlState::refillBudget(base::SteadyTime now)
{
    const auto seconds = std::chrono::duration<double>(now - m_lastRefill).count();
    m_lastRefill = now;
    m_budget = std::min(m_settings.bytesPerSecond * burstSeconds, m_budget + seconds * m_settings.bytesPerSecond);
}

std::size_t ControlState::affordableWindows() const
{
    return static_cast<std::size_t>(std::max(0.0, m_budget - bytesPerMessage) / bytesPerWindow);
}

void ControlState::account(const wire::Report& report)
{
    const auto bytes = static_cast<double>(wire::encode(report).size()) + transportBytesPerMessage;
    m_bytesSent += static_cast<std::uint64_t>(bytes);
    m_budget -= bytes;
}

wire::Report ControlState::makeReport(base::SteadyTime now)
{
    wire::Report report;
    report.sender = m_members.self();
    report.sequence = ++m_sequence;
    report.configurationChange = m_change;
    report.peers = m_members.takePeersToRelay(m_settings.relayedPeers, now);
    return report;
}

// Adds the part about one service: scores when this instance coordinates it, its ejected set, and drains.
wire::ServiceReport& ControlState::servicePart(wire::Report& report, const std::string& service, base::SteadyTime now)
{
    for (auto& it : report.services) {
        if (it.service == service)
            return it;
    }
    auto& state = *find(service);
    wire::ServiceReport part;
    part.service = service;
    if (state.coordinator) {
        part.pooled = state.pooled;
        std::erase_if(part.pooled->scores, [&](const health::PooledScore& it) {
            return it.score < m_settings.minRelevantScore && it.pathFaultScore < m_settings.minRelevantScore;
        });
        const auto affordable = static_cast<std::size_t>(std::max(0.0, m_budget) / bytesPerScore);
        part.pooled->scores.resize(std::min(part.pooled->scores.size(), std::max(minScores, affordable)));
        part.pooledAge = duration_cast<milliseconds>(now - state.pooledAt);
    }
    auto ejected = state.health.ejectedTargets();
    if (!ejected.empty())
        state.ejectedUntil = now + ejectedRepeat;
    if (now < state.ejectedUntil)
        part.ejected = std::move(ejected);
    for (const auto& it : m_drains.observationsToRelay(now)) {
        if (it.name.service == service)
            part.draining.push_back({ it.name.target, it.age });
    }
    report.services.push_back(std::move(part));
    return report.services.back();
}

OutgoingReport& ControlState::reportFor(
    std::map<std::string, OutgoingReport>& outgoing, const membership::Peer& peer, base::SteadyTime now)
{
    auto it = outgoing.find(peer.instance);
    if (it == outgoing.end())
        it = outgoing.emplace(peer.instance, OutgoingReport { peer.address, peer.instance, makeReport(now) }).first;
    return it->second;
}

// Sends the own windows of each service to the coordinator of the own zone, or keeps them if that is this instance.
void ControlState::addWindows(std::map<std::string, OutgoingReport>& outgoing, base::SteadyTime now)
{
    for (auto& [name, state] : m_services) {
        const auto* coordinator = m_coordinators.find(name, m_reporter.zone);
        if (!coordinator)
            continue;
        if (coordinator->instance == m_reporter.instance) {
            state->pool.merge(state->health.takeReport(now, maxRelayedWindows), now);
            continue;
        }
        const auto limit = affordableWindows();
        auto windows = state->health.takeReport(now, limit);
        // Without news the scores of the coordinator are still needed, for a service that just lost a target.
        auto& report = reportFor(outgoing, *coordinator, now);
        auto& part = servicePart(report.report, name, now);
        m_budget -= static_cast<double>(windows.size()) * bytesPerWindow;
        part.windows = std::move(windows);
    }
}

// Sends what the own zone reported about one service to its coordinators in the other zones.
void ControlState::relayService(
    std::map<std::string, OutgoingReport>& outgoing, const std::string& service, base::SteadyTime now)
{
    auto& state = *find(service);
    auto zones = m_coordinators.zones();
    std::erase(zones, m_reporter.zone);
    const auto changed = state.pool.windowsToRelay(state.lastRelay - relayOverlap, now, maxRelayedWindows);
    const auto windows
        = selectForRelay(changed, state.pooled, affordableWindows() / std::max<std::size_t>(1, zones.size()));
    state.lastRelay = now;
    for (const auto& zone : zones) {
        auto& part = servicePart(reportFor(outgoing, *m_coordinators.find(service, zone), now).report, service, now);
        part.windows.insert(part.windows.end(), windows.begin(), windows.end());
        m_budget -= static_cast<double>(windows.size()) * bytesPerWindow;
    }
}

void ControlState::addRelays(std::map<std::string, OutgoingReport>& outgoing, base::SteadyTime now)
{
    for (const auto& [name, state] : m_services) {
        if (state->coordinator)
            relayService(outgoing, name, now);
    }
}

// One random peer hears from this instance, so that membership and configuration changes spread over the zones.
void ControlState::addHeartbeat(std::map<std::string, OutgoingReport>& outgoing, base::SteadyTime now)
{
    if (now - m_lastHeartbeat < m_settings.heartbeatInterval)
        return;
    m_lastHeartbeat = now;
    auto peers = m_members.live(now);
    std::erase_if(peers, [&](const membership::Peer& it) {
        return it.instance == m_reporter.instance || it.address.empty() || outgoing.count(it.instance);
    });
    if (peers.empty())
        return;
    // Other zones first: the own zone is covered by its coordinators.
    const auto other = std::partition(
        peers.begin(), peers.end(), [&](const membership::Peer& it) { return it.zone != m_reporter.zone; });
    const auto n = other != peers.begin() ? other - peers.begin() : static_cast<std::ptrdiff_t>(peers.size());
    const auto i = std::uniform_int_distribution<std::ptrdiff_t>(0, n - 1)(m_random);
    reportFor(outgoing, peers[static_cast<std::size_t>(i)], now);
}

std::vector<OutgoingReport> ControlState::takeReports(base::SteadyTime now)
{
    const bool hasUrgentEvidence = std::any_of(
        m_services.begin(), m_services.end(), [](const auto& item) { return item.second->health.hasUrgentEvidence(); });
    const auto interval = hasUrgentEvidence ? m_settings.exchangeInterval / 2 : m_settings.exchangeInterval;
    if (now - m_lastExchange < interval)
        return {};
    m_lastExchange = now;
    refillBudget(now);
    m_coordinators = membership::CoordinatorTable(m_members.live(now));
    std::map<std::string, OutgoingReport> outgoing;
    if (m_budget > 0) {
        addWindows(outgoing, now);
        addRelays(outgoing, now);
        addHeartbeat(outgoing, now);
    }
    std::vector<OutgoingReport> result;
    for (auto& [instance, report] : outgoing) {
        if (report.address.empty())
            continue;
        const auto planned = m_budget;
        account(report.report);
        // Windows were charged when they were added.
        for (const auto& it : report.report.services)
            m_budget += static_cast<double>(it.windows.size()) * bytesPerWindow;
        m_budget = std::min(m_budget, planned);
        result.push_back(std::move(report));
    }
    return result;
}

wire::Report ControlState::makeGreeting(base::SteadyTime now)
{
    auto report = makeReport(now);
    account(report);
    return report;
}

std::vector<ServiceStageChange> ControlState::takeStageChanges()
{
    return std::exchange(m_stageChanges, {});
}

std::shared_ptr<const Snapshot> ControlState::snapshot(base::SteadyTime now) const
{
    auto result = std::make_shared<Snapshot>();
    result->change = m_change;
    result->liveInstances = static_cast<unsigned>(m_members.connectionHolderCount(now));
    for (const auto& [name, state] : m_services)
        result->services.push_back({ state->service, state->health.views(now) });
    return result;
}

ControlState::NewerConfiguration ControlState::newerAtPeers() const
{
    NewerConfiguration result;
    for (const auto& [instance, known] : m_peerChanges)
        result.change = std::max(result.change, known.first);
    if (result.change <= m_change)
        return {};
    for (const auto& [instance, known] : m_peerChanges) {
        if (known.first == result.change && !known.second.empty())
            result.addresses.push_back(known.second);
    }
    return result;
}

bool ControlState::isConfigurationReader(base::SteadyTime now) const
{
    std::vector<std::string> names;
    for (const auto& it : m_members.live(now)) {
        if (it.zone == m_reporter.zone)
            names.push_back(it.instance);
    }
    const auto readers = membership::rendezvousTop("configuration-reader", names, readersPerZone);
    return std::find(readers.begin(), readers.end(), m_reporter.instance) != readers.end();
}

std::vector<health::StageExplanation> ControlState::explain(const std::string& service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? std::vector<health::StageExplanation> {} : it->second->health.explain();
}

std::vector<std::string> ControlState::services() const
{
    std::vector<std::string> result;
    for (const auto& [name, state] : m_services)
        result.push_back(name);
    return result;
}

} // namespace buckthorncroft::daemon
