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

    // Buffers of one request besides its body: two buffered responses, and the pieces being transferred.
    constexpr std::size_t requestBufferBytes = 2 * http::maxBufferedBodyBytes + std::size_t { 32 } * 1024;
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
    , m_arrivedAt(context.clock().now())
    , m_deadline(m_arrivedAt)
{
}

http::Awaitable<bool> RequestExecutor::run()
{
    auto localResponse = co_await prepare();
    if (m_replayed)
        co_return canKeepAlive();
    if (!localResponse && m_route->kind == config::RequestKind::Upload)
        localResponse = co_await sendUpload();
    else if (!localResponse)
        localResponse = co_await sendBuffered();
    if (localResponse)
        co_await sendLocalResponse(std::move(*localResponse));
    co_return canKeepAlive();
}

bool RequestExecutor::canKeepAlive() const
{
    // After an unread rest of the body, the start of the next request on the connection is unknown.
    return m_caller.requestsKeepAlive() && m_caller.isBodyComplete() && !m_callerConnectionLost && !m_framingInvalid
        && !m_context.shared.stopAnnounced.load(std::memory_order_relaxed);
}

// Checks the request, and acquires its claim and its first placement. Returns a local response if the request must not
// be sent to a target. After a replay, `m_replayed` is set and nothing is left to send.
http::Awaitable<RequestExecutor::MaybeLocalResponse> RequestExecutor::prepare()
{
    if (auto localResponse = checkHead())
        co_return localResponse;
    if (auto localResponse = findService())
        co_return localResponse;
    if (m_route->kind != config::RequestKind::Upload) {
        auto localResponse = co_await readBody();
        if (localResponse || m_callerConnectionLost)
            co_return localResponse;
    }
    if (auto localResponse = rejectEarly())
        co_return localResponse;
    auto localResponse = co_await claim();
    if (!localResponse && !m_replayed)
        localResponse = co_await admit();
    co_return localResponse;
}

RequestExecutor::MaybeLocalResponse RequestExecutor::checkHead()
{
    if (auto rejection = http::checkRequestHead(m_caller.head())) {
        m_framingInvalid = true;
        return LocalResponse { rejection->status, Outcome::NotRun, std::move(rejection->reason) };
    }
    if (hasDotSegments(m_caller.head().target()))
        return LocalResponse { 400, Outcome::NotRun, "the path must not contain . or .. segments" };
    return std::nullopt;
}

// Finds the service and the route, sets the deadline and reserves the memory for the buffers.
RequestExecutor::MaybeLocalResponse RequestExecutor::findService()
{
    const auto& head = m_caller.head();
    m_snapshot = m_context.shared.dependencies.snapshots.read();
    if (!m_snapshot)
        return LocalResponse { 503, Outcome::NotRun, "there is no configuration yet", defaultRetryAfter };
    const auto name = serviceNameOf(head);
    const auto* entry = m_snapshot->find(name);
    if (!entry)
        return LocalResponse { 404, Outcome::NotRun, "no such service" };
    m_service = entry->service;
    m_traffic = m_context.shared.services.find(m_snapshot, name);
    m_route = findRoute(*m_service, head);
    if (!m_route)
        return LocalResponse { 404, Outcome::NotRun, "no route of the service matches" };
    if (m_caller.contentLength().value_or(0) > m_route->maxBodyBytes)
        return LocalResponse { 413, Outcome::NotRun, "the body is larger than the route allows" };
    bool valid = true;
    const auto requestedDeadline = parseCallerDeadline(head, valid);
    if (!valid)
        return LocalResponse { 400, Outcome::NotRun, "Buckthorncroft-Deadline-Ms is not a number" };
    m_deadline = m_arrivedAt + std::min(m_route->deadline, requestedDeadline.value_or(m_route->deadline));
    m_memory.emplace(m_traffic->memory());
    if (!m_memory->tryGrow(requestBufferBytes))
        return LocalResponse { 503, Outcome::NotRun, "the memory budget is used up", defaultRetryAfter };
    return std::nullopt;
}

http::Awaitable<RequestExecutor::MaybeLocalResponse> RequestExecutor::readBody()
{
    const auto declaredLength = m_caller.contentLength();
    if (declaredLength && !m_memory->tryGrow(*declaredLength))
        co_return LocalResponse { 503, Outcome::NotRun, "the memory budget is used up", defaultRetryAfter };
    m_body.reserve(declaredLength.value_or(0));
    std::string piece(pieceBytes, '\0');
    while (!m_caller.isBodyComplete()) {
        http::error_code ec;
        m_caller.connection().closeAt(m_context.clock().now() + m_context.shared.dependencies.timeouts.stall);
        const auto n = co_await m_caller.readSome(piece.data(), piece.size(), ec);
        m_caller.connection().clearDeadline();
        if (ec) {
            if (auto rejection = http::rejectionForReadError(ec);
                rejection && ec != http::bhttp::error::partial_message)
                co_return LocalResponse { 400, Outcome::NotRun, "the body is malformed: " + ec.message() };
            m_callerConnectionLost = true;
            co_return LocalResponse { 400, Outcome::NotRun,
                "the caller's connection was lost before the request was complete" };
        }
        if (m_body.size() + n > m_route->maxBodyBytes)
            co_return LocalResponse { 413, Outcome::NotRun, "the body is larger than the route allows" };
        if (!declaredLength && !m_memory->tryGrow(n))
            co_return LocalResponse { 503, Outcome::NotRun, "the memory budget is used up", defaultRetryAfter };
        m_body.append(piece, 0, n);
    }
    co_return std::nullopt;
}

// A claim costs a write to the platform's table, so requests that cannot succeed are rejected before it.
RequestExecutor::MaybeLocalResponse RequestExecutor::rejectEarly()
{
    if (m_context.clock().now() >= m_deadline)
        return LocalResponse { 503, Outcome::NotRun, "the deadline has passed", m_traffic->retryAfter() };
    if (m_traffic->isQueueFull())
        return LocalResponse { 503, Outcome::NotRun, "too many requests wait", m_traffic->retryAfter() };
    return std::nullopt;
}

http::Awaitable<RequestExecutor::MaybeLocalResponse> RequestExecutor::claim()
{
    const auto& head = m_caller.head();
    const std::string key(head[keyHeader]);
    if (key.empty() && m_route->requireIdempotencyKey)
        co_return LocalResponse { 400, Outcome::NotRun, "the route needs an Idempotency-Key" };
    if (key.empty() || m_route->kind == config::RequestKind::Idempotent)
        co_return std::nullopt;
    if (key.size() > maxKeyBytes || head.count(keyHeader) > 1)
        co_return LocalResponse { 400, Outcome::NotRun, "there must be one Idempotency-Key of at most 200 bytes" };
    if (!m_context.shared.dependencies.claims)
        co_return LocalResponse { 503, Outcome::NotRun, "requests with a key cannot be claimed now",
            defaultRetryAfter };
    const auto digest = config::contentDigest(std::string(head.method_string()) + " " + std::string(head.target()));
    outcome::ClaimRequest request { m_service->name, key, digest };
    const auto result = co_await m_claim.acquire(std::move(request), m_deadline);
    m_sendDeadline = result.sendBefore;
    if (result.status == ClaimStatus::Replay && result.response && result.response->bodyRecorded) {
        co_await replayResponse(*result.response);
        m_replayed = true;
        co_return std::nullopt;
    }
    co_return responseForClaim(result);
}

RequestExecutor::MaybeLocalResponse RequestExecutor::responseForClaim(const outcome::ClaimResult& result)
{
    switch (result.status) {
    case ClaimStatus::Held:
        return std::nullopt;
    case ClaimStatus::Replay: {
        LocalResponse localResponse { 409, Outcome::Completed,
            "completed earlier; its answer was too large to record" };
        localResponse.recordedStatus = result.response ? result.response->status : 0;
        return localResponse;
    }
    case ClaimStatus::InProgress:
        return LocalResponse { 409, Outcome::Unknown, "another request with this key runs or has run" };
    case ClaimStatus::DigestMismatch:
        return LocalResponse { 422, Outcome::NotRun, "the key was used with another request" };
    case ClaimStatus::Unavailable:
        break;
    }
    return LocalResponse { 503, Outcome::NotRun, "requests with a key cannot be claimed now", defaultRetryAfter };
}

http::Awaitable<RequestExecutor::MaybeLocalResponse> RequestExecutor::admit()
{
    const auto waitId = m_context.shared.nextRequest.fetch_add(1);
    const auto awaitedAdmission = std::make_shared<AwaitableValue<Admission>>(m_context.io);
    auto& io = m_context.io;
    m_traffic->admit(
        m_route->kind, m_deadline, m_context.clock().now(), waitId, [&io, awaitedAdmission](Admission admission) {
            http::asio::post(io, [awaitedAdmission, admission = std::move(admission)]() mutable {
                awaitedAdmission->set(std::move(admission));
            });
        });
    auto admission = co_await awaitedAdmission->wait(m_deadline);
    if (!admission)
        m_traffic->cancelWait(waitId);
    if (admission && admission->placement) {
        m_placement = std::move(admission->placement);
        co_return std::nullopt;
    }
    std::string reason = "no slot became free before the deadline";
    if (admission)
        reason = fmt::format("refused early: {}", limits::toString(admission->refusal));
    co_return LocalResponse { 503, Outcome::NotRun, std::move(reason), m_traffic->retryAfter() };
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
    result->sendDeadline = m_sendDeadline;
    return result;
}

http::Awaitable<RequestExecutor::MaybeLocalResponse> RequestExecutor::sendBuffered()
{
    const auto request = makeOutgoing();
    request->body = std::move(m_body);
    AttemptRace race(m_context, m_traffic, request, m_outcome, m_route->hedge);
    const auto winner = co_await race.run(std::move(*std::exchange(m_placement, std::nullopt)));
    m_attempts = race.attempts();
    if (!winner)
        co_return responseForFailedAttempts(race.lastFailed());
    co_await relayResponse(*winner);
    co_return std::nullopt;
}

RequestExecutor::LocalResponse RequestExecutor::responseForFailedAttempts(const Attempt* last)
{
    const std::string verdict = last ? health::toString(last->verdict()) : "no attempt";
    if (m_outcome->outcome() == Outcome::NotRun)
        return { 503, Outcome::NotRun, "not run: " + verdict, m_traffic->retryAfter() };
    const bool deadlinePassed = m_context.clock().now() >= m_deadline || (last && last->hasTimedOut());
    return { deadlinePassed ? 504u : 502u, Outcome::Unknown, "may have run: " + verdict };
}

} // namespace buckthorncroft::daemon
