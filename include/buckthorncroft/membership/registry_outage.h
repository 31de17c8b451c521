#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>
#include <optional>

namespace buckthorncroft::membership {

/// Detects from the results of reads whether the registry had an outage, and when it ended. Entries of running targets
/// can expire during an outage, but not while the registry only turns away this instance. Performs no I/O. Not safe for
/// concurrent use.
///
/// An outage is a period without any response, neither to this instance nor relayed by a peer, in which a read of this
/// instance failed or was left without a response.
class RegistryOutageDetector {
public:
    /// Records that this instance began to read the registry. Must be followed by `recordReadFailure` or
    /// `recordReadSuccess` before the next read.
    void recordReadStart(base::SteadyTime now) { m_pendingReadSince = now; }

    /// Records that the read failed.
    void recordReadFailure();

    /// Records that the read returned.
    void recordReadSuccess(base::SteadyTime now);

    /// Records that a peer relayed a response of the registry.
    void recordRelayedResponse(base::SteadyTime now);

    /// Whether the last outage ended so recently that running targets may not have registered again yet.
    bool isRecovering(base::SteadyTime now) const { return m_lastOutageEnd && now < recoveryEnd(); }

    /// Returns when running targets have registered again after the last outage. Requires `isRecovering`.
    base::SteadyTime recoveryEnd() const { return *m_lastOutageEnd + reregistrationTime; }

    /// Shortest period without a response that counts as an outage. It is longer than the time between the responses
    /// that the readers relay, and too short for an entry to expire.
    static constexpr std::chrono::milliseconds minOutage { 1300 };

    /// A read without a response for this long counts as failed.
    static constexpr std::chrono::milliseconds overdueReadTime { 800 };

    /// Running targets register again within this time after an outage, as the platform specifies.
    static constexpr std::chrono::milliseconds reregistrationTime { 2000 };

private:
    void recordResponse(base::SteadyTime now);

    std::optional<base::SteadyTime> m_lastResponseAt;
    std::optional<base::SteadyTime> m_pendingReadSince;
    std::optional<base::SteadyTime> m_lastOutageEnd;
    bool m_hasReadFailed = false; ///< A read failed after the last response.
};

} // namespace buckthorncroft::membership
