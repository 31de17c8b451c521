#include "fakes.h"

#include <algorithm>

namespace buckthorncroft::simulation {

using namespace std::chrono_literals;

void EventLoop::after(Micros delay, std::function<void()> run)
{
    m_events.push({ m_now + delay, m_order++, std::move(run) });
}

void EventLoop::runFor(Micros time)
{
    const auto end = m_now + time;
    while (!m_events.empty() && m_events.top().at <= end) {
        // The element is removed before it runs, because running it may schedule others.
        auto event = std::move(const_cast<Event&>(m_events.top()));
        m_events.pop();
        m_now = event.at;
        event.run();
    }
    m_now = end;
}

namespace {

    bool matches(const std::string& pattern, const Place& place)
    {
        return pattern == "*" || pattern == place.name || pattern == place.zone;
    }

    // Log-normal with a mean of 50 ms, as in the model on the design page.
    constexpr double serviceSigma = 0.6;
    constexpr double serviceMedianMicros = 41764;
    constexpr double uploadFactor = 4;
    constexpr double coldFactor = 3;
    constexpr std::size_t waitingLimit = 24;
    constexpr auto allowedAfterDrain = 3s;

} // namespace

void Links::restore(const std::string& from, const std::string& to)
{
    const auto it = std::find(m_cuts.begin(), m_cuts.end(), std::pair(from, to));
    if (it != m_cuts.end())
        m_cuts.erase(it);
}

bool Links::isCut(const Place& from, const Place& to) const
{
    return std::any_of(m_cuts.begin(), m_cuts.end(), [&](const auto& it) {
        // A zone or `*` does not cut what stays within one zone.
        const bool within = from.zone == to.zone && (it.first == "*" || it.second == "*");
        return !within && matches(it.first, from) && matches(it.second, to);
    });
}

std::optional<Micros> Links::delay(const Place& from, const Place& to)
{
    if (isCut(from, to))
        return std::nullopt;
    std::uniform_real_distribution<double> unit(0, 1);
    const double base = from.zone == to.zone ? 200 + 200 * unit(m_random) : 4000 + 1000 * unit(m_random);
    const double retransmission = unit(m_random) < loss ? 200000 : 0;
    return Micros(static_cast<std::int64_t>(base + retransmission));
}

FakeTarget::FakeTarget(EventLoop& loop, std::mt19937_64& random, const config::Target& target, Micros coldStart)
    : place { target.id, target.zone }
    , m_loop(loop)
    , m_random(random)
    , m_slots(target.slots)
    , m_coldStart(coldStart)
{
}

bool FakeTarget::sick() const
{
    if (fault.kind == FaultKind::Flapping)
        return static_cast<long>(m_loop.seconds() / fault.value) % 2 == 0;
    return fault.kind != FaultKind::None;
}

std::optional<ResponseKind> FakeTarget::responseFor(config::RequestKind kind)
{
    const bool drawn = std::bernoulli_distribution(std::min(1.0, fault.value))(m_random);
    switch (fault.kind) {
    case FaultKind::Wrong:
        return drawn ? ResponseKind::Error : ResponseKind::Good;
    case FaultKind::Mismatched:
        return drawn ? ResponseKind::Mismatched : ResponseKind::Good;
    case FaultKind::Hanging:
        return std::nullopt;
    case FaultKind::Bookings:
        return kind == config::RequestKind::NonIdempotent ? ResponseKind::Error : ResponseKind::Good;
    case FaultKind::Flapping:
        return sick() ? ResponseKind::Error : ResponseKind::Good;
    default:
        return ResponseKind::Good;
    }
}

void FakeTarget::arrive(const std::shared_ptr<Job>& job)
{
    if (draining && m_loop.now() - m_drainedAt > allowedAfterDrain)
        ++lateArrivals;
    if (m_running < m_slots)
        return run(job);
    if (m_waiting.size() >= waitingLimit)
        return job->reply({ ResponseKind::Shed, draining });
    m_waiting.push_back(job);
}

void FakeTarget::run(const std::shared_ptr<Job>& job)
{
    ++m_running;
    ++*job->executions;
    job->running = true;
    job->start = m_starts;
    const auto response = responseFor(job->kind);
    if (!response)
        return; // The slot stays taken until the caller gives up.
    double micros = serviceMedianMicros * std::lognormal_distribution<double>(0, serviceSigma)(m_random);
    micros *= job->kind == config::RequestKind::Upload ? uploadFactor : 1;
    micros *= cold() ? coldFactor : 1;
    micros *= fault.kind == FaultKind::Slow ? fault.value : 1;
    m_loop.after(Micros(static_cast<std::int64_t>(micros)), [this, job, kind = *response] { finish(job, kind); });
}

void FakeTarget::finish(const std::shared_ptr<Job>& job, ResponseKind kind)
{
    if (job->cancelled || !up || job->start != m_starts)
        return;
    job->cancelled = true;
    job->reply({ kind, draining });
    next();
}

void FakeTarget::next()
{
    --m_running;
    while (m_running < m_slots && !m_waiting.empty()) {
        const auto job = m_waiting.front();
        m_waiting.pop_front();
        run(job);
    }
}

void FakeTarget::cancel(const std::shared_ptr<Job>& job)
{
    if (job->cancelled)
        return;
    job->cancelled = true;
    std::erase(m_waiting, job);
    if (job->running && job->start == m_starts)
        next();
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
    ++m_starts;
    m_running = 0;
    m_waiting.clear();
}

void FakeClaims::acquire(
    const outcome::ClaimRequest& request, base::SteadyTime deadline, std::function<void(outcome::ClaimResult)> done)
{
    m_loop.after(6ms, [this, request, deadline, done = std::move(done)] {
        outcome::ClaimResult result;
        result.sendBefore = std::min<base::SteadyTime>(deadline, m_loop.now() + 5s);
        if (!away) {
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
