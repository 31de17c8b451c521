#pragma once

#include <cstdint>

namespace buckthorncroft::limits {

/// Bounds retries, hedges and second attempts of trials to a share of requests, so that a failing service sees at most
/// (1 + share) times its requests. Not safe for concurrent use.
class RetryBudget {
public:
    /// `share`: extra attempts per request, 0 to 0.1. `burst`: extra attempts that may be saved up.
    explicit RetryBudget(double share, double burst = 10);

    /// Counts one request and earns `share` of an extra attempt.
    void recordRequest();

    /// Takes one extra attempt. Returns false, and counts a refusal, when none is left.
    bool tryTake();

    std::uint64_t refusals() const { return m_refusals; }

private:
    double m_share;
    double m_burst;
    double m_tokens = 0; ///< Starts empty, so that the bound holds from the first request on.
    std::uint64_t m_refusals = 0;
};

} // namespace buckthorncroft::limits
