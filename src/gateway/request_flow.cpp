#include "request_flow.h"

#include "../http/framing.h"
#include "key_digest.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <limits>

namespace buckthorncroft::gateway {

namespace {

    using health::Verdict;
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;

    // Reserved before the caller's deadline for sending the response back to the caller.
    constexpr milliseconds responseMargin { 20 };

    // An attempt is overdue after this fraction of the route's latency objective, but not before `minOverdueDelay`. An
    // idempotent request may then be sent to another target.
    constexpr double overdueFraction = 0.75;
    constexpr milliseconds minOverdueDelay { 400 };

    // Retry-After of a rejection for which the dispatch point gave no delay.
    constexpr milliseconds defaultRetryAfter { 500 };

    constexpr milliseconds minRetryAfter { 50 };
    constexpr double maxRetryAfterFraction = 0.3; ///< Of the caller's remaining time.

    // Requests that arrive before the first routes and targets wait this long for them. An instance that has just
    // started receives them within this time if the registry responds.
    constexpr milliseconds routesTimeout { 600 };
    constexpr milliseconds routesCheckInterval { 20 };

    // A quota that is not checked within this time counts as used up, and the caller may repeat the request then.
    constexpr milliseconds admissionTimeout { 500 };

    // A longer deadline of a caller is shortened to this.
    constexpr milliseconds maxDeadline { 24 * 3'600'000 };

    // An attempt with less time than this cannot succeed.
    constexpr milliseconds minAttemptTime { 100 };

    std::optional<milliseconds> parseDeadlineHeader(const CallerRequest& request, const HeaderNames& names)
    {
        const auto text = request[names.deadline];
        std::int64_t value = 0;
        const auto [ptr, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || error != std::errc() || ptr != text.data() + text.size() || value <= 0)
            return std::nullopt;
        return std::min(milliseconds(value), maxDeadline);
    }

    const routing::HostRoute* lookUpRoute(const GatewaySnapshot& snapshot, const CallerRequest& request)
    {
        const auto host = request[http::bhttp::field::host];
        const auto target = request.target();
        return snapshot.routes->find(
            std::string_view(host.data(), host.size()), std::string_view(target.data(), target.size()));
    }

    // Returns the key in `Authorization: Bearer KEY`, or nothing if there is not exactly one such header.
    std::string_view findKey(const CallerRequest& request)
    {
        if (request.count(http::bhttp::field::authorization) != 1)
            return {};
        const auto value = request[http::bhttp::field::authorization];
        const auto end = std::min(value.find(' '), value.size());
        if (!http::beast::iequals(value.substr(0, end), "bearer"))
            return {};
        const std::string_view rest(value.data() + end, value.size() - end);
        return rest.substr(std::min(rest.find_first_not_of(' '), rest.size()));
    }

    // Returns when the response to a request that matches `route` is due.
    base::SteadyTime responseDueAt(const CallerRequest& request, const routing::HostRoute& route,
        const HeaderNames& names, base::SteadyTime arrivedAt)
    {
        const auto timeLimit = std::min(parseDeadlineHeader(request, names).value_or(route.timeout), route.timeout);
        return arrivedAt + timeLimit - responseMargin;
    }

    bool endsBeyondStop(const TrafficContext& context, base::SteadyTime deadline)
    {
        const auto& schedule = context.stopSchedule;
        return schedule && context.clock.now() >= schedule->lastRequestAt && deadline > schedule->endsAt;
    }

    // Reports the end of an attempt, which releases its slot, and what its target announced.
    void reportEnd(TrafficContext& context, const AttemptSlot& slot, const TargetAttempt& attempt)
    {
        const auto& target = attempt.target();
        const auto& notice = attempt.notice();
        routing::DispatchOutcome outcome { {}, slot.grant, target.id, slot.kind, attempt.verdict(), attempt.latency() };
        outcome.targetLeaving = notice.isLeaving;
        outcome.targetStartedAtUnixMs = target.startedAtUnixMs;
        outcome.retryAfter = notice.retryAfter;
        if (notice.retryAfter.count() > 0)
            context.pauses.add(target.id, notice.retryAfter, context.clock.now());
        context.placement.report(slot.service, slot.point, outcome);
        context.log.write(observe::Level::Info, "attempt_ended",
            { { "request", slot.request }, { "target", target.id }, { "verdict", health::toString(attempt.verdict()) },
                { "ms", fmt::format("{:.1f}", static_cast<double>(attempt.latency().count()) / 1000) },
                { "reused", attempt.reused() ? "yes" : "no" }, { "reason", attempt.reason() } });
    }

    void releaseSlot(
        TrafficContext& context, const std::string& service, config::RequestKind kind, const SlotResult& slot)
    {
        if (slot.decision.grant) {
            context.placement.report(
                service, slot.point, { {}, slot.decision.grant, slot.decision.target, kind, Verdict::Cancelled });
        }
    }

} // namespace

bool isTooLateInStop(const TrafficContext& context, const CallerRequest& request, base::SteadyTime arrivedAt)
{
    if (!context.stopSchedule)
        return false;
    const auto snapshot = context.snapshots.read();
    const auto* route = snapshot->isComplete() ? lookUpRoute(*snapshot, request) : nullptr;
    return route && endsBeyondStop(context, responseDueAt(request, *route, context.names, arrivedAt));
}

RequestFlow::RequestFlow(TrafficContext& context, CallerRequest request, base::SteadyTime arrivedAt,
    std::unique_ptr<limits::MemoryReservation> memory)
    : m_context(context)
    , m_request(std::move(request))
    , m_arrivedAt(arrivedAt)
    , m_id(m_request[context.names.requestId])
    , m_memory(std::move(memory))
    , m_timer(context.io)
{
    ++m_context.activeRequests;
}

RequestFlow::~RequestFlow()
{
    --m_context.activeRequests;
}

http::Awaitable<CallerResponse> RequestFlow::run()
{
    co_await waitForRoutes();
    if (auto response = findRoute())
        co_return std::move(*response);
    prepareForwardedRequest();
    if (auto response = co_await waitForAdmission())
        co_return std::move(*response);
    std::optional<CallerResponse> response;
    std::string problem;
    try {
        response = co_await runAttempts();
    } catch (const std::exception& error) {
        problem = error.what();
    }
    if (!response)
        response = fail("internal error: " + problem);
    cancelPending();
    co_return std::move(*response);
}

http::Awaitable<void> RequestFlow::waitForRoutes()
{
    const auto end = m_arrivedAt + routesTimeout;
    while (!m_callerDisconnected && !m_context.snapshots.read()->isComplete() && m_context.clock.now() < end) {
        http::error_code ec;
        m_timer.expires_after(routesCheckInterval);
        co_await m_timer.async_wait(http::captureError(ec));
    }
}

// Finds the request's route and chooses the service. Returns a rejection if one of these steps fails.
RequestFlow::MaybeResponse RequestFlow::findRoute()
{
    if (m_id.empty())
        return reject(400, "the request has no id");
    m_snapshot = m_context.snapshots.read();
    if (!m_snapshot->isComplete())
        return reject(503, "there are no routes yet");
    m_route = lookUpRoute(*m_snapshot, m_request);
    if (!m_route && m_snapshot->mayBeOutdated)
        return reject(503, "the routes may be outdated");
    if (!m_route)
        return reject(404, "no route matches");
    if (auto response = findWorkspace())
        return response;
    m_deadline = responseDueAt(m_request, *m_route, m_context.names, m_arrivedAt);
    m_objectiveDeadline = m_arrivedAt + m_route->latencyObjective;
    if (isTooLateInStop())
        return reject(503, "the instance stops");
    m_service = routing::chooseService(*m_route, std::uniform_real_distribution<double>(0, 1)(m_context.random));
    return std::nullopt;
}

// Finds the workspace by the key in the request. Returns a rejection if the route needs a key and this one is unknown.
RequestFlow::MaybeResponse RequestFlow::findWorkspace()
{
    if (!m_snapshot->routes->routeSet().requiresKeys() || m_route->isPublic)
        return std::nullopt;
    const auto key = findKey(m_request);
    if (key.empty())
        return reject(401, "the request has no key");
    m_key = digestOfKey(key);
    m_workspace = m_snapshot->routes->findWorkspace(*m_key);
    if (!m_workspace && m_snapshot->mayBeOutdated)
        return reject(503, "the keys may be outdated");
    if (!m_workspace)
        return reject(401, "the key is not known");
    return std::nullopt;
}

// Whether the newest routes permit the request to be sent under its workspace.
bool RequestFlow::mayStillUseKey() const
{
    const auto snapshot = m_context.snapshots.read();
    if (!m_workspace || snapshot->routes == m_snapshot->routes || !snapshot->routes->routeSet().requiresKeys())
        return true;
    const auto* workspace = snapshot->routes->findWorkspace(*m_key);
    return workspace && workspace->name == m_workspace->name;
}

// Waits until the request is known to be within the quota of its workspace. Returns a rejection if it is not, or
// if the request ends first.
http::Awaitable<RequestFlow::MaybeResponse> RequestFlow::waitForAdmission()
{
    if (!m_context.admission || !m_workspace || !m_workspace->quota.isLimited())
        co_return std::nullopt;
    const auto end = std::min(m_context.clock.now() + admissionTimeout, m_deadline);
    m_context.admission->admit(m_workspace->name, [weak = weak_from_this()](const Admission& admission) {
        if (const auto self = weak.lock()) {
            self->m_admission = admission;
            self->wake();
        }
    });
    while (!m_admission && !m_callerDisconnected && !m_ending && !isTooLateInStop() && m_context.clock.now() < end) {
        http::error_code ec;
        m_timer.expires_at(end);
        co_await m_timer.async_wait(http::captureError(ec));
    }
    if (m_callerDisconnected)
        co_return reject(503, "the caller left");
    if (m_ending || isTooLateInStop())
        co_return reject(503, "the instance stops");
    if (!m_admission) {
        m_admission = Admission { false, admissionTimeout };
        co_return reject(429, "the quota could not be checked");
    }
    if (!m_admission->admitted)
        co_return reject(429, "the quota of the workspace is used up");
    if (!mayStillUseKey())
        co_return reject(401, "the key was withdrawn");
    co_return std::nullopt;
}

// Whether the process may end while a target still runs the request, if it is passed on now.
bool RequestFlow::isTooLateInStop() const
{
    return endsBeyondStop(m_context, m_deadline);
}

// Whether no attempt is running and none can have run the request.
bool RequestFlow::mayBeRejected() const
{
    return m_runningAttempts.empty() && !m_mayHaveRun && !m_fallback;
}

void RequestFlow::prepareForwardedRequest()
{
    m_forwardedRequest = std::make_shared<ForwardedRequest>();
    m_forwardedRequest->head = m_request.base();
    http::removeHopByHopHeaders(m_forwardedRequest->head);
    m_forwardedRequest->head.erase(http::bhttp::field::content_length);
    m_forwardedRequest->head.erase(http::bhttp::field::expect);
    if (m_snapshot->routes->routeSet().requiresKeys())
        m_forwardedRequest->head.erase(http::bhttp::field::authorization);
    m_forwardedRequest->head.erase(m_context.names.workspace);
    if (m_workspace)
        m_forwardedRequest->head.set(m_context.names.workspace, m_workspace->name);
    m_forwardedRequest->hasBody = m_request.has_content_length() || m_request.chunked();
    m_forwardedRequest->body = std::move(m_request.body());
    m_forwardedRequest->id = m_id;
    m_forwardedRequest->kind = m_route->kind;
    m_forwardedRequest->deadline = m_deadline;
}

http::Awaitable<CallerResponse> RequestFlow::runAttempts()
{
    requestSlot();
    while (true) {
        if (auto response = step())
            co_return std::move(*response);
        http::error_code ec;
        m_timer.expires_at(nextWakeAt());
        co_await m_timer.async_wait(http::captureError(ec));
    }
}

void RequestFlow::wake()
{
    m_timer.expires_at(base::SteadyTime::min());
}

base::SteadyTime RequestFlow::nextWakeAt() const
{
    auto result = m_deadline;
    for (const auto& it : m_runningAttempts) {
        // Setting the timer discards an earlier `wake`, so an attempt that ended before the wait began wakes at once.
        if (it.attempt->state() != AttemptState::Running)
            return base::SteadyTime::min();
        if (!it.overdue)
            result = std::min(result, it.overdueAt);
    }
    return result;
}

// Processes what has happened since the last call. Returns the response once it is determined.
RequestFlow::MaybeResponse RequestFlow::step()
{
    if (m_callerDisconnected) {
        const bool abandon = isIdempotent() || m_runningAttempts.empty();
        if (abandon)
            return reject(503, "the caller left");
    }
    if (auto response = handleEndedAttempts())
        return response;
    if (m_ending) {
        if (!m_runningAttempts.empty() && !m_fallback)
            logBreakOff();
        return fail("the instance stops");
    }
    if (m_context.clock.now() >= m_deadline)
        return fail("the deadline has passed");
    if (mayBeRejected() && isTooLateInStop())
        return reject(503, "the instance stops");
    reportOverdueAttempts();
    if (m_runningAttempts.empty() && !m_slotRequest)
        return retryOrFail();
    return std::nullopt;
}

void RequestFlow::requestSlot()
{
    m_slotRefusal.reset();
    SlotQuery query;
    query.service = m_service;
    auto& request = query.request;
    request.kind = m_route->kind;
    request.priority = routing::combinedPriority(m_workspace ? m_workspace->priority : 0, m_route->priority);
    request.workspace = m_workspace ? m_workspace->name : "";
    request.requestBytes = static_cast<std::uint32_t>(
        std::min<std::size_t>(m_forwardedRequest->body.size(), std::numeric_limits<std::uint32_t>::max()));
    request.responseBytes = m_context.responseSizes.estimate(m_route->name);
    request.attempt = m_attemptCount;
    request.objectiveDeadline = m_objectiveDeadline;
    request.deadline = m_deadline;
    request.excluded = m_excludedTargets;
    std::vector<std::string> candidates;
    const auto snapshot = m_context.snapshots.read();
    if (const auto it = snapshot->targets->services.find(m_service); it != snapshot->targets->services.end()) {
        for (const auto& [id, entry] : it->second)
            candidates.push_back(id);
    }
    request.connectedTargets = m_context.pool.connectedTargets(candidates);
    excludePausedTargets(candidates, request.excluded);
    auto onResult = [weak = weak_from_this(), &context = m_context, service = m_service, kind = m_route->kind](
                        const SlotResult& slot) {
        if (const auto self = weak.lock())
            self->handleSlotResult(slot);
        else
            releaseSlot(context, service, kind, slot); // The request ended before the grant arrived.
    };
    m_slotRequest = m_context.placement.requestSlot(std::move(query), std::move(onResult));
}

void RequestFlow::excludePausedTargets(const std::vector<std::string>& candidates, std::vector<std::string>& excluded)
{
    const auto now = m_context.clock.now();
    std::optional<base::SteadyTime> firstEnd;
    for (const auto& it : candidates) {
        const auto end = m_context.pauses.end(it, now);
        if (end)
            excluded.push_back(it);
        firstEnd = std::min(firstEnd.value_or(base::SteadyTime::max()), end.value_or(base::SteadyTime {}));
    }
    m_pauseEnd = firstEnd.value_or(base::SteadyTime {});
}

// A target can have become unusable while its slot was being granted.
bool RequestFlow::mayUse(const membership::DirectoryEntry* target) const
{
    const auto now = m_context.clock.now();
    return target && !target->record.draining && !m_context.pauses.end(target->record.id, now);
}

void RequestFlow::handleSlotResult(const SlotResult& slot)
{
    m_slotRequest.reset();
    const auto& decision = slot.decision;
    if (!decision.grant) {
        m_slotRefusal = decision;
        wake();
        return;
    }
    const auto snapshot = m_context.snapshots.read();
    const auto* entry = snapshot->targets->find(m_service, decision.target);
    const bool isTooLate = m_context.clock.now() >= m_deadline || (mayBeRejected() && isTooLateInStop());
    const bool isWanted = !m_callerDisconnected && !m_ending && !isTooLate;
    const bool isPermitted = mayStillUseKey();
    if (isWanted && isPermitted && mayUse(entry)) {
        startAttempt(slot, entry->record);
    } else {
        releaseSlot(m_context, m_service, m_route->kind, slot);
        m_excludedTargets.push_back(decision.target);
        if (isWanted && isPermitted)
            requestSlot();
    }
    wake();
}

void RequestFlow::startAttempt(const SlotResult& slot, const membership::TargetRecord& target)
{
    ++m_attemptCount;
    m_excludedTargets.push_back(target.id);
    m_context.log.write(observe::Level::Info, "placed",
        { { "request", m_id }, { "service", m_service }, { "target", target.id }, { "point", slot.point },
            { "attempt", std::to_string(m_attemptCount) }, { "considered", std::to_string(slot.decision.targetCount) },
            { "risk", fmt::format("{:.2f}", slot.decision.risk) },
            { "waiting", std::to_string(slot.decision.queuedRequests) },
            { "placement", routing::toString(slot.decision.placement) } });
    if (slot.decision.placement != routing::ZonePlacement::Home)
        m_context.metrics.count("buckthorncroft_zone_crossing_bytes_total",
            { { "service", m_service }, { "reason", routing::toString(slot.decision.placement) } },
            static_cast<double>(slot.bytes));
    RunningAttempt running;
    running.slot = { m_id, m_service, m_route->kind, slot.point, slot.decision.grant };
    const auto overdueDelay = duration_cast<milliseconds>(m_route->latencyObjective * overdueFraction);
    running.overdueAt = m_context.clock.now() + std::max(minOverdueDelay, overdueDelay);
    running.attempt = std::make_shared<TargetAttempt>(m_context, m_forwardedRequest, target);
    running.attempt->start([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->wake();
    });
    m_runningAttempts.push_back(std::move(running));
}

void RequestFlow::reportAttempt(RunningAttempt& it)
{
    if (!std::exchange(it.reported, true))
        reportEnd(m_context, it.slot, *it.attempt);
}

// The slot is in use until the body ends, so the attempt is reported then.
std::shared_ptr<StreamedBody> RequestFlow::makeStream(const RunningAttempt& running)
{
    return std::make_shared<StreamedBody>(running.attempt,
        [&context = m_context, slot = running.slot, attempt = running.attempt] { reportEnd(context, slot, *attempt); });
}

RequestFlow::MaybeResponse RequestFlow::handleEndedAttempts()
{
    for (std::size_t i = 0; i < m_runningAttempts.size();) {
        if (m_runningAttempts[i].attempt->state() == AttemptState::Running) {
            ++i;
            continue;
        }
        auto ended = std::move(m_runningAttempts[i]);
        m_runningAttempts.erase(m_runningAttempts.begin() + static_cast<std::ptrdiff_t>(i));
        if (auto response = evaluateAttempt(ended))
            return response;
    }
    return std::nullopt;
}

// Reports the attempt, and returns the response if the attempt determines it; otherwise the request is retried or
// fails.
RequestFlow::MaybeResponse RequestFlow::evaluateAttempt(RunningAttempt& ended)
{
    auto& attempt = *ended.attempt;
    m_lastAttemptReason = attempt.reason();
    const bool isAnswered = attempt.state() == AttemptState::Answered;
    const bool isFinal = isAnswered && (attempt.verdict() == Verdict::Good || !isIdempotent());
    if (isFinal && attempt.hasMoreBody())
        return relay(attempt, makeStream(ended));
    if (attempt.hasMoreBody())
        attempt.cancel();
    reportAttempt(ended);
    if (isFinal)
        return relay(attempt);
    if (isAnswered && !attempt.hasMoreBody())
        m_fallback = ended.attempt;
    else if (attempt.state() != AttemptState::NotRun)
        m_mayHaveRun = true;
    return std::nullopt;
}

bool RequestFlow::canRetry() const
{
    if (m_slotRefusal || m_callerDisconnected || m_attemptCount >= m_route->maxAttempts)
        return false;
    const auto& schedule = m_context.stopSchedule;
    const auto end = schedule ? std::min(m_deadline, schedule->endsAt) : m_deadline;
    if (end - m_context.clock.now() < minAttemptTime)
        return false;
    return (isIdempotent() || !m_mayHaveRun) && mayStillUseKey();
}

RequestFlow::MaybeResponse RequestFlow::retryOrFail()
{
    if (canRetry()) {
        requestSlot();
        return std::nullopt;
    }
    if (mayBeRejected() && !mayStillUseKey())
        return reject(401, "the key was withdrawn");
    return fail(m_slotRefusal ? routing::toString(m_slotRefusal->refusal) : m_lastAttemptReason);
}

// Reports overdue attempts as evidence about their targets, and requests a second target for an idempotent request.
void RequestFlow::reportOverdueAttempts()
{
    const auto now = m_context.clock.now();
    for (auto& it : m_runningAttempts) {
        if (it.overdue || now < it.overdueAt)
            continue;
        it.overdue = true;
        routing::DispatchOutcome outcome { {}, it.slot.grant, it.attempt->target().id, m_route->kind };
        outcome.overdue = true;
        m_context.placement.report(m_service, it.slot.point, outcome);
        if (isIdempotent() && !m_slotRequest && canRetry())
            requestSlot();
    }
}

// Relays the failure that a target has responded with, if there is one. Otherwise responds with 503 if no target can
// have run the request, with 504 after the deadline, or with 502.
RequestFlow::MaybeResponse RequestFlow::fail(const std::string& reason)
{
    if (m_fallback)
        return relay(*m_fallback);
    for (const auto& it : m_runningAttempts)
        m_mayHaveRun = m_mayHaveRun || it.attempt->sent();
    if (!m_mayHaveRun)
        return reject(503, reason);
    return reject(m_context.clock.now() >= m_deadline ? 504 : 502, reason);
}

CallerResponse RequestFlow::relay(TargetAttempt& attempt, std::shared_ptr<StreamedBody> stream)
{
    CallerResponse result;
    result.message.base() = attempt.head();
    http::removeHopByHopHeaders(result.message.base());
    const auto status = result.message.result_int();
    const bool bodyless = http::responseHasNoBody(m_request.method(), status);
    if (!bodyless) {
        result.message.body() = std::move(attempt.body());
        result.memory = attempt.takeBodyMemory();
        result.message.erase(http::bhttp::field::content_length);
        if (!stream)
            result.message.content_length(result.message.body().size());
        result.stream = std::move(stream);
    }
    if (attempt.verdict() == Verdict::Good) {
        const auto length = result.stream ? result.stream->length() : std::nullopt;
        m_context.responseSizes.add(m_route->name, length.value_or(result.message.body().size()));
    }
    recordResponse(status, attempt.reason());
    return result;
}

CallerResponse RequestFlow::reject(unsigned status, const std::string& reason)
{
    CallerResponse result;
    auto& message = result.message;
    message.result(status);
    message.set(http::bhttp::field::content_type, "text/plain; charset=utf-8");
    if (!m_id.empty())
        message.set(m_context.names.requestId, m_id);
    if (status == 401)
        message.set(http::bhttp::field::www_authenticate, "Bearer");
    if (status == 429 || status == 503) {
        message.set(http::bhttp::field::retry_after,
            fmt::format("{:.3f}", std::chrono::duration<double>(retryAfter(status)).count()));
    }
    message.body() = reason + "\n";
    message.content_length(message.body().size());
    result.closesConnection = status == 400;
    recordResponse(status, reason);
    return result;
}

milliseconds RequestFlow::retryAfter(unsigned status) const
{
    const auto now = m_context.clock.now();
    auto result = m_ending || isTooLateInStop() ? stopRetryAfter : defaultRetryAfter;
    if (status == 429 && m_admission)
        result = m_admission->retryAfter;
    else if (m_slotRefusal && m_slotRefusal->retryAfter.count() > 0)
        result = m_slotRefusal->retryAfter;
    result = std::max(result, duration_cast<milliseconds>(m_pauseEnd - now));
    if (m_route)
        result = std::min(result, duration_cast<milliseconds>((m_deadline - now) * maxRetryAfterFraction));
    return std::max(minRetryAfter, result);
}

void RequestFlow::recordResponse(unsigned status, const std::string& reason)
{
    const auto took = m_context.clock.now() - m_arrivedAt;
    m_context.metrics.count(
        "buckthorncroft_requests_total", { { "service", m_service }, { "status", std::to_string(status) } });
    m_context.metrics.observeSeconds(
        "buckthorncroft_request_seconds", { { "service", m_service } }, std::chrono::duration<double>(took).count());
    m_context.log.write(observe::Level::Info, "answered",
        { { "request", m_id }, { "service", m_service }, { "route", m_route ? m_route->name : "" },
            { "workspace", m_workspace ? m_workspace->name : "" }, { "key", m_key ? routing::shortText(*m_key) : "" },
            { "routes_version",
                m_snapshot && m_snapshot->routes ? std::to_string(m_snapshot->routes->routeSet().version) : "0" },
            { "status", std::to_string(status) }, { "attempts", std::to_string(m_attemptCount) },
            { "ms", fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(took).count()) },
            { "reason", reason } });
}

// Logs the times that show whether the request was passed on too late in the stop or its target took too long.
void RequestFlow::logBreakOff() const
{
    const auto now = m_context.clock.now();
    const auto toMs = [](auto time) { return std::to_string(duration_cast<milliseconds>(time).count()); };
    std::string targets;
    std::string attemptMs;
    for (const auto& it : m_runningAttempts) {
        const auto* separator = targets.empty() ? "" : ",";
        targets += separator + it.attempt->target().id;
        attemptMs += separator + toMs(it.attempt->latency());
    }
    const auto& schedule = m_context.stopSchedule;
    m_context.log.write(observe::Level::Warning, "request_broken_off",
        { { "request", m_id }, { "stop_ms", schedule ? toMs(now - schedule->startedAt) : "" },
            { "request_ms", toMs(now - m_arrivedAt) }, { "targets", targets }, { "attempt_ms", attemptMs },
            { "waits_for_slot", m_slotRequest ? "yes" : "no" } });
}

void RequestFlow::cancelPending()
{
    if (m_slotRequest)
        m_context.placement.withdraw(*std::exchange(m_slotRequest, std::nullopt));
    for (auto& it : m_runningAttempts) {
        it.attempt->cancel();
        reportAttempt(it);
    }
    m_runningAttempts.clear();
}

void RequestFlow::onLastRequestTime()
{
    wake();
}

void RequestFlow::end()
{
    m_ending = true;
    wake();
}

void RequestFlow::onCallerDisconnected()
{
    m_callerDisconnected = true;
    wake();
}

} // namespace buckthorncroft::gateway
