#pragma once

#include "connection_pool.h"
#include "header_names.h"
#include "placement_client.h"

#include <atomic>
#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/limits/memory_budget.h>
#include <buckthorncroft/observe/log.h>
#include <buckthorncroft/observe/metrics.h>
#include <buckthorncroft/routing/route_table.h>
#include <functional>
#include <memory>
#include <random>

namespace buckthorncroft::gateway {

/// What the traffic thread routes by. Immutable once published.
struct GatewaySnapshot {
    std::shared_ptr<const routing::RouteTable> routes; ///< Null before the first routes.
    std::shared_ptr<const membership::TargetSet> targets; ///< Null before the first listing.

    bool isComplete() const { return routes && targets; }
};

/// Hands the newest snapshot from the control thread to the traffic thread.
class GatewaySnapshotHolder {
public:
    void publish(std::shared_ptr<const GatewaySnapshot> snapshot) { m_current.store(std::move(snapshot)); }
    std::shared_ptr<const GatewaySnapshot> read() const { return m_current.load(); }

private:
    std::atomic<std::shared_ptr<const GatewaySnapshot>> m_current { std::make_shared<const GatewaySnapshot>() };
};

/// Placement as the traffic thread uses it; the calls cross to the control thread and their results come back.
class PlacementService {
public:
    PlacementService() = default;
    PlacementService(const PlacementService&) = delete;
    PlacementService& operator=(const PlacementService&) = delete;
    virtual ~PlacementService() = default;

    /// Asks for a slot. `done` is called on the traffic thread. Returns a token for `withdraw`.
    virtual std::uint64_t requestSlot(SlotQuery query, PlacementClient::Callback done) = 0;

    /// Gives up on a question, or on the slot that its answer brings.
    virtual void withdraw(std::uint64_t token) = 0;

    virtual void report(const std::string& service, const std::string& point, const routing::DispatchOutcome& outcome)
        = 0;
};

/// What the way of a request uses. Belongs to the traffic thread, except for the parts that say otherwise.
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
    std::size_t activeRequests = 0; ///< Requests at work.
    bool stopping = false; ///< Each answer asks its caller to close the connection.
    bool closingIdle = false; ///< Connections without a request are closed.
};

} // namespace buckthorncroft::gateway
