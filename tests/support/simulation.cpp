#include "instance.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>

namespace buckthorncroft::simulation {

using namespace std::chrono_literals;

namespace {

    // Propagation delay of the platform's list of instances and targets.
    constexpr Micros listDelay = 2s;
    // An instance from which no message arrives for this long no longer counts as live.
    constexpr double memberTimeoutSeconds = 3;
    // A restarted target stops `drainDelay` after it announced the drain and starts `startDelay` after it stopped.
    constexpr Micros drainDelay = 5s;
    constexpr Micros startDelay = 2s;
    // Evidence of an ended fault or of an unreachable zone may lead to an ejection until it expires.
    constexpr double evidenceTtlSeconds = 15;
    constexpr double meanServiceSeconds = 0.050;

    template <typename T> double percentile(std::vector<T> values, double fraction)
    {
        if (values.empty())
            return 0;
        const auto rank = static_cast<std::size_t>(std::ceil(fraction * double(values.size())));
        const auto index = std::max<std::size_t>(rank, 1) - 1;
        std::nth_element(values.begin(), values.begin() + std::ptrdiff_t(index), values.end());
        return values[index];
    }

    Micros toMicroseconds(double seconds)
    {
        return Micros(static_cast<std::int64_t>(seconds * 1e6));
    }

} // namespace

double Metrics::latency(double fraction) const
{
    return percentile(latencies, fraction);
}

double Metrics::maxBytesPerSecond(const std::map<std::string, std::uint64_t>& sent) const
{
    std::uint64_t most = 0;
    for (const auto& [name, bytes] : sent)
        most = std::max(most, bytes);
    return double(most) / seconds;
}

double Metrics::detectionTime(double fraction, const std::string& target) const
{
    std::vector<double> all;
    for (const auto& [id, times] : detectionTimes) {
        if (target.empty() || id == target)
            all.insert(all.end(), times.begin(), times.end());
    }
    return percentile(all, fraction);
}

Deployment makeDeployment(const std::string& name, const std::vector<std::string>& serviceNames)
{
    struct Row {
        const char* service;
        unsigned targets;
        int deadlineMs;
        std::array<double, config::requestKindCount> requestMix;
    };
    const bool isSprungfloor = name == "sprungfloor";
    const std::vector<Row> rows = isSprungfloor
        ? std::vector<Row> { { "stockboard", 6, 1000, { 1, 0, 0 } }, { "bookdesk", 13, 1000, { 0.5, 0.5, 0 } },
              { "plandrop", 6, 3000, { 0.5, 0, 0.5 } }, { "quotebook", 12, 1000, { 1, 0, 0 } } }
        : std::vector<Row> { { "stock", 6, 2000, { 1, 0, 0 } }, { "hire", 11, 2000, { 0.5, 0.5, 0 } },
              { "results", 6, 3000, { 0.5, 0, 0.5 } }, { "calib", 7, 500, { 1, 0, 0 } } };
    Deployment result;
    result.name = name;
    result.zones = isSprungfloor ? std::vector<std::string> { "coast-a", "coast-b", "coast-c" }
                                 : std::vector<std::string> { "aberdare", "merthyr", "pontypridd" };
    for (const auto& row : rows) {
        if (!serviceNames.empty()
            && std::find(serviceNames.begin(), serviceNames.end(), row.service) == serviceNames.end())
            continue;
        config::Service service;
        service.name = row.service;
        service.bias = isSprungfloor ? 1 : 0;
        service.coldStart = 10s;
        service.routes.push_back({ "all", "/", {}, config::RequestKind::Idempotent,
            std::chrono::milliseconds(row.deadlineMs), 1 << 20, true, false });
        for (unsigned i = 0; i < row.targets; ++i)
            service.targets.push_back({ row.service + std::string("-") + std::to_string(i + 1), "127.0.0.1", 1,
                result.zones[i % 3], 3, isSprungfloor ? 400u : 330u, false });
        result.services.push_back(service);
        result.requestMix.push_back(row.requestMix);
    }
    return result;
}

Simulation::Simulation(Deployment newDeployment, Options newOptions)
    : random(newOptions.seed)
    , deployment(std::move(newDeployment))
    , options(newOptions)
    , m_requestRates(deployment.services.size())
    , m_arriving(deployment.services.size())
{
    for (const auto& service : deployment.services) {
        auto& list = targets.emplace_back();
        attemptsInTransit.emplace_back(service.targets.size());
        for (const auto& it : service.targets)
            list.push_back(std::make_unique<FakeTarget>(loop, random, it, service.coldStart));
        for (auto& it : list)
            it->endColdStart();
        metrics.targets += static_cast<unsigned>(service.targets.size());
    }
    metrics.instances = deployment.instances;
    for (std::size_t i = 0; i < deployment.instances; ++i) {
        const Endpoint endpoint { "i" + std::to_string(i + 1), deployment.zones[i % deployment.zones.size()] };
        instances.push_back(std::make_unique<Instance>(*this, endpoint, random()));
        // The random delay prevents all instances from ticking at the same time.
        loop.scheduleAfter(Micros(random() % 500000), [this, i] { tick(i); });
    }
}

Simulation::~Simulation() = default;

void Simulation::tick(std::size_t index)
{
    if (instances[index]->alive)
        instances[index]->tick();
    loop.scheduleAfter(500ms, [this, index] { tick(index); });
}

void Simulation::scheduleAt(double seconds, std::function<void()> callback)
{
    loop.scheduleAfter(toMicroseconds(seconds - loop.seconds()), std::move(callback));
}

void Simulation::run(double seconds)
{
    loop.runFor(toMicroseconds(seconds));
    metrics.seconds += seconds;
    for (std::size_t s = 0; s < targets.size(); ++s) {
        for (std::size_t t = 0; t < targets[s].size(); ++t) {
            metrics.lateRequests += std::exchange(targets[s][t]->lateArrivals, 0);
            for (const auto& it : instances) {
                if (it->alive && it->hasUndetectedFault(s, t))
                    metrics.detectionTimes[targets[s][t]->endpoint.name].push_back(
                        std::numeric_limits<double>::infinity());
            }
        }
    }
    for (const auto& it : executionChecks) {
        metrics.duplicateExecutions += it.once && *it.executionCount > 1;
        metrics.falseNotRun += it.reportedNotRun && *it.executionCount > 0;
    }
    executionChecks.clear();
}

void Simulation::setRate(const std::string& service, double rate)
{
    for (std::size_t i = 0; i < m_requestRates.size(); ++i) {
        if (!service.empty() && service != deployment.services[i].name)
            continue;
        m_requestRates[i] = rate;
        if (rate > 0 && !m_arriving[i]) {
            m_arriving[i] = true;
            scheduleArrival(i);
        }
    }
}

double Simulation::capacity(const std::string& service) const
{
    for (const auto& it : deployment.services) {
        if (it.name == service)
            return 3 * double(it.targets.size()) / meanServiceSeconds;
    }
    return 0;
}

void Simulation::scheduleArrival(std::size_t service)
{
    if (m_requestRates[service] <= 0) {
        m_arriving[service] = false;
        return;
    }
    loop.scheduleAfter(
        toMicroseconds(std::exponential_distribution<double>(m_requestRates[service])(random)), [this, service] {
            auto request = std::make_shared<Request>();
            const auto& requestMix = deployment.requestMix[service];
            request->service = service;
            request->kind = static_cast<config::RequestKind>(
                std::discrete_distribution<int>(requestMix.begin(), requestMix.end())(random));
            request->id = random();
            if (request->kind != config::RequestKind::Idempotent && random() % 2)
                request->key = std::to_string(request->id);
            dispatch(request);
            scheduleArrival(service);
        });
}

void Simulation::dispatch(const std::shared_ptr<Request>& request)
{
    std::vector<Instance*> accepting;
    for (const auto& it : instances) {
        if (it->accepting)
            accepting.push_back(it.get());
    }
    if (!accepting.empty())
        accepting[random() % accepting.size()]->accept(request);
}

void Simulation::retryAsCaller(const Request& request)
{
    auto retry = std::make_shared<Request>();
    retry->service = request.service;
    retry->kind = request.kind;
    retry->id = random();
    retry->key = request.key;
    retry->executionCount = request.executionCount;
    retry->callerRetried = true;
    loop.scheduleAfter(100ms, [this, retry] { dispatch(retry); });
}

std::pair<std::size_t, std::size_t> Simulation::findTarget(const std::string& target) const
{
    for (std::size_t s = 0; s < targets.size(); ++s) {
        for (std::size_t t = 0; t < targets[s].size(); ++t) {
            if (targets[s][t]->endpoint.name == target)
                return { s, t };
        }
    }
    throw std::invalid_argument("no target " + target);
}

std::vector<std::string> Simulation::targetIds(const std::string& service) const
{
    std::vector<std::string> result;
    for (const auto& it : deployment.services) {
        for (const auto& target : it.targets) {
            if (it.name == service || service.empty())
                result.push_back(target.id);
        }
    }
    return result;
}

void Simulation::setFault(const std::string& target, Fault fault)
{
    const auto key = findTarget(target);
    auto& fake = *targets[key.first][key.second];
    const bool wasDead = fake.fault.kind == FaultKind::Dead;
    fake.fault = fault;
    if (fault.kind == FaultKind::None) {
        m_faultPeriods[key].second = loop.seconds();
        if (wasDead) {
            fake.start();
            notifyInstances([key](Instance& it) { it.handleStart(key.first, key.second); });
        }
        return;
    }
    m_faultPeriods[key] = { loop.seconds(), std::numeric_limits<double>::infinity() };
    if (fault.kind == FaultKind::Dead)
        fake.stop();
}

std::optional<double> Simulation::faultStartedAt(std::size_t service, std::size_t target) const
{
    const auto it = m_faultPeriods.find({ service, target });
    if (it == m_faultPeriods.end() || it->second.second < loop.seconds())
        return std::nullopt;
    return it->second.first;
}

bool Simulation::isZoneLost(const std::string& zone) const
{
    const auto it = m_lostZones.find(zone);
    return it != m_lostZones.end() && loop.seconds() < it->second;
}

bool Simulation::isEjectionExpected(std::size_t service, std::size_t target) const
{
    const auto& fake = *targets[service][target];
    const auto it = m_faultPeriods.find({ service, target });
    const auto zone = m_lostZones.find(fake.endpoint.zone);
    return !fake.up || fake.draining || fake.isCold()
        || (zone != m_lostZones.end() && loop.seconds() < zone->second + evidenceTtlSeconds)
        || (it != m_faultPeriods.end() && loop.seconds() < it->second.second + evidenceTtlSeconds);
}

void Simulation::notifyInstances(std::function<void(Instance&)> notify)
{
    loop.scheduleAfter(listDelay, [this, notify = std::move(notify)] {
        for (const auto& it : instances) {
            if (it->alive)
                notify(*it);
        }
    });
}

void Simulation::restartTarget(const std::string& target)
{
    const auto [s, t] = findTarget(target);
    auto& fake = *targets[s][t];
    fake.drain();
    notifyInstances([s = s, t = t](Instance& it) { it.handleDrain(s, t, true, health::DrainSource::InstanceList); });
    loop.scheduleAfter(drainDelay, [&fake] { fake.stop(); });
    loop.scheduleAfter(drainDelay + startDelay, [this, &fake, s = s, t = t] {
        fake.start();
        notifyInstances([s, t](Instance& it) { it.handleStart(s, t); });
    });
}

void Simulation::restartInstance(std::size_t index)
{
    instances[index]->accepting = false;
    stopWhenIdle(index, loop.seconds());
}

void Simulation::stopWhenIdle(std::size_t index, double stopRequestedAt)
{
    // A planned stop waits at most 10 s, longer than any request deadline; requests still in flight then are aborted.
    if (instances[index]->inFlight > 0 && loop.seconds() - stopRequestedAt < 10)
        return loop.scheduleAfter(50ms, [this, index, stopRequestedAt] { stopWhenIdle(index, stopRequestedAt); });
    metrics.interruptedRequests += instances[index]->inFlight;
    replaceInstance(index);
}

void Simulation::replaceInstance(std::size_t index)
{
    const auto endpoint = instances[index]->endpoint;
    instances[index]->accepting = instances[index]->alive = false;
    m_stoppedInstances.push_back(std::move(instances[index]));
    instances[index] = std::make_unique<Instance>(*this, endpoint, random());
    // A new instance reads from the list which targets are draining or down.
    for (std::size_t s = 0; s < targets.size(); ++s) {
        for (std::size_t t = 0; t < targets[s].size(); ++t) {
            if (targets[s][t]->draining)
                instances[index]->handleDrain(s, t, true, health::DrainSource::InstanceList);
            if (isZoneLost(targets[s][t]->endpoint.zone))
                instances[index]->handleDown(s, t, true);
        }
    }
}

void Simulation::setZoneLost(const std::string& zone, bool lost)
{
    if (lost) {
        m_lostZones[zone] = std::numeric_limits<double>::infinity();
        links.cut(zone, "*");
        links.cut("*", zone);
    } else {
        m_lostZones[zone] = loop.seconds();
        links.restore(zone, "*");
        links.restore("*", zone);
    }
    for (std::size_t i = 0; i < instances.size(); ++i) {
        if (instances[i]->endpoint.zone != zone)
            continue;
        instances[i]->accepting = instances[i]->alive = false;
        instances[i]->lostAt = loop.seconds();
        if (!lost)
            replaceInstance(i);
    }
    notifyInstances([this, zone, lost](Instance& it) {
        for (std::size_t s = 0; s < targets.size(); ++s) {
            for (std::size_t t = 0; t < targets[s].size(); ++t) {
                if (targets[s][t]->endpoint.zone == zone)
                    it.handleDown(s, t, lost);
            }
        }
    });
}

Instance* Simulation::coordinator(std::size_t service, const std::string& zone)
{
    Instance* best = nullptr;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < instances.size(); ++i) {
        auto& it = *instances[i];
        if (it.endpoint.zone != zone || (!it.alive && loop.seconds() - it.lostAt > memberTimeoutSeconds))
            continue;
        std::uint64_t hash = (i + 1) * 0x9e3779b97f4a7c15ULL ^ (service + 1) * 0xc2b2ae3d27d4eb4fULL;
        hash = (hash ^ (hash >> 29)) * 0xbf58476d1ce4e5b9ULL;
        if (!best || hash > highest) {
            best = &it;
            highest = hash;
        }
    }
    return best;
}

} // namespace buckthorncroft::simulation
