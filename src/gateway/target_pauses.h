#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace buckthorncroft::gateway {

/// The targets that have refused a request of this instance and named a time for which they want no more. Not safe for
/// concurrent use.
class TargetPauses {
public:
    /// Records that `target` refuses requests for `time` from `now`. Times above `maxPause` are shortened to it.
    void add(const std::string& target, std::chrono::milliseconds time, base::SteadyTime now);

    /// Returns until when `target` refuses requests, or nothing if it accepts them at `now`.
    std::optional<base::SteadyTime> end(const std::string& target, base::SteadyTime now) const;

    static constexpr std::chrono::seconds maxPause { 60 };

private:
    std::map<std::string, base::SteadyTime> m_until; ///< By target id. Expired entries are removed by `add`.
};

} // namespace buckthorncroft::gateway
