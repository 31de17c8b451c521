#include "fakes.h"

#include <algorithm>

namespace buckthorncroft::simulation {

using namespace std::chrono_literals;

void EventLoop::scheduleAfter(Micros delay, std::function<void()> callback)
{
    m_events.push({ m_now + delay, m_order++, std::move(callback) });
}

void EventLoop::runFor(Micros time)
{
    const auto end = m_now + time;
    while (!m_events.empty() && m_events.top().at <= end) {
        // The event is removed before its callback runs, because the callback may schedule other events.
        auto event = std::move(const_cast<Event&>(m_events.top()));
        m_events.pop();
        m_now = event.at;
        event.callback();
    }
    m_now = end;
}

namespace {

    bool matches(const std::string& pattern, const Endpoint& endpoint)
    {
        return pattern == "*" || pattern == endpoint.name || pattern == endpoint.zone;
    }

    // The service time is log-normal with a mean of 50 ms, as in the model of the design document.
    constexpr double serviceTimeSigma = 0.6;
    constexpr double medianServiceMicroseconds = 41764;
    constexpr double uploadFactor = 4;
    constexpr double coldStartFactor = 3;
    constexpr std::size_t maxQueueLength = 24;
    constexpr auto drainGrace = 3s;

} // namespace

void Links::restore(const std::string& from, const std::string& to)
{
    const auto it = std::find(m_cuts.begin(), m_cuts.end(), std::pair(from, to));
    if (it != m_cuts.end())
        m_cuts.erase(it);
}

bool Links::isCut(const Endpoint& from, const Endpoint& to) const
{
    return std::any_of(m_cuts.begin(), m_cuts.end(), [&](const auto& it) {
        // A cut that names `*` keeps the links within a zone, so that a whole zone can be cut off from the others.
        const bool within = from.zone == to.zone && (it.first == "*" || it.second == "*");
        return !within && matches(it.first, from) && matches(it.second, to);
    });
}

std::optional<Micros> Links::delay(const Endpoint& from, const Endpoint& to)
{
    if (isCut(from, to))
        return std::nullopt;
    std::uniform_real_distribution<double> unit(0, 1);
    const double base = from.zone == to.zone ? 200 + 200 * unit(m_random) : 4000 + 1000 * unit(m_random);
    const double retransmission = unit(m_random) < lossProbability ? 200000 : 0;
    return Micros(static_cast<std::int64_t>(base + retransmission));
}

FakeTarget::FakeTarget(EventLoop& loop, std::mt19937_64& random, const config::Target& target, Micros coldStart)
    : endpoint { target.id, target.zone }
    , m_loop(loop)
    , m_random(random)
    , m_slots(target.slots)
    , m_coldStart(coldStart)
{
}

bool FakeTarget::isFaulty() const
{
    if (fault.kind == FaultKind::Flapping)
        return static_cast<long>(m_loop.seconds() / fault.value) % 2 == 0;
    return fault.kind != FaultKind::None;
}

std::optional<ResponseKind> FakeTarget::responseFor(config::RequestKind kind)
{
    const bool drawn = std::bernoulli_distribution(std::min(1.0, fault.value))(m_random);
    switch (fault.kind) {
    case FaultKind::Errors:
        return drawn ? ResponseKind::Error : ResponseKind::Good;
    case FaultKind::Mismatched:
        return drawn ? ResponseKind::Mismatched : ResponseKind::Good;
    case FaultKind::Hanging:
        return std::nullopt;
    case FaultKind::BookingErrors:
        return kind == config::RequestKind::NonIdempotent ? ResponseKind::Error : ResponseKind::Good;
    case FaultKind::Flapping:
        return isFaulty() ? ResponseKind::Error : ResponseKind::Good;
    default:
        return ResponseKind::Good;
    }
}

void FakeTarget::receive(const std::shared_ptr<Job>& job)
{
    if (draining && m_loop.now() - m_drainedAt > drainGrace)
        ++lateArrivals;
    if (m_running < m_slots)
        return run(job);
    if (m_queue.size() >= maxQueueLength)
        return job->reply({ ResponseKind::Shed, draining });
    m_queue.push_back(job);
}

void FakeTarget::run(const std::shared_ptr<Job>& job)
{
    ++m_running;
    ++*job->executionCount;
    job->running = true;
    job->startNumber = m_startCount;
    const auto response = responseFor(job->kind);
    if (!response)
        return; // The slot stays in use until the instance cancels the attempt.
    double micros = medianServiceMicroseconds * std::lognormal_distribution<double>(0, serviceTimeSigma)(m_random);
    micros *= job->kind == config::RequestKind::Upload ? uploadFactor : 1;
    micros *= isCold() ? coldStartFactor : 1;
    micros *= fault.kind == FaultKind::Slow ? fault.value : 1;
    m_loop.scheduleAfter(
        Micros(static_cast<std::int64_t>(micros)), [this, job, kind = *response] { finish(job, kind); });
}

void FakeTarget::finish(const std::shared_ptr<Job>& job, ResponseKind kind)
{
    if (job->cancelled || !up || job->startNumber != m_startCount)
        return;
    job->cancelled = true;
    job->reply({ kind, draining });
    releaseSlot();
}

void FakeTarget::releaseSlot()
{
    --m_running;
    while (m_running < m_slots && !m_queue.empty()) {
        const auto job = m_queue.front();
        m_queue.pop_front();
        run(job);
    }
}

void FakeTarget::cancel(const std::shared_ptr<Job>& job)
{
    if (job->cancelled)
        return;
    job->cancelled = true;
    std::erase(m_queue, job);
    if (job->running && job->startNumber == m_startCount)
        releaseSlot();
}

void FakeTarget::start()
{
    up = true;
    draining = false;
    m_startedAt = m_loop.now();
}

void FakeTarget::drain()
{
    draining = true;
    m_drainedAt = m_loop.now();
}

void FakeTarget::stop()
{
    up = false;
    ++m_startCount;
    m_running = 0;
    m_queue.clear();
}

void FakeClaims::acquire(
    const outcome::ClaimRequest& request, base::SteadyTime deadline, std::function<void(outcome::ClaimResult)> done)
{
    m_loop.scheduleAfter(6ms, [this, request, deadline, done = std::move(done)] {
        outcome::ClaimResult result;
        result.sendBefore = std::min<base::SteadyTime>(deadline, m_loop.now() + 5s);
        if (!unavailable) {
            const auto [row, inserted] = m_rows.try_emplace(request.key);
            if (inserted)
                result.status = outcome::ClaimStatus::Held;
            else
                result.status = row->second ? outcome::ClaimStatus::Replay : outcome::ClaimStatus::InProgress;
            result.response = row->second;
        }
        done(result);
    });
}

void FakeClaims::release(const outcome::ClaimRequest& request, const std::string&)
{
    m_rows.erase(request.key);
}

void FakeClaims::complete(
    const outcome::ClaimRequest& request, const std::string&, const outcome::RecordedResponse& response)
{
    m_rows[request.key] = response;
}

} // namespace buckthorncroft::simulation
