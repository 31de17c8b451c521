#pragma once

#include "../http/connection.h"

#include <buckthorncroft/base/clock.h>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace buckthorncroft::gateway {

/// Pool of idle connections to targets. A connection is reused only for the target process to which it was opened,
/// identified by the target's id and start time. Belongs to one thread.
class ConnectionPool {
public:
    explicit ConnectionPool(const base::Clock& clock)
        : m_clock(clock)
    {
    }

    /// Removes and returns an idle connection that the target has not closed, or returns null. `requireFresh` is set
    /// for non-idempotent requests and skips connections that are close to their idle timeout: if the target closed the
    /// connection while the request was being sent, its outcome would be unknown.
    std::shared_ptr<http::Connection> take(const std::string& target, std::int64_t startedAtUnixMs, bool requireFresh);

    /// Adds a connection after a complete exchange. `idleTimeout`: time after which the target closes it when idle.
    void put(const std::string& target, std::int64_t startedAtUnixMs, std::shared_ptr<http::Connection> connection,
        std::chrono::milliseconds idleTimeout);

    /// Returns those of `candidates` to which an idle connection exists.
    std::vector<std::string> connectedTargets(const std::vector<std::string>& candidates) const;

    /// Closes connections whose idle timeout has expired or that their target has closed.
    void closeExpired();

    /// Closes all idle connections.
    void clear() { m_idle.clear(); }

private:
    struct IdleConnection {
        std::shared_ptr<http::Connection> connection;
        std::int64_t startedAtUnixMs = 0; ///< Start time of the target's process.
        base::SteadyTime idleSince;
        base::SteadyTime expiresAt; ///< Shortly before the target closes it.
    };

    const base::Clock& m_clock;
    /// By target id; the most recently used connection is last.
    std::map<std::string, std::vector<IdleConnection>> m_idle;
};

} // namespace buckthorncroft::gateway
