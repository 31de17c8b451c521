#include "attempt.h"

#include <fmt/format.h>

namespace buckthorncroft::daemon {

namespace {

    using health::Verdict;
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    // A connection takes about 1 ms. The bound leaves room for one lost packet, which the system sends again after 1 s.
    constexpr milliseconds connectLimit { 1200 };

    constexpr const char* deadlineHeader = "Buckthorncroft-Deadline-Ms";
    constexpr const char* drainingHeader = "Buckthorncroft-Draining";

    bool isTrue(http::beast::string_view text)
    {
        return http::beast::iequals(text, "true");
    }

} // namespace

Attempt::Attempt(TrafficContext& context, std::shared_ptr<const OutgoingRequest> request, Placement placement,
    std::shared_ptr<outcome::RequestOutcome> outcome, unsigned number)
    : m_context(context)
    , m_request(std::move(request))
    , m_placement(std::move(placement))
    , m_outcome(std::move(outcome))
    , m_outcomeId(m_outcome->startAttempt())
    , m_id(fmt::format("{}-{}", m_request->id, number))
    , m_number(context.shared.nextAttempt.fetch_add(1))
    , m_started(context.clock().now())
    , m_firstByte(m_started)
    , m_responseBy(m_request->deadline)
{
    m_context.attempts.insert(this);
}

Attempt::~Attempt()
{
    abandon(Verdict::Cancelled);
}

void Attempt::start(std::function<void()> done)
{
    m_done = std::move(done);
    http::asio::co_spawn(
        m_context.io, [self = shared_from_this()]() { return self->run(); }, http::asio::detached);
}

http::Awaitable<void> Attempt::run()
{
    const auto self = shared_from_this();
    const bool opened = co_await open();
    if (opened)
        co_await receive();
    if (m_done)
        std::exchange(m_done, nullptr)();
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
    const int descriptor = m_placement.lease->openConnection(reusable);
    m_connection = std::make_shared<http::Connection>(m_context.io);
    m_call = std::make_unique<http::TargetCall>(m_connection);
    if (descriptor >= 0) {
        m_reused = true;
        m_connection->socket().assign(address.is_v6() ? http::tcp::v6() : http::tcp::v4(), descriptor, ec);
        co_return !ec;
    }
    m_connection->closeAt(std::min(m_request->deadline, std::chrono::steady_clock::now() + connectLimit));
    const bool connected = co_await m_call->connect({ address, target.port });
    co_return connected && !m_ended && !m_connection->timedOut();
}

bool Attempt::mayStillSend()
{
    // Read here and nowhere earlier: the process may have been paused since the claim was made.
    const auto now = m_context.clock().now();
    if (m_ended || now >= m_request->deadline || now >= m_request->sendBefore)
        return false;
    m_outcome->recordBytesSent(m_outcomeId);
    m_sent = true;
    m_firstByte = now;
    return true;
}

http::bhttp::request_header<> Attempt::headToSend() const
{
    auto head = m_request->head;
    head.version(11);
    head.set(http::requestIdHeader, m_id);
    const auto left = duration_cast<milliseconds>(m_request->deadline - m_context.clock().now());
    head.set(deadlineHeader, std::to_string(std::max<std::int64_t>(1, left.count())));
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
    auto head = headToSend();
    if (!mayStillSend()) {
        conclude(AttemptState::SendForbidden, Verdict::Cancelled);
        co_return false;
    }
    // A failed send is no end: a target that refuses early has answered before it closed the connection.
    if (m_request->streamed)
        co_await m_call->sendHead(std::move(head));
    else
        co_await m_call->send(std::move(head), m_request->body, m_request->hasBody);
    co_return !m_ended;
}

http::Awaitable<void> Attempt::receive()
{
    const auto end = co_await m_call->readResponse(m_request->head.method(), m_id);
    if (m_ended)
        co_return;
    switch (end) {
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
        // A reused connection that ends without a byte was closed by the target while it was idle.
        conclude(
            AttemptState::Failed, m_reused && !m_call->sawResponseBytes() ? Verdict::Cancelled : Verdict::Truncated);
        break;
    }
}

void Attempt::startReceiving(std::function<void()> onContinue, std::function<void()> done)
{
    m_done = std::move(done);
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
    if (m_done)
        std::exchange(m_done, nullptr)();
}

void Attempt::keepOpenUntil(base::SteadyTime time)
{
    if (!m_ended)
        m_connection->closeAt(time);
}

void Attempt::bodySent(base::SteadyTime responseBy)
{
    if (m_ended)
        return;
    m_bodySent = true;
    m_started = m_firstByte = m_context.clock().now();
    m_responseBy = responseBy;
    m_connection->closeAt(responseBy);
}

void Attempt::classifyResponse()
{
    const auto& head = m_call->head();
    const auto& contract = m_placement.service->notRun;
    if (head.result_int() == contract.status && isTrue(head[contract.header])) {
        m_outcome->recordNotRunRefusal(m_outcomeId);
        // A leaving target refuses by the same contract; the drain must be heard even then.
        conclude(AttemptState::Refused, isTrue(head[drainingHeader]) ? Verdict::Draining : Verdict::Shed);
        return;
    }
    m_state = AttemptState::Answered;
    if (isTrue(head[drainingHeader]))
        m_verdict = Verdict::Draining;
    else
        m_verdict = head.result_int() >= 500 ? Verdict::Error : Verdict::Good;
    if (m_call->isComplete())
        settle(true);
}

void Attempt::settle(bool whole)
{
    if (m_ended)
        return;
    if (!whole) {
        conclude(AttemptState::Failed, m_connection->timedOut() ? Verdict::TimedOut : Verdict::Truncated);
        return;
    }
    m_outcome->recordResponse(m_outcomeId);
    const bool clean = m_verdict == Verdict::Good || m_verdict == Verdict::Error;
    if (m_request->kind == config::RequestKind::Idempotent && clean && m_call->isReusable()) {
        http::error_code ec;
        const int descriptor = m_connection->socket().release(ec);
        if (!ec)
            m_placement.lease->parkConnection(descriptor, m_context.clock().now());
    }
    end();
}

void Attempt::conclude(AttemptState state, Verdict verdict)
{
    if (m_ended)
        return;
    m_state = state;
    m_verdict = verdict;
    end();
}

void Attempt::abandon(Verdict verdict)
{
    m_done = nullptr;
    conclude(AttemptState::Failed, verdict);
}

health::Observation Attempt::observation(base::SteadyTime now) const
{
    health::Observation result;
    result.target = targetIndex();
    result.kind = m_request->kind;
    result.verdict = m_verdict;
    result.latency = duration_cast<microseconds>(now - m_firstByte);
    result.timeToDeadline = duration_cast<microseconds>(m_responseBy - m_started);
    result.at = now;
    return result;
}

void Attempt::reportPending(base::SteadyTime now) const
{
    // While a body moves, the attempt's age depends on the caller.
    if (m_request->streamed && !m_bodySent)
        return;
    m_context.shared.dependencies.observations.push({ m_placement.service, observation(now), m_number, true });
}

void Attempt::end()
{
    m_ended = true;
    m_context.attempts.erase(this);
    const auto now = m_context.clock().now();
    const auto result = observation(now);
    if (m_connection)
        m_connection->close();
    if (m_state == AttemptState::Answered)
        m_placement.lease->finished(result.latency, m_verdict == Verdict::Good);
    m_placement.lease.reset();
    m_context.shared.dependencies.observations.push({ m_placement.service, result, m_number, false });
}

} // namespace buckthorncroft::daemon
