#include "service_traffic.h"

#include <algorithm>
#include <buckthorncroft/limits/connection_share.h>
#include <unistd.h>

namespace buckthorncroft::daemon {

namespace {

    // Targets often close idle connections after a minute; closing earlier avoids the race.
    constexpr std::chrono::seconds idleLimit { 30 };

    // No service may hold more than this share of the process's buffers, so that others keep working.
    constexpr double serviceMemoryShare = 0.5;

    constexpr double latencySmoothing = 0.1;

    unsigned totalSlots(const config::Service& service)
    {
        unsigned n = 0;
        for (const auto& it : service.targets)
            n += it.slots;
        return n;
    }

    bool sameTarget(const config::Target& a, const config::Target& b)
    {
        return a.id == b.id && a.host == b.host && a.port == b.port;
    }

} // namespace

SlotLease::SlotLease(std::shared_ptr<ServiceTraffic> traffic, std::shared_ptr<TargetState> state,
    config::RequestKind kind, unsigned connectionShare)
    : m_traffic(std::move(traffic))
    , m_state(std::move(state))
    , m_kind(kind)
    , m_connectionShare(connectionShare)
{
}

SlotLease::~SlotLease()
{
    const std::lock_guard lock(m_traffic->m_mutex);
    --m_state->inFlight;
    if (m_connected)
        --m_state->connections;
    // Requests that wait are placed by the thread that frees the slot.
    m_traffic->dispatch(std::chrono::steady_clock::now());
}

int SlotLease::openConnection(bool reuse)
{
    const std::lock_guard lock(m_traffic->m_mutex);
    auto& idle = m_state->idle;
    m_connected = true;
    while (reuse && !idle.empty()) {
        auto last = std::move(idle.back());
        idle.pop_back();
        if (last.quiet())
            return last.release();
        --m_state->connections;
    }
    // At its share, the instance closes an idle connection to make room for the fresh one.
    if (!idle.empty() && m_state->connections >= m_connectionShare) {
        idle.erase(idle.begin());
        return -1;
    }
    ++m_state->connections;
    return -1;
}

void SlotLease::parkConnection(int descriptor, base::SteadyTime now)
{
    const std::lock_guard lock(m_traffic->m_mutex);
    m_state->idle.emplace_back(descriptor, now);
    m_connected = false;
}

void SlotLease::finished(std::chrono::microseconds serviceTime, bool good)
{
    const std::lock_guard lock(m_traffic->m_mutex);
    m_traffic->m_queue->recordServiceTime(m_kind, serviceTime);
    if (!good)
        return;
    if (m_kind == config::RequestKind::Idempotent)
        m_traffic->m_latency.add(serviceTime);
    auto& typical = m_state->typicalLatency;
    typical = typical.count() == 0
        ? serviceTime
        : typical + std::chrono::duration_cast<std::chrono::microseconds>((serviceTime - typical) * latencySmoothing);
}

ServiceTraffic::ServiceTraffic(const routing::Router& router, limits::MemoryBudget& processMemory, std::uint64_t seed)
    : m_router(router)
    , m_memory(
          static_cast<std::size_t>(static_cast<double>(processMemory.limit()) * serviceMemoryShare), &processMemory)
    , m_random(seed)
{
}

void ServiceTraffic::update(const std::shared_ptr<const Snapshot>& snapshot, const ServiceSnapshot& entry)
{
    const std::lock_guard lock(m_mutex);
    if (m_snapshot == snapshot)
        return;
    m_snapshot = snapshot;
    m_health = &entry.targets;
    if (m_service == entry.service)
        return;
    std::vector<std::shared_ptr<TargetState>> targets;
    for (const auto& it : entry.service->targets) {
        std::shared_ptr<TargetState> state;
        for (std::size_t i = 0; m_service && i < m_targets.size() && !state; ++i) {
            if (sameTarget(m_service->targets[i], it))
                state = m_targets[i];
        }
        targets.push_back(state ? state : std::make_shared<TargetState>());
    }
    m_targets = std::move(targets);
    m_service = entry.service;
    if (!m_budget || m_budgetShare != m_service->retryShare)
        m_budget.emplace(m_service->retryShare);
    m_budgetShare = m_service->retryShare;
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
    expire(expired);
}

std::optional<Placement> ServiceTraffic::choose(const routing::PlacementRequest& request)
{
    std::vector<routing::TargetLoad> load;
    load.reserve(m_targets.size());
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        const auto& it = *m_targets[i];
        const auto share = limits::connectionShare(m_service->targets[i].connectionLimit, m_snapshot->liveInstances);
        load.push_back({ it.inFlight, it.connections, share, it.typicalLatency });
    }
    auto decision = m_router.choose(request, *m_service, *m_health, load, m_random);
    if (!decision.target)
        return std::nullopt;
    const auto& state = m_targets[*decision.target];
    ++state->inFlight;
    return Placement { m_service,
        std::make_shared<SlotLease>(shared_from_this(), state, request.kind, load[*decision.target].connectionShare),
        std::move(decision) };
}

void ServiceTraffic::admit(config::RequestKind kind, base::SteadyTime deadline, base::SteadyTime now, std::uint64_t id,
    std::function<void(Admission)> done)
{
    const std::lock_guard lock(m_mutex);
    m_budget->recordRequest();
    if (m_queue->size() == 0) {
        if (auto placement = choose({ kind, true, {} })) {
            done({ std::move(placement), limits::Refusal::None });
            return;
        }
    }
    const limits::WaitingRequest request { id, kind, deadline };
    if (const auto refusal = m_queue->enqueue(request, now); refusal != limits::Refusal::None) {
        done({ std::nullopt, refusal });
        return;
    }
    m_waiters.emplace(id, Waiter { request, std::move(done) });
    dispatch(now);
}

bool ServiceTraffic::leave(std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    m_queue->remove(id);
    return m_waiters.erase(id) != 0;
}

void ServiceTraffic::expire(const std::vector<limits::WaitingRequest>& expired)
{
    for (const auto& it : expired) {
        const auto waiter = m_waiters.find(it.id);
        if (waiter == m_waiters.end())
            continue;
        waiter->second.done({ std::nullopt, limits::Refusal::DeadlineTooClose });
        m_waiters.erase(waiter);
    }
}

// Taking requests from the queue without a free slot would make the queue believe that it drains.
bool ServiceTraffic::anyRoom() const
{
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        if (m_targets[i]->inFlight < m_service->targets[i].slots)
            return true;
    }
    return false;
}

void ServiceTraffic::dispatch(base::SteadyTime now)
{
    std::vector<limits::WaitingRequest> expired;
    std::vector<limits::WaitingRequest> unplaced;
    while (m_queue && m_queue->size() != 0 && anyRoom()) {
        const auto next = m_queue->pop(now, expired);
        if (!next)
            break;
        const auto waiter = m_waiters.find(next->id);
        if (waiter == m_waiters.end())
            continue;
        auto placement = choose({ next->kind, true, {} });
        if (!placement) {
            // Another kind may still have a target that takes it, for example when this kind is suspect everywhere.
            unplaced.push_back(*next);
            if (unplaced.size() >= config::requestKindCount)
                break;
            continue;
        }
        waiter->second.done({ std::move(placement), limits::Refusal::None });
        m_waiters.erase(waiter);
    }
    for (const auto& it : unplaced) {
        if (m_queue->enqueue(it, now) != limits::Refusal::None)
            expired.push_back(it);
    }
    expire(expired);
}

std::optional<Placement> ServiceTraffic::placeAgain(
    config::RequestKind kind, std::vector<std::size_t> excluded, const std::shared_ptr<const config::Service>& expected)
{
    const std::lock_guard lock(m_mutex);
    // The excluded indexes refer to the record that the first attempt used.
    if (m_service != expected)
        return std::nullopt;
    return choose({ kind, false, std::move(excluded) });
}

bool ServiceTraffic::saturated()
{
    const std::lock_guard lock(m_mutex);
    return m_queue->size() != 0 && m_queue->size() >= m_queueLimit;
}

bool ServiceTraffic::takeExtraAttempt()
{
    const std::lock_guard lock(m_mutex);
    return m_budget->tryTake();
}

std::optional<std::chrono::microseconds> ServiceTraffic::p95()
{
    const std::lock_guard lock(m_mutex);
    return m_latency.p95();
}

std::chrono::seconds ServiceTraffic::retryAfter()
{
    const std::lock_guard lock(m_mutex);
    return m_queue->retryAfter();
}

std::size_t ServiceTraffic::waiting()
{
    const std::lock_guard lock(m_mutex);
    return m_waiters.size();
}

void ServiceTraffic::tick(base::SteadyTime now)
{
    const std::lock_guard lock(m_mutex);
    for (auto& it : m_targets) {
        const auto old = it->idle.size();
        std::erase_if(it->idle, [now](const IdleConnection& c) { return now - c.since() > idleLimit || !c.quiet(); });
        it->connections -= static_cast<unsigned>(old - it->idle.size());
    }
    expire(m_queue->removeExpired(now));
    dispatch(now);
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
        auto& place = m_services[name];
        if (!place)
            place = std::make_shared<ServiceTraffic>(m_router, m_memory, m_seed++);
        result = place;
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
