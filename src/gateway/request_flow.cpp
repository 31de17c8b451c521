#include "request_flow.h"

#include "../http/framing.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace buckthorncroft::gateway {

namespace {

    using health::Verdict;
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;

    // Time between the answer of a gateway and its arrival at the caller, kept free before the caller's deadline.
    constexpr milliseconds responseMargin { 20 };

    // An answer that takes this part of its objective is overdue: another target may be tried, if that is allowed.
    constexpr double overdueShare = 0.75;
    constexpr milliseconds leastOverdue { 400 };

    // A refusal without a word of the dispatch point.
    constexpr milliseconds defaultRetryAfter { 500 };
    constexpr double retryAfterShare = 0.3; ///< Of the caller's remaining time, at most.

    // An instance that has just started knows routes and targets within this time, if the registry answers.
    constexpr milliseconds startPatience { 600 };
    constexpr milliseconds startCheck { 20 };

    // With less time than this left, another attempt cannot succeed.
    constexpr milliseconds leastAttemptTime { 100 };

    std::optional<milliseconds> statedDeadline(const CallerRequest& request, const HeaderNames& names)
    {
        const auto text = request[names.deadline];
        std::int64_t value = 0;
        const auto [place, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || error != std::errc() || place != text.data() + text.size() || value <= 0)
            return std::nullopt;
        return milliseconds(value);
    }

} // namespace

RequestFlow::RequestFlow(TrafficContext& context, CallerRequest request, base::SteadyTime arrived)
    : m_context(context)
    , m_request(std::move(request))
    , m_arrived(arrived)
    , m_id(m_request[context.names.requestId])
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
    co_await awaitRoutes();
    if (auto response = findRoute())
        co_return std::move(*response);
    prepareForward();
    auto response = co_await serve();
    abandonAll();
    co_return response;
}

http::Awaitable<void> RequestFlow::awaitRoutes()
{
    const auto end = m_arrived + startPatience;
    while (!m_callerLeft && !m_context.snapshots.read()->isComplete() && m_context.clock.now() < end) {
        http::error_code ec;
        m_timer.expires_after(startCheck);
        co_await m_timer.async_wait(http::captureError(ec));
    }
}

RequestFlow::MaybeResponse RequestFlow::findRoute()
{
    const auto framing = http::checkRequestHead(m_request.base());
    if (framing)
        return refusal(framing->status, framing->reason);
    if (m_id.empty())
        return refusal(400, "the request has no id");
    m_snapshot = m_context.snapshots.read();
    if (!m_snapshot->isComplete())
        return refusal(503, "there are no routes yet");
    const auto target = m_request.target();
    m_route = m_snapshot->routes->find(
        std::string_view(m_request[http::bhttp::field::host].data(), m_request[http::bhttp::field::host].size()),
        std::string_view(target.data(), target.size()));
    if (!m_route)
        return refusal(404, "no route matches");
    const auto limit
        = std::min(statedDeadline(m_request, m_context.names).value_or(m_route->timeout), m_route->timeout);
    m_deadline = m_arrived + limit - responseMargin;
    m_usefulBy = m_arrived + m_route->latencyObjective;
    m_memory.emplace(m_context.memory);
    if (!m_memory->tryGrow(m_request.body().size()))
        return refusal(503, "the memory budget is used up");
    m_service = routing::chooseService(*m_route, std::uniform_real_distribution<double>(0, 1)(m_context.random));
    return std::nullopt;
}

void RequestFlow::prepareForward()
{
    m_forward = std::make_shared<ForwardedRequest>();
    m_forward->head = m_request.base();
    http::removeHopByHopHeaders(m_forward->head);
    m_forward->head.erase(http::bhttp::field::content_length);
    m_forward->head.erase(http::bhttp::field::expect);
    m_forward->hasBody = m_request.has_content_length() || m_request.chunked();
    m_forward->body = std::move(m_request.body());
    m_forward->id = m_id;
    m_forward->kind = m_route->kind;
    m_forward->deadline = m_deadline;
    m_forward->responseLimit = m_snapshot->routes->routeSet().limits.maxBodyBytes;
}

http::Awaitable<CallerResponse> RequestFlow::serve()
{
    askForSlot();
    while (true) {
        if (auto response = step())
            co_return std::move(*response);
        http::error_code ec;
        m_timer.expires_at(nextTime());
        co_await m_timer.async_wait(http::captureError(ec));
    }
}

void RequestFlow::wake()
{
    m_timer.expires_at(base::SteadyTime::min());
}

base::SteadyTime RequestFlow::nextTime() const
{
    auto result = m_deadline;
    for (const auto& it : m_running) {
        // An attempt that ended while no one waited must not be missed.
        if (it.attempt->end() != AttemptEnd::Running)
            return base::SteadyTime::min();
        if (!it.overdue)
            result = std::min(result, it.overdueAt);
    }
    return result;
}

RequestFlow::MaybeResponse RequestFlow::step()
{
    if (m_callerLeft) {
        const bool abandon = repeatable() || m_running.empty();
        if (abandon)
            return refusal(503, "the caller left");
    }
    if (auto response = collectEnded())
        return response;
    if (m_context.clock.now() >= m_deadline)
        return giveUp("the deadline has passed");
    noteOverdue();
    if (m_running.empty() && !m_question)
        return afterAttempts();
    return std::nullopt;
}

void RequestFlow::askForSlot()
{
    m_refused.reset();
    SlotQuery query;
    query.service = m_service;
    auto& request = query.request;
    request.kind = m_route->kind;
    request.priority = m_route->priority;
    request.attempt = m_attempts;
    request.objectiveDeadline = m_usefulBy;
    request.deadline = m_deadline;
    request.excluded = m_excluded;
    std::vector<std::string> candidates;
    const auto snapshot = m_context.snapshots.read();
    if (const auto it = snapshot->targets->services.find(m_service); it != snapshot->targets->services.end()) {
        for (const auto& [id, entry] : it->second)
            candidates.push_back(id);
    }
    request.connectedTargets = m_context.pool.warm(candidates);
    m_question
        = m_context.placement.requestSlot(std::move(query), [weak = weak_from_this()](const SlotResult& response) {
              if (const auto self = weak.lock())
                  self->takeSlot(response);
          });
}

void RequestFlow::takeSlot(const SlotResult& response)
{
    m_question.reset();
    const auto& decision = response.decision;
    if (!decision.grant) {
        m_refused = decision;
        wake();
        return;
    }
    const auto snapshot = m_context.snapshots.read();
    const auto* entry = snapshot->targets->find(m_service, decision.target);
    const bool usable = entry && !entry->record.draining && !m_callerLeft && m_context.clock.now() < m_deadline;
    if (usable) {
        launch(response, entry->record);
    } else {
        // The point does not know yet that the target leaves.
        m_context.placement.report(
            m_service, response.point, { {}, decision.grant, decision.target, m_route->kind, Verdict::Cancelled });
        m_excluded.push_back(decision.target);
        if (!m_callerLeft && m_context.clock.now() < m_deadline)
            askForSlot();
    }
    wake();
}

void RequestFlow::launch(const SlotResult& response, const membership::TargetRecord& target)
{
    ++m_attempts;
    m_excluded.push_back(target.id);
    m_context.log.write(observe::Level::Info, "placed",
        { { "request", m_id }, { "service", m_service }, { "target", target.id }, { "point", response.point },
            { "attempt", std::to_string(m_attempts) }, { "considered", std::to_string(response.decision.targetCount) },
            { "risk", fmt::format("{:.2f}", response.decision.risk) },
            { "waiting", std::to_string(response.decision.queuedRequests) } });
    Running running;
    running.point = response.point;
    running.grant = response.decision.grant;
    const auto patience = duration_cast<milliseconds>(m_route->latencyObjective * overdueShare);
    running.overdueAt = m_context.clock.now() + std::max(leastOverdue, patience);
    running.attempt = std::make_shared<TargetAttempt>(
        m_context.io, m_context.clock, m_context.pool, m_context.names, m_forward, target);
    running.attempt->start([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->wake();
    });
    m_running.push_back(std::move(running));
}

void RequestFlow::finishAttempt(Running& it)
{
    if (std::exchange(it.reported, true))
        return;
    const auto& attempt = *it.attempt;
    m_context.placement.report(m_service, it.point,
        { {}, it.grant, attempt.target().id, m_route->kind, attempt.verdict(), attempt.latency() });
    m_context.log.write(observe::Level::Info, "attempt_ended",
        { { "request", m_id }, { "target", attempt.target().id }, { "verdict", health::toString(attempt.verdict()) },
            { "ms", fmt::format("{:.1f}", static_cast<double>(attempt.latency().count()) / 1000) },
            { "reused", attempt.reused() ? "yes" : "no" }, { "reason", attempt.reason() } });
}

RequestFlow::MaybeResponse RequestFlow::collectEnded()
{
    for (std::size_t i = 0; i < m_running.size();) {
        if (m_running[i].attempt->end() == AttemptEnd::Running) {
            ++i;
            continue;
        }
        auto ended = std::move(m_running[i]);
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(i));
        finishAttempt(ended);
        if (auto response = judge(ended))
            return response;
    }
    return std::nullopt;
}

// Returns the answer if the attempt decides the request.
RequestFlow::MaybeResponse RequestFlow::judge(Running& ended)
{
    auto& attempt = *ended.attempt;
    m_lastReason = attempt.reason();
    switch (attempt.end()) {
    case AttemptEnd::Answered:
        if (attempt.verdict() == Verdict::Good || !repeatable())
            return relay(attempt);
        m_fallback = ended.attempt;
        break;
    case AttemptEnd::NotRun:
        break;
    default:
        m_mayHaveRun = true;
        break;
    }
    return std::nullopt;
}

bool RequestFlow::mayTryAgain() const
{
    if (m_refused || m_callerLeft || m_attempts >= m_route->maxAttempts)
        return false;
    if (m_deadline - m_context.clock.now() < leastAttemptTime)
        return false;
    return repeatable() || !m_mayHaveRun;
}

RequestFlow::MaybeResponse RequestFlow::afterAttempts()
{
    if (mayTryAgain()) {
        askForSlot();
        return std::nullopt;
    }
    if (m_fallback)
        return relay(*m_fallback);
    return giveUp(m_refused ? routing::toString(m_refused->refusal) : m_lastReason);
}

// An overdue attempt is evidence, and a request that may run again gets a second target.
void RequestFlow::noteOverdue()
{
    const auto now = m_context.clock.now();
    for (auto& it : m_running) {
        if (it.overdue || now < it.overdueAt)
            continue;
        it.overdue = true;
        routing::DispatchOutcome outcome { {}, it.grant, it.attempt->target().id, m_route->kind };
        outcome.overdue = true;
        m_context.placement.report(m_service, it.point, outcome);
        if (repeatable() && !m_question && mayTryAgain())
            askForSlot();
    }
}

RequestFlow::MaybeResponse RequestFlow::giveUp(const std::string& reason)
{
    for (const auto& it : m_running)
        m_mayHaveRun = m_mayHaveRun || it.attempt->sent();
    if (!m_mayHaveRun)
        return refusal(503, reason);
    return refusal(m_context.clock.now() >= m_deadline ? 504 : 502, reason);
}

CallerResponse RequestFlow::relay(TargetAttempt& attempt)
{
    CallerResponse result;
    result.message.base() = attempt.head();
    http::removeHopByHopHeaders(result.message.base());
    const auto status = result.message.result_int();
    const bool bodyless = http::hasNoBody(m_request.method(), status);
    if (!bodyless) {
        result.message.body() = std::move(attempt.body());
        result.message.erase(http::bhttp::field::content_length);
        result.message.content_length(result.message.body().size());
    }
    log(status, attempt.reason());
    return result;
}

CallerResponse RequestFlow::refusal(unsigned status, const std::string& reason)
{
    CallerResponse result;
    auto& message = result.message;
    message.result(status);
    message.set(http::bhttp::field::content_type, "text/plain; charset=utf-8");
    if (!m_id.empty())
        message.set(m_context.names.requestId, m_id);
    if (status == 503) {
        const auto now = m_context.clock.now();
        auto wait = m_refused && m_refused->retryAfter.count() ? m_refused->retryAfter : defaultRetryAfter;
        if (m_route)
            wait = std::min(wait, duration_cast<milliseconds>((m_deadline - now) * retryAfterShare));
        message.set(http::bhttp::field::retry_after,
            fmt::format("{:.3f}", std::chrono::duration<double>(std::max(milliseconds(50), wait)).count()));
    }
    message.body() = reason + "\n";
    message.content_length(message.body().size());
    result.closes = status == 400;
    log(status, reason);
    return result;
}

void RequestFlow::log(unsigned status, const std::string& reason)
{
    const auto took = m_context.clock.now() - m_arrived;
    m_context.metrics.count(
        "buckthorncroft_requests_total", { { "service", m_service }, { "status", std::to_string(status) } });
    m_context.metrics.observeSeconds(
        "buckthorncroft_request_seconds", { { "service", m_service } }, std::chrono::duration<double>(took).count());
    m_context.log.write(observe::Level::Info, "answered",
        { { "request", m_id }, { "service", m_service }, { "route", m_route ? m_route->name : "" },
            { "routes_version",
                m_snapshot && m_snapshot->routes ? std::to_string(m_snapshot->routes->routeSet().version) : "0" },
            { "status", std::to_string(status) }, { "attempts", std::to_string(m_attempts) },
            { "ms", fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(took).count()) },
            { "reason", reason } });
}

void RequestFlow::abandonAll()
{
    if (m_question)
        m_context.placement.withdraw(*std::exchange(m_question, std::nullopt));
    for (auto& it : m_running) {
        it.attempt->cancel();
        finishAttempt(it);
    }
    m_running.clear();
}

void RequestFlow::callerLeft()
{
    m_callerLeft = true;
    wake();
}

} // namespace buckthorncroft::gateway
