#pragma once

#include "attempt.h"
#include "awaitable_value.h"

#include <memory>
#include <vector>

namespace buckthorncroft::daemon {

/// Runs the attempts of one buffered request: the first one, retries after failures and at most one hedge, within the
/// retry budget and the deadline. The first acceptable response wins; all other attempts are abandoned.
class AttemptRace {
public:
    AttemptRace(TrafficContext& context, std::shared_ptr<ServiceTraffic> traffic,
        std::shared_ptr<const OutgoingRequest> request, std::shared_ptr<outcome::RequestOutcome> outcome,
        bool hedgeAllowed);

    /// Returns the attempt whose response is relayed to the caller, or null if there is none.
    http::Awaitable<std::shared_ptr<Attempt>> run(Placement first);

    unsigned attempts() const { return m_attemptCount; }

    /// The last attempt that ended without a response, or null. It gives the reason in the error response to the
    /// caller.
    const Attempt* lastFailed() const { return m_lastFailed.get(); }

private:
    void launch(Placement placement, const char* reason);
    void launchFirst(Placement first);
    std::shared_ptr<Attempt> takeWinner();
    bool retry();
    void hedge();
    bool canRetry() const;
    void abandonAll();
    base::SteadyTime nextWakeAt() const;

    TrafficContext& m_context;
    std::shared_ptr<ServiceTraffic> m_traffic;
    std::shared_ptr<const OutgoingRequest> m_request;
    std::shared_ptr<outcome::RequestOutcome> m_outcome;
    std::shared_ptr<AwaitableValue<bool>> m_attemptEnded;
    std::vector<std::shared_ptr<Attempt>> m_running;
    std::vector<std::size_t> m_excluded; ///< Indexes of targets that further attempts must not use.
    std::shared_ptr<Attempt> m_fallback; ///< A complete response with a failure status, used if no better one arrives.
    std::shared_ptr<Attempt> m_lastFailed;
    std::shared_ptr<const config::Service> m_service;
    base::SteadyTime m_hedgeAt = base::SteadyTime::max();
    unsigned m_attemptCount = 0;
    bool m_hedgeAllowed;
    bool m_backupReserved = false; ///< The extra attempt that backs up a trial is already taken from the retry budget.
};

} // namespace buckthorncroft::daemon
