#include <buckthorncroft/store/memory_platform.h>

#include <algorithm>

namespace buckthorncroft::store {

using base::Error;
using base::ErrorCode;

namespace {

    // Time for which past states of rows are kept for stale reads.
    constexpr std::chrono::seconds rowHistoryTtl { 60 };

    Error lostResponseError()
    {
        return { ErrorCode::OutcomeUnknown, "the answer was lost" };
    }

} // namespace

MemoryPlatform::MemoryPlatform(const base::Clock& clock, const PlatformLimits& limits, std::uint64_t seed)
    : m_clock(clock)
    , m_limits(limits)
    , m_random(seed)
{
    m_writeBucket = { static_cast<double>(limits.writesPerSecond), clock.now() };
    m_readBucket = { static_cast<double>(limits.readsPerSecond), clock.now() };
}

void MemoryPlatform::setFaults(const PlatformFaults& faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
}

PlatformFaults MemoryPlatform::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

std::uint64_t MemoryPlatform::commitCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_commitCount;
}

bool MemoryPlatform::takeToken(TokenBucket& bucket, unsigned perSecond) const
{
    if (!perSecond)
        return true;
    const auto now = m_clock.now();
    bucket.tokens += std::chrono::duration<double>(now - bucket.updatedAt).count() * perSecond;
    bucket.tokens = std::min<double>(bucket.tokens, perSecond);
    bucket.updatedAt = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

std::optional<Error> MemoryPlatform::checkCall(bool write, std::chrono::milliseconds timeout)
{
    applyDelayedCommits();
    if (m_faults.down)
        return Error { ErrorCode::Unavailable, "the platform is down" };
    if (write && m_faults.readOnly)
        return Error { ErrorCode::Unavailable, "the platform is read-only" };
    if (write ? !takeToken(m_writeBucket, m_limits.writesPerSecond) : !takeToken(m_readBucket, m_limits.readsPerSecond))
        return Error { ErrorCode::LimitExceeded, "the platform's rate limit is reached" };
    if (!write && m_faults.callDelay > timeout)
        return Error { ErrorCode::Timeout, "the platform did not answer in time" };
    return std::nullopt;
}

void MemoryPlatform::applyDelayedCommits()
{
    const auto now = m_clock.now();
    for (std::size_t n = 0; n < m_delayedCommits.size();) {
        if (m_delayedCommits[n].dueAt > now) {
            ++n;
            continue;
        }
        const auto writes = std::move(m_delayedCommits[n].writes);
        m_delayedCommits.erase(m_delayedCommits.begin() + static_cast<std::ptrdiff_t>(n));
        apply(writes);
    }
}

bool MemoryPlatform::apply(const std::vector<Write>& writes)
{
    for (const auto& it : writes) {
        const auto found = m_rows.find(it.key);
        const bool present = found != m_rows.end() && found->second.back().value;
        if ((present ? found->second.back().version : 0) != it.expectedVersion)
            return false;
    }
    const auto now = m_clock.now();
    for (const auto& it : writes) {
        auto& states = m_rows[it.key];
        const auto last = states.empty() ? m_maxRemovedVersion : states.back().version;
        states.push_back({ now, it.value, last + 1 });
        while (states.size() > 1 && states[1].since < now - rowHistoryTtl)
            states.pop_front();
    }
    // Removes a deleted row once no stale read can return it, at most one per commit to keep commits short.
    const auto old = m_rows.upper_bound(writes.empty() ? std::string() : writes.front().key);
    if (old != m_rows.end() && !old->second.back().value && old->second.back().since < now - rowHistoryTtl) {
        m_maxRemovedVersion = std::max(m_maxRemovedVersion, old->second.back().version);
        m_rows.erase(old);
    }
    ++m_commitCount;
    return true;
}

base::SteadyTime MemoryPlatform::readTime(bool linearizable) const
{
    return linearizable ? m_clock.now() : m_clock.now() - std::min(m_faults.readStaleness, { rowHistoryTtl });
}

const MemoryPlatform::RowState* MemoryPlatform::stateAt(const std::deque<RowState>& states, base::SteadyTime time) const
{
    const auto it = std::find_if(states.rbegin(), states.rend(), [&](const RowState& s) { return s.since <= time; });
    return it == states.rend() || !it->value ? nullptr : &*it;
}

base::Result<Row> MemoryPlatform::read(const std::string& key, bool linearizable, std::chrono::milliseconds timeout)
{
    const std::lock_guard lock(m_mutex);
    if (const auto error = checkCall(false, timeout))
        return *error;
    const auto found = m_rows.find(key);
    const auto* state = found == m_rows.end() ? nullptr : stateAt(found->second, readTime(linearizable));
    if (!state)
        return Error { ErrorCode::NotFound, "no row " + key };
    return Row { key, *state->value, state->version };
}

base::Result<std::vector<Row>> MemoryPlatform::scan(
    const std::string& prefix, std::size_t limit, std::chrono::milliseconds timeout)
{
    const std::lock_guard lock(m_mutex);
    if (const auto error = checkCall(false, timeout))
        return *error;
    std::vector<Row> rows;
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end() && it->first.starts_with(prefix); ++it) {
        if (rows.size() == limit)
            break;
        if (const auto* state = stateAt(it->second, readTime(false)))
            rows.push_back({ it->first, *state->value, state->version });
    }
    return rows;
}

base::Result<void> MemoryPlatform::commit(const std::vector<Write>& writes, std::chrono::milliseconds timeout)
{
    const std::lock_guard lock(m_mutex);
    if (const auto error = checkCall(true, timeout))
        return *error;
    if (m_faults.commitsToDelay) {
        --m_faults.commitsToDelay;
        m_delayedCommits.push_back({ m_clock.now() + m_faults.commitDelay, writes });
        return Error { ErrorCode::Timeout, "the platform did not answer in time" };
    }
    const bool applied = apply(writes);
    if (m_faults.callDelay > timeout)
        return Error { ErrorCode::Timeout, "the platform did not answer in time" };
    if (!applied)
        return Error { ErrorCode::Conflict, "a condition did not hold" };
    if (m_faults.responsesToLose) {
        --m_faults.responsesToLose;
        return lostResponseError();
    }
    if (std::uniform_real_distribution<>()(m_random) < m_faults.responseLossProbability)
        return lostResponseError();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

base::Result<void> MemoryPlatform::putObject(
    const std::string& name, const std::string& content, std::chrono::milliseconds timeout)
{
    const std::lock_guard lock(m_mutex);
    if (const auto error = checkCall(true, timeout))
        return *error;
    const auto [it, added] = m_objects.emplace(name, content);
    if (!added && it->second != content)
        return Error { ErrorCode::Conflict, "the object exists with other content" };
    if (m_faults.callDelay > timeout)
        return Error { ErrorCode::Timeout, "the platform did not answer in time" };
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

base::Result<std::string> MemoryPlatform::getObject(const std::string& name, std::chrono::milliseconds timeout)
{
    const std::lock_guard lock(m_mutex);
    if (const auto error = checkCall(false, timeout))
        return *error;
    const auto it = m_objects.find(name);
    if (it == m_objects.end())
        return Error { ErrorCode::NotFound, "no object " + name };
    return it->second;
}

base::Result<void> MemoryPlatform::heartbeat(const ListedInstance& instance, std::chrono::milliseconds)
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.down)
        return Error { ErrorCode::Unavailable, "the platform is down" };
    const auto now = m_clock.now();
    auto& registration = m_registrations[instance.instance];
    // An instance that returns after its entry expired becomes visible only after the list lag.
    if (registration.lastHeartbeatAt + m_limits.heartbeatExpiry < now)
        registration.states.clear();
    registration.lastHeartbeatAt = now;
    const auto* last = registration.states.empty() ? nullptr : &registration.states.back().entry;
    if (!last || last->zone != instance.zone || last->address != instance.address || last->leaving != instance.leaving)
        registration.states.push_back({ now, instance });
    while (registration.states.size() > 1 && registration.states[1].since + m_limits.listLag <= now)
        registration.states.pop_front();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

base::Result<std::vector<ListedInstance>> MemoryPlatform::listInstances(std::chrono::milliseconds timeout)
{
    const std::lock_guard lock(m_mutex);
    if (const auto error = checkCall(false, timeout))
        return *error;
    const auto visible = m_clock.now() - m_limits.listLag;
    std::vector<ListedInstance> result;
    for (const auto& [name, registration] : m_registrations) {
        if (registration.lastHeartbeatAt + m_limits.heartbeatExpiry < visible)
            continue;
        const auto it = std::find_if(registration.states.rbegin(), registration.states.rend(),
            [&](const EntryState& s) { return s.since <= visible; });
        if (it != registration.states.rend())
            result.push_back(it->entry);
    }
    return result;
}

} // namespace buckthorncroft::store
