#include "target_pauses.h"

#include <algorithm>

namespace buckthorncroft::gateway {

void TargetPauses::add(const std::string& target, std::chrono::milliseconds time, base::SteadyTime now)
{
    std::erase_if(m_until, [now](const auto& it) { return now >= it.second; });
    auto& until = m_until[target];
    until = std::max(until, now + std::min<std::chrono::milliseconds>(time, maxPause));
}

std::optional<base::SteadyTime> TargetPauses::end(const std::string& target, base::SteadyTime now) const
{
    const auto it = m_until.find(target);
    return it != m_until.end() && now < it->second ? std::optional(it->second) : std::nullopt;
}

} // namespace buckthorncroft::gateway
