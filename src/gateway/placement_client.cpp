#include "placement_client.h"

#include "placement_codec.h"

#include <fmt/format.h>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::milliseconds;

    // An answer takes two zone delays and the turn of a small machine's processor.
    constexpr milliseconds responseTime { 45 };
    constexpr unsigned sendsToOnePoint = 2;

    // A waiting request is asked about again, so that a point that restarted or lost it is noticed.
    constexpr milliseconds waitingCheck { 300 };

    // After this many points without an answer the instance decides alone.
    constexpr unsigned pointsBeforeSelf = 2;

    // A line about waiting requests for each service and this time.
    constexpr milliseconds loadLogInterval { 1000 };

    // Points that may follow hear of the targets' risks.
    constexpr std::size_t successorsInformed = 2;

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

routing::DispatchPoint& PlacementClient::pointOf(const std::string& service)
{
    auto& point = m_points[service];
    if (!point) {
        routing::DispatchSettings settings;
        settings.retries = m_settings.retries;
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
        flush(service);
    }
}

std::uint64_t PlacementClient::requestSlot(SlotQuery query, Callback done)
{
    const auto number = m_nextRequest++;
    query.request.key = { m_peers.self(), number };
    query.request.zone = m_settings.zone;
    auto& question = m_questions[number];
    question.query = std::move(query);
    question.done = std::move(done);
    question.point = m_peers.ranking().first(question.query.service, m_clock.now());
    send(question);
    return number;
}

// `question` may be answered and gone after the call.
void PlacementClient::send(Question& question)
{
    question.sentAt = m_clock.now();
    ++question.sends;
    if (question.point != m_peers.self()) {
        sendToPoint(question);
        return;
    }
    const auto service = question.query.service;
    auto& point = pointOf(service);
    point.reconcileHeldSlots(m_peers.self(), heldSlots(service), question.sentAt);
    question.waiting = true;
    point.requestSlot(question.query.request, question.sentAt);
    flush(service);
}

void PlacementClient::sendToPoint(const Question& question)
{
    auto message = m_peers.message();
    auto& part = *message.add_services();
    part.set_service(question.query.service);
    encode(question.query.request, heldSlots(question.query.service), question.sentAt, *part.add_requests());
    m_peers.send(question.point, message);
}

std::vector<routing::HeldSlot> PlacementClient::heldSlots(const std::string& service) const
{
    std::vector<routing::HeldSlot> result;
    if (const auto held = m_held.find(service); held != m_held.end()) {
        for (const auto& [grant, it] : held->second)
            result.push_back({ grant, it.target });
    }
    return result;
}

void PlacementClient::respond(std::uint64_t number, const routing::DispatchDecision& decision, const std::string& point)
{
    const auto found = m_questions.find(number);
    if (found == m_questions.end()) {
        // The request was withdrawn or placed elsewhere meanwhile.
        return;
    }
    auto question = std::move(found->second);
    m_questions.erase(found);
    if (decision.grant)
        m_held[question.query.service][decision.grant] = { decision.target, point };
    question.done({ decision, point });
}

void PlacementClient::withdraw(std::uint64_t request)
{
    const auto found = m_questions.find(request);
    if (found == m_questions.end())
        return;
    const auto question = std::move(found->second);
    m_questions.erase(found);
    if (question.point == m_peers.self()) {
        pointOf(question.query.service).withdraw({ m_peers.self(), request });
        return;
    }
    auto message = m_peers.message();
    auto& part = *message.add_services();
    part.set_service(question.query.service);
    part.add_withdrawals()->set_request(request);
    m_peers.send(question.point, message);
}

void PlacementClient::report(const std::string& service, const std::string& point, routing::DispatchOutcome outcome)
{
    outcome.instance = m_peers.self();
    if (!outcome.overdue)
        m_held[service].erase(outcome.grant);
    const auto now = m_clock.now();
    const auto first = m_peers.ranking().first(service, now);
    // A point that was asked after the grant's own one learns the outcome, too.
    for (const auto& to : std::set<std::string> { point, first }) {
        if (to == m_peers.self()) {
            pointOf(service).recordOutcome(outcome, now);
            flush(service);
            continue;
        }
        auto message = m_peers.message();
        auto& part = *message.add_services();
        part.set_service(service);
        encode(outcome, *part.add_outcomes());
        m_peers.send(to, message);
    }
}

wire::proto::ServiceDatagram& PlacementClient::partFor(
    Outbox& outbox, const std::string& instance, const std::string& service)
{
    auto& message = outbox[instance];
    if (message.sender().empty())
        message = m_peers.message();
    for (auto& it : *message.mutable_services()) {
        if (it.service() == service)
            return it;
    }
    auto& part = *message.add_services();
    part.set_service(service);
    return part;
}

void PlacementClient::deliver(const std::string& service, routing::DispatchPoint& point, Outbox& outbox)
{
    for (const auto& it : point.takeDecisions()) {
        if (it.key.instance == m_peers.self())
            respond(it.key.request, it, m_peers.self());
        else
            encode(it, *partFor(outbox, it.key.instance, service).add_decisions());
    }
    const auto now = m_clock.now();
    const auto risks = point.takeRiskChanges(now);
    if (risks.empty() || m_peers.ranking().first(service, now) != m_peers.self())
        return;
    for (const auto& peer : m_peers.ranking().successors(service, successorsInformed, now)) {
        auto& part = partFor(outbox, peer, service);
        for (const auto& it : risks) {
            auto& risk = *part.add_risks();
            risk.set_target(it.target);
            risk.set_probability(static_cast<float>(it.probability));
        }
    }
}

void PlacementClient::flush(const std::string& service)
{
    Outbox outbox;
    deliver(service, pointOf(service), outbox);
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
    if (part.requests().empty() && part.outcomes().empty() && part.risks().empty() && part.withdrawals().empty())
        return;
    auto& point = pointOf(part.service());
    for (const auto& it : part.outcomes())
        point.recordOutcome(decodeOutcome(it, sender), now);
    for (const auto& it : part.withdrawals())
        point.withdraw({ sender, it.request() });
    std::vector<routing::TargetRiskReport> risks;
    for (const auto& it : part.risks())
        risks.push_back({ it.target(), it.probability() });
    point.mergeRisks(risks, now);
    Outbox outbox;
    for (const auto& it : part.requests()) {
        point.reconcileHeldSlots(sender, decodeHeld(it), now);
        point.requestSlot(decodeRequest(it, sender, now), now);
        // The sender must know at once that its question arrived.
        auto& receipt = *partFor(outbox, sender, part.service()).add_decisions();
        receipt.set_request(it.request());
        receipt.set_waiting(true);
    }
    deliver(part.service(), point, outbox);
    sendAll(outbox);
}

void PlacementClient::handleDecision(const std::string& sender, const wire::proto::SlotDecision& message)
{
    const auto found = m_questions.find(message.request());
    if (found == m_questions.end() || found->second.point != sender)
        return;
    if (message.waiting()) {
        found->second.waiting = true;
        return;
    }
    respond(message.request(), decodeDecision(message), sender);
}

void PlacementClient::repeatUnanswered(Question& question)
{
    const auto now = m_clock.now();
    const bool local = question.point == m_peers.self();
    if (local || now - question.sentAt < (question.waiting ? waitingCheck : responseTime))
        return;
    if (question.waiting) {
        question.waiting = false;
        question.sends = 0;
    } else if (question.sends >= sendsToOnePoint) {
        m_peers.ranking().recordTimeout(question.point, now);
        question.sends = 0;
        ++question.pointsTried;
        const auto next = question.pointsTried >= pointsBeforeSelf
            ? m_peers.self()
            : m_peers.ranking().first(question.query.service, now);
        m_log.write(observe::Level::Info, "point_silent",
            { { "service", question.query.service }, { "point", question.point }, { "next", next } });
        question.point = next;
    }
    send(question);
}

void PlacementClient::tick()
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, question] : m_questions)
        numbers.push_back(number);
    for (const auto number : numbers) {
        if (const auto it = m_questions.find(number); it != m_questions.end())
            repeatUnanswered(it->second);
    }
    const auto now = m_clock.now();
    for (auto& [service, point] : m_points) {
        if (point->queueLength() == 0)
            continue;
        point->tick(now);
        flush(service);
        logLoad(service, *point);
    }
}

void PlacementClient::logLoad(const std::string& service, const routing::DispatchPoint& point)
{
    const auto now = m_clock.now();
    auto& loggedAt = m_loadLoggedAt[service];
    if (now - loggedAt < loadLogInterval)
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

void PlacementClient::forgetState()
{
    m_points.clear();
}

} // namespace buckthorncroft::gateway
