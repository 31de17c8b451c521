#pragma once

#include "asio.h"

#include <buckthorncroft/base/clock.h>
#include <memory>

namespace buckthorncroft::http {

/// A TCP connection with its read buffer and one deadline. Belongs to one thread.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    explicit Connection(asio::io_context& context);
    explicit Connection(tcp::socket socket);

    tcp::socket& socket() { return m_socket; }
    beast::flat_buffer& buffer() { return m_buffer; }

    /// Closes the connection at `time`, whatever operation is then pending. Replaces an earlier limit.
    void closeAt(base::SteadyTime time);

    /// Removes the limit.
    void clearDeadline();

    /// Whether the limit closed the connection.
    bool timedOut() const { return m_timedOut; }

    void close();

    /// Closes with a reset, so that the other side cannot take an incomplete message for a whole one.
    void reset();

    /// Whether the other side neither closed the connection nor sent bytes that nobody asked for.
    bool isOpenAndIdle();

private:
    tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    asio::steady_timer m_timer;
    bool m_timedOut = false;
};

} // namespace buckthorncroft::http
