#include "instance.h"

#include <algorithm>
#include <limits>

namespace buckthorncroft::simulation {

using namespace std::chrono_literals;
using health::Verdict;

namespace {

    constexpr Micros connectTimeout = 500ms;
    constexpr unsigned attemptLimit = 3;
    // Shortest time between two reports when evidence against a target waits.
    constexpr auto urgentGap = 200ms;
    // Pause before a request that found all slots granted asks again.
    constexpr Micros refusedPause = 50ms;
    constexpr std::size_t placeBytes = 90; ///< Of a message, for the control traffic.

} // namespace

unsigned Instance::slotsOf(const config::Service& service)
{
    unsigned result = 0;
    for (const auto& it : service.targets)
        result += it.slots;
    return result;
}

Instance::Node::Node(const config::Service& record, const health::Reporter& self, base::SteadyTime now,
    unsigned instances, double retryShare, std::uint64_t seed)
    : service(record)
    , health(record, self, now)
    , budget(retryShare)
    , queue(record.queueLimit, slotsOf(record))
    , policy(slotsOf(record), instances)
    , point(record, self.zone, seed)
    , pool(record, self)
    , scoredAt(now)
    , relayed(now)
    , answered(now)
    , views(health.views(now))
    , load(record.targets.size())
    , down(record.targets.size())
{
    for (auto& it : load)
        it.connectionShare = 8;
}

Instance::Instance(Simulation& world, Place where, std::uint64_t incarnation)
    : place(std::move(where))
    , m_world(world)
    , m_self { place.name, place.zone, incarnation }
    , m_born(world.loop.seconds())
    , m_router(world.options.policy == Policy::Random ? routing::makeRandomRouter(place.zone)
                                                      : routing::makeTwoChoicesRouter(place.zone))
{
    for (const auto& it : world.deployment.services)
        m_nodes.push_back(std::make_unique<Node>(
            it, m_self, world.loop.now(), world.deployment.instances, it.retryShare, world.random()));
}

void Instance::accept(const RequestPtr& request)
{
    auto& node = *m_nodes[request->service];
    const auto now = m_world.loop.now();
    request->arrival = now;
    request->deadline = now + node.service.routes.front().deadline;
    ++inFlight;
    ++m_world.metrics.requests;
    node.budget.recordRequest();
    if (request->kind != config::RequestKind::Idempotent && !request->callerRetried)
        m_world.audits.push_back({ request->executions, true, false });
    if (request->key.empty())
        return admit(request);
    m_world.claims.acquire({ node.service.name, request->key, "" }, request->deadline, [this, request](auto result) {
        if (result.status == outcome::ClaimStatus::Held) {
            request->claimed = true;
            return admit(request);
        }
        const bool known = result.status == outcome::ClaimStatus::Unavailable;
        finish(request, result.status == outcome::ClaimStatus::Replay, !known);
    });
}

void Instance::admit(const RequestPtr& request)
{
    auto& node = *m_nodes[request->service];
    const auto refusal = node.queue.enqueue({ request->id, request->kind, request->deadline }, m_world.loop.now());
    if (refusal != limits::Refusal::None) {
        ++m_world.metrics.refused;
        return finish(request, false, false);
    }
    node.waiting[request->id] = request;
    pump(request->service);
}

void Instance::pump(std::size_t service)
{
    auto& node = *m_nodes[service];
    const auto now = m_world.loop.now();
    const auto hasSlot = [&] {
        for (std::size_t i = 0; i < node.load.size(); ++i) {
            if (!node.views[i].draining && node.load[i].inFlight < node.service.targets[i].slots)
                return true;
        }
        return false;
    };
    while (node.queue.size() > 0 && now >= node.blockedUntil && hasSlot()) {
        std::vector<limits::WaitingRequest> expired;
        const auto next = node.queue.pop(now, expired);
        expire(service, expired);
        if (!next)
            return;
        const auto request = node.waiting.extract(next->id).mapped();
        choose(request);
    }
}

void Instance::expire(std::size_t service, const std::vector<limits::WaitingRequest>& expired)
{
    for (const auto& it : expired) {
        const auto entry = m_nodes[service]->waiting.extract(it.id);
        finish(entry.mapped(), false, false);
    }
}

void Instance::choose(const RequestPtr& request)
{
    auto& node = *m_nodes[request->service];
    const routing::PlacementRequest wanted { request->kind, request->attempts == 0, request->used };
    if (m_world.options.policy == Policy::Perfect) {
        if (const auto target = perfectChoice(*request))
            return send(request, *target, 0, nullptr);
        return retryOrFinish(request);
    }
    auto* point = m_world.options.policy == Policy::Placement && node.policy.shouldRequestGrant(m_world.loop.now())
        ? m_world.coordinator(request->service, place.zone)
        : nullptr;
    if (point)
        return askPoint(request, wanted, *point);
    placeLocally(request, wanted);
}

void Instance::placeLocally(const RequestPtr& request, routing::PlacementRequest wanted)
{
    auto& node = *m_nodes[request->service];
    auto decision = m_router->choose(wanted, node.service, node.views, node.load, m_world.random);
    if (decision.isTrial && wanted.firstAttempt) {
        // The second attempt of a trial is taken from the budget at once; without it there is no trial.
        if (node.budget.tryTake()) {
            ++request->prepaid;
        } else {
            wanted.firstAttempt = false;
            decision = m_router->choose(wanted, node.service, node.views, node.load, m_world.random);
        }
    }
    if (decision.target)
        return send(request, *decision.target, 0, nullptr);
    retryOrFinish(request);
}

void Instance::askPoint(const RequestPtr& request, const routing::PlacementRequest& wanted, Instance& point)
{
    ++m_world.metrics.asked;
    auto answered = std::make_shared<bool>(false);
    const auto service = request->service;
    m_world.loop.after(routing::PlacementPolicy::responseTimeout, [this, answered, request, wanted] {
        if (std::exchange(*answered, true))
            return;
        m_nodes[request->service]->policy.recordTimeout(m_world.loop.now());
        placeLocally(request, wanted);
    });
    message(
        point, placeBytes,
        [this, &point, answered, request, wanted, service] {
            auto& node = *point.m_nodes[service];
            const auto lifetime = std::chrono::duration_cast<Micros>(request->deadline - m_world.loop.now());
            const auto grant = node.point.place(wanted, node.views, lifetime, m_world.loop.now());
            point.message(
                *this, placeBytes,
                [this, &point, answered, request, service, grant] {
                    if (std::exchange(*answered, true)) {
                        if (grant)
                            release(service, grant->id, &point, Verdict::Cancelled, Micros(0));
                        return;
                    }
                    m_nodes[service]->policy.recordResponse();
                    if (grant)
                        return send(request, grant->target, grant->id, &point);
                    waitForSlot(request);
                },
                true);
        },
        true);
}

void Instance::waitForSlot(const RequestPtr& request)
{
    auto& node = *m_nodes[request->service];
    node.blockedUntil = m_world.loop.now() + refusedPause;
    m_world.loop.after(refusedPause, [this, service = request->service] { pump(service); });
    if (request->attempts == 0)
        return admit(request);
    retryOrFinish(request);
}

std::optional<std::size_t> Instance::perfectChoice(const Request& request) const
{
    const auto& targets = m_world.targets[request.service];
    const auto& views = m_nodes[request.service]->views;
    std::optional<std::size_t> best;
    const auto cost = [&](std::size_t i) {
        const bool out = views[i].stage == health::Stage::Ejected || views[i].stage == health::Stage::Trial;
        return double(targets[i]->load() + m_world.underWay[request.service][i])
            + (targets[i]->place.zone == place.zone ? 0 : 0.5) + (out ? 100 : 0);
    };
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const bool used = std::find(request.used.begin(), request.used.end(), i) != request.used.end();
        if (!views[i].draining && !used && (!best || cost(i) < cost(*best)))
            best = i;
    }
    return best;
}

void Instance::changeInFlight(std::size_t service, std::size_t target, int change)
{
    auto& node = *m_nodes[service];
    node.load[target].inFlight += static_cast<unsigned>(change);
    node.load[target].connections += static_cast<unsigned>(change);
    node.inFlight += static_cast<unsigned>(change);
    node.policy.setInFlight(node.inFlight, m_world.loop.now());
}

void Instance::send(const RequestPtr& request, std::size_t target, std::uint64_t grant, Instance* point)
{
    // The request may have ended while the point was asked for a second attempt.
    if (request->finished)
        return release(request->service, grant, point, Verdict::Cancelled, Micros(0));
    auto attempt = std::make_shared<Attempt>();
    attempt->target = target;
    attempt->id = request->outcome.startAttempt();
    attempt->grant = grant;
    attempt->point = point;
    attempt->start = attempt->sent = m_world.loop.now();
    ++request->attempts;
    ++request->running;
    request->used.push_back(target);
    ++m_world.metrics.attempts;
    changeInFlight(request->service, target, 1);
    request->abandon.push_back([this, attempt](const RequestPtr& it) { end(it, attempt, Verdict::Cancelled); });
    auto& fake = *m_world.targets[request->service][target];
    const auto there = m_world.links.delay(place, fake.place);
    const auto back = m_world.links.delay(fake.place, place);
    const auto left = std::chrono::duration_cast<Micros>(request->deadline - attempt->start);
    if (!there || !back || !fake.up) {
        const auto wait = there && back ? *there + *back : std::min(connectTimeout, left);
        return m_world.loop.after(wait, [this, request, attempt] { end(request, attempt, Verdict::ConnectFailed); });
    }
    ++m_world.underWay[request->service][target];
    m_world.loop.after(*there + *back, [this, request, attempt] { deliver(request, attempt); });
    m_world.loop.after(left, [this, request, attempt] { end(request, attempt, Verdict::TimedOut); });
}

void Instance::deliver(const RequestPtr& request, const AttemptPtr& attempt)
{
    auto& fake = *m_world.targets[request->service][attempt->target];
    const auto delay = m_world.links.delay(place, fake.place);
    if (attempt->done || !delay) {
        --m_world.underWay[request->service][attempt->target];
        return;
    }
    request->outcome.recordBytesSent(attempt->id);
    attempt->sent = m_world.loop.now();
    attempt->job = std::make_shared<Job>();
    attempt->job->kind = request->kind;
    attempt->job->executions = request->executions;
    // The timeout of the attempt keeps both alive; owning them here would make a cycle.
    attempt->job->reply
        = [this, weakRequest = std::weak_ptr(request), weakAttempt = std::weak_ptr(attempt), &fake](Response response) {
              const auto owner = weakRequest.lock();
              const auto answered = weakAttempt.lock();
              const auto back = m_world.links.delay(fake.place, place);
              if (owner && answered && back)
                  m_world.loop.after(*back, [this, owner, answered, response] { received(owner, answered, response); });
          };
    m_world.loop.after(*delay, [this, request, attempt, &fake] {
        --m_world.underWay[request->service][attempt->target];
        if (fake.up && !attempt->job->cancelled)
            fake.arrive(attempt->job);
    });
    watch(request, attempt);
}

void Instance::watch(const RequestPtr& request, const AttemptPtr& attempt)
{
    const auto& node = *m_nodes[request->service];
    if (request->kind == config::RequestKind::Idempotent && m_world.options.retries) {
        m_world.loop.after(hedgeDelay(node, *request), [this, request, attempt] {
            if (!attempt->done && !request->finished && request->running == 1 && takeExtra(*request))
                choose(request);
        });
    }
    if (const auto limit = node.health.slowLimit(attempt->target, request->kind)) {
        m_world.loop.after(*limit, [this, request, attempt] {
            if (!attempt->done)
                countPending(*request, *attempt);
        });
    }
}

void Instance::countPending(const Request& request, Attempt& attempt)
{
    const auto now = m_world.loop.now();
    if (!attempt.counted && attempt.job)
        attempt.counted = m_nodes[request.service]->health.countPendingAsSlow(
            attempt.target, request.kind, std::chrono::duration_cast<Micros>(now - attempt.sent), now);
}

Micros Instance::hedgeDelay(const Node& node, const Request& request)
{
    auto recent = node.latencies;
    if (recent.size() < 20)
        return std::chrono::duration_cast<Micros>(request.deadline - request.arrival) / 2;
    const auto p95 = recent.begin() + std::ptrdiff_t(recent.size() * 95 / 100);
    std::nth_element(recent.begin(), p95, recent.end());
    return *p95;
}

void Instance::received(const RequestPtr& request, const AttemptPtr& attempt, Response response)
{
    if (attempt->done)
        return;
    if (response.draining)
        drainHeard(request->service, attempt->target, true, health::DrainSource::TargetResponse);
    if (response.kind == ResponseKind::Shed) {
        request->outcome.recordNotRunRefusal(attempt->id);
        return end(request, attempt, Verdict::Shed);
    }
    if (response.kind == ResponseKind::Mismatched)
        return end(request, attempt, Verdict::Mismatched);
    request->outcome.recordResponse(attempt->id);
    end(request, attempt, response.kind == ResponseKind::Good ? Verdict::Good : Verdict::Error);
}

void Instance::release(std::size_t service, std::uint64_t grant, Instance* point, Verdict verdict, Micros latency)
{
    if (!point)
        return;
    message(
        *point, placeBytes,
        [this, point, service, grant, verdict, latency] {
            point->m_nodes[service]->point.release(grant, verdict, latency, m_world.loop.now());
        },
        true);
}

void Instance::end(const RequestPtr& request, const AttemptPtr& attempt, Verdict verdict)
{
    if (std::exchange(attempt->done, true))
        return;
    auto& node = *m_nodes[request->service];
    const auto now = m_world.loop.now();
    const auto latency = std::chrono::duration_cast<Micros>(now - attempt->sent);
    --request->running;
    changeInFlight(request->service, attempt->target, -1);
    release(request->service, attempt->grant, attempt->point, verdict, latency);
    if (verdict == Verdict::Cancelled)
        countPending(*request, *attempt);
    if (attempt->job && (verdict == Verdict::Cancelled || verdict == Verdict::TimedOut)) {
        auto& fake = *m_world.targets[request->service][attempt->target];
        const auto delay = m_world.links.delay(place, fake.place).value_or(connectTimeout);
        m_world.loop.after(delay, [&fake, job = attempt->job] { fake.cancel(job); });
    }
    node.health.observe({ attempt->target, request->kind, verdict, latency,
        std::chrono::duration_cast<Micros>(request->deadline - attempt->start), now, attempt->counted });
    const bool whole = verdict == Verdict::Good || verdict == Verdict::Error;
    if (whole)
        node.queue.recordServiceTime(request->kind, latency);
    if (verdict == Verdict::Good)
        noteLatency(node, attempt->target, latency);
    if (verdict == Verdict::Good || (whole && request->kind != config::RequestKind::Idempotent))
        finish(request, verdict == Verdict::Good, true);
    else if (verdict != Verdict::Cancelled)
        retryOrFinish(request);
    if (node.health.hasUrgentEvidence() && now - node.reported > urgentGap)
        sendReport(request->service);
    pump(request->service);
}

void Instance::noteLatency(Node& node, std::size_t target, Micros latency)
{
    auto& typical = node.load[target].typicalLatency;
    typical = typical.count() ? typical + (latency - typical) / 10 : latency;
    if (node.latencies.size() < 100)
        node.latencies.push_back(latency);
    else
        node.latencies[node.nextLatency++ % 100] = latency;
}

bool Instance::takeExtra(Request& request)
{
    if (request.attempts >= attemptLimit)
        return false;
    if (request.prepaid > 0)
        return request.prepaid-- > 0;
    return !m_world.options.retryBudget || m_nodes[request.service]->budget.tryTake();
}

void Instance::retryOrFinish(const RequestPtr& request)
{
    if (request->finished || request->running > 0)
        return;
    const bool again = request->kind == config::RequestKind::Idempotent || request->outcome.mayRunAgain();
    const bool untried = request->used.size() < m_nodes[request->service]->load.size();
    if (m_world.options.retries && request->attempts > 0 && again && untried && m_world.loop.now() < request->deadline
        && takeExtra(*request)) {
        const auto& node = *m_nodes[request->service];
        const routing::PlacementRequest wanted { request->kind, false, request->used };
        if (m_router->choose(wanted, node.service, node.views, node.load, m_world.random).target)
            return choose(request);
    }
    finish(request, false, false);
}

void Instance::finish(const RequestPtr& request, bool good, bool answered)
{
    if (std::exchange(request->finished, true))
        return;
    auto& metrics = m_world.metrics;
    for (const auto& it : std::exchange(request->abandon, {}))
        it(request);
    --inFlight;
    const auto outcome = answered ? outcome::Outcome::Completed : request->outcome.outcome();
    const auto now = m_world.loop.now();
    if (good && now <= request->deadline) {
        ++metrics.good;
        metrics.latencies.push_back(std::chrono::duration<float, std::milli>(now - request->arrival).count());
    }
    metrics.notRun += outcome == outcome::Outcome::NotRun;
    metrics.unknown += outcome == outcome::Outcome::Unknown;
    if (outcome == outcome::Outcome::NotRun && !request->callerRetried)
        m_world.audits.push_back({ request->executions, false, true });
    const outcome::ClaimRequest claim { m_nodes[request->service]->service.name, request->key, "" };
    if (request->claimed && outcome == outcome::Outcome::NotRun)
        m_world.claims.release(claim, "");
    else if (request->claimed && outcome == outcome::Outcome::Completed)
        m_world.claims.complete(claim, "", {});
    if (outcome == outcome::Outcome::Unknown && !request->key.empty() && !request->callerRetried)
        m_world.retryAsCaller(*request);
}

} // namespace buckthorncroft::simulation
