#pragma once

#include "idle_connection.h"
#include "latency_quantile.h"

#include <buckthorncroft/daemon/snapshot.h>
#include <buckthorncroft/limits/admission_queue.h>
#include <buckthorncroft/limits/memory_budget.h>
#include <buckthorncroft/limits/retry_budget.h>
#include <buckthorncroft/routing/router.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthorncroft::daemon {

class ServiceTraffic;

/// What this instance does at one target. Guarded by the mutex of its ServiceTraffic. Lives on when a configuration
/// change moves the target to another index.
struct TargetState {
    unsigned inFlight = 0;
    unsigned connections = 0; ///< Open connections, idle ones included.
    std::vector<IdleConnection> idle;
    std::chrono::microseconds typicalLatency { 0 };
};

/// A slot of one target, taken for one attempt; released with the object.
class SlotLease {
public:
    /// `connectionShare`: connections that this instance may hold at the target.
    SlotLease(std::shared_ptr<ServiceTraffic> traffic, std::shared_ptr<TargetState> state, config::RequestKind kind,
        unsigned connectionShare);
    SlotLease(const SlotLease&) = delete;
    SlotLease& operator=(const SlotLease&) = delete;
    ~SlotLease();

    /// Counts a connection to the target, which closes with the lease unless it is parked. Returns a parked one if
    /// `reuse` allows it, else -1.
    int openConnection(bool reuse);

    /// Hands the connection back for later calls.
    void parkConnection(int descriptor, base::SteadyTime now);

    /// Says how long the target worked, for the expected wait of others.
    void finished(std::chrono::microseconds serviceTime, bool good);

private:
    std::shared_ptr<ServiceTraffic> m_traffic;
    std::shared_ptr<TargetState> m_state;
    config::RequestKind m_kind;
    unsigned m_connectionShare;
    bool m_connected = false;
};

/// A chosen target with its slot.
struct Placement {
    std::shared_ptr<const config::Service> service;
    std::shared_ptr<SlotLease> lease;
    routing::Decision decision;
    const config::Target& target() const { return service->targets[*decision.target]; }
};

/// The result of waiting for a slot.
struct Admission {
    std::optional<Placement> placement;
    limits::Refusal refusal = limits::Refusal::None;
};

/// Limits and load of one service on this instance, shared by all traffic threads. Calls take a mutex for a few
/// microseconds; none waits for anything else.
class ServiceTraffic : public std::enable_shared_from_this<ServiceTraffic> {
public:
    ServiceTraffic(const routing::Router& router, limits::MemoryBudget& processMemory, std::uint64_t seed);

    /// Takes over a newer snapshot of the service.
    void update(const std::shared_ptr<const Snapshot>& snapshot, const ServiceSnapshot& entry);

    /// Places the request at once, or lets it wait. `done` is called exactly once unless `leave` returns true: on any
    /// thread, with the mutex held, so it must only pass the result on.
    void admit(config::RequestKind kind, base::SteadyTime deadline, base::SteadyTime now, std::uint64_t id,
        std::function<void(Admission)> done);

    /// Stops waiting. Returns false if `done` was or is being called.
    bool leave(std::uint64_t id);

    /// Places a further attempt at once, or not at all.
    std::optional<Placement> placeAgain(config::RequestKind kind, std::vector<std::size_t> excluded,
        const std::shared_ptr<const config::Service>& expected);

    /// Whether a new request would be refused because too many wait.
    bool saturated();

    /// Takes one extra attempt from the retry budget.
    bool takeExtraAttempt();

    std::optional<std::chrono::microseconds> p95();
    std::chrono::seconds retryAfter();
    limits::MemoryBudget& memory() { return m_memory; }

    /// Places waiting requests, ends those whose deadline has passed and closes connections that were idle for long.
    void tick(base::SteadyTime now);

    std::size_t waiting();

    /// Forgets the waiting requests, whose threads have stopped.
    void shutDown();

private:
    friend class SlotLease;

    struct Waiter {
        limits::WaitingRequest request;
        std::function<void(Admission)> done;
    };

    std::optional<Placement> choose(const routing::PlacementRequest& request);
    bool anyRoom() const;
    void dispatch(base::SteadyTime now);
    void expire(const std::vector<limits::WaitingRequest>& expired);
    void rebuildQueue(base::SteadyTime now);

    std::mutex m_mutex;
    const routing::Router& m_router;
    limits::MemoryBudget m_memory;
    std::mt19937_64 m_random;
    std::shared_ptr<const Snapshot> m_snapshot; ///< Keeps `m_health` alive.
    const std::vector<health::TargetView>* m_health = nullptr;
    std::shared_ptr<const config::Service> m_service;
    std::vector<std::shared_ptr<TargetState>> m_targets; ///< One for each target of `m_service`.
    std::optional<limits::AdmissionQueue> m_queue;
    unsigned m_queueSlots = 0;
    unsigned m_queueLimit = 0;
    std::unordered_map<std::uint64_t, Waiter> m_waiters;
    std::optional<limits::RetryBudget> m_budget;
    double m_budgetShare = 0;
    LatencyQuantile m_latency;
};

/// The ServiceTraffic of each service. Safe for concurrent use.
class ServiceRegistry {
public:
    ServiceRegistry(const routing::Router& router, std::uint64_t memoryLimit, std::uint64_t seed);

    /// Returns the service's state, brought up to `snapshot`, or null if the snapshot has no such service.
    std::shared_ptr<ServiceTraffic> find(const std::shared_ptr<const Snapshot>& snapshot, const std::string& name);

    void tick(const std::shared_ptr<const Snapshot>& snapshot, base::SteadyTime now);

    void shutDown();

    limits::MemoryBudget& memory() { return m_memory; }

private:
    std::mutex m_mutex;
    const routing::Router& m_router;
    limits::MemoryBudget m_memory;
    std::uint64_t m_seed;
    std::map<std::string, std::shared_ptr<ServiceTraffic>> m_services;
};

} // namespace buckthorncroft::daemon
