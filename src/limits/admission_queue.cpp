#include <buckthorncroft/limits/admission_queue.h>

#include <algorithm>
#include <array>
#include <map>
#include <numeric>

namespace buckthorncroft::limits {

namespace {

    using namespace std::chrono_literals;
    using Micros = std::chrono::duration<double, std::micro>;

    // Each kind with queued requests gets at least this fraction of the requests that leave the queue, whatever the
    // deadlines of the other kinds.
    constexpr double minServedFraction = 1.0 / 6;

    // Fraction of the queue that is reserved for each kind, so that a burst of one kind leaves room for the others.
    constexpr double reservedFraction = 1.0 / 8;

    // Weight of a new sample. The estimate follows a change within about ten requests.
    constexpr double smoothingFactor = 0.1;

    // Without finished requests, the estimates are halved in this time. Otherwise a slow period could make every
    // deadline look impossible to meet; then no request would run or finish, and the estimates would never be
    // corrected.
    constexpr auto estimateHalfLife = 1s;

    // After this many halvings, an estimate is practically 0. Bounds the loop after a long idle time.
    constexpr int maxHalvings = 64;

    // Longer intervals are idle time and are no measure of how fast requests leave the queue.
    constexpr auto maxPopInterval = 1s;

    constexpr auto maxRetryAfter = 30s;

} // namespace

const char* toString(Refusal refusal)
{
    switch (refusal) {
    case Refusal::None:
        return "none";
    case Refusal::QueueFull:
        return "queue_full";
    case Refusal::DeadlineTooClose:
        return "deadline_too_close";
    }
    return "unknown";
}

struct AdmissionQueue::State {
    using ByDeadline = std::multimap<base::SteadyTime, WaitingRequest>;

    unsigned queueLimit;
    unsigned slots;
    std::array<ByDeadline, config::requestKindCount> queues;
    /// Requests of each queued kind that are due according to `minServedFraction`.
    std::array<double, config::requestKindCount> credit {};
    std::array<Micros, config::requestKindCount> serviceTime {}; ///< Smoothed; 0 until the first request finishes.
    Micros popInterval { 0 }; ///< Smoothed time between removals by `pop` while requests are queued.
    /// Time of the last `pop`; set while requests have been queued ever since.
    std::optional<base::SteadyTime> lastPopAt;
    std::optional<base::SteadyTime> estimatesUpdatedAt; ///< When the estimates were last confirmed or halved.
    bool hasFinishedSinceUpdate = false;

    std::size_t size() const
    {
        return std::accumulate(queues.begin(), queues.end(), std::size_t { 0 },
            [](std::size_t sum, const ByDeadline& it) { return sum + it.size(); });
    }

    bool hasRoom(std::size_t kind) const
    {
        std::size_t reservedForOthers = 0;
        for (std::size_t i = 0; i < queues.size(); ++i) {
            const auto reserved = static_cast<std::size_t>(reservedFraction * queueLimit);
            if (i != kind && queues[i].size() < reserved)
                reservedForOthers += reserved - queues[i].size();
        }
        return size() + reservedForOthers < queueLimit;
    }

    void decayEstimates(base::SteadyTime now)
    {
        if (hasFinishedSinceUpdate || !estimatesUpdatedAt) {
            estimatesUpdatedAt = now;
            hasFinishedSinceUpdate = false;
        }
        estimatesUpdatedAt = std::max<base::SteadyTime>(*estimatesUpdatedAt, now - maxHalvings * estimateHalfLife);
        for (; now - *estimatesUpdatedAt >= estimateHalfLife; *estimatesUpdatedAt += estimateHalfLife) {
            for (auto& it : serviceTime)
                it /= 2;
            popInterval /= 2;
        }
    }

    /// Expected time until a request with this deadline leaves the queue. The slots are shared with other instances, so
    /// the result is at least the time that follows from the measured pop interval of this queue.
    Micros expectedWait(base::SteadyTime deadline) const
    {
        Micros work { 0 };
        double ahead = 0;
        for (std::size_t i = 0; i < queues.size(); ++i) {
            const auto n = std::distance(queues[i].begin(), queues[i].upper_bound(deadline));
            work += serviceTime[i] * static_cast<double>(n);
            ahead += static_cast<double>(n);
        }
        return std::max(work / std::max(1u, slots), popInterval * ahead);
    }

    void recordPop(base::SteadyTime now)
    {
        if (lastPopAt && now - *lastPopAt < maxPopInterval)
            popInterval += (Micros(now - *lastPopAt) - popInterval) * smoothingFactor;
        lastPopAt.reset();
        if (size() > 0)
            lastPopAt = now;
    }

    /// Returns the kind to serve next: one that has fallen behind its minimum fraction, else the one with the earliest
    /// deadline.
    std::optional<std::size_t> nextKind() const
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < queues.size(); ++i) {
            if (queues[i].empty())
                continue;
            const auto isDue = [&](std::size_t kind) { return credit[kind] >= 1 - 1e-9; };
            if (!best || (isDue(i) && !isDue(*best))
                || (isDue(i) == isDue(*best) && queues[i].begin()->first < queues[*best].begin()->first))
                best = i;
        }
        return best;
    }

    void updateCredits(std::size_t served)
    {
        for (std::size_t i = 0; i < queues.size(); ++i) {
            if (i == served)
                credit[i] = 0;
            else
                credit[i] = queues[i].empty() ? 0 : credit[i] + minServedFraction;
        }
    }
};

AdmissionQueue::AdmissionQueue(unsigned queueLimit, unsigned slots)
    : m_state(std::make_unique<State>())
{
    m_state->queueLimit = queueLimit;
    m_state->slots = slots;
}

AdmissionQueue::~AdmissionQueue() = default;
AdmissionQueue::AdmissionQueue(AdmissionQueue&&) noexcept = default;
AdmissionQueue& AdmissionQueue::operator=(AdmissionQueue&&) noexcept = default;

Refusal AdmissionQueue::enqueue(const WaitingRequest& request, base::SteadyTime now)
{
    auto& state = *m_state;
    state.decayEstimates(now);
    const auto kind = static_cast<std::size_t>(request.kind);
    const auto needed = state.expectedWait(request.deadline) + state.serviceTime[kind];
    if (request.deadline <= now || Micros(request.deadline - now) < needed)
        return Refusal::DeadlineTooClose;
    if (!state.hasRoom(kind))
        return Refusal::QueueFull;
    if (state.size() == 0)
        state.lastPopAt.reset();
    state.queues[kind].emplace(request.deadline, request);
    return Refusal::None;
}

std::optional<WaitingRequest> AdmissionQueue::pop(base::SteadyTime now, std::vector<WaitingRequest>& expired)
{
    auto& state = *m_state;
    state.decayEstimates(now);
    for (std::size_t i = 0; i < state.queues.size(); ++i) {
        auto& queue = state.queues[i];
        while (!queue.empty()
            && (queue.begin()->first <= now || Micros(queue.begin()->first - now) < state.serviceTime[i])) {
            expired.push_back(queue.begin()->second);
            queue.erase(queue.begin());
        }
    }
    const auto kind = state.nextKind();
    if (!kind)
        return std::nullopt;
    auto& queue = state.queues[*kind];
    const auto result = queue.begin()->second;
    queue.erase(queue.begin());
    state.updateCredits(*kind);
    state.recordPop(now);
    return result;
}

std::vector<WaitingRequest> AdmissionQueue::removeExpired(base::SteadyTime now)
{
    std::vector<WaitingRequest> result;
    for (auto& queue : m_state->queues) {
        while (!queue.empty() && queue.begin()->first <= now) {
            result.push_back(queue.begin()->second);
            queue.erase(queue.begin());
        }
    }
    return result;
}

bool AdmissionQueue::remove(std::uint64_t id)
{
    for (auto& queue : m_state->queues) {
        const auto it
            = std::find_if(queue.begin(), queue.end(), [id](const auto& entry) { return entry.second.id == id; });
        if (it != queue.end()) {
            queue.erase(it);
            return true;
        }
    }
    return false;
}

void AdmissionQueue::recordServiceTime(config::RequestKind kind, std::chrono::microseconds serviceTime)
{
    auto& smoothed = m_state->serviceTime[static_cast<std::size_t>(kind)];
    const Micros sample(serviceTime);
    smoothed = smoothed == Micros(0) ? sample : smoothed + (sample - smoothed) * smoothingFactor;
    m_state->hasFinishedSinceUpdate = true;
}

std::size_t AdmissionQueue::size() const
{
    return m_state->size();
}

std::chrono::seconds AdmissionQueue::retryAfter() const
{
    const auto wait = m_state->expectedWait(base::SteadyTime::max());
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(std::min<Micros>(wait, maxRetryAfter));
    return std::max<std::chrono::seconds>(seconds, 1s);
}

} // namespace buckthorncroft::limits
