// The part of RequestExecutor that streams a body to a target.

#include "../http/framing.h"
#include "awaitable_value.h"
#include "decision_log.h"
#include "request_executor.h"

namespace buckthorncroft::daemon {

namespace {

    constexpr std::size_t pieceBytes = std::size_t { 16 } * 1024;

    struct UploadSignals {
        explicit UploadSignals(http::asio::io_context& io)
            : proceed(io)
            , answered(io)
        {
        }
        Gate<bool> proceed; ///< The target asked for the body, or answered instead.
        Gate<bool> answered;
        bool pumping = false;
    };

} // namespace

http::Awaitable<RequestExecutor::MaybeEnding> RequestExecutor::sendUpload()
{
    const auto request = makeOutgoing();
    request->streamed = m_caller.hasBody();
    request->streamedLength = m_caller.contentLength();
    request->awaitContinue = m_caller.expectsContinue() && m_caller.hasBody();
    std::vector<std::size_t> excluded;
    while (true) {
        const auto attempt = co_await uploadOnce(request);
        if (attempt->state() == AttemptState::Answered) {
            co_await relay(*attempt);
            co_return std::nullopt;
        }
        if (m_uploadFault)
            co_return std::exchange(m_uploadFault, std::nullopt);
        if (!placeUploadAgain(*attempt, excluded))
            co_return endingWithoutResponse(attempt.get());
    }
}

// Nothing of the body is kept, so that another target is possible only before the first byte was read.
bool RequestExecutor::placeUploadAgain(const Attempt& last, std::vector<std::size_t>& excluded)
{
    if (m_uploaded != 0 || !m_outcome->mayRunAgain() || last.state() == AttemptState::SendForbidden)
        return false;
    excluded.push_back(last.targetIndex());
    auto placement = m_traffic->placeAgain(m_route->kind, excluded, last.placement().service);
    if (!placement || m_context.clock().now() >= m_deadline || !m_traffic->takeExtraAttempt())
        return false;
    m_placement = std::move(placement);
    return true;
}

http::Awaitable<std::shared_ptr<Attempt>> RequestExecutor::uploadOnce(std::shared_ptr<const OutgoingRequest> request)
{
    auto placement = std::move(*std::exchange(m_placement, std::nullopt));
    logDecision(m_context.log(), m_id, *placement.service, m_route->kind, m_attempts == 0 ? "first" : "retry",
        placement.decision);
    const auto attempt = std::make_shared<Attempt>(m_context, request, std::move(placement), m_outcome, ++m_attempts);
    const bool opened = co_await attempt->open();
    if (!opened)
        co_return attempt;
    const auto signals = std::make_shared<UploadSignals>(m_context.io);
    const auto connection = m_caller.connection().shared_from_this();
    attempt->startReceiving([signals] { signals->proceed.set(true); },
        [signals, connection] {
            signals->proceed.set(true);
            signals->answered.set(true);
            // An answer before the end of the body ends the upload; the caller may wait for it before it goes on.
            http::error_code ec;
            if (signals->pumping)
                connection->socket().cancel(ec);
        });
    const auto& times = m_context.shared.dependencies.times;
    if (request->awaitContinue)
        co_await signals->proceed.wait(m_context.clock().now() + times.awaitContinue);
    signals->pumping = true;
    if (request->streamed)
        m_uploadFault = co_await pumpBody(*attempt);
    signals->pumping = false;
    if (m_uploadFault)
        attempt->abandon(health::Verdict::Cancelled);
    if (attempt->state() == AttemptState::Running)
        co_await signals->answered.wait(base::SteadyTime::max());
    co_return attempt;
}

http::Awaitable<RequestExecutor::MaybeEnding> RequestExecutor::pumpBody(Attempt& attempt)
{
    const auto stall = m_context.shared.dependencies.times.stall;
    std::string piece(pieceBytes, '\0');
    while (!m_caller.isBodyComplete() && attempt.state() == AttemptState::Running) {
        http::error_code ec;
        m_caller.connection().closeAt(m_context.clock().now() + stall);
        attempt.keepOpenUntil(m_context.clock().now() + 2 * stall);
        const auto n = co_await m_caller.readSome(piece.data(), piece.size(), ec);
        m_caller.connection().clearDeadline();
        m_uploaded += n;
        if (attempt.state() != AttemptState::Running)
            co_return std::nullopt;
        if (ec) {
            const auto refusal = http::rejectionForReadError(ec);
            m_callerLost = !refusal || ec == http::bhttp::error::partial_message;
            const char* reason = m_callerLost ? "the caller left during the upload" : "the body is malformed";
            co_return Ending { 400, m_outcome->outcome(), reason };
        }
        if (m_uploaded > m_route->maxBodyBytes)
            co_return Ending { 413, m_outcome->outcome(), "the body is larger than the route allows" };
        attempt.keepOpenUntil(m_context.clock().now() + stall);
        if (n != 0) {
            const bool sent = co_await attempt.call().sendBodyPiece(std::string_view(piece).substr(0, n));
            if (!sent)
                co_return std::nullopt;
        }
    }
    if (attempt.state() != AttemptState::Running)
        co_return std::nullopt;
    co_await attempt.call().sendBodyPiece({});
    attempt.bodySent(m_context.clock().now() + m_route->deadline);
    m_deadline = m_context.clock().now() + m_route->deadline;
    co_return std::nullopt;
}

} // namespace buckthorncroft::daemon
