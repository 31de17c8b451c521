#pragma once

#include <buckthorncroft/limits/rate_meter.h>
#include <buckthorncroft/routing/dispatch_request.h>
#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace buckthorncroft::routing {

/// The queue of one service, for load in which requests of several urgencies and workspaces ask for more slots than the
/// targets have, as when approvals and downloads share a service and one workspace sends many times its usual rate.
///
/// Requests of one priority form a class. A more urgent class goes first. Within a class, each workspace receives an
/// equal share of the slots by start-time fair queueing; a share that is not used goes to the others. A class or
/// workspace that is served much less often than the service as a whole goes first until it has its reserve, so that
/// none is starved. Not safe for concurrent use.
class FairQueue {
public:
    /// Counts a request that arrives, whether it is queued or not.
    void recordArrival(const DispatchRequest& request, base::SteadyTime now);

    /// Counts a request that receives a slot, whether it was queued or not.
    void recordGrant(const DispatchRequest& request, base::SteadyTime now);

    void insert(const QueuedRequest& queued, base::SteadyTime now);

    bool contains(const DispatchKey& key, unsigned attempt) const;

    /// Whether the request would go before all queued ones.
    bool wouldBeNext(const DispatchRequest& request, base::SteadyTime now) const;

    /// Returns the request that is to receive the next slot, other than those in `skipped`; null if there is none. The
    /// pointer is valid until the request is removed.
    const QueuedRequest* next(const std::vector<const QueuedRequest*>& skipped, base::SteadyTime now) const;

    /// Removes a request that `next` returned and charges it to the share of its workspace.
    void removeGranted(const QueuedRequest& queued);

    /// Removes the requests for which `predicate` returns true, and returns them in the order of their classes.
    std::vector<QueuedRequest> removeIf(const std::function<bool(const QueuedRequest&)>& predicate);

    /// Returns the number of queued requests for which `predicate` returns true.
    std::size_t countIf(const std::function<bool(const QueuedRequest&)>& predicate) const;

    /// Expected wait of `request`, which may be queued or not, at `grantsPerSecond` of the service. Assumes that more
    /// urgent requests continue to arrive at their recent rate.
    std::chrono::duration<double> expectedWait(
        const DispatchRequest& request, double grantsPerSecond, base::SteadyTime now) const;

    /// Grants per second that the class of `priority` can expect.
    double classRate(unsigned priority, double grantsPerSecond, base::SteadyTime now) const;

    std::size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }

private:
    /// Arrivals and grants, with exponentially decreasing weight.
    struct Service {
        Service();
        void recordArrival(base::SteadyTime now);
        double ratio(base::SteadyTime now) const;

        limits::RateMeter arrivals;
        limits::RateMeter recentArrivals;
        limits::RateMeter grants;
    };
    /// The requests of one workspace in one class.
    struct Flow {
        std::list<QueuedRequest> requests; ///< In the order in which they receive slots.
        double startTag = 0; ///< Virtual start time of the first request.
        Service service;
    };
    struct Class {
        std::map<std::string, Flow> flows;
        double virtualTime = 0; ///< Start tag of the last granted request.
        std::size_t size = 0;
        Service service;
    };

    static const QueuedRequest* firstOf(const Flow& flow, const std::vector<const QueuedRequest*>& skipped);
    const QueuedRequest* nextOf(
        const Class& requests, const std::vector<const QueuedRequest*>& skipped, base::SteadyTime now) const;
    bool isBelowReserve(const Service& service, base::SteadyTime now) const;
    double requestsAhead(const Class& requests, const DispatchRequest& request, base::SteadyTime now) const;
    std::size_t moreUrgentRequests(unsigned priority) const;
    double moreUrgentArrivalRate(unsigned priority, base::SteadyTime now) const;
    double reservedShare(unsigned priority, base::SteadyTime now) const;
    void pruneIdleFlows(base::SteadyTime now);

    std::map<unsigned, Class> m_classes; ///< By priority.
    Service m_service;
    std::size_t m_size = 0;
    base::SteadyTime m_prunedAt {};
};

} // namespace buckthorncroft::routing
