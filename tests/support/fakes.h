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

/// Runs events in virtual time; events of equal time run in the order in which they were scheduled.
class EventLoop {
public:
    base::SteadyTime now() const { return m_now; }
    double seconds() const { return std::chrono::duration<double>(m_now - m_start).count(); }
    void after(Micros delay, std::function<void()> run);
    void runFor(Micros time);

private:
    struct Event {
        base::SteadyTime at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };
    base::SteadyTime m_start { std::chrono::hours(1000) };
    base::SteadyTime m_now = m_start;
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
};

/// Name and availability zone of an instance or a target.
struct Place {
    std::string name;
    std::string zone;
};

/// Links with delay, jitter, loss (a lost segment costs a retransmission) and cuts in one direction.
class Links {
public:
    explicit Links(std::mt19937_64& random)
        : m_random(random)
    {
    }
    /// `from` and `to` are names, zones or `*`.
    void cut(const std::string& from, const std::string& to) { m_cuts.emplace_back(from, to); }
    void restore(const std::string& from, const std::string& to);
    bool isCut(const Place& from, const Place& to) const;
    /// One-way delay of a message, or nothing if it does not arrive.
    std::optional<Micros> delay(const Place& from, const Place& to);

    double loss = 0.0005; ///< Share of messages with a lost segment.

private:
    std::mt19937_64& m_random;
    std::vector<std::pair<std::string, std::string>> m_cuts;
};

/// What is wrong with a target.
enum class FaultKind { None, Slow, Wrong, Mismatched, Hanging, Bookings, Flapping, Dead };

struct Fault {
    FaultKind kind = FaultKind::None;
    double value = 1; ///< Factor for Slow, share of answers for Wrong and Mismatched, half period (s) for Flapping.
};

enum class ResponseKind { Good, Error, Shed, Mismatched };

struct Response {
    ResponseKind kind = ResponseKind::Good;
    bool draining = false;
};

/// One attempt at a target. `executions` belongs to the request and counts how often any target ran it.
struct Job {
    config::RequestKind kind = config::RequestKind::Idempotent;
    std::shared_ptr<unsigned> executions;
    std::function<void(Response)> reply;
    bool cancelled = false;
    bool running = false;
    unsigned start = 0; ///< The start of the target in which the job runs.
};

/// A target with slots, a short queue, shedding, cold start, drain and faults.
class FakeTarget {
public:
    FakeTarget(EventLoop& loop, std::mt19937_64& random, const config::Target& target, Micros coldStart);
    void arrive(const std::shared_ptr<Job>& job);
    void cancel(const std::shared_ptr<Job>& job);
    void start();
    /// Ends the cold start.
    void warm() { m_startedAt = m_loop.now() - m_coldStart; }
    void drain();
    void stop();
    /// Requests that run or wait; what perfect knowledge sees.
    std::size_t load() const { return m_running + m_waiting.size(); }
    bool cold() const { return m_loop.now() - m_startedAt < m_coldStart; }
    /// Whether a request of this kind would fail or be slow now.
    bool sick() const;

    Place place;
    Fault fault;
    bool up = true;
    bool draining = false;
    unsigned lateArrivals = 0; ///< New work more than 3 s after the drain was announced.

private:
    void run(const std::shared_ptr<Job>& job);
    void finish(const std::shared_ptr<Job>& job, ResponseKind kind);
    void next();
    std::optional<ResponseKind> responseFor(config::RequestKind kind);

    EventLoop& m_loop;
    std::mt19937_64& m_random;
    unsigned m_slots;
    Micros m_coldStart;
    base::SteadyTime m_startedAt;
    base::SteadyTime m_drainedAt;
    unsigned m_starts = 0;
    std::size_t m_running = 0;
    std::deque<std::shared_ptr<Job>> m_waiting;
};

/// Claims in memory, with the delay of a store and an outage on request.
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

    bool away = false;

private:
    EventLoop& m_loop;
    std::map<std::string, std::optional<outcome::RecordedResponse>> m_rows;
};

} // namespace buckthorncroft::simulation
