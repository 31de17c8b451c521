#pragma once

#include "caller_session.h"

#include <buckthorncroft/base/error.h>
#include <list>
#include <memory>

namespace buckthorncroft::gateway {

/// Accepts callers and owns their sessions. Runs on the traffic thread.
class GatewayTraffic {
public:
    explicit GatewayTraffic(TrafficContext& context);

    /// Opens the address. Errors: `Unavailable`.
    base::Result<void> open(const daemon::Endpoint& address);

    /// Accepts until `close`.
    void start();

    /// From now on each answer asks its caller to close the connection.
    void announceStop() { m_context.stopping = true; }

    /// Closes connections without a request, now and later.
    void closeIdleCallerConnections();

    /// Accepts no further connections. Those that the system has accepted already are served.
    void stopAccepting();

    /// Whether nothing is at work.
    bool isIdle() const { return m_context.activeRequests == 0; }

    /// The process was paused: idle connections to targets are of no use.
    void closeIdleTargetConnections() { m_context.pool.clear(); }

private:
    http::Awaitable<void> acceptLoop();
    http::Awaitable<void> sweepLoop();
    void adopt(http::tcp::socket socket);

    TrafficContext& m_context;
    http::tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<CallerSession>> m_sessions;
};

} // namespace buckthorncroft::gateway
