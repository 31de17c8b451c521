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

/// How this instance uses one target. Guarded by the mutex of its ServiceTraffic. Kept when a configuration change
/// moves the target to another index.
struct TargetUsage {
    unsigned inFlight = 0;
    unsigned connections = 0; ///< Open connections, idle ones included.
    std::vector<IdleConnection> idle; ///< Oldest first.
    std::chrono::microseconds smoothedLatency { 0 }; ///< Exponential moving average; 0 while unknown.
};

/// A slot of one target for one attempt. The destructor releases it, and passes it to the next waiting request.
class SlotLease {
public:
    /// `connectionShare`: connections that this instance may have to the target.
    SlotLease(std::shared_ptr<ServiceTraffic> traffic, std::shared_ptr<TargetUsage> usage, config::RequestKind kind,
        unsigned connectionShare);
    SlotLease(const SlotLease&) = delete;
    SlotLease& operator=(const SlotLease&) = delete;
    ~SlotLease();

    /// Counts a connection to the target until the lease ends. Returns the descriptor of an idle connection if `reuse`
    /// is set and a usable one exists. Otherwise returns -1, and the attempt must open a connection.
    int acquireConnection(bool reuse);

    /// Keeps the connection open, and counted, for later attempts. Takes ownership of the descriptor.
    void returnIdleConnection(int descriptor, base::SteadyTime now);

    /// Records how long the target took, for the expected wait of queued requests and, if `isGood`, for the target's
    /// smoothed latency and the service's p95.
    void recordFinishedCall(std::chrono::microseconds serviceTime, bool isGood);

private:
    std::shared_ptr<ServiceTraffic> m_traffic;
    std::shared_ptr<TargetUsage> m_usage;
    config::RequestKind m_kind;
    unsigned m_connectionShare;
    bool m_holdsConnection = false;
};

/// A chosen target with a slot.
struct Placement {
    std::shared_ptr<const config::Service> service;
    std::shared_ptr<SlotLease> lease;
    routing::Decision decision;
    const config::Target& target() const { return service->targets[*decision.target]; }
};

/// The result of waiting for a slot: a placement, or the reason why the request was rejected.
struct Admission {
    std::optional<Placement> placement;
    limits::Refusal refusal = limits::Refusal::None;
};

/// Limits and load of one service on this instance. Safe for concurrent use by all traffic threads: each call holds a
/// mutex for a few microseconds and never blocks otherwise.
class ServiceTraffic : public std::enable_shared_from_this<ServiceTraffic> {
public:
    ServiceTraffic(const routing::Router& router, limits::MemoryBudget& processMemory, std::uint64_t seed);

    /// Applies a newer snapshot. `entry` is the service's part of it.
    void update(const std::shared_ptr<const Snapshot>& snapshot, const ServiceSnapshot& entry);

    /// Places the request at once, queues it or rejects it. `id` is unique among waiting requests. `onResult` is called
    /// exactly once, unless `cancelWait` returns true. It is called on any thread and with the mutex held, so it must
    /// only post the result elsewhere.
    void admit(config::RequestKind kind, base::SteadyTime deadline, base::SteadyTime now, std::uint64_t id,
        std::function<void(Admission)> onResult);

    /// Removes a waiting request. Returns false if `onResult` was or is being called.
    bool cancelWait(std::uint64_t id);

    /// Places a retry or a hedge if a target has a free slot now; it is never queued. `excluded`: indexes into the
    /// targets of `expectedService`. Returns nothing if the configuration has changed since.
    std::optional<Placement> placeExtraAttempt(config::RequestKind kind, std::vector<std::size_t> excluded,
        const std::shared_ptr<const config::Service>& expectedService);

    /// Whether a new request would be rejected because the queue is full.
    bool isQueueFull();

    /// Takes one extra attempt from the retry budget. Returns false if none is left.
    bool takeExtraAttempt();

    /// p95 latency of good responses to idempotent requests; empty while unknown.
    std::optional<std::chrono::microseconds> p95();
    /// When a rejected caller should retry, for the `Retry-After` header.
    std::chrono::seconds retryAfter();
    limits::MemoryBudget& memory() { return m_memory; }

    /// Places waiting requests, rejects those whose deadline has passed and closes connections that were idle for too
    /// long.
    void tick(base::SteadyTime now);

    /// Number of queued requests.
    std::size_t waitingCount();

    /// Drops the waiting requests without calling `onResult`. Called after the traffic threads have stopped.
    void shutDown();

private:
    friend class SlotLease;

    struct Waiter {
        limits::WaitingRequest request;
        std::function<void(Admission)> onResult;
    };

    std::optional<Placement> choose(const routing::PlacementRequest& request);
    bool hasFreeSlot() const;
    void dispatchWaiting(base::SteadyTime now);
    void rejectExpired(const std::vector<limits::WaitingRequest>& expired);
    void rebuildQueue(base::SteadyTime now);

    std::mutex m_mutex;
    const routing::Router& m_router;
    limits::MemoryBudget m_memory;
    std::mt19937_64 m_random;
    std::shared_ptr<const Snapshot> m_snapshot; ///< Keeps `m_targetViews` alive.
    const std::vector<health::TargetView>* m_targetViews = nullptr;
    std::shared_ptr<const config::Service> m_service;
    std::vector<std::shared_ptr<TargetUsage>> m_targets; ///< One per target of `m_service`, in order.
    std::optional<limits::AdmissionQueue> m_queue;
    unsigned m_queueSlots = 0; ///< Slots that `m_queue` was created with.
    unsigned m_queueLimit = 0; ///< Queue limit that `m_queue` was created with.
    std::unordered_map<std::uint64_t, Waiter> m_waiters;
    std::optional<limits::RetryBudget> m_retryBudget;
    double m_retryShare = 0; ///< Share that `m_retryBudget` was created with.
    LatencyQuantile m_latencyQuantile;
};

/// Creates and finds the ServiceTraffic of each service. Safe for concurrent use.
class ServiceRegistry {
public:
    ServiceRegistry(const routing::Router& router, std::uint64_t memoryLimit, std::uint64_t seed);

    /// Returns the service's traffic, updated to `snapshot`, or null if the snapshot has no such service.
    std::shared_ptr<ServiceTraffic> find(const std::shared_ptr<const Snapshot>& snapshot, const std::string& name);

    /// Updates all services to `snapshot`, which may be null, and calls their `tick`.
    void tick(const std::shared_ptr<const Snapshot>& snapshot, base::SteadyTime now);

    /// Calls `shutDown` for all services.
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
