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

/// Whether the traffic threads still exist, for answers of the claim service that arrive after they have ended.
struct Liveness {
    std::mutex mutex;
    bool alive = true; ///< Guarded by `mutex`.
};

/// State that all traffic threads share.
struct TrafficShared {
    TrafficShared(const InstanceSettings& settings, TrafficDependencies use)
        : dependencies(std::move(use))
        , services(dependencies.router, settings.memoryBudget, dependencies.seed)
        , instance(settings.instance)
    {
    }

    TrafficDependencies dependencies;
    ServiceRegistry services;
    std::string instance;
    std::string incarnation; ///< Makes request ids unique over restarts.
    std::atomic<std::uint64_t> nextRequest { 1 };
    std::atomic<std::uint64_t> nextAttempt { 1 };
    std::atomic<std::size_t> activeRequests { 0 };
    std::atomic<bool> stopAnnounced { false };
    std::shared_ptr<Liveness> liveness = std::make_shared<Liveness>();
};

class Attempt;

/// One traffic thread's view.
struct TrafficContext {
    http::asio::io_context& io;
    TrafficShared& shared;
    std::set<Attempt*> attempts {}; ///< Running on this thread, for reports about pending ones.

    const base::Clock& clock() const { return shared.dependencies.clock; }
    const observe::Logger& log() const { return shared.dependencies.log; }
};

} // namespace buckthorncroft::daemon
