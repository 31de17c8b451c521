#pragma once

#include "connection_pool.h"
#include "header_names.h"
#include "placement_client.h"
#include "response_sizes.h"
#include "target_pauses.h"

#include <atomic>
#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/limits/memory_budget.h>
#include <buckthorncroft/observe/log.h>
#include <buckthorncroft/observe/metrics.h>
#include <buckthorncroft/routing/route_table.h>
#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace buckthorncroft::gateway {

/// Routes and targets that the traffic thread routes requests by. Immutable once published.
struct GatewaySnapshot {
    std::shared_ptr<const routing::RouteTable> routes; ///< Null until routes have been read.
    std::shared_ptr<const membership::TargetSet> targets; ///< Null until the targets have been listed.
    bool mayBeOutdated = false; ///< Newer routes may be in force elsewhere.

    bool isComplete() const { return routes && targets; }
};

/// Passes the latest snapshot from the control thread to the traffic thread. Safe for concurrent use.
class GatewaySnapshotHolder {
public:
    void publish(std::shared_ptr<const GatewaySnapshot> snapshot) { m_current.store(std::move(snapshot)); }
    std::shared_ptr<const GatewaySnapshot> read() const { return m_current.load(); }

private:
    std::atomic<std::shared_ptr<const GatewaySnapshot>> m_current { std::make_shared<const GatewaySnapshot>() };
};

/// Interface through which the traffic thread requests slots. Calls are executed on the control thread; results are
/// posted back to the traffic thread.
class PlacementService {
public:
    PlacementService() = default;
    PlacementService(const PlacementService&) = delete;
    PlacementService& operator=(const PlacementService&) = delete;
    virtual ~PlacementService() = default;

    /// Requests a slot. `done` is called on the traffic thread. Returns a token for `withdraw`.
    virtual std::uint64_t requestSlot(SlotQuery query, PlacementClient::Callback done) = 0;

    /// Cancels a pending slot request; a slot that is granted meanwhile is released.
    virtual void withdraw(std::uint64_t token) = 0;

    /// Reports the outcome of an attempt, or that it is overdue, to the dispatch point `point` of `service`.
    virtual void report(const std::string& service, const std::string& point, const routing::DispatchOutcome& outcome)
        = 0;
};

/// Whether a workspace may send another request now.
struct Admission {
    bool admitted = true;
    std::chrono::milliseconds retryAfter { 0 }; ///< When the workspace may send again; 0 if the request is admitted.
};

/// Interface through which the traffic thread asks whether a request is within the quota of its workspace.
class AdmissionService {
public:
    AdmissionService() = default;
    AdmissionService(const AdmissionService&) = delete;
    AdmissionService& operator=(const AdmissionService&) = delete;
    virtual ~AdmissionService() = default;

    /// Asks for admission of one request of a caller. `done` is called once, on the traffic thread.
    virtual void admit(const std::string& workspace, std::function<void(const Admission&)> done) = 0;
};

/// The end of a process that stops. All times count from the stop signal.
struct StopSchedule {
    base::SteadyTime startedAt; ///< The stop signal.
    /// From then on, requests that no target has received are rejected if their deadline lies beyond `endsAt`.
    base::SteadyTime lastRequestAt;
    base::SteadyTime endsAt; ///< Requests in flight get their final response.
};

/// Dependencies and shared state of request processing. Belongs to the traffic thread unless a member says otherwise.
struct TrafficContext {
    http::asio::io_context& io;
    const base::Clock& clock;
    const HeaderNames& names;
    const GatewaySnapshotHolder& snapshots; ///< Safe for concurrent use.
    PlacementService& placement;
    const observe::Logger& log; ///< Safe for concurrent use.
    observe::Metrics& metrics; ///< Safe for concurrent use.
    limits::MemoryBudget& memory;
    ConnectionPool pool;
    std::mt19937_64 random;
    AdmissionService* admission = nullptr; ///< Null if usage is not limited.
    TargetPauses pauses {}; ///< Targets that refuse requests of this instance.
    ResponseSizes responseSizes {}; ///< Of successful responses.
    std::size_t activeRequests = 0; ///< Requests in flight.
    bool stopping = false; ///< Each response carries `Connection: close`.
    std::optional<StopSchedule> stopSchedule {}; ///< Set while the process stops.
    bool closingKeptConnections = false; ///< Caller connections are closed when idle after their first request.
    bool closingIdleConnections = false; ///< All caller connections without a request are closed.
};

} // namespace buckthorncroft::gateway
