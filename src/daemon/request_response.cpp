// The part of RequestExecutor that answers the caller.

#include "../http/framing.h"
#include "request_executor.h"

#include <fmt/format.h>

namespace buckthorncroft::daemon {

namespace {

    using outcome::Outcome;

    constexpr std::size_t pieceBytes = std::size_t { 16 } * 1024;

    // Larger answers would make the claims table grow faster than the platform's limits allow.
    constexpr std::size_t recordLimit = std::size_t { 16 } * 1024;

    constexpr const char* outcomeHeader = "Buckthorncroft-Outcome";

} // namespace

http::bhttp::response_header<> RequestExecutor::relayedHead(Attempt& attempt) const
{
    auto head = attempt.call().head();
    http::removeHopByHopHeaders(head);
    head.erase("Buckthorncroft-Draining");
    head.set(outcomeHeader, outcome::toString(Outcome::Completed));
    return head;
}

http::Awaitable<void> RequestExecutor::relay(Attempt& attempt)
{
    const auto status = attempt.call().head().result_int();
    m_target = attempt.placement().target().id;
    if (attempt.call().isComplete()) {
        settleClaim(&attempt);
        const bool sent
            = co_await m_caller.sendResponse(relayedHead(attempt), attempt.call().bufferedBody(), keepAlive());
        m_callerLost = m_callerLost || !sent;
        report(status, Outcome::Completed, sent ? "" : "the caller left");
        co_return;
    }
    const bool passed = co_await relayBody(attempt);
    settleClaim(&attempt);
    report(status, m_outcome->outcome(), passed ? "" : "the answer was cut");
}

http::Awaitable<bool> RequestExecutor::relayBody(Attempt& attempt)
{
    auto& call = attempt.call();
    const auto length = call.contentLength();
    bool sent = co_await m_caller.sendHead(relayedHead(attempt), length, keepAlive());
    if (sent)
        sent = co_await m_caller.sendBodyPiece(call.bufferedBody());
    std::string piece(pieceBytes, '\0');
    std::chrono::nanoseconds heldBack { 0 }; // Time in which the target had to wait for the caller.
    while (sent) {
        const auto n = co_await call.readSome(piece.data(), piece.size());
        if (n == 0)
            break;
        const auto before = m_context.clock().now();
        sent = co_await m_caller.sendBodyPiece(std::string_view(piece).substr(0, n));
        heldBack += m_context.clock().now() - before;
    }
    if (!sent || (!call.isComplete() && heldBack > m_route->deadline / 2)) {
        // The caller left or was slow; this says nothing about the target.
        attempt.abandon(health::Verdict::Cancelled);
        m_callerLost = true;
        m_caller.connection().reset();
        co_return false;
    }
    const bool whole = call.isComplete();
    attempt.settle(whole);
    if (whole)
        sent = co_await m_caller.sendBodyPiece({});
    m_callerLost = !whole || !sent || (!length && m_caller.head().version() < 11);
    if (!whole)
        m_caller.connection().reset();
    co_return whole&& sent;
}

void RequestExecutor::settleClaim(Attempt* winner)
{
    if (!m_claim.held())
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
    const auto& held = winner->call().bufferedBody();
    response.bodyRecorded = held.size() <= recordLimit;
    for (const auto& it : head) {
        if (it.name() != http::bhttp::field::content_length)
            response.headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
    }
    if (response.bodyRecorded)
        response.body = held;
    m_claim.complete(response);
}

http::Awaitable<void> RequestExecutor::replay(const outcome::RecordedResponse& recorded)
{
    http::bhttp::response_header<> head;
    head.result(recorded.status);
    for (const auto& [name, value] : recorded.headers)
        head.insert(name, value);
    head.set(outcomeHeader, outcome::toString(Outcome::Completed));
    head.set("Buckthorncroft-Replayed", "true");
    const bool sent = co_await m_caller.sendResponse(std::move(head), recorded.body, keepAlive());
    m_callerLost = m_callerLost || !sent;
    report(recorded.status, Outcome::Completed, "replayed");
}

http::Awaitable<void> RequestExecutor::respond(Ending ending)
{
    settleClaim(nullptr);
    http::bhttp::response_header<> head;
    head.result(ending.status);
    head.set(http::bhttp::field::content_type, "text/plain; charset=utf-8");
    head.set(outcomeHeader, outcome::toString(ending.outcome));
    if (ending.retryAfter)
        head.set(http::bhttp::field::retry_after, std::to_string(ending.retryAfter->count()));
    if (ending.recordedStatus)
        head.set("Buckthorncroft-Recorded-Status", std::to_string(ending.recordedStatus));
    bool sent = false;
    if (!m_callerLost && !m_caller.responseStarted())
        sent = co_await m_caller.sendResponse(std::move(head), ending.reason + "\n", keepAlive());
    m_callerLost = m_callerLost || !sent;
    report(ending.status, ending.outcome, ending.reason);
}

void RequestExecutor::report(unsigned status, Outcome outcome, const std::string& reason)
{
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(m_context.clock().now() - m_arrived);
    const std::string service = m_service ? m_service->name : "";
    const std::string route = m_route ? m_route->name : "";
    if (m_context.log().isEnabled(observe::Level::Info)) {
        m_context.log().write(observe::Level::Info, "outcome",
            { { "request", m_id }, { "service", service }, { "route", route },
                { "outcome", outcome::toString(outcome) }, { "status", std::to_string(status) },
                { "attempts", std::to_string(m_attempts) }, { "target", m_target },
                { "ms", fmt::format("{:.1f}", static_cast<double>(took.count()) / 1000) }, { "reason", reason } });
    }
    if (m_context.shared.dependencies.finished)
        m_context.shared.dependencies.finished({ service, route, outcome, status, m_attempts, took });
}

} // namespace buckthorncroft::daemon
