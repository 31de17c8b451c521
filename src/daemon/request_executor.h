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

/// Carries one request of a caller from its head to the end of its answer.
class RequestExecutor {
public:
    RequestExecutor(TrafficContext& context, http::CallerExchange& caller);

    /// Returns whether the caller's connection may carry another request.
    http::Awaitable<bool> run();

private:
    /// An answer that this instance gives by itself.
    struct Ending {
        unsigned status = 500;
        outcome::Outcome outcome = outcome::Outcome::NotRun;
        std::string reason;
        std::optional<std::chrono::seconds> retryAfter {};
        unsigned recordedStatus = 0; ///< Status of a completed request whose body was not recorded.
    };
    using MaybeEnding = std::optional<Ending>;

    MaybeEnding findService();
    MaybeEnding checkHead();
    MaybeEnding refuseEarly();
    http::Awaitable<MaybeEnding> prepare();
    http::Awaitable<MaybeEnding> readBody();
    http::Awaitable<MaybeEnding> claim();
    http::Awaitable<MaybeEnding> admit();
    http::Awaitable<MaybeEnding> sendBuffered();
    http::Awaitable<MaybeEnding> sendUpload();
    http::Awaitable<std::shared_ptr<Attempt>> uploadOnce(std::shared_ptr<const OutgoingRequest> request);
    http::Awaitable<MaybeEnding> pumpBody(Attempt& attempt);
    bool placeUploadAgain(const Attempt& last, std::vector<std::size_t>& excluded);
    http::Awaitable<void> relay(Attempt& attempt);
    http::Awaitable<bool> relayBody(Attempt& attempt);
    http::Awaitable<void> replay(const outcome::RecordedResponse& response);
    http::Awaitable<void> respond(Ending ending);
    MaybeEnding endingForClaim(const outcome::ClaimResult& result);
    Ending endingWithoutResponse(const Attempt* last);
    std::shared_ptr<OutgoingRequest> makeOutgoing() const;
    http::bhttp::response_header<> relayedHead(Attempt& attempt) const;
    void settleClaim(Attempt* winner);
    void report(unsigned status, outcome::Outcome outcome, const std::string& reason);
    bool keepAlive() const;

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
    std::string m_target; ///< Id of the target that answered.
    base::SteadyTime m_arrived;
    base::SteadyTime m_deadline;
    base::SteadyTime m_sendBefore = base::SteadyTime::max();
    std::uint64_t m_uploaded = 0; ///< Body bytes read from the caller.
    unsigned m_attempts = 0;
    MaybeEnding m_uploadFault; ///< What was wrong with a streamed body.
    bool m_replayed = false; ///< The recorded answer of an earlier request was sent.
    bool m_framingDoubtful = false; ///< Nobody knows where the next request begins.
    bool m_callerLost = false; ///< The caller left, or an answer could not be completed.
};

} // namespace buckthorncroft::daemon
