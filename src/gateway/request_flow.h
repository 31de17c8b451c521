#pragma once

#include "target_attempt.h"
#include "traffic_context.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthorncroft::gateway {

/// A caller's request with its whole body.
using CallerRequest = http::bhttp::request<http::bhttp::string_body>;

/// The answer for a caller.
struct CallerResponse {
    http::bhttp::response<http::bhttp::string_body> message;
    bool closes = false; ///< The connection must end after it.
};

/// The way of one request: route, slot, attempts, answer. Runs on the traffic thread.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
public:
    /// `arrived`: when the first byte of the request was there.
    RequestFlow(TrafficContext& context, CallerRequest request, base::SteadyTime arrived);
    ~RequestFlow();
    RequestFlow(const RequestFlow&) = delete;
    RequestFlow& operator=(const RequestFlow&) = delete;

    /// Runs to the final answer.
    http::Awaitable<CallerResponse> run();

    /// The caller left. Nothing more is sent, and a request that may run again is abandoned at its target.
    void callerLeft();

private:
    using MaybeResponse = std::optional<CallerResponse>;

    /// One attempt with the slot that it uses.
    struct Running {
        std::shared_ptr<TargetAttempt> attempt;
        std::string point;
        std::uint64_t grant = 0;
        base::SteadyTime overdueAt;
        bool overdue = false;
        bool reported = false;
    };

    http::Awaitable<void> awaitRoutes();
    MaybeResponse findRoute();
    void prepareForward();
    http::Awaitable<CallerResponse> serve();
    MaybeResponse step();
    void askForSlot();
    void takeSlot(const SlotResult& response);
    void launch(const SlotResult& response, const membership::TargetRecord& target);
    MaybeResponse collectEnded();
    MaybeResponse judge(Running& ended);
    bool mayTryAgain() const;
    MaybeResponse afterAttempts();
    void noteOverdue();
    MaybeResponse giveUp(const std::string& reason);
    CallerResponse relay(TargetAttempt& attempt);
    CallerResponse refusal(unsigned status, const std::string& reason);
    void finishAttempt(Running& it);
    void abandonAll();
    void wake();
    base::SteadyTime nextTime() const;
    void log(unsigned status, const std::string& reason);
    bool repeatable() const { return m_route->kind == config::RequestKind::Idempotent; }

    TrafficContext& m_context;
    CallerRequest m_request;
    base::SteadyTime m_arrived;
    base::SteadyTime m_deadline; ///< The final answer is due.
    base::SteadyTime m_usefulBy;
    std::shared_ptr<const GatewaySnapshot> m_snapshot; ///< As at the arrival; it owns `m_route`.
    const routing::HostRoute* m_route = nullptr;
    std::string m_service;
    std::string m_id;
    std::shared_ptr<ForwardedRequest> m_forward;
    std::optional<limits::MemoryReservation> m_memory;
    http::asio::steady_timer m_timer;
    std::vector<Running> m_running;
    std::vector<std::string> m_excluded;
    std::optional<std::uint64_t> m_question; ///< Token of the question for a slot.
    std::optional<routing::DispatchDecision> m_refused;
    std::shared_ptr<TargetAttempt> m_fallback; ///< A whole answer that states a failure.
    std::string m_lastReason;
    unsigned m_attempts = 0; ///< Targets that the request was sent to.
    bool m_mayHaveRun = false;
    bool m_callerLeft = false;
};

} // namespace buckthorncroft::gateway
