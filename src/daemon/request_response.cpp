// The part of RequestExecutor that sends the response to the caller.

#include "../http/framing.h"
#include "request_executor.h"

#include <fmt/format.h>

namespace buckthorncroft::daemon {

namespace {

    using outcome::Outcome;

    constexpr std::size_t pieceBytes = std::size_t { 16 } * 1024;

    // Recording larger bodies would make the claims table grow faster than the platform's limits allow.
    constexpr std::size_t maxRecordedBodyBytes = std::size_t { 16 } * 1024;

    constexpr const char* outcomeHeader = "Buckthorncroft-Outcome";

} // namespace

http::bhttp::response_header<> RequestExecutor::makeRelayedHead(Attempt& attempt) const
{
    auto head = attempt.call().head();
    http::removeHopByHopHeaders(head);
    head.erase("Buckthorncroft-Draining");
    head.set(outcomeHeader, outcome::toString(Outcome::Completed));
    return head;
}

http::Awaitable<void> RequestExecutor::relayResponse(Attempt& attempt)
{
    const auto status = attempt.call().head().result_int();
    m_targetId = attempt.placement().target().id;
    if (attempt.call().isComplete()) {
        resolveClaim(&attempt);
        const bool sent
            = co_await m_caller.sendResponse(makeRelayedHead(attempt), attempt.call().bufferedBody(), canKeepAlive());
        m_callerConnectionLost = m_callerConnectionLost || !sent;
        reportOutcome(status, Outcome::Completed, sent ? "" : "the caller's connection was lost");
        co_return;
    }
    const bool relayed = co_await streamResponseBody(attempt);
    resolveClaim(&attempt);
    reportOutcome(status, m_outcome->outcome(), relayed ? "" : "the response was cut short");
}

http::Awaitable<bool> RequestExecutor::streamResponseBody(Attempt& attempt)
{
    auto& call = attempt.call();
    const auto length = call.contentLength();
    bool sent = co_await m_caller.sendHead(makeRelayedHead(attempt), length, canKeepAlive());
    if (sent)
        sent = co_await m_caller.sendBodyPiece(call.bufferedBody());
    std::string piece(pieceBytes, '\0');
    std::chrono::nanoseconds callerSendTime { 0 }; // Time that the target had to wait for the caller.
    while (sent) {
        const auto n = co_await call.readSome(piece.data(), piece.size());
        if (n == 0)
            break;
        const auto sendStartedAt = m_context.clock().now();
        sent = co_await m_caller.sendBodyPiece(std::string_view(piece).substr(0, n));
        callerSendTime += m_context.clock().now() - sendStartedAt;
    }
    if (!sent || (!call.isComplete() && callerSendTime > m_route->deadline / 2)) {
        // The caller disconnected or was too slow, which is no evidence against the target.
        attempt.abandon(health::Verdict::Cancelled);
        m_callerConnectionLost = true;
        m_caller.connection().reset();
        co_return false;
    }
    const bool responseComplete = call.isComplete();
    attempt.finishResponse(responseComplete);
    if (responseComplete)
        sent = co_await m_caller.sendBodyPiece({});
    m_callerConnectionLost = !responseComplete || !sent || (!length && m_caller.head().version() < 11);
    if (!responseComplete)
        m_caller.connection().reset();
    co_return responseComplete&& sent;
}

// Releases the claim of a request that did not run, and completes that of a request with a complete response. Any other
// claim stays held, because the request may have run.
void RequestExecutor::resolveClaim(Attempt* winner)
{
    if (!m_claim.isHeld())
        return;
    if (m_outcome->outcome() == Outcome::NotRun) {
        m_claim.release();
        return;
    }
    if (!winner || m_outcome->outcome() != Outcome::Completed)
        return;
    auto head = winner->call().head();
    http::removeHopByHopHeaders(head);
    outcome::RecordedResponse response;
    response.status = head.result_int();
    const auto& responseBody = winner->call().bufferedBody();
    response.bodyRecorded = responseBody.size() <= maxRecordedBodyBytes;
    for (const auto& it : head) {
        if (it.name() != http::bhttp::field::content_length)
            response.headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
    }
    if (response.bodyRecorded)
        response.body = responseBody;
    m_claim.complete(response);
}

http::Awaitable<void> RequestExecutor::replayResponse(const outcome::RecordedResponse& recorded)
{
    http::bhttp::response_header<> head;
    head.result(recorded.status);
    for (const auto& [name, value] : recorded.headers)
        head.insert(name, value);
    head.set(outcomeHeader, outcome::toString(Outcome::Completed));
    head.set("Buckthorncroft-Replayed", "true");
    const bool sent = co_await m_caller.sendResponse(std::move(head), recorded.body, canKeepAlive());
    m_callerConnectionLost = m_callerConnectionLost || !sent;
    reportOutcome(recorded.status, Outcome::Completed, "replayed");
}

http::Awaitable<void> RequestExecutor::sendLocalResponse(LocalResponse localResponse)
{
    resolveClaim(nullptr);
    http::bhttp::response_header<> head;
    head.result(localResponse.status);
    head.set(http::bhttp::field::content_type, "text/plain; charset=utf-8");
    head.set(outcomeHeader, outcome::toString(localResponse.outcome));
    if (localResponse.retryAfter)
        head.set(http::bhttp::field::retry_after, std::to_string(localResponse.retryAfter->count()));
    if (localResponse.recordedStatus)
        head.set("Buckthorncroft-Recorded-Status", std::to_string(localResponse.recordedStatus));
    bool sent = false;
    if (!m_callerConnectionLost && !m_caller.responseStarted())
        sent = co_await m_caller.sendResponse(std::move(head), localResponse.reason + "\n", canKeepAlive());
    m_callerConnectionLost = m_callerConnectionLost || !sent;
    reportOutcome(localResponse.status, localResponse.outcome, localResponse.reason);
}

void RequestExecutor::reportOutcome(unsigned status, Outcome outcome, const std::string& reason)
{
    const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(m_context.clock().now() - m_arrivedAt);
    const std::string service = m_service ? m_service->name : "";
    const std::string route = m_route ? m_route->name : "";
    if (m_context.log().isEnabled(observe::Level::Info)) {
        m_context.log().write(observe::Level::Info, "outcome",
            { { "request", m_id }, { "service", service }, { "route", route },
                { "outcome", outcome::toString(outcome) }, { "status", std::to_string(status) },
                { "attempts", std::to_string(m_attempts) }, { "target", m_targetId },
                { "ms", fmt::format("{:.1f}", static_cast<double>(duration.count()) / 1000) }, { "reason", reason } });
    }
    if (m_context.shared.dependencies.finished)
        m_context.shared.dependencies.finished({ service, route, outcome, status, m_attempts, duration });
}

} // namespace buckthorncroft::daemon
