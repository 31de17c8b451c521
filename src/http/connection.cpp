#include "connection.h"

#include <sys/socket.h>

namespace buckthorncroft::http {

namespace {

    // Larger than any accepted header block, which Beast needs in one contiguous buffer.
    constexpr std::size_t maxReadBufferBytes = std::size_t { 128 } * 1024;

} // namespace

Connection::Connection(asio::io_context& context)
    : m_socket(context)
    , m_buffer(maxReadBufferBytes)
    , m_timer(context)
{
}

Connection::Connection(tcp::socket socket)
    : m_socket(std::move(socket))
    , m_buffer(maxReadBufferBytes)
    , m_timer(m_socket.get_executor())
{
}

void Connection::closeAt(base::SteadyTime time)
{
    m_timer.expires_at(time);
    m_timer.async_wait([weak = weak_from_this()](error_code ec) {
        const auto self = weak.lock();
        // The deadline may have been changed after this handler was queued.
        if (ec || !self || self->m_timer.expiry() > std::chrono::steady_clock::now())
            return;
        self->m_timedOut = true;
        self->close();
    });
}

void Connection::clearDeadline()
{
    m_timer.expires_at(base::SteadyTime::max());
}

void Connection::close()
{
    error_code ec;
    m_socket.close(ec);
    m_timer.cancel();
}

void Connection::reset()
{
    setResetOnClose(true);
    close();
}

void Connection::setResetOnClose(bool enabled)
{
    error_code ec;
    m_socket.set_option(asio::socket_base::linger(enabled, 0), ec);
}

bool Connection::isOpenAndIdle()
{
    if (!m_socket.is_open() || m_buffer.size() != 0)
        return false;
    char c = 0;
    const auto n = ::recv(m_socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace buckthorncroft::http
