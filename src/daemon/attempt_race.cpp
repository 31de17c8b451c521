#include "attempt_race.h"

#include "decision_log.h"

#include <algorithm>

namespace buckthorncroft::daemon {

namespace {

    using health::Verdict;

    // Delay before a trial is hedged while the service's p95 latency is unknown.
    constexpr std::chrono::milliseconds trialHedgeDelay { 50 };

    bool isFailureStatus(unsigned status)
    {
        return status >= 500 && status != 501 && status != 505;
    }

} // namespace

AttemptRace::AttemptRace(TrafficContext& context, std::shared_ptr<ServiceTraffic> traffic,
    std::shared_ptr<const OutgoingRequest> request, std::shared_ptr<outcome::RequestOutcome> outcome, bool hedgeAllowed)
    : m_context(context)
    , m_traffic(std::move(traffic))
    , m_request(std::move(request))
    , m_outcome(std::move(outcome))
    , m_attemptEnded(std::make_shared<AwaitableValue<bool>>(context.io))
    , m_hedgeAllowed(hedgeAllowed && m_request->kind == config::RequestKind::Idempotent)
{
}

void AttemptRace::launch(Placement placement, const char* reason)
{
    logDecision(m_context.log(), m_request->id, *placement.service, m_request->kind, reason, placement.decision);
    m_excluded.push_back(*placement.decision.target);
    const auto attempt
        = std::make_shared<Attempt>(m_context, m_request, std::move(placement), m_outcome, ++m_attemptCount);
    m_running.push_back(attempt);
    attempt->start([attemptEnded = m_attemptEnded] { attemptEnded->set(true); });
}

void AttemptRace::launchFirst(Placement first)
{
    m_service = first.service;
    const bool trial = first.decision.isTrial;
    const auto p95 = m_traffic->p95();
    if (trial && m_traffic->takeExtraAttempt()) {
        m_backupReserved = true;
        m_hedgeAt = m_context.clock().now() + p95.value_or(trialHedgeDelay);
    } else if (trial) {
        // Without budget for a second attempt, a caller's request must not depend on an ejected target.
        const auto index = *first.decision.target;
        if (auto other = m_traffic->placeExtraAttempt(m_request->kind, { index }, m_service)) {
            first = std::move(*other);
            first.decision.isTrial = false;
        }
    }
    if (!trial && m_hedgeAllowed && p95)
        m_hedgeAt = m_context.clock().now() + *p95;
    launch(std::move(first), "first");
}

http::Awaitable<std::shared_ptr<Attempt>> AttemptRace::run(Placement first)
{
    launchFirst(std::move(first));
    while (true) {
        if (auto winner = takeWinner()) {
            abandonAll();
            co_return winner;
        }
        if (m_running.empty() && !retry())
            co_return m_fallback;
        const auto now = m_context.clock().now();
        if (now >= m_request->deadline) {
            abandonAll();
            co_return m_fallback;
        }
        if (now >= m_hedgeAt)
            hedge();
        co_await m_attemptEnded->wait(nextWakeAt());
    }
}

base::SteadyTime AttemptRace::nextWakeAt() const
{
    return std::min(m_request->deadline, m_hedgeAt);
}

// Removes the attempts that have ended. Returns the one whose response wins, or null.
std::shared_ptr<Attempt> AttemptRace::takeWinner()
{
    for (auto it = m_running.begin(); it != m_running.end();) {
        auto attempt = *it;
        if (attempt->state() == AttemptState::Running) {
            ++it;
            continue;
        }
        it = m_running.erase(it);
        if (attempt->state() != AttemptState::ResponseReceived) {
            m_lastFailed = attempt;
            // The target only closed an idle connection, so it may be tried again.
            if (attempt->hasReusedConnection() && attempt->verdict() == Verdict::Cancelled)
                std::erase(m_excluded, attempt->targetIndex());
            continue;
        }
        const bool keepAsFallback = m_request->kind == config::RequestKind::Idempotent
            && isFailureStatus(attempt->call().head().result_int()) && attempt->call().isComplete() && !m_fallback;
        if (!keepAsFallback)
            return attempt;
        m_fallback = attempt;
    }
    return nullptr;
}

bool AttemptRace::canRetry() const
{
    if (m_context.clock().now() >= m_request->deadline)
        return false;
    if (m_lastFailed && m_lastFailed->state() == AttemptState::SendDeadlinePassed)
        return false;
    return m_request->kind == config::RequestKind::Idempotent || m_outcome->mayRunAgain();
}

bool AttemptRace::retry()
{
    if (!canRetry())
        return false;
    auto placement = m_traffic->placeExtraAttempt(m_request->kind, m_excluded, m_service);
    // The retry budget is charged last, so that a retry without an available target costs nothing.
    if (!placement || (!m_backupReserved && !m_traffic->takeExtraAttempt()))
        return false;
    m_backupReserved = false;
    m_hedgeAt = base::SteadyTime::max();
    launch(std::move(*placement), "retry");
    return true;
}

void AttemptRace::hedge()
{
    m_hedgeAt = base::SteadyTime::max();
    auto placement = m_traffic->placeExtraAttempt(m_request->kind, m_excluded, m_service);
    if (!placement || (!m_backupReserved && !m_traffic->takeExtraAttempt()))
        return;
    m_backupReserved = false;
    launch(std::move(*placement), "hedge");
}

void AttemptRace::abandonAll()
{
    const bool deadlinePassed = m_context.clock().now() >= m_request->deadline;
    for (const auto& it : m_running) {
        if (deadlinePassed)
            m_lastFailed = it;
        it->abandon(!deadlinePassed  ? Verdict::Cancelled
                : it->hasSentBytes() ? Verdict::TimedOut
                                     : Verdict::ConnectFailed);
    }
    m_running.clear();
}

} // namespace buckthorncroft::daemon
