#pragma once

#include "streamed_body.h"
#include "target_attempt.h"
#include "traffic_context.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthorncroft::gateway {

/// A caller's request with its whole body.
using CallerRequest = http::bhttp::request<http::bhttp::string_body>;

/// The response to a caller.
struct CallerResponse {
    http::bhttp::response<http::bhttp::string_body> message;
    std::unique_ptr<limits::MemoryReservation> memory {}; ///< Covers the body of `message`; null for a short text.
    std::shared_ptr<StreamedBody> stream {}; ///< The rest of a long body, of which `message` holds the buffered part.
    bool closesConnection = false; ///< The connection must be closed after it.
};

/// The slot of an attempt, as it is reported when the attempt ends.
struct AttemptSlot {
    std::string request; ///< Request id as the caller sent it.
    std::string service;
    config::RequestKind kind = config::RequestKind::NonIdempotent;
    std::string point; ///< Instance whose dispatch point granted the slot.
    std::uint64_t grant = 0;
};

/// Retry-After of a stopping instance. Another instance can serve the request at once.
constexpr std::chrono::milliseconds stopRetryAfter { 100 };

/// Whether it is too late in a stop to pass on the request, which has been arriving since `arrivedAt`: its deadline
/// lies beyond the end of the process. Its body may be incomplete.
bool isTooLateInStop(const TrafficContext& context, const CallerRequest& request, base::SteadyTime arrivedAt);

/// Processes one request: finds the route, requests slots, runs attempts and returns the response. Runs on the traffic
/// thread.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
public:
    /// `arrivedAt`: when the first byte of the request was received.
    /// `memory`: the reservation for the request's body.
    RequestFlow(TrafficContext& context, CallerRequest request, base::SteadyTime arrivedAt,
        std::unique_ptr<limits::MemoryReservation> memory);
    ~RequestFlow();
    RequestFlow(const RequestFlow&) = delete;
    RequestFlow& operator=(const RequestFlow&) = delete;

    /// Processes the request and returns its response.
    http::Awaitable<CallerResponse> run();

    /// Called when the caller's connection ended. No further attempts are started, and running attempts of an
    /// idempotent request are cancelled.
    void onCallerDisconnected();

    /// Called at `StopSchedule::lastRequestAt`. Rejects the request if no target has received it and its deadline lies
    /// beyond the end of the process.
    void onLastRequestTime();

    /// Ends the request with its final response, because the process is about to exit.
    void end();

private:
    using MaybeResponse = std::optional<CallerResponse>;

    /// An attempt and the slot that it uses.
    struct RunningAttempt {
        std::shared_ptr<TargetAttempt> attempt;
        AttemptSlot slot;
        base::SteadyTime overdueAt;
        bool overdue = false;
        bool reported = false;
    };

    http::Awaitable<void> waitForRoutes();
    MaybeResponse findRoute();
    MaybeResponse findWorkspace();
    http::Awaitable<MaybeResponse> waitForAdmission();
    bool mayStillUseKey() const;
    void prepareForwardedRequest();
    http::Awaitable<CallerResponse> runAttempts();
    MaybeResponse step();
    void requestSlot();
    void handleSlotResult(const SlotResult& slot);
    void startAttempt(const SlotResult& slot, const membership::TargetRecord& target);
    MaybeResponse handleEndedAttempts();
    MaybeResponse evaluateAttempt(RunningAttempt& ended);
    bool canRetry() const;
    MaybeResponse retryOrFail();
    void reportOverdueAttempts();
    MaybeResponse fail(const std::string& reason);
    CallerResponse relay(TargetAttempt& attempt, std::shared_ptr<StreamedBody> stream = nullptr);
    CallerResponse reject(unsigned status, const std::string& reason);
    std::chrono::milliseconds retryAfter(unsigned status) const;
    bool isTooLateInStop() const;
    bool mayBeRejected() const;
    void reportAttempt(RunningAttempt& it);
    std::shared_ptr<StreamedBody> makeStream(const RunningAttempt& attempt);
    bool mayUse(const membership::DirectoryEntry* target) const;
    void excludePausedTargets(const std::vector<std::string>& candidates, std::vector<std::string>& excluded);
    void cancelPending();
    void wake();
    base::SteadyTime nextWakeAt() const;
    void recordResponse(unsigned status, const std::string& reason);
    void logBreakOff() const;
    bool isIdempotent() const { return m_route->kind == config::RequestKind::Idempotent; }

    TrafficContext& m_context;
    CallerRequest m_request;
    base::SteadyTime m_arrivedAt;
    base::SteadyTime m_deadline; ///< When the response is due.
    base::SteadyTime m_objectiveDeadline; ///< A later response misses the latency objective.
    std::shared_ptr<const GatewaySnapshot> m_snapshot; ///< Taken when the route was looked up; owns `m_route`.
    const routing::HostRoute* m_route = nullptr;
    std::optional<routing::KeyDigest> m_key; ///< Digest of the caller's key, if requests need one.
    const routing::Workspace* m_workspace = nullptr; ///< Null if the request needs no key; owned by `m_snapshot`.
    std::optional<Admission> m_admission; ///< Set once the quota has been checked.
    std::string m_service;
    std::string m_id;
    std::shared_ptr<ForwardedRequest> m_forwardedRequest;
    std::unique_ptr<limits::MemoryReservation> m_memory; ///< Covers the body of the request.
    http::asio::steady_timer m_timer;
    std::vector<RunningAttempt> m_runningAttempts;
    std::vector<std::string> m_excludedTargets; ///< Ids of targets that must not receive the request.
    std::optional<std::uint64_t> m_slotRequest; ///< Token of the pending slot request.
    std::optional<routing::DispatchDecision> m_slotRefusal; ///< Set if the latest slot request was refused.
    base::SteadyTime m_pauseEnd {}; ///< When the first target ends its pause; the epoch if one has none.
    std::shared_ptr<TargetAttempt> m_fallback; ///< Complete response with an error; relayed if no attempt succeeds.
    std::string m_lastAttemptReason; ///< Why the latest ended attempt failed.
    unsigned m_attemptCount = 0; ///< Attempts that were started.
    bool m_mayHaveRun = false; ///< A failed attempt may have run the request.
    bool m_callerDisconnected = false;
    bool m_ending = false; ///< The process is about to exit.
};

} // namespace buckthorncroft::gateway
