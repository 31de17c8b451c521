#include <buckthorncroft/limits/admission_queue.h>

#include <algorithm>
#include <array>
#include <map>
#include <numeric>

namespace buckthorncroft::limits {

namespace {

    using namespace std::chrono_literals;
    using Micros = std::chrono::duration<double, std::micro>;

    // A kind that waits is served at least once in this many requests, whatever the deadlines of the other kinds.
    constexpr double guaranteedShare = 1.0 / 6;

    // Share of the queue that only this kind may fill, so that a burst of one kind leaves room for the others.
    constexpr double reservedRoom = 1.0 / 8;

    // Weight of a new service time: the estimate follows a change within about ten requests.
    constexpr double smoothing = 0.1;

    // Without finished requests the estimate is halved in this time. Otherwise one slow period could make every
    // deadline look impossible; then nothing would run, nothing would finish and the estimate would never be corrected.
    constexpr auto estimateHalfLife = 1s;

    // More halvings than this leave nothing of an estimate.
    constexpr int mostHalvings = 64;

    // An idle gap says nothing about how fast the queue drains.
    constexpr auto longestDrainGap = 1s;

    constexpr auto longestRetryAfter = 30s;

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
    std::array<ByDeadline, config::requestKindCount> waiting;
    std::array<double, config::requestKindCount> credit {}; ///< Earned requests of each kind that waits.
    std::array<Micros, config::requestKindCount> serviceTime {}; ///< Smoothed; 0 until the first request finished.
    Micros drainGap { 0 }; ///< Smoothed time between removals while requests wait.
    std::optional<base::SteadyTime> lastPop; ///< Set while requests have waited since.
    std::optional<base::SteadyTime> lastEvidence; ///< When the estimates were last confirmed or halved.
    bool finishedSince = false;

    std::size_t size() const
    {
        return std::accumulate(waiting.begin(), waiting.end(), std::size_t { 0 },
            [](std::size_t sum, const ByDeadline& it) { return sum + it.size(); });
    }

    bool hasRoom(std::size_t kind) const
    {
        std::size_t kept = 0;
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            const auto reserved = static_cast<std::size_t>(reservedRoom * queueLimit);
            if (i != kind && waiting[i].size() < reserved)
                kept += reserved - waiting[i].size();
        }
        return size() + kept < queueLimit;
    }

    void decayEstimates(base::SteadyTime now)
    {
        if (finishedSince || !lastEvidence) {
            lastEvidence = now;
            finishedSince = false;
        }
        lastEvidence = std::max<base::SteadyTime>(*lastEvidence, now - mostHalvings * estimateHalfLife);
        for (; now - *lastEvidence >= estimateHalfLife; *lastEvidence += estimateHalfLife) {
            for (auto& it : serviceTime)
                it /= 2;
            drainGap /= 2;
        }
    }

    /// Expected time until a request with this deadline leaves the queue. The slots are shared with other instances,
    /// so the time is not below what the observed drain of this queue gives.
    Micros expectedWait(base::SteadyTime deadline) const
    {
        Micros work { 0 };
        double ahead = 0;
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            const auto n = std::distance(waiting[i].begin(), waiting[i].upper_bound(deadline));
            work += serviceTime[i] * static_cast<double>(n);
            ahead += static_cast<double>(n);
        }
        return std::max(work / std::max(1u, slots), drainGap * ahead);
    }

    void recordPop(base::SteadyTime now)
    {
        if (lastPop && now - *lastPop < longestDrainGap)
            drainGap += (Micros(now - *lastPop) - drainGap) * smoothing;
        lastPop.reset();
        if (size() > 0)
            lastPop = now;
    }

    /// The kind to serve next: one that has earned its share, else the one with the earliest deadline.
    std::optional<std::size_t> nextKind() const
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            if (waiting[i].empty())
                continue;
            const auto earned = [&](std::size_t kind) { return credit[kind] >= 1 - 1e-9; };
            if (!best || (earned(i) && !earned(*best))
                || (earned(i) == earned(*best) && waiting[i].begin()->first < waiting[*best].begin()->first))
                best = i;
        }
        return best;
    }

    void settleCredits(std::size_t served)
    {
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            if (i == served)
                credit[i] = 0;
            else
                credit[i] = waiting[i].empty() ? 0 : credit[i] + guaranteedShare;
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
        state.lastPop.reset();
    state.waiting[kind].emplace(request.deadline, request);
    return Refusal::None;
}

std::optional<WaitingRequest> AdmissionQueue::pop(base::SteadyTime now, std::vector<WaitingRequest>& expired)
{
    auto& state = *m_state;
    state.decayEstimates(now);
    for (std::size_t i = 0; i < state.waiting.size(); ++i) {
        auto& queue = state.waiting[i];
        while (!queue.empty()
            && (queue.begin()->first <= now || Micros(queue.begin()->first - now) < state.serviceTime[i])) {
            expired.push_back(queue.begin()->second);
            queue.erase(queue.begin());
        }
    }
    const auto kind = state.nextKind();
    if (!kind)
        return std::nullopt;
    auto& queue = state.waiting[*kind];
    const auto result = queue.begin()->second;
    queue.erase(queue.begin());
    state.settleCredits(*kind);
    state.recordPop(now);
    return result;
}

std::vector<WaitingRequest> AdmissionQueue::removeExpired(base::SteadyTime now)
{
    std::vector<WaitingRequest> result;
    for (auto& queue : m_state->waiting) {
        while (!queue.empty() && queue.begin()->first <= now) {
            result.push_back(queue.begin()->second);
            queue.erase(queue.begin());
        }
    }
    return result;
}

bool AdmissionQueue::remove(std::uint64_t id)
{
    for (auto& queue : m_state->waiting) {
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
    smoothed = smoothed == Micros(0) ? sample : smoothed + (sample - smoothed) * smoothing;
    m_state->finishedSince = true;
}

std::size_t AdmissionQueue::size() const
{
    return m_state->size();
}

std::chrono::seconds AdmissionQueue::retryAfter() const
{
    const auto wait = m_state->expectedWait(base::SteadyTime::max());
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(std::min<Micros>(wait, longestRetryAfter));
    return std::max<std::chrono::seconds>(seconds, 1s);
}

} // namespace buckthorncroft::limits
