#pragma once

#include <buckthorncroft/base/clock.h>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace buckthorncroft::outcome {

/// Identifies one keyed request of a caller.
struct ClaimRequest {
    std::string service;
    std::string key; ///< The caller's `Idempotency-Key`, at most 200 bytes.
    std::string requestDigest; ///< Digest of method and path; one key must not name two requests.
};

/// An answer as it was recorded for a caller's retry.
struct RecordedResponse {
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool bodyRecorded = true; ///< False when the body was larger than the recording limit.
};

enum class ClaimStatus {
    Held, ///< The request may be sent once, before `sendBefore`.
    Replay, ///< The request was completed earlier; `response` is set.
    InProgress, ///< Another request holds the claim and may run or have run.
    DigestMismatch, ///< The key was used with another request.
    Unavailable, ///< The claim could not be made; nothing runs.
};

struct ClaimResult {
    ClaimStatus status = ClaimStatus::Unavailable;
    std::string token; ///< Set when Held; names the claim in `release` and `complete`.
    base::SteadyTime sendBefore; ///< Set when Held; after it the holder must not send any more.
    std::optional<RecordedResponse> response;
};

/// Makes claims on non-idempotent requests, so that a caller's retry through another instance does not run twice.
/// Safe for concurrent use. Calls return at once.
class ClaimService {
public:
    ClaimService() = default;
    ClaimService(const ClaimService&) = delete;
    ClaimService& operator=(const ClaimService&) = delete;
    virtual ~ClaimService() = default;

    /// Calls `done` exactly once, from any thread, before or shortly after `deadline`.
    virtual void acquire(const ClaimRequest& request, base::SteadyTime deadline, std::function<void(ClaimResult)> done)
        = 0;

    /// Gives up a held claim of a request that certainly did not run. Retried in the background while the store is
    /// away.
    virtual void release(const ClaimRequest& request, const std::string& token) = 0;

    /// Records the answer of a held claim, for replay. Best effort: without it, a retry sees InProgress.
    virtual void complete(const ClaimRequest& request, const std::string& token, const RecordedResponse& response) = 0;
};

} // namespace buckthorncroft::outcome
