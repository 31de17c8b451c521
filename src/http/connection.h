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

    /// Closes the connection at `time`, whatever operation is pending then. Replaces an earlier deadline.
    void closeAt(base::SteadyTime time);

    /// Removes the deadline.
    void clearDeadline();

    /// Whether the deadline closed the connection.
    bool timedOut() const { return m_timedOut; }

    void close();

    /// Closes the connection with a TCP reset, so that the peer cannot mistake an incomplete message for a complete
    /// one.
    void reset();

    /// Sets whether `close`, the deadline and the end of the process close the connection with a TCP reset.
    void setResetOnClose(bool enabled);

    /// Whether the connection is open and has no unread data. Unread data on an idle connection is unsolicited.
    bool isOpenAndIdle();

private:
    tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    asio::steady_timer m_timer;
    bool m_timedOut = false;
};

} // namespace buckthorncroft::http
