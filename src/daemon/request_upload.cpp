// The part of RequestExecutor that streams the body of an upload to a target.

#include "../http/framing.h"
#include "awaitable_value.h"
#include "decision_log.h"
#include "request_executor.h"

namespace buckthorncroft::daemon {

namespace {

    constexpr std::size_t pieceBytes = std::size_t { 16 } * 1024;

    struct UploadSignals {
        explicit UploadSignals(http::asio::io_context& io)
            : mayProceed(io)
            , attemptEnded(io)
        {
        }
        AwaitableValue<bool> mayProceed; ///< Set on 100 Continue, or when the attempt has ended.
        AwaitableValue<bool> attemptEnded;
        bool streamingBody = false; ///< The body is being read from the caller.
    };

} // namespace

http::Awaitable<RequestExecutor::MaybeLocalResponse> RequestExecutor::sendUpload()
{
    const auto request = makeOutgoing();
    request->streamed = m_caller.hasBody();
    request->streamedLength = m_caller.contentLength();
    request->awaitContinue = m_caller.expectsContinue() && m_caller.hasBody();
    std::vector<std::size_t> excluded;
    while (true) {
        const auto attempt = co_await attemptUpload(request);
        if (attempt->state() == AttemptState::ResponseReceived) {
            co_await relayResponse(*attempt);
            co_return std::nullopt;
        }
        if (m_uploadError)
            co_return std::exchange(m_uploadError, std::nullopt);
        if (!placeUploadRetry(*attempt, excluded))
            co_return responseForFailedAttempts(attempt.get());
    }
}

// The body is not buffered, so another target can be tried only before its first byte was read.
bool RequestExecutor::placeUploadRetry(const Attempt& last, std::vector<std::size_t>& excluded)
{
    if (m_uploadedBytes != 0 || !m_outcome->mayRunAgain() || last.state() == AttemptState::SendDeadlinePassed)
        return false;
    excluded.push_back(last.targetIndex());
    auto placement = m_traffic->placeExtraAttempt(m_route->kind, excluded, last.placement().service);
    if (!placement || m_context.clock().now() >= m_deadline || !m_traffic->takeExtraAttempt())
        return false;
    m_placement = std::move(placement);
    return true;
}

http::Awaitable<std::shared_ptr<Attempt>> RequestExecutor::attemptUpload(std::shared_ptr<const OutgoingRequest> request)
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
    attempt->startReceiving([signals] { signals->mayProceed.set(true); },
        [signals, connection] {
            signals->mayProceed.set(true);
            signals->attemptEnded.set(true);
            // A response before the end of the body ends the upload. The pending read is cancelled, because the caller
            // may wait for the response before it sends more.
            http::error_code ec;
            if (signals->streamingBody)
                connection->socket().cancel(ec);
        });
    const auto& timeouts = m_context.shared.dependencies.timeouts;
    if (request->awaitContinue)
        co_await signals->mayProceed.wait(m_context.clock().now() + timeouts.awaitContinue);
    signals->streamingBody = true;
    if (request->streamed)
        m_uploadError = co_await streamUpload(*attempt);
    signals->streamingBody = false;
    if (m_uploadError)
        attempt->abandon(health::Verdict::Cancelled);
    if (attempt->state() == AttemptState::Running)
        co_await signals->attemptEnded.wait(base::SteadyTime::max());
    co_return attempt;
}

http::Awaitable<RequestExecutor::MaybeLocalResponse> RequestExecutor::streamUpload(Attempt& attempt)
{
    const auto stall = m_context.shared.dependencies.timeouts.stall;
    std::string piece(pieceBytes, '\0');
    while (!m_caller.isBodyComplete() && attempt.state() == AttemptState::Running) {
        http::error_code ec;
        m_caller.connection().closeAt(m_context.clock().now() + stall);
        // Later than the caller's deadline, so that a stalled caller does not count as a timeout of the target.
        attempt.setDeadline(m_context.clock().now() + 2 * stall);
        const auto n = co_await m_caller.readSome(piece.data(), piece.size(), ec);
        m_caller.connection().clearDeadline();
        m_uploadedBytes += n;
        if (attempt.state() != AttemptState::Running)
            co_return std::nullopt;
        if (ec) {
            const auto rejection = http::rejectionForReadError(ec);
            m_callerConnectionLost = !rejection || ec == http::bhttp::error::partial_message;
            const char* reason = m_callerConnectionLost ? "the caller's connection was lost during the upload"
                                                        : "the body is malformed";
            co_return LocalResponse { 400, m_outcome->outcome(), reason };
        }
        if (m_uploadedBytes > m_route->maxBodyBytes)
            co_return LocalResponse { 413, m_outcome->outcome(), "the body is larger than the route allows" };
        attempt.setDeadline(m_context.clock().now() + stall);
        if (n != 0) {
            const bool sent = co_await attempt.call().sendBodyPiece(std::string_view(piece).substr(0, n));
            if (!sent)
                co_return std::nullopt;
        }
    }
    if (attempt.state() != AttemptState::Running)
        co_return std::nullopt;
    co_await attempt.call().sendBodyPiece({});
    attempt.markBodySent(m_context.clock().now() + m_route->deadline);
    m_deadline = m_context.clock().now() + m_route->deadline;
    co_return std::nullopt;
}

} // namespace buckthorncroft::daemon
