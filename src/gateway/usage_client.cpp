#include "usage_client.h"

#include <algorithm>
#include <buckthorncroft/membership/rendezvous.h>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::milliseconds;

    // A request without a response is sent again after this time, which covers the round trip between two availability
    // zones and the scheduling delay of a small machine.
    constexpr milliseconds responseTimeout { 40 };

    // A lost message must not make an instance change its point, because it counts at both points for a while.
    constexpr unsigned maxSendsPerPoint = 3;

    // A waiting request is sent again after this time, because its point restarted or the decision was lost.
    constexpr milliseconds waitingResendInterval { 300 };

    // After this many points without a response, the local point decides.
    constexpr unsigned maxPointsTried = 2;

    // The caller's request is refused if there is no decision by then.
    constexpr milliseconds decisionTimeout { 500 };
    constexpr milliseconds undecidedRetryAfter { 1000 };

    // A point that this instance did not ask for this time gets a heartbeat, so that the instance counts there.
    constexpr milliseconds heartbeatInterval { 250 };

    // An instance that knows no other one after this time is alone.
    constexpr milliseconds discoveryTime { 2000 };

    // Bounds the decoded time of a message.
    constexpr std::uint32_t maxRetryAfterMs = 60'000;

    // Bounds the work for one datagram.
    constexpr int maxRequestsPerDatagram = 256;

    void encode(const limits::UsageDecision& decision, wire::proto::AdmissionDecision& message)
    {
        message.set_request(decision.key.request);
        message.set_admitted(decision.verdict == limits::UsageVerdict::Admitted);
        // A refusal without a time means that the request waits. `UsagePoint` refuses with a positive time only.
        message.set_retry_after_ms(static_cast<std::uint32_t>(decision.retryAfter.count()));
    }

} // namespace

UsageClient::UsageClient(const base::Clock& clock, PeerGroup& peers, const observe::Logger& log,
    observe::Metrics& metrics, std::uint64_t firstRequest)
    : m_clock(clock)
    , m_peers(peers)
    , m_log(log)
    , m_metrics(metrics)
    , m_nextRequestNumber(firstRequest)
    , m_startedAt(clock.now())
{
    for (std::size_t n = 0; n < shardCount; ++n)
        m_shards[n].key = "usage-" + std::to_string(n);
}

UsageClient::Shard& UsageClient::shardOf(const std::string& workspace)
{
    return *std::max_element(m_shards.begin(), m_shards.end(), [&](const Shard& a, const Shard& b) {
        return membership::rendezvousScore(workspace, a.key) < membership::rendezvousScore(workspace, b.key);
    });
}

void UsageClient::setWorkspaces(const std::vector<routing::Workspace>& workspaces)
{
    m_quotas.clear();
    std::map<const Shard*, std::map<std::string, limits::UsageAllowance>> allowances;
    for (const auto& it : workspaces) {
        if (!it.quota.isLimited())
            continue;
        m_quotas[it.name] = it.quota;
        allowances[&shardOf(it.name)][it.name] = { it.quota.ratePerSecond, it.quota.burst };
    }
    Outbox outbox;
    for (auto& it : m_shards) {
        it.localPoint.setAllowances(allowances[&it]);
        collectDecisions(it, outbox);
    }
    sendAll(outbox);
}

void UsageClient::admit(const std::string& workspace, Callback callback)
{
    if (!m_quotas.contains(workspace)) {
        callback(Admission {});
        return;
    }
    const auto number = m_nextRequestNumber++;
    auto& pending = m_pending[number];
    pending.workspace = workspace;
    pending.callback = std::move(callback);
    pending.shard = &shardOf(workspace);
    pending.createdAt = m_clock.now();
    pending.point = m_peers.ranking().first(pending.shard->key, pending.createdAt);
    send(number, pending);
}

void UsageClient::setAskedPoint(Shard& shard, const std::string& point)
{
    // When this instance returns to a remote point, the others of its group do, and must not count at both.
    if (shard.askedPoint == m_peers.self() && point != m_peers.self())
        shard.localPoint.clear();
    shard.askedPoint = point;
    shard.askedAt = m_clock.now();
}

// `pending` may be completed and destroyed during the call.
void UsageClient::send(std::uint64_t number, PendingRequest& pending)
{
    auto& shard = *pending.shard;
    pending.sentAt = m_clock.now();
    ++pending.sendCount;
    setAskedPoint(shard, pending.point);
    if (pending.point == m_peers.self()) {
        shard.localPoint.request({ m_peers.self(), number }, pending.workspace, pending.sentAt);
        Outbox outbox;
        collectDecisions(shard, outbox);
        sendAll(outbox);
        return;
    }
    auto message = m_peers.makeMessage();
    auto& request = *message.mutable_usage()->add_requests();
    request.set_request(number);
    request.set_workspace(pending.workspace);
    m_peers.send(pending.point, message);
}

void UsageClient::complete(std::uint64_t number, const Admission& admission, const char* reason)
{
    const auto found = m_pending.find(number);
    if (found == m_pending.end())
        return;
    const auto callback = std::move(found->second.callback);
    m_pending.erase(found);
    m_metrics.count("buckthorncroft_usage_decisions_total", { { "reason", reason } });
    callback(admission);
}

void UsageClient::collectDecisions(Shard& shard, Outbox& outbox)
{
    for (const auto& it : shard.localPoint.takeDecisions()) {
        wire::proto::AdmissionDecision message;
        encode(it, message);
        if (it.key.instance == m_peers.self()) {
            handleDecision(message);
            continue;
        }
        auto& datagram = outbox[it.key.instance];
        if (datagram.sender().empty())
            datagram = m_peers.makeMessage();
        *datagram.mutable_usage()->add_decisions() = message;
    }
    for (const auto& it : shard.localPoint.takeQuotaChanges()) {
        m_log.write(observe::Level::Info, it.reached ? "quota_reached" : "quota_cleared",
            { { "workspace", it.workspace }, { "refused", std::to_string(it.refusedCount) } });
    }
}

void UsageClient::sendAll(const Outbox& outbox)
{
    for (const auto& [instance, message] : outbox)
        m_peers.send(instance, message);
}

void UsageClient::handle(const wire::proto::PeerDatagram& datagram)
{
    if (!datagram.has_usage())
        return;
    const auto& usage = datagram.usage();
    const auto now = m_clock.now();
    if (usage.heartbeat()) {
        for (auto& it : m_shards) {
            if (m_peers.ranking().first(it.key, now) == m_peers.self())
                it.localPoint.recordMember(datagram.sender(), now);
        }
    }
    for (const auto& it : usage.decisions())
        handleDecision(it);
    Outbox outbox;
    for (int n = 0; n < std::min(usage.requests_size(), maxRequestsPerDatagram); ++n) {
        const auto& it = usage.requests(n);
        auto& shard = shardOf(it.workspace());
        shard.localPoint.request({ datagram.sender(), it.request() }, it.workspace(), now);
        collectDecisions(shard, outbox);
    }
    sendAll(outbox);
}

void UsageClient::handleDecision(const wire::proto::AdmissionDecision& message)
{
    const auto found = m_pending.find(message.request());
    if (found == m_pending.end())
        return;
    if (message.admitted()) {
        complete(message.request(), Admission {}, "admitted");
    } else if (message.retry_after_ms() == 0) {
        found->second.isWaiting = true;
    } else {
        const milliseconds retryAfter(std::min(message.retry_after_ms(), maxRetryAfterMs));
        complete(message.request(), { false, retryAfter }, "over_cap");
    }
}

void UsageClient::resendIfUnanswered(std::uint64_t number, PendingRequest& pending)
{
    const auto now = m_clock.now();
    if (now - pending.createdAt >= decisionTimeout) {
        complete(number, { false, undecidedRetryAfter }, "undecided");
        return;
    }
    if (pending.point == m_peers.self()
        || now - pending.sentAt < (pending.isWaiting ? waitingResendInterval : responseTimeout))
        return;
    if (!pending.isWaiting && pending.sendCount >= maxSendsPerPoint) {
        m_peers.ranking().recordTimeout(pending.point, now);
        pending.sendCount = 0;
        ++pending.triedPointCount;
        pending.point = pending.triedPointCount >= maxPointsTried ? m_peers.self()
                                                                  : m_peers.ranking().first(pending.shard->key, now);
    }
    pending.isWaiting = false;
    send(number, pending);
}

std::size_t UsageClient::fleetSize()
{
    const auto n = m_peers.ranking().memberCount();
    return n > 1 || m_clock.now() - m_startedAt >= discoveryTime ? n : 0;
}

void UsageClient::sendHeartbeats()
{
    const auto now = m_clock.now();
    Outbox outbox;
    for (auto& it : m_shards) {
        const auto point = m_peers.ranking().first(it.key, now);
        if (point == it.askedPoint && now - it.askedAt < heartbeatInterval)
            continue;
        setAskedPoint(it, point);
        if (point == m_peers.self()) {
            it.localPoint.recordMember(m_peers.self(), now);
            continue;
        }
        auto& message = outbox[point];
        message = m_peers.makeMessage();
        message.mutable_usage()->set_heartbeat(true);
    }
    sendAll(outbox);
}

void UsageClient::tick()
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, pending] : m_pending)
        numbers.push_back(number);
    for (const auto number : numbers) {
        if (const auto it = m_pending.find(number); it != m_pending.end())
            resendIfUnanswered(number, it->second);
    }
    if (m_quotas.empty())
        return;
    sendHeartbeats();
    const auto now = m_clock.now();
    const auto size = fleetSize();
    Outbox outbox;
    for (auto& it : m_shards) {
        it.localPoint.advance(now, size);
        collectDecisions(it, outbox);
    }
    sendAll(outbox);
}

void UsageClient::clearPoints()
{
    for (auto& it : m_shards)
        it.localPoint.clear();
}

} // namespace buckthorncroft::gateway
