#pragma once

#include <atomic>
#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/base/error.h>
#include <buckthorncroft/daemon/observation_queue.h>
#include <buckthorncroft/daemon/settings.h>
#include <buckthorncroft/daemon/snapshot.h>
#include <buckthorncroft/observe/log.h>
#include <buckthorncroft/outcome/claim_service.h>
#include <buckthorncroft/outcome/request_outcome.h>
#include <buckthorncroft/routing/router.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace buckthorncroft::daemon {

/// One finished request, as reported to `TrafficDependencies::finished`.
struct FinishedRequest {
    std::string service; ///< Empty when no service matched.
    std::string route;
    outcome::Outcome outcome = outcome::Outcome::NotRun;
    unsigned status = 0;
    unsigned attempts = 0; ///< Attempts that were started, retries and hedges included.
    std::chrono::microseconds duration { 0 }; ///< From the request's head to the end of the answer.
};

/// Timeouts towards callers; the defaults are for production, tests shorten them.
struct TrafficTimes {
    std::chrono::milliseconds keepAlive { 75'000 }; ///< Without a request, a connection is closed.
    std::chrono::milliseconds head { 30'000 }; ///< For the whole header block.
    std::chrono::milliseconds stall { 30'000 }; ///< Without a byte of a body, in either direction.
    std::chrono::milliseconds awaitContinue { 1'000 }; ///< How long an upload waits for a target's 100 Continue.
};

/// What the traffic threads use. All references must outlive the server.
struct TrafficDependencies {
    const base::Clock& clock;
    const SnapshotStore& snapshots;
    ObservationQueue& observations;
    const routing::Router& router; ///< Shared by all traffic threads; `choose` must be safe for concurrent use.
    const observe::Logger& log;
    outcome::ClaimService* claims = nullptr; ///< Null: requests with an idempotency key are refused as not run.
    std::function<void(const FinishedRequest&)> finished {}; ///< Called on a traffic thread; must return at once.
    TrafficTimes times {};
    std::uint64_t seed = 1; ///< For the routing decisions.
};

/// Serves callers: accepts connections on the caller address and carries each request to a target.
class TrafficServer {
public:
    TrafficServer(const InstanceSettings& settings, TrafficDependencies dependencies);

    /// Stops at once if it still runs.
    ~TrafficServer();
    TrafficServer(const TrafficServer&) = delete;
    TrafficServer& operator=(const TrafficServer&) = delete;

    /// Opens the caller address and starts the traffic threads. Errors: `Unavailable`.
    base::Result<void> start();

    /// The port in use, for settings with port 0.
    std::uint16_t port() const;

    /// From now on each answer asks its caller to close the connection.
    void announceStop();

    /// Stops accepting, closes idle connections, and returns when everything in flight has finished.
    void stopGracefully();

    /// Requests that are being served.
    std::size_t activeRequests() const;

    /// Bytes that requests hold in buffers.
    std::size_t memoryUsed() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace buckthorncroft::daemon
