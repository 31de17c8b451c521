#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/config/model.h>
#include <buckthorncroft/outcome/claim_service.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace buckthorncroft::simulation {

using Micros = std::chrono::microseconds;

/// Runs events in virtual time. Events that are due at the same time run in the order in which they were scheduled.
class EventLoop {
public:
    base::SteadyTime now() const { return m_now; }
    /// Returns the virtual time since the start of the run, in seconds.
    double seconds() const { return std::chrono::duration<double>(m_now - m_start).count(); }
    /// Calls `callback` after `delay` of virtual time.
    void scheduleAfter(Micros delay, std::function<void()> callback);
    /// Runs all events of the next `time` and advances the clock to its end.
    void runFor(Micros time);

private:
    struct Event {
        base::SteadyTime at;
        std::uint64_t order;
        std::function<void()> callback;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };
    base::SteadyTime m_start { std::chrono::hours(1000) };
    base::SteadyTime m_now = m_start;
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
};

/// Name and availability zone of an instance or a target.
struct Endpoint {
    std::string name;
    std::string zone;
};

/// The network between instances and targets: links with delay, jitter, packet loss and one-way cuts. A lost segment
/// costs a retransmission.
class Links {
public:
    explicit Links(std::mt19937_64& random)
        : m_random(random)
    {
    }
    /// Drops all messages from `from` to `to`, each of which is a name, a zone or `*`.
    void cut(const std::string& from, const std::string& to) { m_cuts.emplace_back(from, to); }
    /// Undoes one `cut` with the same arguments.
    void restore(const std::string& from, const std::string& to);
    bool isCut(const Endpoint& from, const Endpoint& to) const;
    /// Returns the one-way delay of a message, or nullopt if the link is cut.
    std::optional<Micros> delay(const Endpoint& from, const Endpoint& to);

    double lossProbability = 0.0005; ///< Per message; a lost segment is sent again.

private:
    std::mt19937_64& m_random;
    std::vector<std::pair<std::string, std::string>> m_cuts;
};

/// The way in which a target misbehaves.
enum class FaultKind { None, Slow, Errors, Mismatched, Hanging, BookingErrors, Flapping, Dead };

struct Fault {
    FaultKind kind = FaultKind::None;
    /// Latency factor of Slow, fraction of responses for Errors and Mismatched, half period (s) of Flapping.
    double value = 1;
};

enum class ResponseKind { Good, Error, Shed, Mismatched };

struct Response {
    ResponseKind kind = ResponseKind::Good;
    bool draining = false;
};

/// One attempt at a target. `executionCount` is shared by all attempts of a request and counts how often any target
/// executed it.
struct Job {
    config::RequestKind kind = config::RequestKind::Idempotent;
    std::shared_ptr<unsigned> executionCount;
    std::function<void(Response)> reply;
    bool cancelled = false; ///< The attempt was cancelled, or its response was sent.
    bool running = false;
    unsigned startNumber = 0; ///< Value of the start counter of the target when the job began to run.
};

/// A target with slots, a short queue, load shedding, cold start, draining and injected faults.
class FakeTarget {
public:
    FakeTarget(EventLoop& loop, std::mt19937_64& random, const config::Target& target, Micros coldStart);
    /// Runs the job, queues it if all slots are taken, or sheds it if the queue is full, too.
    void receive(const std::shared_ptr<Job>& job);
    void cancel(const std::shared_ptr<Job>& job);
    void start();
    /// Ends the cold start at once.
    void endColdStart() { m_startedAt = m_loop.now() - m_coldStart; }
    /// Announces the drain; the target still accepts requests.
    void drain();
    /// Refuses connections and loses all jobs until the next start.
    void stop();
    /// Running and queued requests, which only the policy with perfect knowledge can observe.
    std::size_t requestCount() const { return m_running + m_queue.size(); }
    bool isCold() const { return m_loop.now() - m_startedAt < m_coldStart; }
    /// Whether a fault is in effect now; a flapping target is faulty half of the time.
    bool isFaulty() const;

    Endpoint endpoint;
    Fault fault;
    bool up = true;
    bool draining = false;
    unsigned lateArrivals = 0; ///< Requests that arrived more than 3 s after the drain was announced.

private:
    void run(const std::shared_ptr<Job>& job);
    void finish(const std::shared_ptr<Job>& job, ResponseKind kind);
    /// Frees a slot and starts queued jobs.
    void releaseSlot();
    /// Draws the response of a request; nullopt: the target never responds.
    std::optional<ResponseKind> responseFor(config::RequestKind kind);

    EventLoop& m_loop;
    std::mt19937_64& m_random;
    unsigned m_slots;
    Micros m_coldStart;
    base::SteadyTime m_startedAt;
    base::SteadyTime m_drainedAt;
    unsigned m_startCount = 0;
    std::size_t m_running = 0;
    std::deque<std::shared_ptr<Job>> m_queue;
};

/// Keeps claims in memory, responds with the delay of a store and can simulate an outage.
class FakeClaims final : public outcome::ClaimService {
public:
    explicit FakeClaims(EventLoop& loop)
        : m_loop(loop)
    {
    }
    void acquire(const outcome::ClaimRequest& request, base::SteadyTime deadline,
        std::function<void(outcome::ClaimResult)> done) override;
    void release(const outcome::ClaimRequest& request, const std::string& token) override;
    void complete(const outcome::ClaimRequest& request, const std::string& token,
        const outcome::RecordedResponse& response) override;

    bool unavailable = false;

private:
    EventLoop& m_loop;
    std::map<std::string, std::optional<outcome::RecordedResponse>> m_rows;
};

} // namespace buckthorncroft::simulation
