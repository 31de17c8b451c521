#pragma once

#include "traffic_context.h"

#include <buckthorncroft/outcome/claim_service.h>
#include <optional>
#include <string>

namespace buckthorncroft::daemon {

/// The claim of one request, from acquiring it to its release or completion.
class ClaimGuard {
public:
    explicit ClaimGuard(TrafficContext& context)
        : m_context(context)
    {
    }

    /// Asks for the claim. A claim that arrives after `deadline` is released.
    http::Awaitable<outcome::ClaimResult> acquire(outcome::ClaimRequest request, base::SteadyTime deadline);

    bool held() const { return !m_token.empty(); }

    /// Releases a held claim of a request that certainly did not run.
    void release();

    /// Records the answer of a held claim.
    void complete(const outcome::RecordedResponse& response);

private:
    TrafficContext& m_context;
    outcome::ClaimRequest m_request;
    std::string m_token;
};

} // namespace buckthorncroft::daemon
