#include "target_attempt.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>

namespace buckthorncroft::gateway {

namespace {

    using health::Verdict;
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;

    // Connecting takes two network delays between zones. The timeout leaves no time for a lost packet, which TCP sends
    // again only after 1 s.
    constexpr milliseconds connectTimeout { 400 };

    // Used for targets that don't send their idle timeout in the Keep-Alive header.
    constexpr milliseconds defaultIdleTimeout { 4000 };
    constexpr milliseconds maxIdleTimeout { 600'000 };

    constexpr unsigned misdirectedRequestStatus = 421;

    http::CallRules makeCallRules(const HeaderNames& names, bool isReused)
    {
        http::CallRules result;
        // A reused connection can still deliver a copy of an earlier response. Without an id it could not be told from
        // a rejection of this request.
        result.requireRequestId = isReused;
        result.idHeader = names.requestId;
        result.allowCloseDelimitedResponses = true;
        result.rejectTrailingBytes = false;
        result.maxMismatchedResponses = 2;
        return result;
    }

    milliseconds parseIdleTimeout(const http::bhttp::response_header<>& head)
    {
        const std::string text(head[http::bhttp::field::keep_alive]);
        const auto place = text.find("timeout=");
        if (place == std::string::npos)
            return defaultIdleTimeout;
        unsigned seconds = 0;
        const auto* begin = text.data() + place + std::string_view("timeout=").size();
        const auto [end, error] = std::from_chars(begin, text.data() + text.size(), seconds);
        return error == std::errc() ? std::min<milliseconds>(std::chrono::seconds(seconds), maxIdleTimeout)
                                    : defaultIdleTimeout;
    }

    // Returns the time in a Retry-After header in seconds, at most `TargetPauses::maxPause`, or 0 if there is none. A
    // date is ignored, because the clocks of the target and of this machine may differ.
    milliseconds parseRetryAfter(const http::bhttp::response_header<>& head)
    {
        const auto text = head[http::bhttp::field::retry_after];
        double seconds = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
        if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(seconds) || seconds <= 0)
            return milliseconds(0);
        const std::chrono::duration<double> limit(TargetPauses::maxPause);
        return duration_cast<milliseconds>(std::min(limit, std::chrono::duration<double>(seconds)));
    }

} // namespace

TargetAttempt::TargetAttempt(
    TrafficContext& context, std::shared_ptr<const ForwardedRequest> request, membership::TargetRecord target)
    : m_context(context)
    , m_request(std::move(request))
    , m_target(std::move(target))
    , m_bodyMemory(std::make_unique<limits::MemoryReservation>(context.memory))
    , m_startedAt(context.clock.now())
{
}

std::chrono::microseconds TargetAttempt::latency() const
{
    const auto until = m_state == AttemptState::Running ? m_context.clock.now() : m_endedAt;
    return duration_cast<std::chrono::microseconds>(until - m_startedAt);
}

void TargetAttempt::start(std::function<void()> onEnded)
{
    m_onEnded = std::move(onEnded);
    http::asio::co_spawn(
        m_context.io, [self = shared_from_this()] { return self->run(); }, http::asio::detached);
}

void TargetAttempt::cancel()
{
    m_onEnded = nullptr;
    m_cancelled = true;
    if (m_state == AttemptState::Running)
        conclude(m_sent ? AttemptState::Failed : AttemptState::NotRun, Verdict::Cancelled, "cancelled");
    if (m_connection)
        m_connection->close();
}

http::Awaitable<void> TargetAttempt::run()
{
    const bool connected = co_await connect();
    if (m_cancelled)
        co_return;
    if (!connected) {
        conclude(AttemptState::NotRun, Verdict::ConnectFailed, "no connection");
    } else {
        const auto result = co_await sendAndReceive();
        if (m_cancelled)
            co_return;
        classify(result);
    }
    if (m_onEnded)
        std::exchange(m_onEnded, nullptr)();
}

http::Awaitable<bool> TargetAttempt::connect()
{
    m_connection = m_context.pool.take(m_target.id, m_target.startedAtUnixMs, !isIdempotent());
    if (m_connection) {
        m_reused = true;
        m_call = std::make_unique<http::TargetCall>(m_connection, makeCallRules(m_context.names, true));
        co_return true;
    }
    m_connection = std::make_shared<http::Connection>(m_context.io);
    m_call = std::make_unique<http::TargetCall>(m_connection, makeCallRules(m_context.names, false));
    http::error_code ec;
    const auto address = http::asio::ip::make_address(m_target.host, ec);
    if (ec)
        co_return false;
    m_connection->closeAt(std::min(m_request->deadline, m_context.clock.now() + connectTimeout));
    const bool connected = co_await m_call->connect({ address, m_target.port });
    co_return connected && !m_connection->timedOut();
}

http::bhttp::request_header<> TargetAttempt::makeRequestHead() const
{
    auto head = m_request->head;
    head.version(11);
    head.set(m_context.names.requestId, m_request->id);
    const auto remaining = duration_cast<milliseconds>(m_request->deadline - m_context.clock.now()).count();
    head.set(m_context.names.deadline, std::to_string(std::max<std::int64_t>(1, remaining)));
    head.set(m_context.names.expectedTarget, m_target.id);
    return head;
}

http::Awaitable<http::CallResult> TargetAttempt::sendAndReceive()
{
    m_connection->closeAt(m_request->deadline);
    if (m_context.clock.now() >= m_request->deadline)
        co_return http::CallResult::TimedOut;
    m_sent = true;
    // The response is read even if sending fails: a target that rejects a request early may have responded before it
    // closed the connection.
    co_await m_call->send(makeRequestHead(), m_request->body, m_request->hasBody);
    if (m_cancelled)
        co_return http::CallResult::Cancelled;
    co_return co_await m_call->readResponse(m_request->head.method(), m_request->id);
}

http::Awaitable<std::size_t> TargetAttempt::readBody(char* data, std::size_t size)
{
    if (!m_connection || m_connection->timedOut())
        co_return 0;
    const auto connection = m_connection;
    const auto n = co_await m_call->readSome(data, size);
    m_isBodyOverdue = connection->timedOut();
    co_return n;
}

void TargetAttempt::endBody()
{
    m_endedAt = m_context.clock.now();
    if (m_connection && m_connection->timedOut()) {
        // While the caller takes the previous piece, the delay is not the target's.
        m_verdict = m_isBodyOverdue ? Verdict::TimedOut : Verdict::Cancelled;
        m_reason = "the deadline passed before the end of the answer";
    } else if (!m_cancelled && isBodyComplete()) {
        returnConnectionToPool();
    } else {
        m_verdict = m_cancelled ? Verdict::Cancelled : Verdict::Truncated;
        m_reason = "the answer broke off";
    }
    if (m_connection)
        m_connection->close();
}

void TargetAttempt::classify(http::CallResult result)
{
    switch (result) {
    case http::CallResult::Answered:
        classifyResponse();
        return;
    case http::CallResult::TimedOut:
        conclude(AttemptState::Failed, Verdict::TimedOut, "no answer before the deadline");
        return;
    case http::CallResult::Mismatched:
        conclude(AttemptState::Failed, Verdict::Mismatched, "the answer belongs to another request");
        return;
    default:
        conclude(AttemptState::Failed, Verdict::Truncated, describeFailure());
        return;
    }
}

std::string TargetAttempt::describeFailure() const
{
    if (const auto ec = m_call->formatError())
        return "the answer is not valid HTTP: " + ec.message();
    return m_call->sawResponseBytes() ? "the answer broke off" : "the connection ended without an answer";
}

// Reads what the target announces besides its response to the request.
void TargetAttempt::readNotice()
{
    const auto& head = m_call->head();
    const auto status = head.result_int();
    // This status may come from another target that has the address now.
    if (status == misdirectedRequestStatus)
        return;
    m_notice.isLeaving = head[m_context.names.leaving] == "1";
    if (status == 503)
        m_notice.retryAfter = parseRetryAfter(head);
}

void TargetAttempt::classifyResponse()
{
    readNotice();
    const auto& head = m_call->head();
    const auto status = head.result_int();
    if (!head[m_context.names.notRun].empty() || status == misdirectedRequestStatus) {
        returnConnectionToPool();
        conclude(AttemptState::NotRun, Verdict::Shed, fmt::format("the target refused with {}", status));
        return;
    }
    // A response that was re-encoded in transit does not count as signed.
    const bool isSigned = !head[m_context.names.signature].empty() && head[m_context.names.requestId] == m_request->id
        && head[http::bhttp::field::content_encoding].empty();
    if (!isSigned) {
        const auto verdict = status >= 500 ? Verdict::Error : Verdict::Mismatched;
        conclude(AttemptState::Failed, verdict, fmt::format("answer {} is not signed for this request", status));
        return;
    }
    if (m_call->mayBeCutOff()) {
        conclude(AttemptState::Failed, Verdict::Truncated,
            "the connection failed during the request, before the end of the answer");
        return;
    }
    m_body = m_call->takeBufferedBody();
    if (!m_bodyMemory->tryGrow(m_body.capacity())) {
        conclude(AttemptState::Failed, Verdict::Cancelled, "the memory budget is used up");
        return;
    }
    m_hasMoreBody = !m_call->isComplete();
    if (!m_hasMoreBody)
        returnConnectionToPool();
    conclude(AttemptState::Answered, status >= 500 ? Verdict::Error : Verdict::Good,
        status >= 500 ? fmt::format("the target answered {}", status) : "");
}

void TargetAttempt::returnConnectionToPool()
{
    if (!m_call->isReusable())
        return;
    m_context.pool.put(
        m_target.id, m_target.startedAtUnixMs, m_call->takeConnection(), parseIdleTimeout(m_call->head()));
    m_connection.reset();
}

void TargetAttempt::conclude(AttemptState state, Verdict verdict, std::string reason)
{
    m_state = state;
    m_verdict = verdict;
    m_reason = std::move(reason);
    m_endedAt = m_context.clock.now();
    if (m_connection && m_connection->timedOut() && !m_cancelled)
        m_verdict = m_sent ? Verdict::TimedOut : Verdict::ConnectFailed;
    if (m_connection && !m_hasMoreBody)
        m_connection->close();
}

} // namespace buckthorncroft::gateway
