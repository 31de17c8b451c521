#include <buckthorncroft/config/model.h>

#include <algorithm>
#include <cmath>

namespace buckthorncroft::config {

const char* toString(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "idempotent";
    case RequestKind::NonIdempotent:
        return "non-idempotent";
    case RequestKind::Upload:
        return "upload";
    }
    return "unknown";
}

unsigned floorTargetCount(const Service& service)
{
    const auto n = static_cast<unsigned>(service.targets.size());
    // The tolerance prevents rounding errors of the product from raising the result by one, as for 0.7 of 10 targets.
    const auto byFraction = static_cast<unsigned>(std::ceil(service.floorFraction * n - 1e-9));
    return std::min(n, std::max(byFraction, service.floorCount));
}

} // namespace buckthorncroft::config
