#pragma once

#include "../http/target_call.h"
#include "traffic_context.h"

#include <buckthorncroft/health/verdict.h>
#include <buckthorncroft/membership/target_directory.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace buckthorncroft::gateway {

/// A request as it is sent to targets. Shared by all attempts and immutable.
struct ForwardedRequest {
    http::bhttp::request_header<> head; ///< Without hop-by-hop headers, and without those that attempts set.
    std::string body;
    bool hasBody = false;
    std::string id; ///< Request id as the caller sent it.
    config::RequestKind kind = config::RequestKind::NonIdempotent;
    base::SteadyTime deadline; ///< The remaining time is sent to the target.
};

/// Progress and result of an attempt.
enum class AttemptState {
    Running,
    Answered, ///< A response with the target's signature was received, completely or up to `maxBufferedBodyBytes`.
    NotRun, ///< The target declared that it did not run the request, or nothing was sent.
    Failed, ///< The request may have run.
};

/// What a target announced about itself in the head of a response.
struct TargetNotice {
    bool isLeaving = false;
    std::chrono::milliseconds retryAfter { 0 }; ///< It refuses requests of this instance for this time.
};

/// One attempt to send a request to one target. Runs as a coroutine on the traffic thread. A long response is buffered
/// up to `maxBufferedBodyBytes`; the rest is read by `readBody`, at the pace of the caller.
class TargetAttempt : public std::enable_shared_from_this<TargetAttempt> {
public:
    TargetAttempt(
        TrafficContext& context, std::shared_ptr<const ForwardedRequest> request, membership::TargetRecord target);

    /// Starts the attempt. `onEnded` is called when it has ended, unless it was cancelled.
    void start(std::function<void()> onEnded);

    /// Closes the connection. Most targets then stop processing the request.
    void cancel();

    AttemptState state() const { return m_state; }
    health::Verdict verdict() const { return m_verdict; }
    const std::string& reason() const { return m_reason; }
    const membership::TargetRecord& target() const { return m_target; }
    base::SteadyTime startedAt() const { return m_startedAt; }
    /// Time from the start to the end of the attempt, or until now while it runs.
    std::chrono::microseconds latency() const;
    /// Whether sending has begun, so that the request may have run.
    bool sent() const { return m_sent; }
    /// Whether the connection came from the pool.
    bool reused() const { return m_reused; }

    const TargetNotice& notice() const { return m_notice; }

    /// Head of the response; valid in state `Answered`.
    const http::bhttp::response_header<>& head() const { return m_call->head(); }
    /// The buffered part of the body; valid in state `Answered`.
    std::string& body() { return m_body; }
    /// Passes on the reservation that covers the buffered part of the body.
    std::unique_ptr<limits::MemoryReservation> takeBodyMemory() { return std::move(m_bodyMemory); }
    /// Whether the body continues after the buffered part; valid in state `Answered`.
    bool hasMoreBody() const { return m_hasMoreBody; }
    /// Length of the whole body if the target declared it.
    std::optional<std::uint64_t> bodyLength() const { return m_call->contentLength(); }

    /// Reads the next piece of the body after the buffered part. Returns 0 at the end or if the body broke off, which
    /// `isBodyComplete` distinguishes. The connection closes at the deadline of the request.
    http::Awaitable<std::size_t> readBody(char* data, std::size_t size);
    base::SteadyTime deadline() const { return m_request->deadline; }
    bool isBodyComplete() const { return m_call && m_call->isComplete(); }

    /// Ends an attempt whose body was read by `readBody`: returns the connection to the pool if the body is complete,
    /// and closes it otherwise.
    void endBody();

private:
    http::Awaitable<void> run();
    http::Awaitable<bool> connect();
    http::Awaitable<http::CallResult> sendAndReceive();
    http::bhttp::request_header<> makeRequestHead() const;
    bool isIdempotent() const { return m_request->kind == config::RequestKind::Idempotent; }
    void classify(http::CallResult result);
    std::string describeFailure() const;
    void classifyResponse();
    void conclude(AttemptState state, health::Verdict verdict, std::string reason);
    void readNotice();
    void returnConnectionToPool();

    TrafficContext& m_context;
    std::shared_ptr<const ForwardedRequest> m_request;
    membership::TargetRecord m_target;
    std::shared_ptr<http::Connection> m_connection;
    std::unique_ptr<http::TargetCall> m_call;
    std::string m_body;
    std::unique_ptr<limits::MemoryReservation> m_bodyMemory; ///< Covers `m_body`.
    TargetNotice m_notice;
    std::function<void()> m_onEnded;
    AttemptState m_state = AttemptState::Running;
    health::Verdict m_verdict = health::Verdict::Cancelled;
    std::string m_reason;
    base::SteadyTime m_startedAt;
    base::SteadyTime m_endedAt;
    bool m_isBodyOverdue = false; ///< The deadline passed while a piece of the body was being read.
    bool m_hasMoreBody = false;
    bool m_sent = false;
    bool m_reused = false;
    bool m_cancelled = false;
};

} // namespace buckthorncroft::gateway
