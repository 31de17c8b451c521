#pragma once

#include "../http/target_call.h"
#include "connection_pool.h"
#include "header_names.h"

#include <buckthorncroft/health/verdict.h>
#include <buckthorncroft/membership/target_directory.h>
#include <functional>
#include <memory>
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
    std::uint64_t maxResponseBytes = 64u << 20; ///< Maximum size of a response's body, in bytes.
};

/// Progress and result of an attempt.
enum class AttemptState {
    Running,
    Answered, ///< A complete response with the target's signature was received.
    NotRun, ///< The target declared that it did not run the request, or nothing was sent.
    Failed, ///< The request may have run.
};

/// One attempt to send a request to one target. Runs as a coroutine on the traffic thread.
class TargetAttempt : public std::enable_shared_from_this<TargetAttempt> {
public:
    TargetAttempt(http::asio::io_context& io, const base::Clock& clock, ConnectionPool& pool, const HeaderNames& names,
        std::shared_ptr<const ForwardedRequest> request, membership::TargetRecord target);

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

    /// Head and body of the response; valid in state `Answered`.
    const http::bhttp::response_header<>& head() const { return m_call->head(); }
    std::string& body() { return m_body; }

private:
    http::Awaitable<void> run();
    http::Awaitable<bool> connect();
    http::Awaitable<http::CallResult> sendAndReceive();
    http::Awaitable<bool> readRemainingBody();
    http::bhttp::request_header<> makeRequestHead() const;
    bool isIdempotent() const { return m_request->kind == config::RequestKind::Idempotent; }
    void classify(http::CallResult result);
    void classifyResponse();
    void conclude(AttemptState state, health::Verdict verdict, std::string reason);
    void returnConnectionToPool();

    http::asio::io_context& m_io;
    const base::Clock& m_clock;
    ConnectionPool& m_pool;
    const HeaderNames& m_names;
    std::shared_ptr<const ForwardedRequest> m_request;
    membership::TargetRecord m_target;
    std::shared_ptr<http::Connection> m_connection;
    std::unique_ptr<http::TargetCall> m_call;
    std::string m_body;
    std::function<void()> m_onEnded;
    AttemptState m_state = AttemptState::Running;
    health::Verdict m_verdict = health::Verdict::Cancelled;
    std::string m_reason;
    base::SteadyTime m_startedAt;
    base::SteadyTime m_endedAt;
    bool m_sent = false;
    bool m_reused = false;
    bool m_cancelled = false;
};

} // namespace buckthorncroft::gateway
