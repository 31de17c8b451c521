#pragma once

#include <buckthorncroft/base/clock.h>
#include <utility>

namespace buckthorncroft::daemon {

/// An open connection to a target that no call uses. Owns the file descriptor instead of a socket object, because a
/// socket is bound to the event loop of one thread and any traffic thread may reuse the connection.
class IdleConnection {
public:
    IdleConnection(int descriptor, base::SteadyTime idleSince)
        : m_descriptor(descriptor)
        , m_idleSince(idleSince)
    {
    }
    IdleConnection(IdleConnection&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_idleSince(other.m_idleSince)
    {
    }
    IdleConnection& operator=(IdleConnection&& other) noexcept
    {
        std::swap(m_descriptor, other.m_descriptor);
        std::swap(m_idleSince, other.m_idleSince);
        return *this;
    }
    ~IdleConnection();

    /// Whether the connection can be reused: the target has neither closed it nor sent unsolicited bytes.
    bool isUsable() const;

    base::SteadyTime idleSince() const { return m_idleSince; }
    /// Returns the descriptor and gives up its ownership.
    int release() { return std::exchange(m_descriptor, -1); }

private:
    int m_descriptor;
    base::SteadyTime m_idleSince;
};

} // namespace buckthorncroft::daemon
