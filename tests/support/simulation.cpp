#include "instance.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>

namespace buckthorncroft::simulation {

using namespace std::chrono_literals;

namespace {

    // Lag of the platform's list of instances and targets.
    constexpr Micros listLag = 2s;
    // An instance that is not heard of for this long is no longer live.
    constexpr double membershipLag = 3;
    constexpr Micros drainTime = 5s;
    constexpr Micros startTime = 2s;
    // Evidence of an ended fault or of an unreachable zone may lead to an ejection for as long as evidence is kept.
    constexpr double faultMemory = 15;
    constexpr double meanServiceSeconds = 0.050;

    template <typename T> double percentile(std::vector<T> values, double share)
    {
        if (values.empty())
            return 0;
        const auto rank = static_cast<std::size_t>(std::ceil(share * double(values.size())));
        const auto index = std::max<std::size_t>(rank, 1) - 1;
        std::nth_element(values.begin(), values.begin() + std::ptrdiff_t(index), values.end());
        return values[index];
    }

    Micros micros(double seconds)
    {
        return Micros(static_cast<std::int64_t>(seconds * 1e6));
    }

} // namespace

double Metrics::latency(double share) const
{
    return percentile(latencies, share);
}

double Metrics::mostBytes(const std::map<std::string, std::uint64_t>& sent) const
{
    std::uint64_t most = 0;
    for (const auto& [name, bytes] : sent)
        most = std::max(most, bytes);
    return double(most) / seconds;
}

double Metrics::detection(double share, const std::string& target) const
{
    std::vector<double> all;
    for (const auto& [id, times] : detections) {
        if (target.empty() || id == target)
            all.insert(all.end(), times.begin(), times.end());
    }
    return percentile(all, share);
}

Deployment makeDeployment(const std::string& name, const std::vector<std::string>& only)
{
    struct Row {
        const char* service;
        unsigned targets;
        int deadlineMs;
        std::array<double, config::requestKindCount> mix;
    };
    const bool coast = name == "sprungfloor";
    const std::vector<Row> rows = coast
        ? std::vector<Row> { { "stockboard", 6, 1000, { 1, 0, 0 } }, { "bookdesk", 13, 1000, { 0.5, 0.5, 0 } },
              { "plandrop", 6, 3000, { 0.5, 0, 0.5 } }, { "quotebook", 12, 1000, { 1, 0, 0 } } }
        : std::vector<Row> { { "stock", 6, 2000, { 1, 0, 0 } }, { "hire", 11, 2000, { 0.5, 0.5, 0 } },
              { "results", 6, 3000, { 0.5, 0, 0.5 } }, { "calib", 7, 500, { 1, 0, 0 } } };
    Deployment result;
    result.name = name;
    result.zones = coast ? std::vector<std::string> { "coast-a", "coast-b", "coast-c" }
                         : std::vector<std::string> { "aberdare", "merthyr", "pontypridd" };
    for (const auto& row : rows) {
        if (!only.empty() && std::find(only.begin(), only.end(), row.service) == only.end())
            continue;
        config::Service service;
        service.name = row.service;
        service.bias = coast ? 1 : 0;
        service.coldStart = 10s;
        service.routes.push_back({ "all", "/", {}, config::RequestKind::Idempotent,
            std::chrono::milliseconds(row.deadlineMs), 1 << 20, true, false });
        for (unsigned i = 0; i < row.targets; ++i)
            service.targets.push_back({ row.service + std::string("-") + std::to_string(i + 1), "127.0.0.1", 1,
                result.zones[i % 3], 3, coast ? 400u : 330u, false });
        result.services.push_back(service);
        result.mix.push_back(row.mix);
    }
    return result;
}

Simulation::Simulation(Deployment what, Options how)
    : random(how.seed)
    , deployment(std::move(what))
    , options(how)
    , m_rates(deployment.services.size())
    , m_arriving(deployment.services.size())
{
    for (const auto& service : deployment.services) {
        auto& list = targets.emplace_back();
        underWay.emplace_back(service.targets.size());
        for (const auto& it : service.targets)
            list.push_back(std::make_unique<FakeTarget>(loop, random, it, service.coldStart));
        for (auto& it : list)
            it->warm();
        metrics.targets += static_cast<unsigned>(service.targets.size());
    }
    metrics.instances = deployment.instances;
    for (std::size_t i = 0; i < deployment.instances; ++i) {
        const Place place { "i" + std::to_string(i + 1), deployment.zones[i % deployment.zones.size()] };
        instances.push_back(std::make_unique<Instance>(*this, place, random()));
        // Instances do not tick at the same moment.
        loop.after(Micros(random() % 500000), [this, i] { tick(i); });
    }
}

Simulation::~Simulation() = default;

void Simulation::tick(std::size_t index)
{
    if (instances[index]->alive)
        instances[index]->tick();
    loop.after(500ms, [this, index] { tick(index); });
}

void Simulation::at(double seconds, std::function<void()> run)
{
    loop.after(micros(seconds - loop.seconds()), std::move(run));
}

void Simulation::run(double seconds)
{
    loop.runFor(micros(seconds));
    metrics.seconds += seconds;
    for (std::size_t s = 0; s < targets.size(); ++s) {
        for (std::size_t t = 0; t < targets[s].size(); ++t) {
            metrics.lateWork += std::exchange(targets[s][t]->lateArrivals, 0);
            for (const auto& it : instances) {
                if (it->alive && it->missed(s, t))
                    metrics.detections[targets[s][t]->place.name].push_back(std::numeric_limits<double>::infinity());
            }
        }
    }
    for (const auto& it : audits) {
        metrics.doubled += it.once && *it.executions > 1;
        metrics.falseNotRun += it.notRun && *it.executions > 0;
    }
    audits.clear();
}

void Simulation::setRate(const std::string& service, double rate)
{
    for (std::size_t i = 0; i < m_rates.size(); ++i) {
        if (!service.empty() && service != deployment.services[i].name)
            continue;
        m_rates[i] = rate;
        if (rate > 0 && !m_arriving[i]) {
            m_arriving[i] = true;
            arrivals(i);
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

void Simulation::arrivals(std::size_t service)
{
    if (m_rates[service] <= 0) {
        m_arriving[service] = false;
        return;
    }
    loop.after(micros(std::exponential_distribution<double>(m_rates[service])(random)), [this, service] {
        auto request = std::make_shared<Request>();
        const auto& mix = deployment.mix[service];
        request->service = service;
        request->kind
            = static_cast<config::RequestKind>(std::discrete_distribution<int>(mix.begin(), mix.end())(random));
        request->id = random();
        if (request->kind != config::RequestKind::Idempotent && random() % 2)
            request->key = std::to_string(request->id);
        dispatch(request);
        arrivals(service);
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
    auto again = std::make_shared<Request>();
    again->service = request.service;
    again->kind = request.kind;
    again->id = random();
    again->key = request.key;
    again->executions = request.executions;
    again->callerRetried = true;
    loop.after(100ms, [this, again] { dispatch(again); });
}

std::pair<std::size_t, std::size_t> Simulation::find(const std::string& target) const
{
    for (std::size_t s = 0; s < targets.size(); ++s) {
        for (std::size_t t = 0; t < targets[s].size(); ++t) {
            if (targets[s][t]->place.name == target)
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
    const auto key = find(target);
    auto& fake = *targets[key.first][key.second];
    const bool wasDead = fake.fault.kind == FaultKind::Dead;
    fake.fault = fault;
    if (fault.kind == FaultKind::None) {
        m_faults[key].second = loop.seconds();
        if (wasDead) {
            fake.start();
            fromList([key](Instance& it) { it.started(key.first, key.second); });
        }
        return;
    }
    m_faults[key] = { loop.seconds(), std::numeric_limits<double>::infinity() };
    if (fault.kind == FaultKind::Dead)
        fake.stop();
}

std::optional<double> Simulation::faultStart(std::size_t service, std::size_t target) const
{
    const auto it = m_faults.find({ service, target });
    if (it == m_faults.end() || it->second.second < loop.seconds())
        return std::nullopt;
    return it->second.first;
}

bool Simulation::isLost(const std::string& zone) const
{
    const auto it = m_zoneLost.find(zone);
    return it != m_zoneLost.end() && loop.seconds() < it->second;
}

bool Simulation::excusable(std::size_t service, std::size_t target) const
{
    const auto& fake = *targets[service][target];
    const auto it = m_faults.find({ service, target });
    const auto zone = m_zoneLost.find(fake.place.zone);
    return !fake.up || fake.draining || fake.cold()
        || (zone != m_zoneLost.end() && loop.seconds() < zone->second + faultMemory)
        || (it != m_faults.end() && loop.seconds() < it->second.second + faultMemory);
}

void Simulation::fromList(std::function<void(Instance&)> visit)
{
    loop.after(listLag, [this, visit = std::move(visit)] {
        for (const auto& it : instances) {
            if (it->alive)
                visit(*it);
        }
    });
}

void Simulation::restartTarget(const std::string& target)
{
    const auto [s, t] = find(target);
    auto& fake = *targets[s][t];
    fake.drain();
    fromList([s = s, t = t](Instance& it) { it.drainHeard(s, t, true, health::DrainSource::InstanceList); });
    loop.after(drainTime, [&fake] { fake.stop(); });
    loop.after(drainTime + startTime, [this, &fake, s = s, t = t] {
        fake.start();
        fromList([s, t](Instance& it) { it.started(s, t); });
    });
}

void Simulation::restartInstance(std::size_t index)
{
    instances[index]->accepting = false;
    stopWhenIdle(index, loop.seconds());
}

void Simulation::stopWhenIdle(std::size_t index, double since)
{
    // A planned stop waits for the longest deadline; what still runs then would be cut off.
    if (instances[index]->inFlight > 0 && loop.seconds() - since < 10)
        return loop.after(50ms, [this, index, since] { stopWhenIdle(index, since); });
    metrics.cutOff += instances[index]->inFlight;
    replaceInstance(index);
}

void Simulation::replaceInstance(std::size_t index)
{
    const auto place = instances[index]->place;
    instances[index]->accepting = instances[index]->alive = false;
    m_stopped.push_back(std::move(instances[index]));
    instances[index] = std::make_unique<Instance>(*this, place, random());
    // The list names what is draining or down, and the new instance reads it at its start.
    for (std::size_t s = 0; s < targets.size(); ++s) {
        for (std::size_t t = 0; t < targets[s].size(); ++t) {
            if (targets[s][t]->draining)
                instances[index]->drainHeard(s, t, true, health::DrainSource::InstanceList);
            if (isLost(targets[s][t]->place.zone))
                instances[index]->down(s, t, true);
        }
    }
}

void Simulation::setZoneLost(const std::string& zone, bool lost)
{
    if (lost) {
        m_zoneLost[zone] = std::numeric_limits<double>::infinity();
        links.cut(zone, "*");
        links.cut("*", zone);
    } else {
        m_zoneLost[zone] = loop.seconds();
        links.restore(zone, "*");
        links.restore("*", zone);
    }
    for (std::size_t i = 0; i < instances.size(); ++i) {
        if (instances[i]->place.zone != zone)
            continue;
        instances[i]->accepting = instances[i]->alive = false;
        instances[i]->lost = loop.seconds();
        if (!lost)
            replaceInstance(i);
    }
    fromList([this, zone, lost](Instance& it) {
        for (std::size_t s = 0; s < targets.size(); ++s) {
            for (std::size_t t = 0; t < targets[s].size(); ++t) {
                if (targets[s][t]->place.zone == zone)
                    it.down(s, t, lost);
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
        if (it.place.zone != zone || (!it.alive && loop.seconds() - it.lost > membershipLag))
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
