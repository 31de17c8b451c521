#include <buckthorncroft/limits/connection_share.h>

#include <algorithm>
#include <cstdint>

namespace buckthorncroft::limits {

unsigned connectionShare(unsigned limit, unsigned liveInstances)
{
    const std::uint64_t instances = std::max(liveInstances, minAssumedInstances);
    return std::max(1u, static_cast<unsigned>(std::uint64_t { limit } * 9 / (instances * 10)));
}

} // namespace buckthorncroft::limits
