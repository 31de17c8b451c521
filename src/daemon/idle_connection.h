#pragma once

#include <buckthorncroft/base/clock.h>
#include <utility>

namespace buckthorncroft::daemon {

/// An open connection to a target that no call uses. It holds the bare descriptor, so that any traffic thread can take
/// it over.
class IdleConnection {
public:
    IdleConnection(int descriptor, base::SteadyTime since)
        : m_descriptor(descriptor)
        , m_since(since)
    {
    }
    IdleConnection(IdleConnection&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_since(other.m_since)
    {
    }
    IdleConnection& operator=(IdleConnection&& other) noexcept
    {
        std::swap(m_descriptor, other.m_descriptor);
        std::swap(m_since, other.m_since);
        return *this;
    }
    ~IdleConnection();

    /// Whether the target neither closed the connection nor sent bytes that nobody asked for.
    bool quiet() const;

    base::SteadyTime since() const { return m_since; }
    int release() { return std::exchange(m_descriptor, -1); }

private:
    int m_descriptor;
    base::SteadyTime m_since;
};

} // namespace buckthorncroft::daemon
