#include "connection_pool.h"

#include <algorithm>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::milliseconds;

    // A connection is dropped this long before the target's idle timeout, to allow for network delay and late timers.
    constexpr milliseconds expiryMargin { 1000 };

    // A connection for a non-idempotent request has at least this fraction of its idle timeout left.
    constexpr double minFreshFraction = 0.4;

    constexpr std::size_t maxIdleConnectionsPerTarget = 4;

} // namespace

std::shared_ptr<http::Connection> ConnectionPool::take(
    const std::string& target, std::int64_t startedAtUnixMs, bool requireFresh)
{
    const auto found = m_idle.find(target);
    if (found == m_idle.end())
        return nullptr;
    auto& list = found->second;
    const auto now = m_clock.now();
    std::erase_if(list, [&](const IdleConnection& it) {
        return it.startedAtUnixMs != startedAtUnixMs || now >= it.expiresAt || !it.connection->isOpenAndIdle();
    });
    if (list.empty())
        return nullptr;
    const auto& last = list.back();
    if (requireFresh && last.expiresAt - now < (last.expiresAt - last.idleSince) * minFreshFraction)
        return nullptr;
    auto result = last.connection;
    list.pop_back();
    return result;
}

void ConnectionPool::put(const std::string& target, std::int64_t startedAtUnixMs,
    std::shared_ptr<http::Connection> connection, milliseconds idleTimeout)
{
    if (idleTimeout <= expiryMargin)
        return;
    connection->clearDeadline();
    auto& list = m_idle[target];
    if (list.size() >= maxIdleConnectionsPerTarget)
        list.erase(list.begin());
    const auto now = m_clock.now();
    list.push_back({ std::move(connection), startedAtUnixMs, now, now + idleTimeout - expiryMargin });
}

std::vector<std::string> ConnectionPool::connectedTargets(const std::vector<std::string>& candidates) const
{
    std::vector<std::string> result;
    for (const auto& it : candidates) {
        const auto found = m_idle.find(it);
        if (found != m_idle.end() && !found->second.empty() && m_clock.now() < found->second.back().expiresAt)
            result.push_back(it);
    }
    return result;
}

void ConnectionPool::closeExpired()
{
    const auto now = m_clock.now();
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        std::erase_if(it->second,
            [&](const IdleConnection& idle) { return now >= idle.expiresAt || !idle.connection->isOpenAndIdle(); });
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
}

} // namespace buckthorncroft::gateway
