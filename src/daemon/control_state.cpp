#include <buckthorncroft/daemon/control_state.h>

#include <algorithm>
#include <buckthorncroft/health/evidence_pool.h>
#include <buckthorncroft/membership/rendezvous.h>
#include <buckthorncroft/wire/codec.h>

namespace buckthorncroft::daemon {

namespace {

    using std::chrono::duration_cast;
    using std::chrono::milliseconds;

    // Estimated size of a message without windows: peers, sender and transport overhead.
    constexpr double bytesPerEmptyMessage = 250;
    constexpr double bytesPerWindow = 36; // Estimated size of one encoded evidence window.
    constexpr std::size_t maxRelayedWindows = 5000;
    // Windows that arrived at the instant of the last relay are sent again, because some of them may have missed it.
    constexpr std::chrono::milliseconds relayOverlap { 1 };
    constexpr std::size_t readersPerZone = 2;
    // An ejected set that became empty is sent for this long, so that a lost message does not leave a peer with the
    // old set.
    constexpr std::chrono::seconds emptyEjectedSetTtl { 5 };
    constexpr std::size_t maxPeerChangeNumbers = 10'000; // Entries in `m_peerChangeNumbers`.
    constexpr std::size_t maxCountedPending = 100'000; // Far above the attempts in flight on one instance.
    constexpr double burstSeconds = 1; // Unused budget accumulates for at most this time.
    // Frame, header and packet overhead, so that the budget holds on the wire.
    constexpr double transportBytesPerMessage = 120;
    // This many scores are sent even when the budget is exhausted, because they end traffic to failing targets.
    constexpr std::size_t minScoresPerReport = 8;
    constexpr double bytesPerScore = 50; // Estimated size of one encoded pooled score.

    std::size_t indexOf(const config::Service& service, const std::string& target)
    {
        const auto it = std::find_if(
            service.targets.begin(), service.targets.end(), [&](const config::Target& t) { return t.id == target; });
        return static_cast<std::size_t>(it - service.targets.begin());
    }

    // Selects at most `limit` windows of targets that have evidence against them, most suspect target first. Either all
    // windows of a target are selected or none, because leaving out good counts would make the target look worse.
    std::vector<health::EvidenceWindow> selectWindowsToRelay(
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
        , lastRelayAt(now)
    {
    }

    std::shared_ptr<const config::Service> service;
    health::ServiceHealth health;
    health::EvidencePool pool;
    health::PooledScores pooled; ///< Result of the last evaluation of `pool`.
    base::SteadyTime pooledAt;
    base::SteadyTime lastRelayAt;
    base::SteadyTime ejectedSetDeadline {}; ///< Until then the ejected set is sent even if it is empty.
    bool isCoordinator = false; ///< Whether this instance coordinates the service in its zone.
};

ControlState::ControlState(const membership::Peer& self, std::uint64_t seed, ControlSettings settings)
    : m_settings(settings)
    , m_members(self)
    , m_reporter { self.instance, self.zone, self.incarnation }
    , m_random(seed)
    , m_budgetBytes(settings.maxSentBytesPerSecond)
{
}

ControlState::~ControlState() = default;

ControlState::ServiceState* ControlState::findService(const std::string& service)
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : it->second.get();
}

void ControlState::recordStageChanges(const std::string& service, std::vector<health::StageChange> changes)
{
    for (auto& it : changes)
        m_stageChanges.push_back({ service, std::move(it) });
}

bool ControlState::applyConfiguration(const config::Configuration& configuration, base::SteadyTime now, bool complete)
{
    const bool repaired = !m_isComplete && complete && configuration.changeNumber == m_changeNumber;
    if (configuration.changeNumber <= m_changeNumber && !repaired)
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
        this->recordStageChanges(it.name, state.health.reconfigure(*record, now));
        state.pool.reconfigure(*record);
        state.service = record;
        services.emplace(it.name, std::move(known->second));
    }
    m_services = std::move(services);
    m_changeNumber = configuration.changeNumber;
    m_isComplete = complete;
    for (auto& [name, state] : m_services) {
        for (std::size_t i = 0; i < state->service->targets.size(); ++i) {
            this->recordStageChanges(name,
                state->health.setDraining(
                    i, state->service->targets[i].draining, health::DrainSource::Configuration, now));
        }
    }
    return true;
}

void ControlState::observe(const std::vector<ReportedObservation>& observations)
{
    for (const auto& it : observations) {
        auto* state = it.service ? findService(it.service->name) : nullptr;
        if (!state || it.observation.target >= it.service->targets.size())
            continue;
        auto observation = it.observation;
        if (it.service != state->service) {
            observation.target = indexOf(*state->service, it.service->targets[observation.target].id);
            if (observation.target >= state->service->targets.size())
                continue;
        }
        observeAttempt(*state, it, observation);
    }
}

// Pending attempts, and attempts that were cancelled because a hedge won, are evidence of a hanging target. Waiting for
// their deadline would keep the target in service for seconds longer.
void ControlState::observeAttempt(
    ServiceState& state, const ReportedObservation& reported, health::Observation observation)
{
    auto& health = state.health;
    const auto countAsSlow = [&] {
        return health.countPendingAsSlow(observation.target, observation.kind, observation.latency, observation.at);
    };
    if (reported.pending) {
        if (m_countedPending.size() < maxCountedPending && !m_countedPending.count(reported.attempt) && countAsSlow())
            m_countedPending.insert(reported.attempt);
        return;
    }
    observation.alreadyCounted = m_countedPending.erase(reported.attempt) > 0;
    if (observation.verdict == health::Verdict::Cancelled && !observation.alreadyCounted)
        countAsSlow();
    if (observation.verdict == health::Verdict::Draining) {
        const membership::TargetName name { state.service->name, state.service->targets[observation.target].id };
        m_drains.recordAnnouncement(name, observation.at);
        setDraining(name, true, health::DrainSource::TargetResponse, observation.at);
    }
    health.observe(observation);
}

void ControlState::applyInstanceList(const std::vector<membership::Peer>& entries, base::SteadyTime now)
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
            recordStageChanges(name, state->health.setDraining(i, leaving, health::DrainSource::InstanceList, now));
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
    auto* state = findService(name.service);
    if (!state)
        return;
    const auto i = indexOf(*state->service, name.target);
    if (i < state->service->targets.size())
        recordStageChanges(name.service, state->health.setDraining(i, draining, source, now));
}

std::vector<ControlState::DrainProbeRequest> ControlState::takeDrainProbes(base::SteadyTime now)
{
    std::vector<DrainProbeRequest> result;
    for (const auto& name : m_drains.takeDueProbes(now)) {
        const auto* state = findService(name.service);
        if (!state)
            continue;
        const auto i = indexOf(*state->service, name.target);
        if (i < state->service->targets.size())
            result.push_back({ name, state->service->targets[i].host, state->service->targets[i].port });
    }
    return result;
}

void ControlState::recordDrainProbe(
    const membership::TargetName& name, membership::DrainProbeResult result, base::SteadyTime now)
{
    m_drains.recordProbe(name, result, now);
}

// A target whose drain ended has restarted, so it ramps up like any newly started target.
void ControlState::applyEndedDrains(base::SteadyTime now)
{
    for (const auto& name : m_drains.takeEndedDrains(now)) {
        setDraining(name, false, health::DrainSource::TargetResponse, now);
        setDraining(name, false, health::DrainSource::Peer, now);
        auto* state = findService(name.service);
        if (!state)
            continue;
        const auto i = indexOf(*state->service, name.target);
        if (i < state->service->targets.size())
            recordStageChanges(name.service, state->health.handleTargetStart(i, now));
    }
}

void ControlState::mergeServiceReport(const wire::ServiceReport& part, const wire::Report& report, base::SteadyTime now)
{
    auto* state = findService(part.service);
    if (!state)
        return; // The sender's configuration is newer or older.
    if (!part.windows.empty())
        state->pool.merge(part.windows, now);
    if (part.pooled)
        state->health.mergePooledScores(*part.pooled, part.pooledAge, now);
    if (part.ejected)
        recordStageChanges(part.service, state->health.mergePeerEjections(report.sender.instance, *part.ejected, now));
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
    if (m_peerChangeNumbers.size() < maxPeerChangeNumbers || m_peerChangeNumbers.count(report.sender.instance))
        m_peerChangeNumbers[report.sender.instance] = { report.configurationChange, report.sender.address };
    for (const auto& it : report.services)
        mergeServiceReport(it, report, now);
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
        if (findService(it.service))
            findOrAddServiceReport(reply, it.service, now);
    }
    chargeBudget(reply);
    return reply;
}

void ControlState::handleReply(const wire::Report& reply, base::SteadyTime now)
{
    // The sequence number is not checked: replies carry no windows to relay, and pooled scores have a sequence of their
    // own, so a late reply does no harm.
    if (m_members.recordDirectContact(reply.sender, now))
        mergeReport(reply, now);
}

void ControlState::evaluatePools(base::SteadyTime now)
{
    std::vector<std::map<health::Reporter, std::set<std::string>>> deviatingReporters;
    for (auto& [name, state] : m_services) {
        const auto* coordinator = m_coordinators.find(name, m_reporter.zone);
        state->isCoordinator = coordinator && coordinator->instance == m_reporter.instance;
        if (!state->isCoordinator)
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
    applyEndedDrains(now);
    evaluatePools(now);
    for (auto& [name, state] : m_services)
        recordStageChanges(name, state->health.tick(now));
}

void ControlState::refillBudget(base::SteadyTime now)
{
    const auto seconds = std::chrono::duration<double>(now - m_lastRefillAt).count();
    m_lastRefillAt = now;
    m_budgetBytes = std::min(
        m_settings.maxSentBytesPerSecond * burstSeconds, m_budgetBytes + seconds * m_settings.maxSentBytesPerSecond);
}

std::size_t ControlState::affordableWindows() const
{
    return static_cast<std::size_t>(std::max(0.0, m_budgetBytes - bytesPerEmptyMessage) / bytesPerWindow);
}

void ControlState::chargeBudget(const wire::Report& report)
{
    const auto bytes = static_cast<double>(wire::encode(report).size()) + transportBytesPerMessage;
    m_bytesSent += static_cast<std::uint64_t>(bytes);
    m_budgetBytes -= bytes;
}

wire::Report ControlState::makeReport(base::SteadyTime now)
{
    wire::Report report;
    report.sender = m_members.self();
    report.sequence = ++m_sequence;
    report.configurationChange = m_changeNumber;
    report.peers = m_members.takePeersToRelay(m_settings.relayedPeersPerMessage, now);
    return report;
}

// Returns the part of the report about one service and adds it if it is missing: pooled scores if this instance
// coordinates the service, the ejected set, and drains.
wire::ServiceReport& ControlState::findOrAddServiceReport(
    wire::Report& report, const std::string& service, base::SteadyTime now)
{
    for (auto& it : report.services) {
        if (it.service == service)
            return it;
    }
    auto& state = *findService(service);
    wire::ServiceReport part;
    part.service = service;
    if (state.isCoordinator) {
        part.pooled = state.pooled;
        std::erase_if(part.pooled->scores, [&](const health::PooledScore& it) {
            return it.score < m_settings.minRelevantScore && it.pathFaultScore < m_settings.minRelevantScore;
        });
        const auto affordable = static_cast<std::size_t>(std::max(0.0, m_budgetBytes) / bytesPerScore);
        part.pooled->scores.resize(std::min(part.pooled->scores.size(), std::max(minScoresPerReport, affordable)));
        part.pooledAge = duration_cast<milliseconds>(now - state.pooledAt);
    }
    auto ejected = state.health.ejectedTargets();
    if (!ejected.empty())
        state.ejectedSetDeadline = now + emptyEjectedSetTtl;
    if (now < state.ejectedSetDeadline)
        part.ejected = std::move(ejected);
    for (const auto& it : m_drains.observationsToRelay(now)) {
        if (it.name.service == service)
            part.draining.push_back({ it.name.target, it.age });
    }
    report.services.push_back(std::move(part));
    return report.services.back();
}

OutgoingReport& ControlState::findOrAddReport(
    std::map<std::string, OutgoingReport>& outgoing, const membership::Peer& peer, base::SteadyTime now)
{
    auto it = outgoing.find(peer.instance);
    if (it == outgoing.end())
        it = outgoing.emplace(peer.instance, OutgoingReport { peer.address, peer.instance, makeReport(now) }).first;
    return it->second;
}

// Adds this instance's windows of each service to the report for the service's coordinator in this zone, or merges them
// into the own pool if this instance is the coordinator.
void ControlState::addOwnWindows(std::map<std::string, OutgoingReport>& outgoing, base::SteadyTime now)
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
        // A report without windows is sent too, because the reply carries the coordinator's scores, which are needed
        // for a service that just lost a target.
        auto& report = findOrAddReport(outgoing, *coordinator, now);
        auto& part = findOrAddServiceReport(report.report, name, now);
        m_budgetBytes -= static_cast<double>(windows.size()) * bytesPerWindow;
        part.windows = std::move(windows);
    }
}

// Adds the windows that instances of this zone reported about one service to the reports for its coordinators in the
// other zones.
void ControlState::relayWindows(
    std::map<std::string, OutgoingReport>& outgoing, const std::string& service, base::SteadyTime now)
{
    auto& state = *findService(service);
    auto zones = m_coordinators.zones();
    std::erase(zones, m_reporter.zone);
    const auto changed = state.pool.windowsToRelay(state.lastRelayAt - relayOverlap, now, maxRelayedWindows);
    const auto windows
        = selectWindowsToRelay(changed, state.pooled, affordableWindows() / std::max<std::size_t>(1, zones.size()));
    state.lastRelayAt = now;
    for (const auto& zone : zones) {
        auto& part = findOrAddServiceReport(
            findOrAddReport(outgoing, *m_coordinators.find(service, zone), now).report, service, now);
        part.windows.insert(part.windows.end(), windows.begin(), windows.end());
        m_budgetBytes -= static_cast<double>(windows.size()) * bytesPerWindow;
    }
}

void ControlState::addRelayedWindows(std::map<std::string, OutgoingReport>& outgoing, base::SteadyTime now)
{
    for (const auto& [name, state] : m_services) {
        if (state->isCoordinator)
            relayWindows(outgoing, name, now);
    }
}

// Adds a report for one random peer, so that membership and configuration changes spread across the zones.
void ControlState::addHeartbeat(std::map<std::string, OutgoingReport>& outgoing, base::SteadyTime now)
{
    if (now - m_lastHeartbeatAt < m_settings.heartbeatInterval)
        return;
    m_lastHeartbeatAt = now;
    auto peers = m_members.live(now);
    std::erase_if(peers, [&](const membership::Peer& it) {
        return it.instance == m_reporter.instance || it.address.empty() || outgoing.count(it.instance);
    });
    if (peers.empty())
        return;
    // Peers of other zones are preferred, because this zone is covered by its coordinators.
    const auto other = std::partition(
        peers.begin(), peers.end(), [&](const membership::Peer& it) { return it.zone != m_reporter.zone; });
    const auto n = other != peers.begin() ? other - peers.begin() : static_cast<std::ptrdiff_t>(peers.size());
    const auto i = std::uniform_int_distribution<std::ptrdiff_t>(0, n - 1)(m_random);
    findOrAddReport(outgoing, peers[static_cast<std::size_t>(i)], now);
}

std::vector<OutgoingReport> ControlState::takeReports(base::SteadyTime now)
{
    const bool hasUrgentEvidence = std::any_of(
        m_services.begin(), m_services.end(), [](const auto& item) { return item.second->health.hasUrgentEvidence(); });
    const auto interval = hasUrgentEvidence ? m_settings.exchangeInterval / 2 : m_settings.exchangeInterval;
    if (now - m_lastExchangeAt < interval)
        return {};
    m_lastExchangeAt = now;
    refillBudget(now);
    m_coordinators = membership::CoordinatorTable(m_members.live(now));
    std::map<std::string, OutgoingReport> outgoing;
    if (m_budgetBytes > 0) {
        addOwnWindows(outgoing, now);
        addRelayedWindows(outgoing, now);
        addHeartbeat(outgoing, now);
    }
    std::vector<OutgoingReport> result;
    for (auto& [instance, report] : outgoing) {
        if (report.address.empty())
            continue;
        const auto budgetBefore = m_budgetBytes;
        chargeBudget(report.report);
        // The windows were already charged when they were added.
        for (const auto& it : report.report.services)
            m_budgetBytes += static_cast<double>(it.windows.size()) * bytesPerWindow;
        m_budgetBytes = std::min(m_budgetBytes, budgetBefore);
        result.push_back(std::move(report));
    }
    return result;
}

wire::Report ControlState::makeSeedReport(base::SteadyTime now)
{
    auto report = makeReport(now);
    chargeBudget(report);
    return report;
}

std::vector<ServiceStageChange> ControlState::takeStageChanges()
{
    return std::exchange(m_stageChanges, {});
}

std::shared_ptr<const Snapshot> ControlState::snapshot(base::SteadyTime now) const
{
    auto result = std::make_shared<Snapshot>();
    result->changeNumber = m_changeNumber;
    result->liveInstances = static_cast<unsigned>(m_members.connectionHolderCount(now));
    for (const auto& [name, state] : m_services)
        result->services.push_back({ state->service, state->health.views(now) });
    return result;
}

ControlState::NewerConfiguration ControlState::newerConfiguration() const
{
    NewerConfiguration result;
    for (const auto& [instance, known] : m_peerChangeNumbers)
        result.changeNumber = std::max(result.changeNumber, known.first);
    if (result.changeNumber <= m_changeNumber)
        return {};
    for (const auto& [instance, known] : m_peerChangeNumbers) {
        if (known.first == result.changeNumber && !known.second.empty())
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
