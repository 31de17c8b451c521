#include "instance.h"

#include <algorithm>
#include <limits>

namespace buckthorncroft::simulation {

using namespace std::chrono_literals;
using health::Verdict;

namespace {

    constexpr Micros connectTimeout = 500ms;
    constexpr unsigned maxAttempts = 3;
    // Minimum time between two reports while there is unreported evidence against a target.
    constexpr auto minUrgentReportInterval = 200ms;
    // Delay before a request for which no slot was free requests a grant again.
    constexpr Micros slotRetryDelay = 50ms;
    constexpr std::size_t placementMessageBytes = 90; ///< Estimated size of a placement message.

} // namespace

unsigned Instance::slotCount(const config::Service& service)
{
    unsigned result = 0;
    for (const auto& it : service.targets)
        result += it.slots;
    return result;
}

Instance::ServiceState::ServiceState(const config::Service& serviceRecord, const health::Reporter& self,
    base::SteadyTime now, unsigned instances, double retryShare, std::uint64_t seed)
    : service(serviceRecord)
    , health(serviceRecord, self, now)
    , budget(retryShare)
    , queue(serviceRecord.queueLimit, slotCount(serviceRecord))
    , policy(slotCount(serviceRecord), instances)
    , point(serviceRecord, self.zone, seed)
    , pool(serviceRecord, self)
    , scoredAt(now)
    , relayedAt(now)
    , lastReplyAt(now)
    , views(health.views(now))
    , load(serviceRecord.targets.size())
    , downTargets(serviceRecord.targets.size())
{
    for (auto& it : load)
        it.connectionShare = 8;
}

Instance::Instance(Simulation& simulation, Endpoint ownEndpoint, std::uint64_t incarnation)
    : endpoint(std::move(ownEndpoint))
    , m_simulation(simulation)
    , m_self { endpoint.name, endpoint.zone, incarnation }
    , m_createdAt(simulation.loop.seconds())
    , m_router(simulation.options.policy == Policy::Random ? routing::makeRandomRouter(endpoint.zone)
                                                           : routing::makeTwoChoicesRouter(endpoint.zone))
{
    for (const auto& it : simulation.deployment.services)
        m_services.push_back(std::make_unique<ServiceState>(
            it, m_self, simulation.loop.now(), simulation.deployment.instances, it.retryShare, simulation.random()));
}

void Instance::accept(const RequestPtr& request)
{
    auto& state = *m_services[request->service];
    const auto now = m_simulation.loop.now();
    request->arrivedAt = now;
    request->deadline = now + state.service.routes.front().deadline;
    ++inFlight;
    ++m_simulation.metrics.requests;
    state.budget.recordRequest();
    if (request->kind != config::RequestKind::Idempotent && !request->callerRetried)
        m_simulation.executionChecks.push_back({ request->executionCount, true, false });
    if (request->key.empty())
        return admit(request);
    m_simulation.claims.acquire(
        { state.service.name, request->key, "" }, request->deadline, [this, request](auto result) {
            if (result.status == outcome::ClaimStatus::Held) {
                request->claimed = true;
                return admit(request);
            }
            const bool isUnavailable = result.status == outcome::ClaimStatus::Unavailable;
            finish(request, result.status == outcome::ClaimStatus::Replay, !isUnavailable);
        });
}

void Instance::admit(const RequestPtr& request)
{
    auto& state = *m_services[request->service];
    const auto refusal
        = state.queue.enqueue({ request->id, request->kind, request->deadline }, m_simulation.loop.now());
    if (refusal != limits::Refusal::None) {
        ++m_simulation.metrics.rejected;
        return finish(request, false, false);
    }
    state.queuedRequests[request->id] = request;
    dispatchQueued(request->service);
}

void Instance::dispatchQueued(std::size_t service)
{
    auto& state = *m_services[service];
    const auto now = m_simulation.loop.now();
    const auto hasSlot = [&] {
        for (std::size_t i = 0; i < state.load.size(); ++i) {
            if (!state.views[i].draining && state.load[i].inFlight < state.service.targets[i].slots)
                return true;
        }
        return false;
    };
    while (state.queue.size() > 0 && now >= state.blockedUntil && hasSlot()) {
        std::vector<limits::WaitingRequest> expired;
        const auto next = state.queue.pop(now, expired);
        finishExpired(service, expired);
        if (!next)
            return;
        const auto request = state.queuedRequests.extract(next->id).mapped();
        chooseTarget(request);
    }
}

void Instance::finishExpired(std::size_t service, const std::vector<limits::WaitingRequest>& expired)
{
    for (const auto& it : expired) {
        const auto entry = m_services[service]->queuedRequests.extract(it.id);
        finish(entry.mapped(), false, false);
    }
}

void Instance::chooseTarget(const RequestPtr& request)
{
    auto& state = *m_services[request->service];
    const routing::PlacementRequest placementRequest { request->kind, request->attempts == 0, request->triedTargets };
    if (m_simulation.options.policy == Policy::Perfect) {
        if (const auto target = perfectChoice(*request))
            return sendAttempt(request, *target, 0, nullptr);
        return retryOrFinish(request);
    }
    auto* point
        = m_simulation.options.policy == Policy::Placement && state.policy.shouldRequestGrant(m_simulation.loop.now())
        ? m_simulation.coordinator(request->service, endpoint.zone)
        : nullptr;
    if (point)
        return requestGrant(request, placementRequest, *point);
    placeLocally(request, placementRequest);
}

void Instance::placeLocally(const RequestPtr& request, routing::PlacementRequest placementRequest)
{
    auto& state = *m_services[request->service];
    auto decision = m_router->choose(placementRequest, state.service, state.views, state.load, m_simulation.random);
    if (decision.isTrial && placementRequest.firstAttempt) {
        // The second attempt of a trial is reserved in the retry budget; without it, the request does not serve as a
        // trial.
        if (state.budget.tryTake()) {
            ++request->reservedAttempts;
        } else {
            placementRequest.firstAttempt = false;
            decision = m_router->choose(placementRequest, state.service, state.views, state.load, m_simulation.random);
        }
    }
    if (decision.target)
        return sendAttempt(request, *decision.target, 0, nullptr);
    retryOrFinish(request);
}

void Instance::requestGrant(
    const RequestPtr& request, const routing::PlacementRequest& placementRequest, Instance& point)
{
    ++m_simulation.metrics.grantRequests;
    auto isSettled = std::make_shared<bool>(false);
    const auto service = request->service;
    m_simulation.loop.scheduleAfter(
        routing::PlacementPolicy::responseTimeout, [this, isSettled, request, placementRequest] {
            if (std::exchange(*isSettled, true))
                return;
            m_services[request->service]->policy.recordTimeout(m_simulation.loop.now());
            placeLocally(request, placementRequest);
        });
    sendMessage(
        point, placementMessageBytes,
        [this, &point, isSettled, request, placementRequest, service] {
            auto& state = *point.m_services[service];
            const auto lifetime = std::chrono::duration_cast<Micros>(request->deadline - m_simulation.loop.now());
            const auto grant = state.point.place(placementRequest, state.views, lifetime, m_simulation.loop.now());
            point.sendMessage(
                *this, placementMessageBytes,
                [this, &point, isSettled, request, service, grant] {
                    if (std::exchange(*isSettled, true)) {
                        if (grant)
                            releaseGrant(service, grant->id, &point, Verdict::Cancelled, Micros(0));
                        return;
                    }
                    m_services[service]->policy.recordResponse();
                    if (grant)
                        return sendAttempt(request, grant->target, grant->id, &point);
                    waitForSlot(request);
                },
                true);
        },
        true);
}

void Instance::waitForSlot(const RequestPtr& request)
{
    auto& state = *m_services[request->service];
    state.blockedUntil = m_simulation.loop.now() + slotRetryDelay;
    m_simulation.loop.scheduleAfter(slotRetryDelay, [this, service = request->service] { dispatchQueued(service); });
    if (request->attempts == 0)
        return admit(request);
    retryOrFinish(request);
}

std::optional<std::size_t> Instance::perfectChoice(const Request& request) const
{
    const auto& targets = m_simulation.targets[request.service];
    const auto& views = m_services[request.service]->views;
    std::optional<std::size_t> best;
    const auto cost = [&](std::size_t i) {
        const bool isExcluded = views[i].stage == health::Stage::Ejected || views[i].stage == health::Stage::Trial;
        return double(targets[i]->requestCount() + m_simulation.attemptsInTransit[request.service][i])
            + (targets[i]->endpoint.zone == endpoint.zone ? 0 : 0.5) + (isExcluded ? 100 : 0);
    };
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const bool isTried
            = std::find(request.triedTargets.begin(), request.triedTargets.end(), i) != request.triedTargets.end();
        if (!views[i].draining && !isTried && (!best || cost(i) < cost(*best)))
            best = i;
    }
    return best;
}

void Instance::changeInFlight(std::size_t service, std::size_t target, int change)
{
    auto& state = *m_services[service];
    state.load[target].inFlight += static_cast<unsigned>(change);
    state.load[target].connections += static_cast<unsigned>(change);
    state.inFlight += static_cast<unsigned>(change);
    state.policy.setInFlight(state.inFlight, m_simulation.loop.now());
}

void Instance::sendAttempt(const RequestPtr& request, std::size_t target, std::uint64_t grant, Instance* point)
{
    // The request may have finished while the instance waited for the grant of a second attempt.
    if (request->finished)
        return releaseGrant(request->service, grant, point, Verdict::Cancelled, Micros(0));
    auto attempt = std::make_shared<Attempt>();
    attempt->target = target;
    attempt->id = request->outcome.startAttempt();
    attempt->grant = grant;
    attempt->point = point;
    attempt->startedAt = attempt->sentAt = m_simulation.loop.now();
    ++request->attempts;
    ++request->attemptsInFlight;
    request->triedTargets.push_back(target);
    ++m_simulation.metrics.attempts;
    changeInFlight(request->service, target, 1);
    request->cancelAttempts.push_back(
        [this, attempt](const RequestPtr& it) { endAttempt(it, attempt, Verdict::Cancelled); });
    auto& fake = *m_simulation.targets[request->service][target];
    const auto requestDelay = m_simulation.links.delay(endpoint, fake.endpoint);
    const auto responseDelay = m_simulation.links.delay(fake.endpoint, endpoint);
    const auto remainingTime = std::chrono::duration_cast<Micros>(request->deadline - attempt->startedAt);
    if (!requestDelay || !responseDelay || !fake.up) {
        const auto wait
            = requestDelay && responseDelay ? *requestDelay + *responseDelay : std::min(connectTimeout, remainingTime);
        return m_simulation.loop.scheduleAfter(
            wait, [this, request, attempt] { endAttempt(request, attempt, Verdict::ConnectFailed); });
    }
    // The request is sent after the connection is established, which takes one round trip.
    ++m_simulation.attemptsInTransit[request->service][target];
    m_simulation.loop.scheduleAfter(
        *requestDelay + *responseDelay, [this, request, attempt] { deliver(request, attempt); });
    m_simulation.loop.scheduleAfter(
        remainingTime, [this, request, attempt] { endAttempt(request, attempt, Verdict::TimedOut); });
}

void Instance::deliver(const RequestPtr& request, const AttemptPtr& attempt)
{
    auto& fake = *m_simulation.targets[request->service][attempt->target];
    const auto delay = m_simulation.links.delay(endpoint, fake.endpoint);
    if (attempt->done || !delay) {
        --m_simulation.attemptsInTransit[request->service][attempt->target];
        return;
    }
    request->outcome.recordBytesSent(attempt->id);
    attempt->sentAt = m_simulation.loop.now();
    attempt->job = std::make_shared<Job>();
    attempt->job->kind = request->kind;
    attempt->job->executionCount = request->executionCount;
    // The timeout event owns the request and the attempt; shared pointers here would form a reference cycle.
    attempt->job->reply
        = [this, weakRequest = std::weak_ptr(request), weakAttempt = std::weak_ptr(attempt), &fake](Response response) {
              const auto lockedRequest = weakRequest.lock();
              const auto lockedAttempt = weakAttempt.lock();
              const auto responseDelay = m_simulation.links.delay(fake.endpoint, endpoint);
              if (lockedRequest && lockedAttempt && responseDelay)
                  m_simulation.loop.scheduleAfter(*responseDelay, [this, lockedRequest, lockedAttempt, response] {
                      handleResponse(lockedRequest, lockedAttempt, response);
                  });
          };
    m_simulation.loop.scheduleAfter(*delay, [this, request, attempt, &fake] {
        --m_simulation.attemptsInTransit[request->service][attempt->target];
        if (fake.up && !attempt->job->cancelled)
            fake.receive(attempt->job);
    });
    scheduleTimers(request, attempt);
}

void Instance::scheduleTimers(const RequestPtr& request, const AttemptPtr& attempt)
{
    const auto& state = *m_services[request->service];
    if (request->kind == config::RequestKind::Idempotent && m_simulation.options.retries) {
        m_simulation.loop.scheduleAfter(hedgeDelay(state, *request), [this, request, attempt] {
            if (!attempt->done && !request->finished && request->attemptsInFlight == 1 && takeExtraAttempt(*request))
                chooseTarget(request);
        });
    }
    if (const auto limit = state.health.slowLimit(attempt->target, request->kind)) {
        m_simulation.loop.scheduleAfter(*limit, [this, request, attempt] {
            if (!attempt->done)
                countPending(*request, *attempt);
        });
    }
}

void Instance::countPending(const Request& request, Attempt& attempt)
{
    const auto now = m_simulation.loop.now();
    if (!attempt.countedAsPending && attempt.job)
        attempt.countedAsPending = m_services[request.service]->health.countPendingAsSlow(
            attempt.target, request.kind, std::chrono::duration_cast<Micros>(now - attempt.sentAt), now);
}

Micros Instance::hedgeDelay(const ServiceState& state, const Request& request)
{
    auto recent = state.recentLatencies;
    if (recent.size() < 20)
        return std::chrono::duration_cast<Micros>(request.deadline - request.arrivedAt) / 2;
    const auto p95 = recent.begin() + std::ptrdiff_t(recent.size() * 95 / 100);
    std::nth_element(recent.begin(), p95, recent.end());
    return *p95;
}

void Instance::handleResponse(const RequestPtr& request, const AttemptPtr& attempt, Response response)
{
    if (attempt->done)
        return;
    if (response.draining)
        handleDrain(request->service, attempt->target, true, health::DrainSource::TargetResponse);
    if (response.kind == ResponseKind::Shed) {
        request->outcome.recordNotRunRefusal(attempt->id);
        return endAttempt(request, attempt, Verdict::Shed);
    }
    attempt->mismatched = response.kind == ResponseKind::Mismatched;
    if (attempt->mismatched && m_simulation.options.idCheck)
        return endAttempt(request, attempt, Verdict::Mismatched);
    request->outcome.recordResponse(attempt->id);
    endAttempt(request, attempt, response.kind == ResponseKind::Error ? Verdict::Error : Verdict::Good);
}

void Instance::releaseGrant(std::size_t service, std::uint64_t grant, Instance* point, Verdict verdict, Micros latency)
{
    if (!point)
        return;
    sendMessage(
        *point, placementMessageBytes,
        [this, point, service, grant, verdict, latency] {
            point->m_services[service]->point.release(grant, verdict, latency, m_simulation.loop.now());
        },
        true);
}

void Instance::endAttempt(const RequestPtr& request, const AttemptPtr& attempt, Verdict verdict)
{
    if (std::exchange(attempt->done, true))
        return;
    auto& state = *m_services[request->service];
    const auto now = m_simulation.loop.now();
    const auto latency = std::chrono::duration_cast<Micros>(now - attempt->sentAt);
    --request->attemptsInFlight;
    changeInFlight(request->service, attempt->target, -1);
    releaseGrant(request->service, attempt->grant, attempt->point, verdict, latency);
    if (verdict == Verdict::Cancelled)
        countPending(*request, *attempt);
    if (attempt->job && (verdict == Verdict::Cancelled || verdict == Verdict::TimedOut)) {
        auto& fake = *m_simulation.targets[request->service][attempt->target];
        const auto delay = m_simulation.links.delay(endpoint, fake.endpoint).value_or(connectTimeout);
        m_simulation.loop.scheduleAfter(delay, [&fake, job = attempt->job] { fake.cancel(job); });
    }
    state.health.observe({ attempt->target, request->kind, verdict, latency,
        std::chrono::duration_cast<Micros>(request->deadline - attempt->startedAt), now, attempt->countedAsPending });
    const bool isComplete = verdict == Verdict::Good || verdict == Verdict::Error;
    if (isComplete)
        state.queue.recordServiceTime(request->kind, latency);
    if (verdict == Verdict::Good)
        recordLatency(state, attempt->target, latency);
    if (verdict == Verdict::Good || (isComplete && request->kind != config::RequestKind::Idempotent)) {
        m_simulation.metrics.mismatchedResponses += attempt->mismatched && !request->finished;
        finish(request, verdict == Verdict::Good, true);
    } else if (verdict != Verdict::Cancelled)
        retryOrFinish(request);
    if (state.health.hasUrgentEvidence() && now - state.lastReportAt > minUrgentReportInterval)
        sendReport(request->service);
    dispatchQueued(request->service);
}

void Instance::recordLatency(ServiceState& state, std::size_t target, Micros latency)
{
    auto& typical = state.load[target].typicalLatency;
    typical = typical.count() ? typical + (latency - typical) / 10 : latency;
    if (state.recentLatencies.size() < 100)
        state.recentLatencies.push_back(latency);
    else
        state.recentLatencies[state.nextLatencyIndex++ % 100] = latency;
}

bool Instance::takeExtraAttempt(Request& request)
{
    if (request.attempts >= maxAttempts)
        return false;
    if (request.reservedAttempts > 0)
        return request.reservedAttempts-- > 0;
    return !m_simulation.options.retryBudget || m_services[request.service]->budget.tryTake();
}

void Instance::retryOrFinish(const RequestPtr& request)
{
    if (request->finished || request->attemptsInFlight > 0)
        return;
    const bool isRetryable = request->kind == config::RequestKind::Idempotent || request->outcome.mayRunAgain();
    const bool untried = request->triedTargets.size() < m_services[request->service]->load.size();
    if (m_simulation.options.retries && request->attempts > 0 && isRetryable && untried
        && m_simulation.loop.now() < request->deadline && takeExtraAttempt(*request)) {
        const auto& state = *m_services[request->service];
        const routing::PlacementRequest placementRequest { request->kind, false, request->triedTargets };
        if (m_router->choose(placementRequest, state.service, state.views, state.load, m_simulation.random).target)
            return chooseTarget(request);
    }
    finish(request, false, false);
}

void Instance::finish(const RequestPtr& request, bool good, bool isCompleted)
{
    if (std::exchange(request->finished, true))
        return;
    auto& metrics = m_simulation.metrics;
    for (const auto& it : std::exchange(request->cancelAttempts, {}))
        it(request);
    --inFlight;
    const auto outcome = isCompleted ? outcome::Outcome::Completed : request->outcome.outcome();
    const auto now = m_simulation.loop.now();
    if (good && now <= request->deadline) {
        ++metrics.goodResponses;
        metrics.latencies.push_back(std::chrono::duration<float, std::milli>(now - request->arrivedAt).count());
    }
    metrics.notRun += outcome == outcome::Outcome::NotRun;
    metrics.unknown += outcome == outcome::Outcome::Unknown;
    if (outcome == outcome::Outcome::NotRun && !request->callerRetried)
        m_simulation.executionChecks.push_back({ request->executionCount, false, true });
    const outcome::ClaimRequest claim { m_services[request->service]->service.name, request->key, "" };
    if (request->claimed && outcome == outcome::Outcome::NotRun)
        m_simulation.claims.release(claim, "");
    else if (request->claimed && outcome == outcome::Outcome::Completed)
        m_simulation.claims.complete(claim, "", {});
    if (outcome == outcome::Outcome::Unknown && !request->key.empty() && !request->callerRetried)
        m_simulation.retryAsCaller(*request);
}

} // namespace buckthorncroft::simulation
