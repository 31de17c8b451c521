#include <buckthorncroft/routing/fair_queue.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthorncroft::routing {

namespace {

    using std::chrono::milliseconds;
    using Seconds = std::chrono::duration<double>;

    // Covers a burst of some seconds, so that the reserve follows what callers get over the whole of it.
    constexpr milliseconds serviceAveragingTime { 10'000 };
    constexpr milliseconds recentAveragingTime { 1000 };

    // Callers regard a class or workspace as starved below a quarter of the mean service.
    constexpr double minRelativeService = 0.35;

    constexpr milliseconds pruneInterval { 10'000 };

    // A flow without queued requests is forgotten below this number of recent arrivals.
    constexpr double minFlowArrivals = 0.01;

    double count(const limits::RateMeter& meter, base::SteadyTime now)
    {
        return meter.perSecond(now) * Seconds(serviceAveragingTime).count();
    }

    // Returns the rate less two standard deviations, so that a few arrivals at once do not count as a rate.
    double significantRate(const limits::RateMeter& meter, Seconds averagingTime, base::SteadyTime now)
    {
        const double events = meter.perSecond(now) * averagingTime.count();
        return std::max(0.0, events - 2 * std::sqrt(events)) / averagingTime.count();
    }

} // namespace

bool hasPrecedence(const DispatchRequest& a, const DispatchRequest& b, base::SteadyTime now)
{
    const bool lateA = a.objectiveDeadline <= now;
    const bool lateB = b.objectiveDeadline <= now;
    if (lateA != lateB)
        return lateB;
    return lateA ? a.deadline < b.deadline : a.objectiveDeadline < b.objectiveDeadline;
}

FairQueue::Service::Service()
    : arrivals(serviceAveragingTime)
    , recentArrivals(recentAveragingTime)
    , grants(serviceAveragingTime)
{
}

void FairQueue::Service::recordArrival(base::SteadyTime now)
{
    arrivals.recordEvent(now);
    recentArrivals.recordEvent(now);
}

double FairQueue::Service::ratio(base::SteadyTime now) const
{
    const double arrived = arrivals.perSecond(now);
    return arrived > 0 ? std::min(1.0, grants.perSecond(now) / arrived) : 1;
}

void FairQueue::recordArrival(const DispatchRequest& request, base::SteadyTime now)
{
    pruneIdleFlows(now);
    auto& requests = m_classes[request.priority];
    requests.flows[request.workspace].service.recordArrival(now);
    requests.service.recordArrival(now);
    m_service.recordArrival(now);
}

void FairQueue::recordGrant(const DispatchRequest& request, base::SteadyTime now)
{
    auto& requests = m_classes[request.priority];
    requests.flows[request.workspace].service.grants.recordEvent(now);
    requests.service.grants.recordEvent(now);
    m_service.grants.recordEvent(now);
}

void FairQueue::insert(const QueuedRequest& queued, base::SteadyTime now)
{
    auto& requests = m_classes[queued.request.priority];
    auto& flow = requests.flows[queued.request.workspace];
    if (flow.requests.empty())
        flow.startTag = std::max(flow.startTag, requests.virtualTime);
    const auto place = std::find_if(flow.requests.begin(), flow.requests.end(),
        [&](const QueuedRequest& it) { return hasPrecedence(queued.request, it.request, now); });
    flow.requests.insert(place, queued);
    ++requests.size;
    ++m_size;
}

bool FairQueue::contains(const DispatchKey& key, unsigned attempt) const
{
    for (const auto& [priority, requests] : m_classes) {
        for (const auto& [workspace, flow] : requests.flows) {
            if (std::any_of(flow.requests.begin(), flow.requests.end(),
                    [&](const QueuedRequest& it) { return it.request.attempt == attempt && it.request.key == key; }))
                return true;
        }
    }
    return false;
}

bool FairQueue::wouldBeNext(const DispatchRequest& request, base::SteadyTime now) const
{
    const auto* first = next({}, now);
    if (!first)
        return true;
    if (first->request.priority != request.priority)
        return request.priority < first->request.priority
            && !isBelowReserve(m_classes.at(first->request.priority).service, now);
    return first->request.workspace == request.workspace && hasPrecedence(request, first->request, now);
}

// A deficit of less than one request does not count, so that a few requests are served in strict order.
bool FairQueue::isBelowReserve(const Service& service, base::SteadyTime now) const
{
    const double reserved = minRelativeService * m_service.ratio(now) * count(service.arrivals, now);
    return reserved - count(service.grants, now) >= 1;
}

const QueuedRequest* FairQueue::firstOf(const Flow& flow, const std::vector<const QueuedRequest*>& skipped)
{
    for (const auto& it : flow.requests) {
        if (std::find(skipped.begin(), skipped.end(), &it) == skipped.end())
            return &it;
    }
    return nullptr;
}

const QueuedRequest* FairQueue::nextOf(
    const Class& requests, const std::vector<const QueuedRequest*>& skipped, base::SteadyTime now) const
{
    const QueuedRequest* result = nullptr;
    bool resultBelowReserve = false;
    double lowestTag = 0;
    for (const auto& [workspace, flow] : requests.flows) {
        const auto* first = firstOf(flow, skipped);
        if (!first)
            continue;
        const bool belowReserve = isBelowReserve(flow.service, now);
        const bool better = !result || (belowReserve != resultBelowReserve && belowReserve)
            || (belowReserve == resultBelowReserve
                && (flow.startTag < lowestTag
                    || (flow.startTag <= lowestTag && hasPrecedence(first->request, result->request, now))));
        if (better) {
            result = first;
            resultBelowReserve = belowReserve;
            lowestTag = flow.startTag;
        }
    }
    return result;
}

const QueuedRequest* FairQueue::next(const std::vector<const QueuedRequest*>& skipped, base::SteadyTime now) const
{
    const QueuedRequest* result = nullptr;
    for (const auto& [priority, requests] : m_classes) {
        if (requests.size == 0 || (result && !isBelowReserve(requests.service, now)))
            continue;
        if (const auto* first = nextOf(requests, skipped, now))
            result = first;
    }
    return result;
}

void FairQueue::removeGranted(const QueuedRequest& queued)
{
    auto& requests = m_classes.at(queued.request.priority);
    auto& flow = requests.flows.at(queued.request.workspace);
    requests.virtualTime = std::max(requests.virtualTime, flow.startTag);
    flow.startTag += 1;
    --requests.size;
    --m_size;
    flow.requests.remove_if([&](const QueuedRequest& it) { return &it == &queued; });
}

std::vector<QueuedRequest> FairQueue::removeIf(const std::function<bool(const QueuedRequest&)>& predicate)
{
    std::vector<QueuedRequest> result;
    for (auto& [priority, requests] : m_classes) {
        for (auto& [workspace, flow] : requests.flows) {
            for (auto it = flow.requests.begin(); it != flow.requests.end();) {
                if (!predicate(*it)) {
                    ++it;
                    continue;
                }
                result.push_back(std::move(*it));
                it = flow.requests.erase(it);
                --requests.size;
                --m_size;
            }
        }
    }
    return result;
}

// Estimates how many of the class's queued requests receive a slot before `request`.
double FairQueue::requestsAhead(const Class& requests, const DispatchRequest& request, base::SteadyTime now) const
{
    double result = 0;
    double ownAhead = 0;
    double startTag = requests.virtualTime;
    if (const auto own = requests.flows.find(request.workspace); own != requests.flows.end()) {
        startTag = std::max(startTag, own->second.startTag);
        ownAhead = static_cast<double>(
            std::count_if(own->second.requests.begin(), own->second.requests.end(), [&](const QueuedRequest& it) {
                return !(it.request.key == request.key) && !hasPrecedence(request, it.request, now);
            }));
    }
    // Each other workspace is served until its virtual time reaches that of the request.
    const double tag = startTag + ownAhead;
    for (const auto& [workspace, flow] : requests.flows) {
        if (workspace != request.workspace && !flow.requests.empty())
            result += std::clamp(std::floor(tag - flow.startTag) + 1, 0.0, static_cast<double>(flow.requests.size()));
    }
    return result + ownAhead;
}

std::size_t FairQueue::countIf(const std::function<bool(const QueuedRequest&)>& predicate) const
{
    std::size_t result = 0;
    for (const auto& [priority, requests] : m_classes) {
        for (const auto& [workspace, flow] : requests.flows)
            result += static_cast<std::size_t>(std::count_if(flow.requests.begin(), flow.requests.end(), predicate));
    }
    return result;
}

std::size_t FairQueue::moreUrgentRequests(unsigned priority) const
{
    std::size_t result = 0;
    for (const auto& [it, requests] : m_classes)
        result += it < priority ? requests.size : 0;
    return result;
}

// The request receives its slot in its turn, or from the reserve of its class if that is sooner.
Seconds FairQueue::expectedWait(const DispatchRequest& request, double grantsPerSecond, base::SteadyTime now) const
{
    const auto found = m_classes.find(request.priority);
    const double ahead = found == m_classes.end() ? 0 : requestsAhead(found->second, request, now);
    const double moreUrgent = static_cast<double>(moreUrgentRequests(request.priority));
    const double reservedRate = grantsPerSecond * reservedShare(request.priority, now);
    const double freeRate = grantsPerSecond - moreUrgentArrivalRate(request.priority, now);
    const double reservedWait = (ahead + 1) / reservedRate;
    return Seconds(freeRate > 0 ? std::min(reservedWait, (ahead + moreUrgent + 1) / freeRate) : reservedWait);
}

double FairQueue::classRate(unsigned priority, double grantsPerSecond, base::SteadyTime now) const
{
    return std::max(
        grantsPerSecond * reservedShare(priority, now), grantsPerSecond - moreUrgentArrivalRate(priority, now));
}

double FairQueue::moreUrgentArrivalRate(unsigned priority, base::SteadyTime now) const
{
    double result = 0;
    for (const auto& [it, requests] : m_classes) {
        if (it < priority)
            result += std::max(significantRate(requests.service.recentArrivals, recentAveragingTime, now),
                significantRate(requests.service.arrivals, serviceAveragingTime, now));
    }
    return result;
}

// Part of all grants that the class receives at least while it has queued requests.
double FairQueue::reservedShare(unsigned priority, base::SteadyTime now) const
{
    const double arrivals = m_service.arrivals.perSecond(now);
    const auto found = m_classes.find(priority);
    if (arrivals <= 0 || found == m_classes.end())
        return minRelativeService;
    return minRelativeService * std::min(1.0, found->second.service.arrivals.perSecond(now) / arrivals);
}

// The workspaces of a service change over time, so their state must not be kept for good.
void FairQueue::pruneIdleFlows(base::SteadyTime now)
{
    if (now - m_prunedAt < pruneInterval)
        return;
    m_prunedAt = now;
    for (auto& [priority, requests] : m_classes) {
        std::erase_if(requests.flows, [&](const auto& it) {
            return it.second.requests.empty() && count(it.second.service.arrivals, now) < minFlowArrivals;
        });
    }
}

} // namespace buckthorncroft::routing
