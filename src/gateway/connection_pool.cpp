#include "connection_pool.h"

#include <algorithm>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::milliseconds;

    // Time before the target's own limit at which a connection is given up: delays on the way and late timers.
    constexpr milliseconds closingMargin { 1000 };

    // A connection for a request that must not run twice has at least this part of its time left.
    constexpr double freshShare = 0.4;

    constexpr std::size_t mostIdlePerTarget = 4;

} // namespace

std::shared_ptr<http::Connection> ConnectionPool::take(
    const std::string& target, std::int64_t lifetime, bool mustBeFresh)
{
    const auto found = m_idle.find(target);
    if (found == m_idle.end())
        return nullptr;
    auto& list = found->second;
    const auto now = m_clock.now();
    std::erase_if(list,
        [&](const Idle& it) { return it.lifetime != lifetime || now >= it.until || !it.connection->isOpenAndIdle(); });
    if (list.empty())
        return nullptr;
    const auto& last = list.back();
    if (mustBeFresh && last.until - now < (last.until - last.since) * freshShare)
        return nullptr;
    auto result = last.connection;
    list.pop_back();
    return result;
}

void ConnectionPool::put(
    const std::string& target, std::int64_t lifetime, std::shared_ptr<http::Connection> connection, milliseconds usable)
{
    if (usable <= closingMargin)
        return;
    connection->clearDeadline();
    auto& list = m_idle[target];
    if (list.size() >= mostIdlePerTarget)
        list.erase(list.begin());
    const auto now = m_clock.now();
    list.push_back({ std::move(connection), lifetime, now, now + usable - closingMargin });
}

std::vector<std::string> ConnectionPool::warm(const std::vector<std::string>& candidates) const
{
    std::vector<std::string> result;
    for (const auto& it : candidates) {
        const auto found = m_idle.find(it);
        if (found != m_idle.end() && !found->second.empty() && m_clock.now() < found->second.back().until)
            result.push_back(it);
    }
    return result;
}

void ConnectionPool::sweep()
{
    const auto now = m_clock.now();
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        std::erase_if(
            it->second, [&](const Idle& idle) { return now >= idle.until || !idle.connection->isOpenAndIdle(); });
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
}

} // namespace buckthorncroft::gateway
