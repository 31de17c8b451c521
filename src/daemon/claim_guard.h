#pragma once

#include "traffic_context.h"

#include <buckthorncroft/outcome/claim_service.h>
#include <optional>
#include <string>

namespace buckthorncroft::daemon {

/// Acquires the claim of one request, and releases or completes it. Belongs to one traffic thread. The destructor does
/// not release the claim: the request may have run.
class ClaimGuard {
public:
    explicit ClaimGuard(TrafficContext& context)
        : m_context(context)
    {
    }

    /// Acquires the claim. If no result arrives before `deadline`, returns the status `Unavailable`; a claim that
    /// arrives later is released in the background.
    http::Awaitable<outcome::ClaimResult> acquire(outcome::ClaimRequest request, base::SteadyTime deadline);

    bool isHeld() const { return !m_token.empty(); }

    /// Releases the claim if it is held. Only for a request that certainly did not run.
    void release();

    /// Records the response of the request if its claim is held.
    void complete(const outcome::RecordedResponse& response);

private:
    TrafficContext& m_context;
    outcome::ClaimRequest m_request;
    std::string m_token;
};

} // namespace buckthorncroft::daemon
