#pragma once

#include "caller_session.h"

#include <buckthorncroft/base/error.h>
#include <list>
#include <memory>

namespace buckthorncroft::gateway {

/// Accepts connections of callers and runs a `CallerSession` for each. Runs on the traffic thread.
class GatewayTraffic {
public:
    explicit GatewayTraffic(TrafficContext& context);

    /// Starts listening on `address`. Errors: `Unavailable`.
    base::Result<void> open(const daemon::Endpoint& address);

    /// Accepts connections until `stopAccepting`.
    void start();

    /// From now on each response carries `Connection: close`.
    void announceStop() { m_context.stopping = true; }

    /// Closes caller connections without a request, now and whenever one becomes idle.
    void closeIdleCallerConnections();

    /// Stops accepting connections. Those that already wait in the listen queue are still accepted and served.
    void stopAccepting();

    /// Whether no request is in flight.
    bool isIdle() const { return m_context.activeRequests == 0; }

    /// Closes the pooled connections to targets. Called after the machine was suspended, when they can no longer
    /// be used.
    void closeIdleTargetConnections() { m_context.pool.clear(); }

private:
    http::Awaitable<void> acceptLoop();
    http::Awaitable<void> cleanupLoop();
    void startSession(http::tcp::socket socket);

    TrafficContext& m_context;
    http::tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<CallerSession>> m_sessions;
};

} // namespace buckthorncroft::gateway
