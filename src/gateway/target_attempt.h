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

/// A request as it goes to targets. Shared by its attempts and immutable.
struct ForwardedRequest {
    http::bhttp::request_header<> head; ///< Without headers of one connection, and without those that attempts set.
    std::string body;
    bool hasBody = false;
    std::string id; ///< As the caller sent it.
    config::RequestKind kind = config::RequestKind::NonIdempotent;
    base::SteadyTime deadline; ///< The target is told the time that is left until then.
    std::uint64_t responseLimit = 64u << 20; ///< Bytes of an answer's body that are accepted.
};

/// How an attempt ended.
enum class AttemptEnd {
    Running,
    Answered, ///< A whole answer that proves to be the target's.
    NotRun, ///< The target stated that it did not run the request, or no byte was sent.
    Failed, ///< The request may have run.
};

/// One attempt of one request at one target. Runs by itself on the traffic thread.
class TargetAttempt : public std::enable_shared_from_this<TargetAttempt> {
public:
    TargetAttempt(http::asio::io_context& io, const base::Clock& clock, ConnectionPool& pool, const HeaderNames& names,
        std::shared_ptr<const ForwardedRequest> request, membership::TargetRecord target);

    /// Runs the attempt and calls `ended` when it has ended, unless it was cancelled.
    void start(std::function<void()> ended);

    /// Closes the connection, by which most targets drop the request.
    void cancel();

    AttemptEnd end() const { return m_end; }
    health::Verdict verdict() const { return m_verdict; }
    const std::string& reason() const { return m_reason; }
    const membership::TargetRecord& target() const { return m_target; }
    base::SteadyTime started() const { return m_started; }
    std::chrono::microseconds latency() const;
    bool sent() const { return m_sent; }
    bool reused() const { return m_reused; }

    /// Head and body of the answer; valid after `Answered`.
    const http::bhttp::response_header<>& head() const { return m_call->head(); }
    std::string& body() { return m_body; }

private:
    http::Awaitable<void> run();
    http::Awaitable<bool> connect();
    http::Awaitable<http::CallResult> exchange();
    http::Awaitable<bool> readRest();
    http::bhttp::request_header<> headToSend() const;
    bool repeatable() const { return m_request->kind == config::RequestKind::Idempotent; }
    void classify(http::CallResult end);
    void classifyResponse();
    void conclude(AttemptEnd end, health::Verdict verdict, std::string reason);
    void keepConnection();

    http::asio::io_context& m_io;
    const base::Clock& m_clock;
    ConnectionPool& m_pool;
    const HeaderNames& m_names;
    std::shared_ptr<const ForwardedRequest> m_request;
    membership::TargetRecord m_target;
    std::shared_ptr<http::Connection> m_connection;
    std::unique_ptr<http::TargetCall> m_call;
    std::string m_body;
    std::function<void()> m_ended;
    AttemptEnd m_end = AttemptEnd::Running;
    health::Verdict m_verdict = health::Verdict::Cancelled;
    std::string m_reason;
    base::SteadyTime m_started;
    base::SteadyTime m_finished;
    bool m_sent = false;
    bool m_reused = false;
    bool m_cancelled = false;
};

} // namespace buckthorncroft::gateway
