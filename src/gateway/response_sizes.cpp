#include "response_sizes.h"

#include <algorithm>
#include <limits>

namespace buckthorncroft::gateway {

namespace {

    constexpr double newestShare = 0.125; ///< Weight of the newest response in the average.

} // namespace

void ResponseSizes::add(const std::string& route, std::uint64_t bytes)
{
    const auto value = static_cast<double>(bytes);
    if (const auto it = m_averages.find(route); it != m_averages.end())
        it->second += newestShare * (value - it->second);
    else if (m_averages.size() < maxRoutes)
        m_averages.emplace(route, value);
}

std::uint32_t ResponseSizes::estimate(const std::string& route) const
{
    const auto it = m_averages.find(route);
    constexpr double max = std::numeric_limits<std::uint32_t>::max();
    return it == m_averages.end() ? 0 : static_cast<std::uint32_t>(std::min(it->second, max));
}

} // namespace buckthorncroft::gateway
