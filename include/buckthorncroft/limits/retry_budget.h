#pragma once

#include <cstdint>

namespace buckthorncroft::limits {

/// Token bucket that limits retries, hedges and second attempts of trials to a fraction of the requests, so that a
/// failing service receives at most (1 + `attemptsPerRequest`) times its requests. Not safe for concurrent use.
class RetryBudget {
public:
    /// `attemptsPerRequest`: extra attempts per request, 0 to 0.1. `burst`: maximum number of saved extra attempts.
    explicit RetryBudget(double attemptsPerRequest, double burst = 10);

    /// Counts one request and adds `attemptsPerRequest` of an extra attempt.
    void recordRequest();

    /// Uses one extra attempt. Returns false, and counts a refusal, when none is available.
    bool tryTake();

    std::uint64_t refusals() const { return m_refusals; }

private:
    double m_attemptsPerRequest;
    double m_burst;
    double m_tokens = 0; ///< Starts at 0, so that the limit holds from the first request on.
    std::uint64_t m_refusals = 0;
};

} // namespace buckthorncroft::limits
