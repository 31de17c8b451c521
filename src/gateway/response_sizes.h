#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace buckthorncroft::gateway {

/// Moving average of the length of response bodies, by route. Not safe for concurrent use.
class ResponseSizes {
public:
    /// Records the length of a response. Further routes are ignored once there are `maxRoutes`.
    void add(const std::string& route, std::uint64_t bytes);

    /// Returns the expected length of the next response; 0 if the route has had none.
    std::uint32_t estimate(const std::string& route) const;

    static constexpr std::size_t maxRoutes = 4096;

private:
    std::unordered_map<std::string, double> m_averages; ///< Bytes, by name of the route.
};

} // namespace buckthorncroft::gateway
