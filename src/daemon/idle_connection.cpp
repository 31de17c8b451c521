#include "idle_connection.h"

#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace buckthorncroft::daemon {

IdleConnection::~IdleConnection()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

bool IdleConnection::isUsable() const
{
    char c = 0;
    const auto n = ::recv(m_descriptor, &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace buckthorncroft::daemon
