#include "service_traffic.h"

#include <algorithm>
#include <buckthorncroft/limits/connection_share.h>
#include <unistd.h>

namespace buckthorncroft::daemon {

namespace {

    // Targets often close idle connections after a minute. Closing them earlier avoids sending a request on a
    // connection that the target closes at the same time.
    constexpr std::chrono::seconds idleConnectionTtl { 30 };

    // Part of the process's buffer memory that one service may use, so that the others keep working.
    constexpr double serviceMemoryFraction = 0.5;

    // Weight of the newest latency in `TargetUsage::smoothedLatency`.
    constexpr double latencySmoothingFactor = 0.1;

    unsigned totalSlots(const config::Service& service)
    {
        unsigned n = 0;
        for (const auto& it : service.targets)
            n += it.slots;
        return n;
    }

    bool isSameTarget(const config::Target& a, const config::Target& b)
    {
        return a.id == b.id && a.host == b.host && a.port == b.port;
    }

} // namespace

SlotLease::SlotLease(std::shared_ptr<ServiceTraffic> traffic, std::shared_ptr<TargetUsage> usage,
    config::RequestKind kind, unsigned connectionShare)
    : m_traffic(std::move(traffic))
    , m_usage(std::move(usage))
    , m_kind(kind)
    , m_connectionShare(connectionShare)
{
}

SlotLease::~SlotLease()
{
    const std::lock_guard lock(m_traffic->m_mutex);
    --m_usage->inFlight;
    if (m_holdsConnection)
        --m_usage->connections;
    // The thread that frees a slot places the next waiting request.
    m_traffic->dispatchWaiting(std::chrono::steady_clock::now());
}

int SlotLease::acquireConnection(bool reuse)
{
    const std::lock_guard lock(m_traffic->m_mutex);
    auto& idle = m_usage->idle;
    m_holdsConnection = true;
    while (reuse && !idle.empty()) {
        auto last = std::move(idle.back());
        idle.pop_back();
        if (last.isUsable())
            return last.release();
        --m_usage->connections;
    }
    // If the instance has used up its share, the oldest idle connection is closed in favour of the new one.
    if (!idle.empty() && m_usage->connections >= m_connectionShare) {
        idle.erase(idle.begin());
        return -1;
    }
    ++m_usage->connections;
    return -1;
}

void SlotLease::returnIdleConnection(int descriptor, base::SteadyTime now)
{
    const std::lock_guard lock(m_traffic->m_mutex);
    m_usage->idle.emplace_back(descriptor, now);
    m_holdsConnection = false;
}

void SlotLease::recordFinishedCall(std::chrono::microseconds serviceTime, bool isGood)
{
    const std::lock_guard lock(m_traffic->m_mutex);
    m_traffic->m_queue->recordServiceTime(m_kind, serviceTime);
    if (!isGood)
        return;
    if (m_kind == config::RequestKind::Idempotent)
        m_traffic->m_latencyQuantile.add(serviceTime);
    auto& smoothed = m_usage->smoothedLatency;
    smoothed = smoothed.count() == 0 ? serviceTime
                                     : smoothed
            + std::chrono::duration_cast<std::chrono::microseconds>((serviceTime - smoothed) * latencySmoothingFactor);
}

ServiceTraffic::ServiceTraffic(const routing::Router& router, limits::MemoryBudget& processMemory, std::uint64_t seed)
    : m_router(router)
    , m_memory(
          static_cast<std::size_t>(static_cast<double>(processMemory.limit()) * serviceMemoryFraction), &processMemory)
    , m_random(seed)
{
}

void ServiceTraffic::update(const std::shared_ptr<const Snapshot>& snapshot, const ServiceSnapshot& entry)
{
    const std::lock_guard lock(m_mutex);
    if (m_snapshot == snapshot)
        return;
    m_snapshot = snapshot;
    m_targetViews = &entry.targets;
    if (m_service == entry.service)
        return;
    std::vector<std::shared_ptr<TargetUsage>> targets;
    for (const auto& it : entry.service->targets) {
        std::shared_ptr<TargetUsage> usage;
        for (std::size_t i = 0; m_service && i < m_targets.size() && !usage; ++i) {
            if (isSameTarget(m_service->targets[i], it))
                usage = m_targets[i];
        }
        targets.push_back(usage ? usage : std::make_shared<TargetUsage>());
    }
    m_targets = std::move(targets);
    m_service = entry.service;
    if (!m_retryBudget || m_retryShare != m_service->retryShare)
        m_retryBudget.emplace(m_service->retryShare);
    m_retryShare = m_service->retryShare;
    rebuildQueue(std::chrono::steady_clock::now());
}

void ServiceTraffic::rebuildQueue(base::SteadyTime now)
{
    const auto slots = totalSlots(*m_service);
    if (m_queue && slots == m_queueSlots && m_service->queueLimit == m_queueLimit)
        return;
    limits::AdmissionQueue queue(m_service->queueLimit, slots);
    std::vector<limits::WaitingRequest> expired;
    while (m_queue) {
        const auto next = m_queue->pop(now, expired);
        if (!next)
            break;
        if (queue.enqueue(*next, now) != limits::Refusal::None)
            expired.push_back(*next);
    }
    m_queue.emplace(std::move(queue));
    m_queueSlots = slots;
    m_queueLimit = m_service->queueLimit;
    rejectExpired(expired);
}

std::optional<Placement> ServiceTraffic::choose(const routing::PlacementRequest& request)
{
    std::vector<routing::TargetLoad> load;
    load.reserve(m_targets.size());
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        const auto& it = *m_targets[i];
        const auto share = limits::connectionShare(m_service->targets[i].connectionLimit, m_snapshot->liveInstances);
        load.push_back({ it.inFlight, it.connections, share, it.smoothedLatency });
    }
    auto decision = m_router.choose(request, *m_service, *m_targetViews, load, m_random);
    if (!decision.target)
        return std::nullopt;
    const auto& usage = m_targets[*decision.target];
    ++usage->inFlight;
    return Placement { m_service,
        std::make_shared<SlotLease>(shared_from_this(), usage, request.kind, load[*decision.target].connectionShare),
        std::move(decision) };
}

void ServiceTraffic::admit(config::RequestKind kind, base::SteadyTime deadline, base::SteadyTime now, std::uint64_t id,
    std::function<void(Admission)> onResult)
{
    const std::lock_guard lock(m_mutex);
    m_retryBudget->recordRequest();
    if (m_queue->size() == 0) {
        if (auto placement = choose({ kind, true, {} })) {
            onResult({ std::move(placement), limits::Refusal::None });
            return;
        }
    }
    const limits::WaitingRequest request { id, kind, deadline };
    if (const auto refusal = m_queue->enqueue(request, now); refusal != limits::Refusal::None) {
        onResult({ std::nullopt, refusal });
        return;
    }
    m_waiters.emplace(id, Waiter { request, std::move(onResult) });
    dispatchWaiting(now);
}

bool ServiceTraffic::cancelWait(std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    m_queue->remove(id);
    return m_waiters.erase(id) != 0;
}

void ServiceTraffic::rejectExpired(const std::vector<limits::WaitingRequest>& expired)
{
    for (const auto& it : expired) {
        const auto waiter = m_waiters.find(it.id);
        if (waiter == m_waiters.end())
            continue;
        waiter->second.onResult({ std::nullopt, limits::Refusal::DeadlineTooClose });
        m_waiters.erase(waiter);
    }
}

// Requests are popped only if a slot is free, because the queue computes the expected wait from the interval between
// pops.
bool ServiceTraffic::hasFreeSlot() const
{
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        if (m_targets[i]->inFlight < m_service->targets[i].slots)
            return true;
    }
    return false;
}

void ServiceTraffic::dispatchWaiting(base::SteadyTime now)
{
    std::vector<limits::WaitingRequest> expired;
    std::vector<limits::WaitingRequest> unplaced;
    while (m_queue && m_queue->size() != 0 && hasFreeSlot()) {
        const auto next = m_queue->pop(now, expired);
        if (!next)
            break;
        const auto waiter = m_waiters.find(next->id);
        if (waiter == m_waiters.end())
            continue;
        auto placement = choose({ next->kind, true, {} });
        if (!placement) {
            // Requests of another kind may still find a target, for example if all targets are suspect for this kind
            // only.
            unplaced.push_back(*next);
            if (unplaced.size() >= config::requestKindCount)
                break;
            continue;
        }
        waiter->second.onResult({ std::move(placement), limits::Refusal::None });
        m_waiters.erase(waiter);
    }
    for (const auto& it : unplaced) {
        if (m_queue->enqueue(it, now) != limits::Refusal::None)
            expired.push_back(it);
    }
    rejectExpired(expired);
}

std::optional<Placement> ServiceTraffic::placeExtraAttempt(config::RequestKind kind, std::vector<std::size_t> excluded,
    const std::shared_ptr<const config::Service>& expectedService)
{
    const std::lock_guard lock(m_mutex);
    // The excluded indexes are valid only for the service record that the first attempt used.
    if (m_service != expectedService)
        return std::nullopt;
    return choose({ kind, false, std::move(excluded) });
}

bool ServiceTraffic::isQueueFull()
{
    const std::lock_guard lock(m_mutex);
    return m_queue->size() != 0 && m_queue->size() >= m_queueLimit;
}

bool ServiceTraffic::takeExtraAttempt()
{
    const std::lock_guard lock(m_mutex);
    return m_retryBudget->tryTake();
}

std::optional<std::chrono::microseconds> ServiceTraffic::p95()
{
    const std::lock_guard lock(m_mutex);
    return m_latencyQuantile.p95();
}

std::chrono::seconds ServiceTraffic::retryAfter()
{
    const std::lock_guard lock(m_mutex);
    return m_queue->retryAfter();
}

std::size_t ServiceTraffic::waitingCount()
{
    const std::lock_guard lock(m_mutex);
    return m_waiters.size();
}

void ServiceTraffic::tick(base::SteadyTime now)
{
    const std::lock_guard lock(m_mutex);
    for (auto& it : m_targets) {
        const auto old = it->idle.size();
        std::erase_if(it->idle,
            [now](const IdleConnection& c) { return now - c.idleSince() > idleConnectionTtl || !c.isUsable(); });
        it->connections -= static_cast<unsigned>(old - it->idle.size());
    }
    rejectExpired(m_queue->removeExpired(now));
    dispatchWaiting(now);
}

void ServiceTraffic::shutDown()
{
    const std::lock_guard lock(m_mutex);
    m_queue.emplace(0, 0);
    m_waiters.clear();
}

ServiceRegistry::ServiceRegistry(const routing::Router& router, std::uint64_t memoryLimit, std::uint64_t seed)
    : m_router(router)
    , m_memory(memoryLimit)
    , m_seed(seed)
{
}

std::shared_ptr<ServiceTraffic> ServiceRegistry::find(
    const std::shared_ptr<const Snapshot>& snapshot, const std::string& name)
{
    const auto* entry = snapshot->find(name);
    if (!entry)
        return nullptr;
    std::shared_ptr<ServiceTraffic> result;
    {
        const std::lock_guard lock(m_mutex);
        auto& stored = m_services[name];
        if (!stored)
            stored = std::make_shared<ServiceTraffic>(m_router, m_memory, m_seed++);
        result = stored;
    }
    result->update(snapshot, *entry);
    return result;
}

void ServiceRegistry::tick(const std::shared_ptr<const Snapshot>& snapshot, base::SteadyTime now)
{
    std::vector<std::pair<std::string, std::shared_ptr<ServiceTraffic>>> services;
    {
        const std::lock_guard lock(m_mutex);
        services.assign(m_services.begin(), m_services.end());
    }
    for (const auto& [name, traffic] : services) {
        if (const auto* entry = snapshot ? snapshot->find(name) : nullptr)
            traffic->update(snapshot, *entry);
        traffic->tick(now);
    }
}

void ServiceRegistry::shutDown()
{
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, traffic] : m_services)
        traffic->shutDown();
}

} // namespace buckthorncroft::daemon
