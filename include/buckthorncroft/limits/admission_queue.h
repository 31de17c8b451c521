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

/// Why a request is not queued.
enum class Refusal {
    None, ///< The request is queued.
    QueueFull,
    DeadlineTooClose, ///< The request is expected to finish after its deadline.
};

/// Returns the reason's name in snake_case, as printed in logs.
const char* toString(Refusal refusal);

/// A request that is queued for a slot. `id` is chosen by the owner of the queue and unique among queued requests.
struct WaitingRequest {
    std::uint64_t id = 0;
    config::RequestKind kind = config::RequestKind::Idempotent;
    base::SteadyTime deadline;
};

/// The bounded request queue of one service on one instance. Requests leave in order of deadline, with a minimum
/// fraction for each kind of request, so that requests of one kind cannot starve the others. Not safe for concurrent
/// use.
class AdmissionQueue {
public:
    /// `queueLimit`: maximum number of queued requests. `slots`: total slots of all targets of the service.
    AdmissionQueue(unsigned queueLimit, unsigned slots);
    ~AdmissionQueue();
    AdmissionQueue(AdmissionQueue&&) noexcept;
    AdmissionQueue& operator=(AdmissionQueue&&) noexcept;

    /// Queues the request, or returns why it is refused. A refused request has not run.
    Refusal enqueue(const WaitingRequest& request, base::SteadyTime now);

    /// Removes and returns the request to run next. Requests that have missed or cannot meet their deadline are removed
    /// and appended to `expired`; they have not run.
    std::optional<WaitingRequest> pop(base::SteadyTime now, std::vector<WaitingRequest>& expired);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<WaitingRequest> removeExpired(base::SteadyTime now);

    /// Removes a request, for example because its caller disconnected. Returns false if the request is not queued.
    bool remove(std::uint64_t id);

    /// Records the service time of a finished request, from which the expected wait is computed.
    void recordServiceTime(config::RequestKind kind, std::chrono::microseconds serviceTime);

    std::size_t size() const;

    /// Delay after which a refused caller should retry, for the `Retry-After` header; 1 to 30 s.
    std::chrono::seconds retryAfter() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace buckthorncroft::limits
