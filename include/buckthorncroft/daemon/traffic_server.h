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
    std::chrono::microseconds duration { 0 }; ///< From the end of the request's head to the end of the response.
};

/// Timeouts of connections to callers and of uploads. The defaults are for production; tests shorten them.
struct TrafficTimeouts {
    std::chrono::milliseconds keepAlive { 75'000 }; ///< An idle connection of a caller is closed after this.
    std::chrono::milliseconds head { 30'000 }; ///< For reading the whole head of a request.
    std::chrono::milliseconds stall { 30'000 }; ///< For reading or sending each piece of a body.
    /// How long an upload waits for a target's 100 Continue before it sends the body anyway.
    std::chrono::milliseconds awaitContinue { 1'000 };
};

/// Dependencies of the traffic threads. All references must outlive the server.
struct TrafficDependencies {
    const base::Clock& clock;
    const SnapshotStore& snapshots;
    ObservationQueue& observations;
    const routing::Router& router; ///< Shared by all traffic threads; `choose` must be safe for concurrent use.
    const observe::Logger& log;
    outcome::ClaimService* claims = nullptr; ///< If null, requests with an idempotency key are rejected as not run.
    std::function<void(const FinishedRequest&)> finished {}; ///< Called on a traffic thread; must not block.
    TrafficTimeouts timeouts {};
    std::uint64_t seed = 1; ///< Seed of the random numbers for routing decisions.
};

/// Accepts connections on the caller address and forwards each request to a target. `activeRequests` and `memoryUsed`
/// may be called on any thread.
class TrafficServer {
public:
    TrafficServer(const InstanceSettings& settings, TrafficDependencies dependencies);

    /// Stops at once if the server still runs; requests in flight are lost.
    ~TrafficServer();
    TrafficServer(const TrafficServer&) = delete;
    TrafficServer& operator=(const TrafficServer&) = delete;

    /// Opens the caller address and starts the traffic threads. Errors: `Unavailable`.
    base::Result<void> start();

    /// The port that is listened on, also if the settings have port 0.
    std::uint16_t port() const;

    /// From now on each response asks its caller to close the connection.
    void announceStop();

    /// Stops accepting, closes idle connections, and blocks until all requests in flight have finished.
    void stopGracefully();

    /// Number of requests being served.
    std::size_t activeRequests() const;

    /// Bytes reserved for the buffers of requests.
    std::size_t memoryUsed() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace buckthorncroft::daemon
