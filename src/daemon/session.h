#pragma once

#include "../http/connection.h"
#include "traffic_context.h"

#include <memory>

namespace buckthorncroft::daemon {

/// The connection of one caller, whose requests are served one after another. Belongs to one traffic thread.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(TrafficContext& context, http::tcp::socket socket);

    /// Serves requests until the connection is closed.
    http::Awaitable<void> run();

    /// Closes the connection if no request is in progress, and otherwise after the current one.
    void stop();

private:
    http::Awaitable<bool> awaitRequest();
    http::Awaitable<bool> serveRequest();
    http::Awaitable<void> lingeringClose();

    TrafficContext& m_context;
    std::shared_ptr<http::Connection> m_connection;
    bool m_idle = false;
    bool m_stopping = false;
};

} // namespace buckthorncroft::daemon
