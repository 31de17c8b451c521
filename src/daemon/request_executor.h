#pragma once

#include "../http/caller_exchange.h"
#include "attempt.h"
#include "claim_guard.h"
#include "traffic_context.h"

#include <buckthorncroft/limits/memory_budget.h>
#include <buckthorncroft/outcome/request_outcome.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthorncroft::daemon {

/// Executes one request of a caller, from its head to the end of the response. Belongs to one traffic thread.
class RequestExecutor {
public:
    RequestExecutor(TrafficContext& context, http::CallerExchange& caller);

    /// Returns whether the caller's connection can be used for another request.
    http::Awaitable<bool> run();

private:
    /// A response that this instance generates itself, instead of relaying one from a target.
    struct LocalResponse {
        unsigned status = 500;
        outcome::Outcome outcome = outcome::Outcome::NotRun;
        std::string reason;
        std::optional<std::chrono::seconds> retryAfter {};
        unsigned recordedStatus = 0; ///< Status of the recorded response if its body was not recorded, else 0.
    };
    using MaybeLocalResponse = std::optional<LocalResponse>;

    MaybeLocalResponse findService();
    MaybeLocalResponse checkHead();
    MaybeLocalResponse rejectEarly();
    http::Awaitable<MaybeLocalResponse> prepare();
    http::Awaitable<MaybeLocalResponse> readBody();
    http::Awaitable<MaybeLocalResponse> claim();
    http::Awaitable<MaybeLocalResponse> admit();
    http::Awaitable<MaybeLocalResponse> sendBuffered();
    http::Awaitable<MaybeLocalResponse> sendUpload();
    http::Awaitable<std::shared_ptr<Attempt>> attemptUpload(std::shared_ptr<const OutgoingRequest> request);
    http::Awaitable<MaybeLocalResponse> streamUpload(Attempt& attempt);
    bool placeUploadRetry(const Attempt& last, std::vector<std::size_t>& excluded);
    http::Awaitable<void> relayResponse(Attempt& attempt);
    http::Awaitable<bool> streamResponseBody(Attempt& attempt);
    http::Awaitable<void> replayResponse(const outcome::RecordedResponse& response);
    http::Awaitable<void> sendLocalResponse(LocalResponse localResponse);
    MaybeLocalResponse responseForClaim(const outcome::ClaimResult& result);
    LocalResponse responseForFailedAttempts(const Attempt* last);
    std::shared_ptr<OutgoingRequest> makeOutgoing() const;
    http::bhttp::response_header<> makeRelayedHead(Attempt& attempt) const;
    void resolveClaim(Attempt* winner);
    void reportOutcome(unsigned status, outcome::Outcome outcome, const std::string& reason);
    bool canKeepAlive() const;

    TrafficContext& m_context;
    http::CallerExchange& m_caller;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::shared_ptr<ServiceTraffic> m_traffic;
    std::shared_ptr<const config::Service> m_service;
    const config::Route* m_route = nullptr;
    std::optional<limits::MemoryReservation> m_memory;
    std::shared_ptr<outcome::RequestOutcome> m_outcome;
    ClaimGuard m_claim;
    std::optional<Placement> m_placement;
    std::string m_id;
    std::string m_body;
    std::string m_targetId; ///< Id of the target whose response is relayed.
    base::SteadyTime m_arrivedAt;
    base::SteadyTime m_deadline;
    base::SteadyTime m_sendDeadline = base::SteadyTime::max();
    std::uint64_t m_uploadedBytes = 0; ///< Bytes of a streamed body read from the caller.
    unsigned m_attempts = 0;
    MaybeLocalResponse m_uploadError; ///< Response to an error while an upload's body was streamed.
    bool m_replayed = false; ///< The recorded response of an earlier request was sent.
    bool m_framingInvalid = false; ///< The start of the next request on the connection cannot be determined.
    /// The caller's connection broke, a response on it was left incomplete, or a response ends only when it is closed.
    bool m_callerConnectionLost = false;
};

} // namespace buckthorncroft::daemon
