#include "attempt.h"

#include <fmt/format.h>

namespace buckthorncroft::daemon {

namespace {

    using health::Verdict;
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    // Connecting takes about 1 ms. The timeout allows for one lost packet, which the kernel retransmits after 1 s.
    constexpr milliseconds connectTimeout { 1200 };

    constexpr const char* deadlineHeader = "Buckthorncroft-Deadline-Ms";
    constexpr const char* drainingHeader = "Buckthorncroft-Draining";

    bool isTrue(http::beast::string_view text)
    {
        return http::beast::iequals(text, "true");
    }

} // namespace

Attempt::Attempt(TrafficContext& context, std::shared_ptr<const OutgoingRequest> request, Placement placement,
    std::shared_ptr<outcome::RequestOutcome> outcome, unsigned ordinal)
    : m_context(context)
    , m_request(std::move(request))
    , m_placement(std::move(placement))
    , m_outcome(std::move(outcome))
    , m_outcomeId(m_outcome->startAttempt())
    , m_id(fmt::format("{}-{}", m_request->id, ordinal))
    , m_attemptNumber(context.shared.nextAttempt.fetch_add(1))
    , m_startedAt(context.clock().now())
    , m_firstByteSentAt(m_startedAt)
    , m_responseDeadline(m_request->deadline)
{
    m_context.attempts.insert(this);
}

Attempt::~Attempt()
{
    abandon(Verdict::Cancelled);
}

void Attempt::start(std::function<void()> onFinished)
{
    m_onFinished = std::move(onFinished);
    http::asio::co_spawn(
        m_context.io, [self = shared_from_this()]() { return self->run(); }, http::asio::detached);
}

http::Awaitable<void> Attempt::run()
{
    const auto self = shared_from_this();
    const bool opened = co_await open();
    if (opened)
        co_await receive();
    if (m_onFinished)
        std::exchange(m_onFinished, nullptr)();
}

http::Awaitable<bool> Attempt::open()
{
    const bool connected = co_await connect();
    if (!connected) {
        conclude(AttemptState::ConnectFailed, Verdict::ConnectFailed);
        co_return false;
    }
    co_return co_await sendRequest();
}

http::Awaitable<bool> Attempt::connect()
{
    if (m_ended)
        co_return false;
    const auto& target = m_placement.target();
    http::error_code ec;
    const auto address = http::asio::ip::make_address(target.host, ec);
    if (ec)
        co_return false;
    const bool reusable = m_request->kind == config::RequestKind::Idempotent;
    const int descriptor = m_placement.lease->acquireConnection(reusable);
    m_connection = std::make_shared<http::Connection>(m_context.io);
    m_call = std::make_unique<http::TargetCall>(m_connection);
    if (descriptor >= 0) {
        m_connectionReused = true;
        m_connection->socket().assign(address.is_v6() ? http::tcp::v6() : http::tcp::v4(), descriptor, ec);
        co_return !ec;
    }
    m_connection->closeAt(std::min(m_request->deadline, std::chrono::steady_clock::now() + connectTimeout));
    const bool connected = co_await m_call->connect({ address, target.port });
    co_return connected && !m_ended && !m_connection->timedOut();
}

bool Attempt::tryBeginSend()
{
    // The clock is read immediately before sending, because the process may have been paused since it got the claim.
    const auto now = m_context.clock().now();
    if (m_ended || now >= m_request->deadline || now >= m_request->sendDeadline)
        return false;
    m_outcome->recordBytesSent(m_outcomeId);
    m_sent = true;
    m_firstByteSentAt = now;
    return true;
}

http::bhttp::request_header<> Attempt::makeRequestHead() const
{
    auto head = m_request->head;
    head.version(11);
    head.set(http::requestIdHeader, m_id);
    const auto remaining = duration_cast<milliseconds>(m_request->deadline - m_context.clock().now());
    head.set(deadlineHeader, std::to_string(std::max<std::int64_t>(1, remaining.count())));
    if (m_request->kind != config::RequestKind::Idempotent)
        head.set(http::bhttp::field::connection, "close");
    if (m_request->awaitContinue)
        head.set(http::bhttp::field::expect, "100-continue");
    if (m_request->streamed && m_request->streamedLength)
        head.set(http::bhttp::field::content_length, std::to_string(*m_request->streamedLength));
    else if (m_request->streamed)
        head.set(http::bhttp::field::transfer_encoding, "chunked");
    return head;
}

http::Awaitable<bool> Attempt::sendRequest()
{
    m_connection->closeAt(m_request->deadline);
    auto head = makeRequestHead();
    if (!tryBeginSend()) {
        conclude(AttemptState::SendDeadlinePassed, Verdict::Cancelled);
        co_return false;
    }
    // A failed send does not end the attempt: a target that refuses early may have responded before it closed the
    // connection.
    if (m_request->streamed)
        co_await m_call->sendHead(std::move(head));
    else
        co_await m_call->send(std::move(head), m_request->body, m_request->hasBody);
    co_return !m_ended;
}

http::Awaitable<void> Attempt::receive()
{
    const auto callResult = co_await m_call->readResponse(m_request->head.method(), m_id);
    if (m_ended)
        co_return;
    switch (callResult) {
    case http::CallResult::Answered:
        classifyResponse();
        break;
    case http::CallResult::TimedOut:
        conclude(AttemptState::Failed, Verdict::TimedOut);
        break;
    case http::CallResult::Mismatched:
        conclude(AttemptState::Failed, Verdict::Mismatched);
        break;
    default:
        // A reused connection that ends without a byte of a response was closed by the target while it was idle, which
        // is no evidence against the target.
        conclude(AttemptState::Failed,
            m_connectionReused && !m_call->sawResponseBytes() ? Verdict::Cancelled : Verdict::Truncated);
        break;
    }
}

void Attempt::startReceiving(std::function<void()> onContinue, std::function<void()> onFinished)
{
    m_onFinished = std::move(onFinished);
    http::asio::co_spawn(
        m_context.io,
        [self = shared_from_this(), onContinue = std::move(onContinue)]() mutable {
            return self->receiveStreamed(std::move(onContinue));
        },
        http::asio::detached);
}

http::Awaitable<void> Attempt::receiveStreamed(std::function<void()> onContinue)
{
    const auto self = shared_from_this();
    if (m_request->awaitContinue) {
        const bool continued = co_await m_call->awaitContinue(m_request->head.method());
        if (continued && !m_ended)
            onContinue();
    }
    co_await receive();
    if (m_onFinished)
        std::exchange(m_onFinished, nullptr)();
}

void Attempt::setDeadline(base::SteadyTime time)
{
    if (!m_ended)
        m_connection->closeAt(time);
}

void Attempt::markBodySent(base::SteadyTime responseDeadline)
{
    if (m_ended)
        return;
    m_bodySent = true;
    m_startedAt = m_firstByteSentAt = m_context.clock().now();
    m_responseDeadline = responseDeadline;
    m_connection->closeAt(responseDeadline);
}

void Attempt::classifyResponse()
{
    const auto& head = m_call->head();
    const auto& contract = m_placement.service->notRun;
    if (head.result_int() == contract.status && isTrue(head[contract.header])) {
        m_outcome->recordNotRunRefusal(m_outcomeId);
        // A draining target also refuses by the not-run contract, so its draining header is checked here too.
        conclude(AttemptState::Refused, isTrue(head[drainingHeader]) ? Verdict::Draining : Verdict::Shed);
        return;
    }
    m_state = AttemptState::ResponseReceived;
    if (isTrue(head[drainingHeader]))
        m_verdict = Verdict::Draining;
    else
        m_verdict = head.result_int() >= 500 ? Verdict::Error : Verdict::Good;
    if (m_call->isComplete())
        finishResponse(true);
}

void Attempt::finishResponse(bool responseComplete)
{
    if (m_ended)
        return;
    if (!responseComplete) {
        conclude(AttemptState::Failed, m_connection->timedOut() ? Verdict::TimedOut : Verdict::Truncated);
        return;
    }
    m_outcome->recordResponse(m_outcomeId);
    const bool clean = m_verdict == Verdict::Good || m_verdict == Verdict::Error;
    if (m_request->kind == config::RequestKind::Idempotent && clean && m_call->isReusable()) {
        http::error_code ec;
        const int descriptor = m_connection->socket().release(ec);
        if (!ec)
            m_placement.lease->returnIdleConnection(descriptor, m_context.clock().now());
    }
    releaseAndReport();
}

void Attempt::conclude(AttemptState state, Verdict verdict)
{
    if (m_ended)
        return;
    m_state = state;
    m_verdict = verdict;
    releaseAndReport();
}

void Attempt::abandon(Verdict verdict)
{
    m_onFinished = nullptr;
    conclude(AttemptState::Failed, verdict);
}

health::Observation Attempt::observation(base::SteadyTime now) const
{
    health::Observation result;
    result.target = targetIndex();
    result.kind = m_request->kind;
    result.verdict = m_verdict;
    result.latency = duration_cast<microseconds>(now - m_firstByteSentAt);
    result.timeToDeadline = duration_cast<microseconds>(m_responseDeadline - m_startedAt);
    result.at = now;
    return result;
}

void Attempt::reportPending(base::SteadyTime now) const
{
    // While the body is being sent, the attempt's age depends on the caller's speed.
    if (m_request->streamed && !m_bodySent)
        return;
    m_context.shared.dependencies.observations.push({ m_placement.service, observation(now), m_attemptNumber, true });
}

void Attempt::releaseAndReport()
{
    m_ended = true;
    m_context.attempts.erase(this);
    const auto now = m_context.clock().now();
    const auto result = observation(now);
    if (m_connection)
        m_connection->close();
    if (m_state == AttemptState::ResponseReceived)
        m_placement.lease->recordFinishedCall(result.latency, m_verdict == Verdict::Good);
    m_placement.lease.reset();
    m_context.shared.dependencies.observations.push({ m_placement.service, result, m_attemptNumber, false });
}

} // namespace buckthorncroft::daemon
