#pragma once

#include "../http/asio.h"
#include "service_traffic.h"

#include <atomic>
#include <buckthorncroft/daemon/traffic_server.h>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace buckthorncroft::daemon {

/// Tells callbacks of the claim service whether the traffic threads still run, because a callback may arrive after they
/// have ended.
struct Liveness {
    std::mutex mutex;
    bool alive = true; ///< Guarded by `mutex`.
};

/// State shared by all traffic threads.
struct TrafficShared {
    TrafficShared(const InstanceSettings& settings, TrafficDependencies trafficDependencies)
        : dependencies(std::move(trafficDependencies))
        , services(dependencies.router, settings.memoryBudget, dependencies.seed)
        , instance(settings.instance)
    {
    }

    TrafficDependencies dependencies;
    ServiceRegistry services;
    std::string instance;
    std::string incarnation; ///< Prefix of request ids, so that they stay unique across restarts.
    std::atomic<std::uint64_t> nextRequest { 1 }; ///< Next number for request ids and for waits in the queue.
    std::atomic<std::uint64_t> nextAttempt { 1 }; ///< Next number for `ReportedObservation::attempt`.
    std::atomic<std::size_t> activeRequests { 0 }; ///< Requests being served.
    std::atomic<bool> stopAnnounced { false }; ///< Each response asks its caller to close the connection.
    std::shared_ptr<Liveness> liveness = std::make_shared<Liveness>();
};

class Attempt;

/// What the code on one traffic thread needs: the thread's event loop and attempts, and the shared state.
struct TrafficContext {
    http::asio::io_context& io;
    TrafficShared& shared;
    std::set<Attempt*> attempts {}; ///< Attempts in flight on this thread, for the reports about pending attempts.

    const base::Clock& clock() const { return shared.dependencies.clock; }
    const observe::Logger& log() const { return shared.dependencies.log; }
};

} // namespace buckthorncroft::daemon
