#pragma once

#include "attempt.h"
#include "awaitable_value.h"

#include <memory>
#include <vector>

namespace buckthorncroft::daemon {

/// Runs the attempts of one buffered request: the first, retries after failures and one hedge, within the retry budget
/// and the deadline. Abandons every attempt that did not win.
class AttemptRace {
public:
    AttemptRace(TrafficContext& context, std::shared_ptr<ServiceTraffic> traffic,
        std::shared_ptr<const OutgoingRequest> request, std::shared_ptr<outcome::RequestOutcome> outcome,
        bool hedgeAllowed);

    /// Returns the attempt whose answer goes to the caller, or null.
    http::Awaitable<std::shared_ptr<Attempt>> run(Placement first);

    unsigned attempts() const { return m_started; }

    /// The last attempt that ended without an answer, for the reason in the answer to the caller.
    const Attempt* lastFailed() const { return m_lastFailed.get(); }

private:
    void launch(Placement placement, const char* reason);
    void launchFirst(Placement first);
    std::shared_ptr<Attempt> takeResponse();
    bool retry();
    void hedge();
    bool mayRetry() const;
    void abandonAll();
    base::SteadyTime wakeTime() const;

    TrafficContext& m_context;
    std::shared_ptr<ServiceTraffic> m_traffic;
    std::shared_ptr<const OutgoingRequest> m_request;
    std::shared_ptr<outcome::RequestOutcome> m_outcome;
    std::shared_ptr<Gate<bool>> m_gate;
    std::vector<std::shared_ptr<Attempt>> m_running;
    std::vector<std::size_t> m_excluded;
    std::shared_ptr<Attempt> m_fallback; ///< An answer that states a failure, kept in case nothing better arrives.
    std::shared_ptr<Attempt> m_lastFailed;
    std::shared_ptr<const config::Service> m_service;
    base::SteadyTime m_hedgeAt = base::SteadyTime::max();
    unsigned m_started = 0;
    bool m_hedgeAllowed;
    bool m_backupReserved = false; ///< The budget has already granted the second attempt of a trial.
};

} // namespace buckthorncroft::daemon
