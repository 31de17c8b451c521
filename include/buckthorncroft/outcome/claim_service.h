#pragma once

#include <buckthorncroft/base/clock.h>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace buckthorncroft::outcome {

/// Identifies a caller's request that carries an idempotency key.
struct ClaimRequest {
    std::string service;
    std::string key; ///< The caller's `Idempotency-Key`, at most 200 bytes.
    std::string requestDigest; ///< Digest of method and path, to detect one key that is used for different requests.
};

/// A response as recorded for replay when the caller retries.
struct RecordedResponse {
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool bodyRecorded = true; ///< False if the response exceeded the recording limit.
};

/// How an attempt to claim a request ended.
enum class ClaimStatus {
    Held, ///< The request may be sent once, before `sendBefore`.
    Replay, ///< The request was completed earlier; `response` is set.
    InProgress, ///< Another attempt holds the claim, and its request may run or have run.
    DigestMismatch, ///< The key was already used for a different request.
    Unavailable, ///< The claim could not be made; the request must not be sent.
};

/// Result of an attempt to claim a request.
struct ClaimResult {
    ClaimStatus status = ClaimStatus::Unavailable;
    std::string token; ///< Set if Held; identifies the claim in `release` and `complete`.
    base::SteadyTime sendBefore; ///< Set if Held; from then on the holder must not start to send the request.
    std::optional<RecordedResponse> response; ///< Set if Replay.
};

/// Claims non-idempotent requests, so that a caller's retry through another instance does not run the request twice.
/// Safe for concurrent use. All functions return without blocking.
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
    /// unavailable.
    virtual void release(const ClaimRequest& request, const std::string& token) = 0;

    /// Records the response to the request of a held claim for replay. Best effort: if nothing is recorded, a retry
    /// gets InProgress.
    virtual void complete(const ClaimRequest& request, const std::string& token, const RecordedResponse& response) = 0;
};

} // namespace buckthorncroft::outcome
