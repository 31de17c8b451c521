#include <buckthorncroft/daemon/observation_queue.h>

#include <atomic>
#include <boost/lockfree/queue.hpp>

namespace buckthorncroft::daemon {

struct ObservationQueue::State {
    explicit State(std::size_t capacity)
        : queue(capacity)
    {
    }

    // The lock-free queue requires trivially copyable items, hence owning raw pointers, which never leave this file.
    boost::lockfree::queue<ReportedObservation*, boost::lockfree::fixed_sized<true>> queue;
    std::atomic<std::uint64_t> droppedCount { 0 };
};

ObservationQueue::ObservationQueue(std::size_t capacity)
    : m_state(std::make_unique<State>(capacity))
{
}

ObservationQueue::~ObservationQueue()
{
    m_state->queue.consume_all([](ReportedObservation* it) { delete it; });
}

bool ObservationQueue::push(ReportedObservation observation)
{
    auto item = std::make_unique<ReportedObservation>(std::move(observation));
    if (!m_state->queue.bounded_push(item.get())) {
        m_state->droppedCount.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    (void)item.release(); // NOLINT(bugprone-unused-return-value): the queue owns the item now.
    return true;
}

std::vector<ReportedObservation> ObservationQueue::drain(std::size_t limit)
{
    std::vector<ReportedObservation> result;
    ReportedObservation* item = nullptr;
    while (result.size() < limit && m_state->queue.pop(item)) {
        const std::unique_ptr<ReportedObservation> owned(item);
        result.push_back(std::move(*owned));
    }
    return result;
}

std::uint64_t ObservationQueue::droppedCount() const
{
    return m_state->droppedCount.load(std::memory_order_relaxed);
}

} // namespace buckthorncroft::daemon
