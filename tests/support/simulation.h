#pragma once

#include "fakes.h"

#include <buckthorncroft/health/service_health.h>
#include <buckthorncroft/limits/admission_queue.h>
#include <buckthorncroft/limits/retry_budget.h>
#include <buckthorncroft/outcome/request_outcome.h>
#include <buckthorncroft/routing/placement_point.h>
#include <buckthorncroft/routing/placement_policy.h>
#include <buckthorncroft/routing/router.h>
#include <set>

namespace buckthorncroft::simulation {

/// How an instance chooses targets. Placement is the product's policy; the others serve as baselines.
enum class Policy { Random, TwoChoices, Placement, Perfect };

/// Settings of one run. The switches turn parts of the product off to obtain baselines.
struct Options {
    std::uint64_t seed = 1;
    Policy policy = Policy::Placement;
    bool pooling = true; ///< Whether an instance uses the evidence of other instances.
    bool retryBudget = true; ///< Without it, only the attempt limit of each request bounds its retries.
    bool stages = true; ///< Without them, a target is either healthy or ejected.
    bool retries = true; ///< Whether failed attempts are retried and slow ones are hedged.
    bool idCheck = true; ///< Whether a response to another request is a failed attempt.
};

/// The services and instances of one installation. The request rates are set by the run.
struct Deployment {
    std::string name;
    std::vector<std::string> zones;
    unsigned instances = 40;
    std::vector<config::Service> services;
    /// Fraction of each request kind, one entry per service.
    std::vector<std::array<double, config::requestKindCount>> requestMix;
};

/// Returns the deployment `sprungfloor`, or `cymoedd` for any other name, reduced to the named services. An empty
/// `serviceNames` selects all services.
Deployment makeDeployment(const std::string& name, const std::vector<std::string>& serviceNames);

/// Results of a run. Times are in seconds unless stated otherwise.
struct Metrics {
    std::uint64_t requests = 0;
    std::uint64_t goodResponses = 0; ///< Successful responses within the deadline.
    std::uint64_t notRun = 0; ///< Requests that ended with the outcome NotRun.
    std::uint64_t unknown = 0; ///< Requests that ended with the outcome Unknown.
    std::uint64_t attempts = 0;
    std::uint64_t grantRequests = 0; ///< Requests for a grant that were sent to a placement point.
    std::uint64_t rejected = 0; ///< Requests that the admission queue rejected.
    std::uint64_t duplicateExecutions = 0; ///< Non-idempotent requests that ran more than once.
    std::uint64_t mismatchedResponses = 0; ///< Responses to other requests that reached a caller.
    std::uint64_t falseNotRun = 0; ///< Requests reported as not run although a target ran them.
    std::uint64_t interruptedRequests = 0; ///< Requests in flight that a planned stop of an instance aborted.
    std::uint64_t lateRequests = 0; ///< Requests that arrived at a target more than 3 s after its drain was announced.
    /// Updates of an instance's view of a service after which fewer targets were in use than the floor requires.
    std::uint64_t floorViolations = 0;
    std::map<std::string, std::uint64_t> controlBytes; ///< Sent by each instance, without placement messages.
    std::map<std::string, std::uint64_t> placementBytes; ///< Placement messages that each instance sent.
    std::vector<float> latencies; ///< Milliseconds, of successful responses.
    /// By target; one entry per instance, infinite if it did not detect the fault.
    std::map<std::string, std::vector<double>> detectionTimes;
    /// Target and minute, so that a decision of the whole fleet counts once.
    std::set<std::pair<std::string, long>> falseEjections;
    std::vector<std::string> falseEjectionDetails; ///< One line with the reason and the scores of each false ejection.
    double seconds = 0;
    unsigned targets = 0;
    unsigned instances = 0;

    double goodput() const { return requests ? double(goodResponses) / double(requests) : 1; }
    double attemptsPerRequest() const { return requests ? double(attempts) / double(requests) : 0; }
    double falseEjectionsPerTargetDay() const { return double(falseEjections.size()) * 86400 / (seconds * targets); }
    /// Returns the bytes per second of the instance that sends the most.
    double controlBytesPerSecond() const { return maxBytesPerSecond(controlBytes); }
    double placementBytesPerSecond() const { return maxBytesPerSecond(placementBytes); }
    double maxBytesPerSecond(const std::map<std::string, std::uint64_t>& sent) const;
    /// Returns the nearest-rank percentile of the latencies, in milliseconds.
    double latency(double fraction) const;
    /// Returns the nearest-rank percentile of the detection times of all instances; over all targets if `target` is
    /// empty. The time of an instance that did not detect the fault is infinite.
    double detectionTime(double fraction, const std::string& target = {}) const;
};

class Instance;
struct Request;

/// Simulates instances, targets and links in virtual time. Each instance runs the product's decision objects.
class Simulation {
public:
    Simulation(Deployment deployment, Options options);
    ~Simulation();

    /// Calls `callback` at a time in seconds from the start.
    void scheduleAt(double seconds, std::function<void()> callback);
    /// Runs the simulation for a time in seconds and evaluates what can only be checked at the end.
    void run(double seconds);

    /// Sets the requests per second of a service, or of each service if `service` is empty.
    void setRate(const std::string& service, double rate);
    /// Returns the requests per second that fill all slots of the service.
    double capacity(const std::string& service) const;
    /// Injects a fault into a target; `FaultKind::None` ends it.
    void setFault(const std::string& target, Fault fault);
    /// Drains, stops and starts a target as a deployment of new software does.
    void restartTarget(const std::string& target);
    /// Replaces an instance after its requests in flight have finished.
    void restartInstance(std::size_t index);
    /// Stops the instances of a zone and cuts the zone off, or restores it.
    void setZoneLost(const std::string& zone, bool lost);
    /// Returns the target ids of a service, or of all services if `service` is empty.
    std::vector<std::string> targetIds(const std::string& service) const;

    /// Counts the executions of a request over all targets. It is evaluated at the end of the run, because a late
    /// attempt may run after the caller has received the response.
    struct ExecutionCheck {
        std::shared_ptr<unsigned> executionCount;
        bool once = false; ///< The request must not run more than once.
        bool reportedNotRun = false; ///< The caller was told that the request did not run.
    };
    std::vector<ExecutionCheck> executionChecks;
    EventLoop loop;
    std::mt19937_64 random;
    Links links { random };
    FakeClaims claims { loop };
    Metrics metrics;
    Deployment deployment;
    Options options;
    std::vector<std::vector<std::unique_ptr<FakeTarget>>> targets; ///< By service and index.
    /// Attempts sent to each target that have not arrived; used by `Policy::Perfect`.
    std::vector<std::vector<unsigned>> attemptsInTransit;
    std::vector<std::unique_ptr<Instance>> instances; ///< Current incarnation of each instance.

    /// Returns the coordinator and placement point of a service in a zone. A failed instance keeps this role until the
    /// other instances detect its failure after 3 s.
    Instance* coordinator(std::size_t service, const std::string& zone);
    /// Whether a current or recent fault, drain, cold start or loss of the zone explains an ejection.
    bool isEjectionExpected(std::size_t service, std::size_t target) const;
    /// Returns the start of the current fault in seconds, or nullopt if the target has none.
    std::optional<double> faultStartedAt(std::size_t service, std::size_t target) const;
    /// Calls `notify` for each live instance after the propagation delay of the platform's list.
    void notifyInstances(std::function<void(Instance&)> notify);

    /// Sends a request with an unknown outcome again with the same idempotency key through any instance, as a caller
    /// does.
    void retryAsCaller(const Request& request);

private:
    void scheduleArrival(std::size_t service);
    void dispatch(const std::shared_ptr<Request>& request);
    void tick(std::size_t index);
    bool isZoneLost(const std::string& zone) const;
    void stopWhenIdle(std::size_t index, double stopRequestedAt);
    void replaceInstance(std::size_t index);
    std::pair<std::size_t, std::size_t> findTarget(const std::string& target) const;

    std::vector<double> m_requestRates;
    std::vector<bool> m_arriving; ///< Whether the next arrival is scheduled, by service.
    /// Start and end of the last fault of each target, in seconds; infinite end while it lasts.
    std::map<std::pair<std::size_t, std::size_t>, std::pair<double, double>> m_faultPeriods;
    std::vector<std::unique_ptr<Instance>> m_stoppedInstances;
    std::map<std::string, double> m_lostZones; ///< Lost zones and when they returned, in seconds; infinite while lost.
};

} // namespace buckthorncroft::simulation
