#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/config/model.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace buckthorncroft::limits {

/// Why a request may not wait.
enum class Refusal {
    None, ///< The request waits.
    QueueFull,
    DeadlineTooClose, ///< The expected wait and service time end after the deadline.
};

/// Returns the reason's name in snake_case, as printed in logs.
const char* toString(Refusal refusal);

/// A request that waits for a slot. `id` is chosen by the owner of the queue and is unique among waiting requests.
struct WaitingRequest {
    std::uint64_t id = 0;
    config::RequestKind kind = config::RequestKind::Idempotent;
    base::SteadyTime deadline;
};

/// The bounded queue of one service on one instance. Requests leave in order of deadline, with a share for each kind
/// of request, so that uploads or lookups alone cannot starve bookings. Not safe for concurrent use.
class AdmissionQueue {
public:
    /// `queueLimit`: requests that may wait. `slots`: slots over all targets of the service.
    AdmissionQueue(unsigned queueLimit, unsigned slots);
    ~AdmissionQueue();
    AdmissionQueue(AdmissionQueue&&) noexcept;
    AdmissionQueue& operator=(AdmissionQueue&&) noexcept;

    /// Adds the request, or says why it is refused; a refused request has not run.
    Refusal enqueue(const WaitingRequest& request, base::SteadyTime now);

    /// Removes and returns the request to run next. Requests whose deadline has passed, or can no longer be met, are
    /// removed and appended to `expired`; they have not run.
    std::optional<WaitingRequest> pop(base::SteadyTime now, std::vector<WaitingRequest>& expired);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<WaitingRequest> removeExpired(base::SteadyTime now);

    /// Removes a request, for example because its caller left. Returns false if it does not wait.
    bool remove(std::uint64_t id);

    /// Reports a finished request, from which the expected wait is derived.
    void recordServiceTime(config::RequestKind kind, std::chrono::microseconds serviceTime);

    std::size_t size() const;

    /// When a refused caller should try again, for the `Retry-After` header; at least 1 s.
    std::chrono::seconds retryAfter() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace buckthorncroft::limits
