#pragma once

#include <buckthorncroft/config/model.h>
#include <buckthorncroft/health/verdict.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace buckthorncroft::daemon {

/// The observation of one attempt together with the service record that its target index refers to. Without the
/// record, the index could refer to another target after a configuration change.
struct ReportedObservation {
    std::shared_ptr<const config::Service> service;
    health::Observation observation;
    std::uint64_t attempt = 0; ///< Number of the attempt, unique within the process.
    /// The attempt is still running: `observation.latency` is its age, and the verdict has no meaning. Pushed about
    /// every 100 ms, so that a hanging target is detected before the deadline. One final observation follows.
    bool pending = false;
};

/// Carries observations from the traffic threads to the control thread. Lock-free: when it is full, the observation is
/// dropped and counted, so that a slow control thread never delays a request.
class ObservationQueue {
public:
    /// `capacity`: maximum number of queued observations, 1 to 65,000.
    explicit ObservationQueue(std::size_t capacity = 32768);
    ~ObservationQueue();
    ObservationQueue(const ObservationQueue&) = delete;
    ObservationQueue& operator=(const ObservationQueue&) = delete;

    /// Adds an observation from any thread. Returns false when it was dropped.
    bool push(ReportedObservation observation);

    /// Removes and returns at most `limit` observations. Called by the control thread only.
    std::vector<ReportedObservation> drain(std::size_t limit = 32768);

    /// Number of observations dropped since construction.
    std::uint64_t droppedCount() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace buckthorncroft::daemon
