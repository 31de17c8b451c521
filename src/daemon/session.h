#pragma once

#include "../http/connection.h"
#include "traffic_context.h"

#include <memory>

namespace buckthorncroft::daemon {

/// One caller's connection: serves its requests one after another.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(TrafficContext& context, http::tcp::socket socket);

    http::Awaitable<void> run();

    /// Closes the connection if no request is in progress, and otherwise after the current one.
    void stop();

private:
    http::Awaitable<bool> awaitRequest();
    http::Awaitable<bool> serveOne();
    http::Awaitable<void> closeGently();

    TrafficContext& m_context;
    std::shared_ptr<http::Connection> m_connection;
    bool m_idle = false;
    bool m_stopping = false;
};

} // namespace buckthorncroft::daemon
