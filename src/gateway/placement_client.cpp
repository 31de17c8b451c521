#include "placement_client.h"

#include "placement_codec.h"

#include <fmt/format.h>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::milliseconds;

    // A request without a response is sent again after this time, which covers the round trip between two availability
    // zones and the scheduling delay of a small machine.
    constexpr milliseconds responseTimeout { 45 };
    constexpr unsigned maxSendsPerPoint = 2;

    // A queued request is sent again at this interval, to detect a point that restarted or lost the request.
    constexpr milliseconds queuedResendInterval { 300 };

    // After this many points without a response, the instance places the request with its own point.
    constexpr unsigned maxPointsTried = 2;

    // Minimum time between two log lines about the queue of one service.
    constexpr milliseconds queueLogInterval { 1000 };

    // Number of instances that receive the risks of the targets because they may take over as dispatch point.
    constexpr std::size_t informedSuccessorCount = 2;

    // Interval at which these instances receive the counts of the retry budget.
    constexpr milliseconds retryUsageInterval { 250 };

} // namespace

PlacementClient::PlacementClient(const GatewaySettings& settings, const base::Clock& clock, PeerGroup& peers,
    const observe::Logger& log, std::uint64_t seed)
    : m_settings(settings)
    , m_clock(clock)
    , m_peers(peers)
    , m_log(log)
    , m_seed(seed)
    , m_targets(std::make_shared<membership::TargetSet>())
{
}

routing::DispatchPoint& PlacementClient::findOrCreatePoint(const std::string& service)
{
    auto& point = m_points[service];
    if (!point) {
        routing::DispatchSettings settings;
        settings.retries = m_settings.retries;
        settings.zonePrices = m_settings.zonePrices;
        point = std::make_unique<routing::DispatchPoint>(settings, m_seed + m_points.size());
        if (const auto targets = m_targets->services.find(service); targets != m_targets->services.end())
            point->setTargets(targets->second, m_clock.now());
    }
    return *point;
}

void PlacementClient::setTargets(std::shared_ptr<const membership::TargetSet> targets)
{
    m_targets = std::move(targets);
    static const std::map<std::string, membership::DirectoryEntry> none;
    for (auto& [service, point] : m_points) {
        const auto it = m_targets->services.find(service);
        point->setTargets(it == m_targets->services.end() ? none : it->second, m_clock.now());
        flushPoint(service);
    }
}

std::uint64_t PlacementClient::requestSlot(SlotQuery query, Callback callback)
{
    const auto number = m_nextRequestNumber++;
    query.request.key = { m_peers.self(), number };
    query.request.zone = m_settings.zone;
    auto& pending = m_pending[number];
    pending.query = std::move(query);
    pending.callback = std::move(callback);
    pending.point = m_peers.ranking().first(pending.query.service, m_clock.now());
    send(pending);
    return number;
}

// `pending` may be completed and destroyed during the call.
void PlacementClient::send(PendingRequest& pending)
{
    pending.sentAt = m_clock.now();
    ++pending.sendCount;
    if (pending.point != m_peers.self()) {
        sendToPoint(pending);
        return;
    }
    const auto service = pending.query.service;
    auto& point = findOrCreatePoint(service);
    point.reconcileHeldSlots(m_peers.self(), heldSlots(service), pending.sentAt);
    pending.isQueued = true;
    point.requestSlot(pending.query.request, pending.sentAt);
    flushPoint(service);
}

void PlacementClient::sendToPoint(const PendingRequest& pending)
{
    auto message = m_peers.makeMessage();
    auto& part = *message.add_services();
    part.set_service(pending.query.service);
    encode(pending.query.request, heldSlots(pending.query.service), pending.sentAt, *part.add_requests());
    m_peers.send(pending.point, message);
}

std::vector<routing::HeldSlot> PlacementClient::heldSlots(const std::string& service) const
{
    std::vector<routing::HeldSlot> result;
    if (const auto held = m_heldGrants.find(service); held != m_heldGrants.end()) {
        for (const auto& [grant, it] : held->second)
            result.push_back({ grant, it.target });
    }
    return result;
}

void PlacementClient::complete(
    std::uint64_t number, const routing::DispatchDecision& decision, const std::string& point)
{
    const auto found = m_pending.find(number);
    if (found == m_pending.end()) {
        // The request was withdrawn or completed by another point in the meantime.
        return;
    }
    auto pending = std::move(found->second);
    m_pending.erase(found);
    if (decision.grant)
        m_heldGrants[pending.query.service][decision.grant] = { decision.target, point };
    const auto& request = pending.query.request;
    pending.callback({ decision, point, std::uint64_t { request.requestBytes } + request.responseBytes });
}

void PlacementClient::withdraw(std::uint64_t request)
{
    const auto found = m_pending.find(request);
    if (found == m_pending.end())
        return;
    const auto pending = std::move(found->second);
    m_pending.erase(found);
    if (pending.point == m_peers.self()) {
        findOrCreatePoint(pending.query.service).withdraw({ m_peers.self(), request });
        return;
    }
    auto message = m_peers.makeMessage();
    auto& part = *message.add_services();
    part.set_service(pending.query.service);
    part.add_withdrawals()->set_request(request);
    m_peers.send(pending.point, message);
}

void PlacementClient::report(const std::string& service, const std::string& point, routing::DispatchOutcome outcome)
{
    outcome.instance = m_peers.self();
    if (!outcome.overdue)
        m_heldGrants[service].erase(outcome.grant);
    if (outcome.targetLeaving)
        notifyTargetLeaving(outcome, point == m_peers.self());
    const auto now = m_clock.now();
    const auto first = m_peers.ranking().first(service, now);
    // If another point ranks first by now, it receives the new requests and needs the outcome, too.
    for (const auto& to : std::set<std::string> { point, first }) {
        if (to == m_peers.self()) {
            findOrCreatePoint(service).recordOutcome(outcome, now);
            flushPoint(service);
            continue;
        }
        auto message = m_peers.makeMessage();
        auto& part = *message.add_services();
        part.set_service(service);
        encode(outcome, *part.add_outcomes());
        m_peers.send(to, message);
    }
}

void PlacementClient::notifyTargetLeaving(const routing::DispatchOutcome& outcome, bool isPointHere)
{
    if (m_onTargetLeaving)
        m_onTargetLeaving({ outcome.target, outcome.targetStartedAtUnixMs }, isPointHere);
}

wire::proto::ServiceDatagram& PlacementClient::findOrAddPart(
    Outbox& outbox, const std::string& instance, const std::string& service)
{
    auto& message = outbox[instance];
    if (message.sender().empty())
        message = m_peers.makeMessage();
    for (auto& it : *message.mutable_services()) {
        if (it.service() == service)
            return it;
    }
    auto& part = *message.add_services();
    part.set_service(service);
    return part;
}

void PlacementClient::collectOutput(const std::string& service, routing::DispatchPoint& point, Outbox& outbox)
{
    for (const auto& it : point.takeDecisions()) {
        if (it.key.instance == m_peers.self())
            complete(it.key.request, it, m_peers.self());
        else
            encode(it, *findOrAddPart(outbox, it.key.instance, service).add_decisions());
    }
    const auto now = m_clock.now();
    const auto risks = point.takeRiskChanges(now);
    if (m_peers.ranking().first(service, now) != m_peers.self())
        return;
    std::vector<limits::RetryUsage> usage;
    if (auto& sentAt = m_retryUsageSentAt[service]; now - sentAt >= retryUsageInterval) {
        sentAt = now;
        usage = point.takeRetryUsage(now);
    }
    if (risks.empty() && usage.empty())
        return;
    for (const auto& peer : m_peers.ranking().successors(service, informedSuccessorCount, now)) {
        auto& part = findOrAddPart(outbox, peer, service);
        for (const auto& it : risks) {
            auto& risk = *part.add_risks();
            risk.set_target(it.target);
            risk.set_probability(static_cast<float>(it.probability));
        }
        for (const auto& it : usage) {
            auto& message = *part.add_retry_usage();
            message.set_age_ms(static_cast<std::uint32_t>(it.age.count()));
            message.set_requests(it.requests);
            message.set_extra_attempts(it.extraAttempts);
        }
    }
}

void PlacementClient::flushPoint(const std::string& service)
{
    Outbox outbox;
    collectOutput(service, findOrCreatePoint(service), outbox);
    sendAll(outbox);
}

void PlacementClient::sendAll(Outbox& outbox)
{
    for (const auto& [instance, message] : outbox)
        m_peers.send(instance, message);
}

void PlacementClient::handle(const wire::proto::PeerDatagram& datagram)
{
    for (const auto& it : datagram.services())
        handleService(datagram.sender(), it);
}

void PlacementClient::handleService(const std::string& sender, const wire::proto::ServiceDatagram& part)
{
    const auto now = m_clock.now();
    for (const auto& it : part.decisions())
        handleDecision(sender, it);
    if (part.requests().empty() && part.outcomes().empty() && part.risks().empty() && part.withdrawals().empty()
        && part.retry_usage().empty())
        return;
    auto& point = findOrCreatePoint(part.service());
    for (const auto& it : part.outcomes()) {
        const auto outcome = decodeOutcome(it, sender);
        point.recordOutcome(outcome, now);
        if (outcome.targetLeaving)
            notifyTargetLeaving(outcome, true);
    }
    for (const auto& it : part.withdrawals())
        point.withdraw({ sender, it.request() });
    std::vector<routing::TargetRiskReport> risks;
    for (const auto& it : part.risks())
        risks.push_back({ it.target(), it.probability() });
    point.mergeRisks(risks, now);
    std::vector<limits::RetryUsage> usage;
    for (const auto& it : part.retry_usage())
        usage.push_back({ milliseconds(it.age_ms()), it.requests(), it.extra_attempts() });
    if (!usage.empty())
        point.mergeRetryUsage(usage, now);
    Outbox outbox;
    for (const auto& it : part.requests()) {
        point.reconcileHeldSlots(sender, decodeHeldSlots(it), now);
        point.requestSlot(decodeRequest(it, sender, now), now);
        // Confirms receipt at once, so that the sender does not resend the request.
        auto& confirmation = *findOrAddPart(outbox, sender, part.service()).add_decisions();
        confirmation.set_request(it.request());
        confirmation.set_waiting(true);
    }
    collectOutput(part.service(), point, outbox);
    sendAll(outbox);
}

void PlacementClient::handleDecision(const std::string& sender, const wire::proto::SlotDecision& message)
{
    const auto found = m_pending.find(message.request());
    if (found == m_pending.end() || found->second.point != sender)
        return;
    if (message.waiting()) {
        found->second.isQueued = true;
        return;
    }
    complete(message.request(), decodeDecision(message), sender);
}

void PlacementClient::resendIfUnanswered(PendingRequest& pending)
{
    const auto now = m_clock.now();
    const bool local = pending.point == m_peers.self();
    if (local || now - pending.sentAt < (pending.isQueued ? queuedResendInterval : responseTimeout))
        return;
    if (pending.isQueued) {
        pending.isQueued = false;
        pending.sendCount = 0;
    } else if (pending.sendCount >= maxSendsPerPoint) {
        m_peers.ranking().recordTimeout(pending.point, now);
        pending.sendCount = 0;
        ++pending.triedPointCount;
        const auto next = pending.triedPointCount >= maxPointsTried
            ? m_peers.self()
            : m_peers.ranking().first(pending.query.service, now);
        m_log.write(observe::Level::Info, "point_silent",
            { { "service", pending.query.service }, { "point", pending.point }, { "next", next } });
        pending.point = next;
    }
    send(pending);
}

void PlacementClient::tick()
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, pending] : m_pending)
        numbers.push_back(number);
    for (const auto number : numbers) {
        if (const auto it = m_pending.find(number); it != m_pending.end())
            resendIfUnanswered(it->second);
    }
    const auto now = m_clock.now();
    for (auto& [service, point] : m_points) {
        if (point->queueLength() == 0)
            continue;
        point->tick(now);
        flushPoint(service);
        logQueue(service, *point);
    }
}

void PlacementClient::logQueue(const std::string& service, const routing::DispatchPoint& point)
{
    const auto now = m_clock.now();
    auto& loggedAt = m_queueLoggedAt[service];
    if (now - loggedAt < queueLogInterval)
        return;
    loggedAt = now;
    const auto load = point.load(now);
    m_log.write(observe::Level::Info, "requests_wait",
        { { "service", service }, { "waiting", std::to_string(load.queuedRequests) },
            { "targets", std::to_string(load.targets) }, { "slots", std::to_string(load.slots) },
            { "slots_in_use", std::to_string(load.slotsInUse) }, { "unproven", std::to_string(load.unprovenTargets) },
            { "full", std::to_string(load.saturatedTargets) },
            { "grants_per_s", fmt::format("{:.1f}", load.grantsPerSecond) } });
}

void PlacementClient::discardDispatchPoints()
{
    m_points.clear();
    std::vector<std::uint64_t> queuedHere;
    for (const auto& [number, pending] : m_pending) {
        if (pending.point == m_peers.self())
            queuedHere.push_back(number);
    }
    for (const auto number : queuedHere) {
        if (const auto it = m_pending.find(number); it != m_pending.end())
            send(it->second);
    }
}

} // namespace buckthorncroft::gateway
