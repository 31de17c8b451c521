#include "request_executor.h"

#include "../http/framing.h"
#include "attempt_race.h"
#include "awaitable_value.h"
#include "decision_log.h"
#include "route_match.h"

#include <algorithm>
#include <buckthorncroft/config/parse.h>
#include <fmt/format.h>

namespace buckthorncroft::daemon {

namespace {

    using outcome::ClaimStatus;
    using outcome::Outcome;

    // Buffers of one request besides its body: two held answers and the pieces on the way.
    constexpr std::size_t bufferBytes = 2 * http::maxBufferedBodyBytes + std::size_t { 32 } * 1024;
    constexpr std::size_t pieceBytes = std::size_t { 16 } * 1024;
    constexpr std::size_t maxKeyBytes = 200;
    constexpr std::chrono::seconds defaultRetryAfter { 1 };

    constexpr const char* keyHeader = "Idempotency-Key";

} // namespace

RequestExecutor::RequestExecutor(TrafficContext& context, http::CallerExchange& caller)
    : m_context(context)
    , m_caller(caller)
    , m_outcome(std::make_shared<outcome::RequestOutcome>())
    , m_claim(context)
    , m_id(fmt::format("{}-{}", context.shared.incarnation, context.shared.nextRequest.fetch_add(1)))
    , m_arrived(context.clock().now())
    , m_deadline(m_arrived)
{
}

http::Awaitable<bool> RequestExecutor::run()
{
    auto ending = co_await prepare();
    if (m_replayed)
        co_return keepAlive();
    if (!ending && m_route->kind == config::RequestKind::Upload)
        ending = co_await sendUpload();
    else if (!ending)
        ending = co_await sendBuffered();
    if (ending)
        co_await respond(std::move(*ending));
    co_return keepAlive();
}

bool RequestExecutor::keepAlive() const
{
    // Without the rest of the body, the next request's place on the connection is unknown.
    return m_caller.requestsKeepAlive() && m_caller.isBodyComplete() && !m_callerLost && !m_framingDoubtful
        && !m_context.shared.stopAnnounced.load(std::memory_order_relaxed);
}

http::Awaitable<RequestExecutor::MaybeEnding> RequestExecutor::prepare()
{
    if (auto ending = checkHead())
        co_return ending;
    if (auto ending = findService())
        co_return ending;
    if (m_route->kind != config::RequestKind::Upload) {
        auto ending = co_await readBody();
        if (ending || m_callerLost)
            co_return ending;
    }
    if (auto ending = refuseEarly())
        co_return ending;
    auto ending = co_await claim();
    if (!ending && !m_replayed)
        ending = co_await admit();
    co_return ending;
}

RequestExecutor::MaybeEnding RequestExecutor::checkHead()
{
    if (auto refusal = http::checkRequestHead(m_caller.head())) {
        m_framingDoubtful = true;
        return Ending { refusal->status, Outcome::NotRun, std::move(refusal->reason) };
    }
    if (hasDotSegments(m_caller.head().target()))
        return Ending { 400, Outcome::NotRun, "the path must not contain . or .. segments" };
    return std::nullopt;
}

RequestExecutor::MaybeEnding RequestExecutor::findService()
{
    const auto& head = m_caller.head();
    m_snapshot = m_context.shared.dependencies.snapshots.read();
    if (!m_snapshot)
        return Ending { 503, Outcome::NotRun, "there is no configuration yet", defaultRetryAfter };
    const auto name = serviceNameOf(head);
    const auto* entry = m_snapshot->find(name);
    if (!entry)
        return Ending { 404, Outcome::NotRun, "no such service" };
    m_service = entry->service;
    m_traffic = m_context.shared.services.find(m_snapshot, name);
    m_route = findRoute(*m_service, head);
    if (!m_route)
        return Ending { 404, Outcome::NotRun, "no route of the service matches" };
    if (m_caller.contentLength().value_or(0) > m_route->maxBodyBytes)
        return Ending { 413, Outcome::NotRun, "the body is larger than the route allows" };
    bool valid = true;
    const auto wanted = callerDeadline(head, valid);
    if (!valid)
        return Ending { 400, Outcome::NotRun, "Buckthorncroft-Deadline-Ms is not a number" };
    m_deadline = m_arrived + std::min(m_route->deadline, wanted.value_or(m_route->deadline));
    m_memory.emplace(m_traffic->memory());
    if (!m_memory->tryGrow(bufferBytes))
        return Ending { 503, Outcome::NotRun, "the memory budget is used up", defaultRetryAfter };
    return std::nullopt;
}

http::Awaitable<RequestExecutor::MaybeEnding> RequestExecutor::readBody()
{
    const auto declared = m_caller.contentLength();
    if (declared && !m_memory->tryGrow(*declared))
        co_return Ending { 503, Outcome::NotRun, "the memory budget is used up", defaultRetryAfter };
    m_body.reserve(declared.value_or(0));
    std::string piece(pieceBytes, '\0');
    while (!m_caller.isBodyComplete()) {
        http::error_code ec;
        m_caller.connection().closeAt(m_context.clock().now() + m_context.shared.dependencies.times.stall);
        const auto n = co_await m_caller.readSome(piece.data(), piece.size(), ec);
        m_caller.connection().clearDeadline();
        if (ec) {
            if (auto refusal = http::rejectionForReadError(ec); refusal && ec != http::bhttp::error::partial_message)
                co_return Ending { 400, Outcome::NotRun, "the body is malformed: " + ec.message() };
            m_callerLost = true;
            co_return Ending { 400, Outcome::NotRun, "the caller left before its request was complete" };
        }
        if (m_body.size() + n > m_route->maxBodyBytes)
            co_return Ending { 413, Outcome::NotRun, "the body is larger than the route allows" };
        if (!declared && !m_memory->tryGrow(n))
            co_return Ending { 503, Outcome::NotRun, "the memory budget is used up", defaultRetryAfter };
        m_body.append(piece, 0, n);
    }
    co_return std::nullopt;
}

// A claim costs a write to the platform's table, so that a request without a chance gets none.
RequestExecutor::MaybeEnding RequestExecutor::refuseEarly()
{
    if (m_context.clock().now() >= m_deadline)
        return Ending { 503, Outcome::NotRun, "the deadline has passed", m_traffic->retryAfter() };
    if (m_traffic->saturated())
        return Ending { 503, Outcome::NotRun, "too many requests wait", m_traffic->retryAfter() };
    return std::nullopt;
}

http::Awaitable<RequestExecutor::MaybeEnding> RequestExecutor::claim()
{
    const auto& head = m_caller.head();
    const std::string key(head[keyHeader]);
    if (key.empty() && m_route->requireIdempotencyKey)
        co_return Ending { 400, Outcome::NotRun, "the route needs an Idempotency-Key" };
    if (key.empty() || m_route->kind == config::RequestKind::Idempotent)
        co_return std::nullopt;
    if (key.size() > maxKeyBytes || head.count(keyHeader) > 1)
        co_return Ending { 400, Outcome::NotRun, "there must be one Idempotency-Key of at most 200 bytes" };
    if (!m_context.shared.dependencies.claims)
        co_return Ending { 503, Outcome::NotRun, "requests with a key cannot be claimed now", defaultRetryAfter };
    const auto digest = config::contentDigest(std::string(head.method_string()) + " " + std::string(head.target()));
    outcome::ClaimRequest request { m_service->name, key, digest };
    const auto result = co_await m_claim.acquire(std::move(request), m_deadline);
    m_sendBefore = result.sendBefore;
    if (result.status == ClaimStatus::Replay && result.response && result.response->bodyRecorded) {
        co_await replay(*result.response);
        m_replayed = true;
        co_return std::nullopt;
    }
    co_return endingForClaim(result);
}

RequestExecutor::MaybeEnding RequestExecutor::endingForClaim(const outcome::ClaimResult& result)
{
    switch (result.status) {
    case ClaimStatus::Held:
        return std::nullopt;
    case ClaimStatus::Replay: {
        Ending ending { 409, Outcome::Completed, "completed earlier; its answer was too large to record" };
        ending.recordedStatus = result.response ? result.response->status : 0;
        return ending;
    }
    case ClaimStatus::InProgress:
        return Ending { 409, Outcome::Unknown, "another request with this key runs or has run" };
    case ClaimStatus::DigestMismatch:
        return Ending { 422, Outcome::NotRun, "the key was used with another request" };
    case ClaimStatus::Unavailable:
        break;
    }
    return Ending { 503, Outcome::NotRun, "requests with a key cannot be claimed now", defaultRetryAfter };
}

http::Awaitable<RequestExecutor::MaybeEnding> RequestExecutor::admit()
{
    const auto number = m_context.shared.nextRequest.fetch_add(1);
    const auto gate = std::make_shared<Gate<Admission>>(m_context.io);
    auto& io = m_context.io;
    m_traffic->admit(m_route->kind, m_deadline, m_context.clock().now(), number, [&io, gate](Admission admission) {
        http::asio::post(io, [gate, admission = std::move(admission)]() mutable { gate->set(std::move(admission)); });
    });
    auto admission = co_await gate->wait(m_deadline);
    if (!admission)
        m_traffic->leave(number);
    if (admission && admission->placement) {
        m_placement = std::move(admission->placement);
        co_return std::nullopt;
    }
    std::string reason = "no slot became free before the deadline";
    if (admission)
        reason = fmt::format("refused early: {}", limits::toString(admission->refusal));
    co_return Ending { 503, Outcome::NotRun, std::move(reason), m_traffic->retryAfter() };
}

std::shared_ptr<OutgoingRequest> RequestExecutor::makeOutgoing() const
{
    auto result = std::make_shared<OutgoingRequest>();
    result->head = m_caller.head();
    http::removeHopByHopHeaders(result->head);
    result->head.erase(http::bhttp::field::content_length);
    result->head.erase(http::bhttp::field::expect);
    result->hasBody = m_caller.hasBody();
    result->id = m_id;
    result->kind = m_route->kind;
    result->deadline = m_deadline;
    result->sendBefore = m_sendBefore;
    return result;
}

http::Awaitable<RequestExecutor::MaybeEnding> RequestExecutor::sendBuffered()
{
    const auto request = makeOutgoing();
    request->body = std::move(m_body);
    AttemptRace race(m_context, m_traffic, request, m_outcome, m_route->hedge);
    const auto winner = co_await race.run(std::move(*std::exchange(m_placement, std::nullopt)));
    m_attempts = race.attempts();
    if (!winner)
        co_return endingWithoutResponse(race.lastFailed());
    co_await relay(*winner);
    co_return std::nullopt;
}

RequestExecutor::Ending RequestExecutor::endingWithoutResponse(const Attempt* last)
{
    const std::string verdict = last ? health::toString(last->verdict()) : "no attempt";
    if (m_outcome->outcome() == Outcome::NotRun)
        return { 503, Outcome::NotRun, "not run: " + verdict, m_traffic->retryAfter() };
    const bool late = m_context.clock().now() >= m_deadline || (last && last->timedOut());
    return { late ? 504u : 502u, Outcome::Unknown, "may have run: " + verdict };
}

} // namespace buckthorncroft::daemon
