#pragma once

#include <buckthorncroft/limits/rate_meter.h>

namespace buckthorncroft::routing {

/// Fraction of the recent requests of a service that were not served successfully. Not safe for concurrent use.
class UnservedShare {
public:
    UnservedShare();

    /// Records one finished or refused request.
    void recordResult(bool unserved, base::SteadyTime now);

    /// Fraction over about the last second, 0 to 1. 0 while too few requests failed for a meaningful value.
    double share(base::SteadyTime now) const;

private:
    limits::RateMeter m_finished;
    limits::RateMeter m_unserved;
};

} // namespace buckthorncroft::routing
