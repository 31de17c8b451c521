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

enum class Policy { Random, TwoChoices, Placement, Perfect };

/// One run. The switches turn parts of the product off, for baselines.
struct Options {
    std::uint64_t seed = 1;
    Policy policy = Policy::Placement;
    bool pooling = true; ///< Evidence of other instances is used.
    bool retryBudget = true; ///< Without it, every failed idempotent request is retried.
    bool stages = true; ///< Without them, a target is either in or ejected.
    bool retries = true; ///< Retries and hedges.
};

/// The services and instances of one user. Rates of requests are given by the run.
struct Deployment {
    std::string name;
    std::vector<std::string> zones;
    unsigned instances = 40;
    std::vector<config::Service> services;
    std::vector<std::array<double, config::requestKindCount>> mix; ///< Share of each kind, one entry per service.
};

/// `sprungfloor` or `cymoedd`, reduced to the named services; all of them when `only` is empty.
Deployment makeDeployment(const std::string& name, const std::vector<std::string>& only);

/// What a run showed. Times are in seconds unless stated.
struct Metrics {
    std::uint64_t requests = 0;
    std::uint64_t good = 0; ///< Good answers within the deadline.
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t attempts = 0;
    std::uint64_t asked = 0; ///< Requests that asked a placement point.
    std::uint64_t refused = 0; ///< Refused by the admission queue.
    std::uint64_t doubled = 0; ///< Non-idempotent requests that ran more than once.
    std::uint64_t wrongResponses = 0; ///< Answers to other requests that reached a caller.
    std::uint64_t falseNotRun = 0; ///< "Not run" although a target ran the request.
    std::uint64_t cutOff = 0; ///< Requests that a planned stop of an instance cut off.
    std::uint64_t lateWork = 0; ///< New work at a draining target after 3 s.
    std::uint64_t floorViolations = 0;
    std::map<std::string, std::uint64_t> controlBytes; ///< Sent by each instance, without placement.
    std::map<std::string, std::uint64_t> placementBytes; ///< Sent by each instance as or to a placement point.
    std::vector<float> latencies; ///< Milliseconds, of good answers.
    std::map<std::string, std::vector<double>> detections; ///< By target; one entry per instance.
    std::set<std::pair<std::string, long>>
        falseEjections; ///< Target and minute; one decision of the fleet counts once.
    std::vector<std::string> falseLog; ///< What is known about each false ejection.
    double seconds = 0;
    unsigned targets = 0;
    unsigned instances = 0;

    double goodput() const { return requests ? double(good) / double(requests) : 1; }
    double attemptsPerRequest() const { return requests ? double(attempts) / double(requests) : 0; }
    double falsePerTargetDay() const { return double(falseEjections.size()) * 86400 / (seconds * targets); }
    /// Bytes per second of the instance that sends the most.
    double bytesPerNodeSecond() const { return mostBytes(controlBytes); }
    double placementPerNodeSecond() const { return mostBytes(placementBytes); }
    double mostBytes(const std::map<std::string, std::uint64_t>& sent) const;
    /// Nearest-rank percentile of latencies, in milliseconds.
    double latency(double share) const;
    /// Nearest-rank percentile of detection times over instances; all targets if `target` is empty. Infinite for
    /// instances that did not notice.
    double detection(double share, const std::string& target = {}) const;
};

class Instance;
struct Request;

/// Instances, targets and links in virtual time. Each instance runs the product's decision objects.
class Simulation {
public:
    Simulation(Deployment deployment, Options options);
    ~Simulation();

    /// Runs `run` at a time in seconds from the start.
    void at(double seconds, std::function<void()> run);
    void run(double seconds);

    /// Requests per second of a service; of all services if `service` is empty.
    void setRate(const std::string& service, double rate);
    /// Requests per second that fill all slots of the service.
    double capacity(const std::string& service) const;
    void setFault(const std::string& target, Fault fault);
    void restartTarget(const std::string& target);
    void restartInstance(std::size_t index);
    void setZoneLost(const std::string& zone, bool lost);
    std::vector<std::string> targetIds(const std::string& service) const;

    /// Executions of a request over all targets, checked at the end of the run, because a late attempt may run after
    /// the answer.
    struct Audit {
        std::shared_ptr<unsigned> executions;
        bool once = false;
        bool notRun = false;
    };
    std::vector<Audit> audits;
    EventLoop loop;
    std::mt19937_64 random;
    Links links { random };
    FakeClaims claims { loop };
    Metrics metrics;
    Deployment deployment;
    Options options;
    std::vector<std::vector<std::unique_ptr<FakeTarget>>> targets; ///< By service and index.
    std::vector<std::vector<unsigned>> underWay; ///< Attempts on their way to each target; for perfect knowledge.
    std::vector<std::unique_ptr<Instance>> instances; ///< Current incarnation of each.

    /// The coordinator and placement point of a service in a zone, as the instances see it (3 s after a failure).
    Instance* coordinator(std::size_t service, const std::string& zone);
    /// Whether a fault or a recent one explains an ejection.
    bool excusable(std::size_t service, std::size_t target) const;
    std::optional<double> faultStart(std::size_t service, std::size_t target) const;
    /// Calls `visit` for each live instance after the lag of the platform's list.
    void fromList(std::function<void(Instance&)> visit);

    /// A caller whose keyed request has an unknown outcome sends it again through any instance.
    void retryAsCaller(const Request& request);

private:
    void arrivals(std::size_t service);
    void dispatch(const std::shared_ptr<Request>& request);
    void tick(std::size_t index);
    bool isLost(const std::string& zone) const;
    void stopWhenIdle(std::size_t index, double since);
    void replaceInstance(std::size_t index);
    std::pair<std::size_t, std::size_t> find(const std::string& target) const;

    std::vector<double> m_rates;
    std::vector<bool> m_arriving;
    std::map<std::pair<std::size_t, std::size_t>, std::pair<double, double>> m_faults; ///< Start and end, in seconds.
    std::vector<std::unique_ptr<Instance>> m_stopped;
    std::map<std::string, double> m_zoneLost; ///< Lost zones and when they returned, in seconds; infinite until then.
};

} // namespace buckthorncroft::simulation
