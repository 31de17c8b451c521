#pragma once

#include "simulation.h"

namespace buckthorncroft::simulation {

/// One caller's request on one instance.
struct Request {
    std::size_t service = 0;
    config::RequestKind kind = config::RequestKind::Idempotent;
    std::uint64_t id = 0;
    std::string key; ///< Idempotency key; empty without one.
    base::SteadyTime arrival;
    base::SteadyTime deadline;
    bool claimed = false;
    bool finished = false;
    bool callerRetried = false;
    unsigned running = 0; ///< Attempts in flight.
    unsigned prepaid = 0; ///< Extra attempts already taken from the budget.
    unsigned attempts = 0;
    std::shared_ptr<unsigned> executions = std::make_shared<unsigned>(0);
    outcome::RequestOutcome outcome;
    std::vector<std::size_t> used;
    std::vector<std::function<void(const std::shared_ptr<Request>&)>>
        abandon; ///< Cancels an attempt if it is still in flight.
};
using RequestPtr = std::shared_ptr<Request>;

/// One incarnation of an entry instance. It connects the decision objects to the fakes and decides nothing itself.
class Instance {
public:
    Instance(Simulation& world, Place place, std::uint64_t incarnation);

    /// A caller's request arrives.
    void accept(const RequestPtr& request);
    /// Closes windows, evaluates evidence as a coordinator and sends reports; called every 0.5 s.
    void tick();
    void drainHeard(std::size_t service, std::size_t target, bool draining, health::DrainSource source);
    void started(std::size_t service, std::size_t target);
    void down(std::size_t service, std::size_t target, bool isDown);
    /// Whether the target has a fault that began in this instance's life and that the instance has not noticed.
    bool missed(std::size_t service, std::size_t target) const;

    const Place place;
    bool accepting = true;
    bool alive = true;
    double lost = 0; ///< When the instance died, in seconds.
    unsigned inFlight = 0;

private:
    struct Attempt {
        std::size_t target = 0;
        outcome::RequestOutcome::AttemptId id = 0;
        base::SteadyTime start;
        base::SteadyTime sent;
        bool done = false;
        bool counted = false; ///< As pending, for the health package.
        std::uint64_t grant = 0;
        Instance* point = nullptr;
        std::shared_ptr<Job> job;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;
    struct PeerState {
        std::vector<health::EjectedTarget> ejected;
        double inFlight = 0;
        base::SteadyTime at;
    };
    struct Node {
        Node(const config::Service& service, const health::Reporter& self, base::SteadyTime now, unsigned instances,
            double retryShare, std::uint64_t seed);
        config::Service service;
        health::ServiceHealth health;
        limits::RetryBudget budget;
        limits::AdmissionQueue queue;
        routing::PlacementPolicy policy;
        routing::PlacementPoint point;
        health::EvidencePool pool;
        health::PooledScores scores;
        base::SteadyTime scoredAt;
        base::SteadyTime relayed;
        base::SteadyTime answered; ///< Last reply of a coordinator.
        std::vector<health::TargetView> views;
        std::vector<routing::TargetLoad> load;
        std::vector<bool> down;
        std::map<std::uint64_t, RequestPtr> waiting;
        std::vector<Micros> latencies; ///< Recent good ones.
        std::size_t nextLatency = 0;
        base::SteadyTime blockedUntil; ///< The point had no slot; nothing is taken from the queue until then.
        base::SteadyTime reported; ///< Last report to a coordinator.
        std::map<std::string, PeerState> peers; ///< As a coordinator: instances.
        std::map<std::string, PeerState> zones; ///< As a coordinator: sums of the other zones.
        std::vector<health::EvidenceWindow> unacknowledged;
        std::uint64_t sequence = 0;
        unsigned inFlight = 0;
    };

    static unsigned slotsOf(const config::Service& service);
    void admit(const RequestPtr& request);
    void pump(std::size_t service);
    void expire(std::size_t service, const std::vector<limits::WaitingRequest>& expired);
    void choose(const RequestPtr& request);
    void askPoint(const RequestPtr& request, const routing::PlacementRequest& wanted, Instance& point);
    void waitForSlot(const RequestPtr& request);
    void placeLocally(const RequestPtr& request, routing::PlacementRequest wanted);
    std::optional<std::size_t> perfectChoice(const Request& request) const;
    void changeInFlight(std::size_t service, std::size_t target, int change);
    void send(const RequestPtr& request, std::size_t target, std::uint64_t grant, Instance* point);
    void deliver(const RequestPtr& request, const AttemptPtr& attempt);
    void watch(const RequestPtr& request, const AttemptPtr& attempt);
    void countPending(const Request& request, Attempt& attempt);
    static Micros hedgeDelay(const Node& node, const Request& request);
    static void noteLatency(Node& node, std::size_t target, Micros latency);
    void received(const RequestPtr& request, const AttemptPtr& attempt, Response response);
    void release(std::size_t service, std::uint64_t grant, Instance* point, health::Verdict verdict, Micros latency);
    void end(const RequestPtr& request, const AttemptPtr& attempt, health::Verdict verdict);
    bool takeExtra(Request& request);
    void retryOrFinish(const RequestPtr& request);
    void finish(const RequestPtr& request, bool good, bool answered);
    void refresh(std::size_t service, const std::vector<health::StageChange>& changes);
    double bytesLeft() const;
    std::size_t relayLimit() const;
    PeerState summary(const Node& node, const std::string& without) const;
    void noteFalseEjection(const health::StageChange& change);
    void coordinate(std::size_t service);
    void sendReport(std::size_t service);
    void receiveReport(std::size_t service, Instance& sender, const std::vector<health::EvidenceWindow>& windows,
        const PeerState& state, std::uint64_t sequence);
    void receiveReply(std::size_t service, const health::PooledScores& scores, health::Duration age,
        const std::vector<health::EjectedTarget>& ejected, double utilisation, std::uint64_t sequence);
    void message(Instance& to, std::size_t bytes, std::function<void()> receive, bool placement = false);

    Simulation& m_world;
    health::Reporter m_self;
    double m_born; ///< Seconds from the start of the run.
    double m_bytesLeft = 5000; ///< Of the limit of control traffic.
    double m_bytesAt = 0; ///< Seconds; when `m_bytesLeft` was computed.
    std::vector<std::unique_ptr<Node>> m_nodes; ///< One per service.
    std::unique_ptr<routing::Router> m_router;
    std::set<std::pair<std::size_t, std::size_t>> m_noticed; ///< Targets whose fault this instance has noticed.
};

} // namespace buckthorncroft::simulation
