#include <buckthorncroft/limits/retry_budget.h>

#include <algorithm>

namespace buckthorncroft::limits {

RetryBudget::RetryBudget(double attemptsPerRequest, double burst)
    : m_attemptsPerRequest(attemptsPerRequest)
    , m_burst(burst)
{
}

void RetryBudget::recordRequest()
{
    m_tokens = std::min(m_burst, m_tokens + m_attemptsPerRequest);
}

bool RetryBudget::tryTake()
{
    // The tolerance absorbs rounding: the sum of ten times 0.1 is slightly less than 1.
    if (m_tokens < 1 - 1e-9) {
        ++m_refusals;
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace buckthorncroft::limits
