#pragma once

#include "simulation.h"

namespace buckthorncroft::simulation {

/// A caller's request that one instance handles.
struct Request {
    std::size_t service = 0;
    config::RequestKind kind = config::RequestKind::Idempotent;
    std::uint64_t id = 0;
    std::string key; ///< Idempotency key; empty without one.
    base::SteadyTime arrivedAt;
    base::SteadyTime deadline;
    bool claimed = false;
    bool finished = false;
    bool callerRetried = false;
    unsigned attemptsInFlight = 0;
    unsigned reservedAttempts = 0; ///< Extra attempts that are already taken from the retry budget.
    unsigned attempts = 0;
    std::shared_ptr<unsigned> executionCount = std::make_shared<unsigned>(0);
    outcome::RequestOutcome outcome;
    std::vector<std::size_t> triedTargets;
    /// One callback for each attempt; it cancels the attempt if it is still in flight.
    std::vector<std::function<void(const std::shared_ptr<Request>&)>> cancelAttempts;
};
using RequestPtr = std::shared_ptr<Request>;

/// One incarnation of an instance. It connects the decision objects of the product to the fakes and contains no
/// decision logic of its own.
class Instance {
public:
    Instance(Simulation& simulation, Endpoint endpoint, std::uint64_t incarnation);

    /// Starts to handle a caller's request.
    void accept(const RequestPtr& request);
    /// Closes evidence windows, evaluates evidence if the instance is a coordinator, and sends reports; called every
    /// 0.5 s.
    void tick();
    void handleDrain(std::size_t service, std::size_t target, bool draining, health::DrainSource source);
    void handleStart(std::size_t service, std::size_t target);
    void handleDown(std::size_t service, std::size_t target, bool isDown);
    /// Whether the target has a fault that began after this instance started and that the instance has not detected.
    bool hasUndetectedFault(std::size_t service, std::size_t target) const;

    const Endpoint endpoint;
    bool accepting = true;
    bool alive = true;
    double lostAt = 0; ///< When the instance was lost with its zone, in seconds.
    unsigned inFlight = 0;

private:
    struct Attempt {
        std::size_t target = 0;
        outcome::RequestOutcome::AttemptId id = 0;
        base::SteadyTime startedAt;
        base::SteadyTime sentAt;
        bool done = false;
        bool countedAsPending = false; ///< Counted as slow by the health package before it ended.
        bool mismatched = false; ///< The response belongs to another request.
        std::uint64_t grant = 0; ///< 0 without a grant.
        Instance* point = nullptr; ///< Placement point that issued the grant.
        std::shared_ptr<Job> job;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;
    /// What an instance reports about itself, or the sum of a zone.
    struct PeerState {
        std::vector<health::EjectedTarget> ejected;
        double inFlight = 0;
        base::SteadyTime createdAt;
    };
    /// Decision objects and state for one service.
    struct ServiceState {
        ServiceState(const config::Service& service, const health::Reporter& self, base::SteadyTime now,
            unsigned instances, double retryShare, std::uint64_t seed);
        config::Service service;
        health::ServiceHealth health;
        limits::RetryBudget budget;
        limits::AdmissionQueue queue;
        routing::PlacementPolicy policy;
        routing::PlacementPoint point;
        health::EvidencePool pool;
        health::PooledScores scores;
        base::SteadyTime scoredAt;
        base::SteadyTime relayedAt;
        base::SteadyTime lastReplyAt; ///< Last reply of a coordinator to a report.
        std::vector<health::TargetView> views;
        std::vector<routing::TargetLoad> load;
        std::vector<bool> downTargets;
        std::map<std::uint64_t, RequestPtr> queuedRequests;
        std::vector<Micros> recentLatencies; ///< Of successful responses.
        std::size_t nextLatencyIndex = 0;
        base::SteadyTime blockedUntil; ///< The placement point had no free slot; the queue is paused until then.
        base::SteadyTime lastReportAt; ///< Last report to a coordinator.
        std::map<std::string, PeerState> peers; ///< Used by a coordinator: state of the instances that report to it.
        std::map<std::string, PeerState> zones; ///< Used by a coordinator: sums of the other zones.
        std::vector<health::EvidenceWindow> unacknowledgedWindows;
        std::uint64_t sequence = 0;
        unsigned inFlight = 0;
    };

    static unsigned slotCount(const config::Service& service);
    void admit(const RequestPtr& request);
    /// Takes requests from the queue while a target has a free slot.
    void dispatchQueued(std::size_t service);
    void finishExpired(std::size_t service, const std::vector<limits::WaitingRequest>& expired);
    void chooseTarget(const RequestPtr& request);
    void requestGrant(const RequestPtr& request, const routing::PlacementRequest& placementRequest, Instance& point);
    void waitForSlot(const RequestPtr& request);
    void placeLocally(const RequestPtr& request, routing::PlacementRequest placementRequest);
    std::optional<std::size_t> perfectChoice(const Request& request) const;
    void changeInFlight(std::size_t service, std::size_t target, int change);
    void sendAttempt(const RequestPtr& request, std::size_t target, std::uint64_t grant, Instance* point);
    void deliver(const RequestPtr& request, const AttemptPtr& attempt);
    /// Schedules the hedge of an attempt and the time at which it counts as slow.
    void scheduleTimers(const RequestPtr& request, const AttemptPtr& attempt);
    void countPending(const Request& request, Attempt& attempt);
    static Micros hedgeDelay(const ServiceState& state, const Request& request);
    static void recordLatency(ServiceState& state, std::size_t target, Micros latency);
    void handleResponse(const RequestPtr& request, const AttemptPtr& attempt, Response response);
    void releaseGrant(
        std::size_t service, std::uint64_t grant, Instance* point, health::Verdict verdict, Micros latency);
    void endAttempt(const RequestPtr& request, const AttemptPtr& attempt, health::Verdict verdict);
    /// Takes a further attempt of the request from the retry budget; returns whether it is allowed.
    bool takeExtraAttempt(Request& request);
    void retryOrFinish(const RequestPtr& request);
    void finish(const RequestPtr& request, bool good, bool isCompleted);
    /// Updates the views of a service's targets. Records detected faults, false ejections and violations of the floor.
    void refreshViews(std::size_t service, const std::vector<health::StageChange>& changes);
    double availableBytes() const;
    std::size_t maxRelayedWindows() const;
    PeerState summarizePeers(const ServiceState& state, const std::string& excludedPeer) const;
    void recordFalseEjection(const health::StageChange& change);
    void runCoordinator(std::size_t service);
    void sendReport(std::size_t service);
    void receiveReport(std::size_t service, Instance& sender, const std::vector<health::EvidenceWindow>& windows,
        const PeerState& peerState, std::uint64_t sequence);
    void receiveReply(std::size_t service, const health::PooledScores& scores, health::Duration age,
        const std::vector<health::EjectedTarget>& ejected, double utilisation, std::uint64_t sequence);
    void sendMessage(Instance& to, std::size_t bytes, std::function<void()> receive, bool placement = false);

    Simulation& m_simulation;
    health::Reporter m_self;
    double m_createdAt; ///< In seconds from the start of the run.
    double m_availableBytes = 5000; ///< Control traffic that may be sent at `m_availableBytesAt`.
    double m_availableBytesAt = 0; ///< When `m_availableBytes` was computed, in seconds.
    std::vector<std::unique_ptr<ServiceState>> m_services; ///< One per service.
    std::unique_ptr<routing::Router> m_router;
    std::set<std::pair<std::size_t, std::size_t>> m_detectedFaults; ///< Targets whose fault this instance has detected.
};

} // namespace buckthorncroft::simulation
