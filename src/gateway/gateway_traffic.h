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

    /// From now on each response carries `Connection: close`, and requests are rejected as `schedule` says.
    void announceStop(const StopSchedule& schedule)
    {
        m_context.stopping = true;
        m_context.stopSchedule = schedule;
    }

    /// Closes caller connections that have carried a request and are idle, now and whenever one becomes idle. New
    /// connections still wait for their first request.
    void closeKeptCallerConnections();

    /// Closes all caller connections without a request, now and whenever one becomes idle.
    void closeIdleCallerConnections();

    /// Rejects requests that no target has received yet, unless they end before the process does.
    void rejectWaitingRequests();

    /// Ends all requests in flight with their final response.
    void endActiveRequests();

    /// Resets connections on which a long response is incomplete. Called when the process exits.
    void resetUnfinishedStreams();

    /// Logs each connection that the end of the process will cut.
    void logUnfinishedSessions() const;

    /// Stops accepting connections. Those that already wait in the listen queue are still accepted and served.
    void stopAccepting();

    /// Whether no caller connection is open, so that no request can be in flight or arrive.
    bool isIdle() const;

    /// Closes the pooled connections to targets. Called after the machine was suspended, when they can no longer
    /// be used.
    void closeIdleTargetConnections() { m_context.pool.clear(); }

private:
    http::Awaitable<void> acceptLoop();
    http::Awaitable<void> cleanupLoop();
    void startSession(http::tcp::socket socket);
    void stopIdleSessions();

    TrafficContext& m_context;
    http::tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<CallerSession>> m_sessions;
};

} // namespace buckthorncroft::gateway
