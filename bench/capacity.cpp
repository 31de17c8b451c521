// Prints the unit costs that docs/CAPACITY.md is based on: memory per target, route and peer, processor time per
// decision, observation, tick, report and configuration change, and bytes on the wire.

#include <buckthorncroft/config/parse.h>
#include <buckthorncroft/daemon/control_state.h>
#include <buckthorncroft/routing/router.h>
#include <buckthorncroft/wire/codec.h>
#include <ctime>
#include <fmt/format.h>
#include <functional>
#include <malloc.h>
#include <memory>

namespace {

using namespace buckthorncroft;
using namespace std::chrono_literals;

constexpr std::size_t targetsPerService = 23; // 68,000 targets in 2,900 services.
constexpr std::size_t routesPerService = 7; // 19,000 routes in 2,900 services.

// Returns the bytes that are allocated on the heap now.
std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// Returns the processor time of the calling thread in seconds.
double threadSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// Returns the mean processor time of a call in microseconds.
double microsecondsPerCall(std::size_t calls, const std::function<void()>& call)
{
    const auto start = threadSeconds();
    for (std::size_t i = 0; i < calls; ++i)
        call();
    return (threadSeconds() - start) / static_cast<double>(calls) * 1e6;
}

config::Configuration makeConfiguration(std::size_t targets, std::size_t routes)
{
    config::Configuration configuration;
    configuration.changeNumber = 1;
    for (std::size_t s = 0; s * targetsPerService < targets; ++s) {
        config::Service service;
        service.name = "service-" + std::to_string(s);
        for (std::size_t i = 0; i < routes; ++i) {
            config::Route route;
            route.name = "route-" + std::to_string(i);
            route.pathPrefix = "/path/" + std::to_string(i);
            route.methods = { "GET" };
            service.routes.push_back(route);
        }
        for (std::size_t i = 0; i < targetsPerService; ++i) {
            config::Target target;
            target.id = service.name + "-" + std::to_string(i);
            target.host = "10.0.0.1";
            target.port = static_cast<std::uint16_t>(1000 + i);
            target.zone = "zone-" + std::to_string(i % 17);
            service.targets.push_back(target);
        }
        configuration.services.push_back(std::move(service));
    }
    return configuration;
}

membership::Peer makePeer(std::size_t i)
{
    return { "instance-" + std::to_string(i), "zone-" + std::to_string(i % 17), "10.0.0.1:7000", i + 1, false };
}

struct Instance {
    explicit Instance(const config::Configuration& configuration)
        : state(makePeer(0), 1)
    {
        state.applyConfiguration(configuration, clock.now());
    }

    base::ManualClock clock;
    daemon::ControlState state;
};

void printMemory()
{
    fmt::print("{:<44} {:>12} {:>14}\n", "memory of the control state", "count", "bytes each");
    for (const std::size_t targets : { 1'000u, 10'000u, 68'000u }) {
        const auto configuration = makeConfiguration(targets, routesPerService);
        const auto before = heapBytes();
        const Instance instance(configuration);
        const auto stateBytes = heapBytes() - before;
        const auto snapshot = instance.state.snapshot(instance.clock.now());
        const auto bytesWithSnapshot = heapBytes() - before;
        fmt::print("{:<44} {:>12} {:>14.0f}\n", "target, with its part of the service", targets,
            static_cast<double>(stateBytes) / static_cast<double>(targets));
        fmt::print("{:<44} {:>12} {:>14.0f}\n", "target, in a snapshot", targets,
            static_cast<double>(bytesWithSnapshot - stateBytes) / static_cast<double>(targets));
    }
    const auto initialBytes = heapBytes();
    const auto configurationWithoutRoutes = makeConfiguration(10'000, 0);
    const auto bytesWithoutRoutes = heapBytes();
    const auto configurationWithRoutes = makeConfiguration(10'000, routesPerService);
    const auto services = static_cast<double>(configurationWithRoutes.services.size());
    const auto routeBytes = (static_cast<double>(heapBytes() - bytesWithoutRoutes)
                                - static_cast<double>(bytesWithoutRoutes - initialBytes))
        / services / static_cast<double>(routesPerService);
    fmt::print("{:<44} {:>12.0f} {:>14.0f}\n", "route", services * static_cast<double>(routesPerService), routeBytes);
    for (const std::size_t peers : { 40u, 4'900u }) {
        const auto before = heapBytes();
        membership::Membership members(makePeer(0));
        const base::ManualClock clock;
        for (std::size_t i = 1; i < peers; ++i)
            members.recordDirectContact(makePeer(i), clock.now());
        fmt::print("{:<44} {:>12} {:>14.0f}\n", "peer", peers,
            static_cast<double>(heapBytes() - before) / static_cast<double>(peers));
    }
}

void printDecisions()
{
    fmt::print("\n{:<44} {:>12} {:>14}\n", "processor time", "size", "us per call");
    const auto router = routing::makeTwoChoicesRouter("zone-0");
    const auto configuration = makeConfiguration(targetsPerService, 1);
    const auto& service = configuration.services.front();
    const std::vector<health::TargetView> views(service.targets.size());
    std::vector<routing::TargetLoad> load(service.targets.size());
    for (auto& it : load)
        it.connectionShare = 8;
    std::mt19937_64 random(1);
    fmt::print("{:<44} {:>12} {:>14.2f}\n", "routing decision, targets of the service", service.targets.size(),
        microsecondsPerCall(200'000, [&] { router->choose({}, service, views, load, random); }));

    Instance instance(configuration);
    const auto record = instance.state.snapshot(instance.clock.now())->services.front().service;
    fmt::print("{:<44} {:>12} {:>14.2f}\n", "observation", 1, microsecondsPerCall(200'000, [&] {
        instance.state.observe({ { record,
            { 3, config::RequestKind::Idempotent, health::Verdict::Good, 50ms, 2000ms, instance.clock.now() } } });
    }));
}

void printControl()
{
    for (const std::size_t targets : { 46u, 1'000u, 10'000u, 68'000u }) {
        Instance instance(makeConfiguration(targets, routesPerService));
        const auto tick = microsecondsPerCall(10, [&] {
            instance.clock.advance(100ms);
            instance.state.tick(instance.clock.now());
        });
        fmt::print(
            "{:<44} {:>12} {:>14.2f}\n", "tick, per target and 0.1 s", targets, tick / static_cast<double>(targets));
        const auto snapshot = microsecondsPerCall(10, [&] { instance.state.snapshot(instance.clock.now()); });
        fmt::print(
            "{:<44} {:>12} {:>14.2f}\n", "snapshot, per target", targets, snapshot / static_cast<double>(targets));
    }
    for (const std::size_t peers : { 40u, 4'900u }) {
        membership::Membership members(makePeer(0));
        const base::ManualClock clock;
        for (std::size_t i = 1; i < peers; ++i)
            members.recordDirectContact(makePeer(i), clock.now());
        const membership::CoordinatorTable table(members.live(clock.now()));
        fmt::print("{:<44} {:>12} {:>14.2f}\n", "table of coordinators, peers", peers,
            microsecondsPerCall(50, [&] { membership::CoordinatorTable copy(members.live(clock.now())); }));
        fmt::print("{:<44} {:>12} {:>14.2f}\n", "coordinator lookup, peers", peers,
            microsecondsPerCall(2000, [&] { table.find("service-1", "zone-1"); }));
    }
}

void printMessages()
{
    wire::Report report;
    report.sender = makePeer(1);
    report.sequence = 1;
    const auto empty = wire::encode(report).size();
    report.peers.push_back({ makePeer(2), 100ms });
    const auto withPeer = wire::encode(report).size();
    wire::ServiceReport part;
    part.service = "service-17";
    constexpr std::size_t windows = 1000;
    for (std::size_t i = 0; i < windows; ++i)
        part.windows.push_back({ { "instance-1", "zone-1", 2 }, "service-17-" + std::to_string(i % 23),
            config::RequestKind::Idempotent, 1000 + i, 500ms, { 3, 0, 1 }, { 4, 44, 485 } });
    report.services.push_back(part);
    const auto full = wire::encode(report);
    fmt::print("\n{:<44} {:>12} {:>14}\n", "bytes on the wire", "", "bytes each");
    fmt::print("{:<44} {:>12} {:>14}\n", "report without content", "", empty);
    fmt::print("{:<44} {:>12} {:>14}\n", "peer in a report", "", withPeer - empty);
    fmt::print(
        "{:<44} {:>12} {:>14.1f}\n", "evidence window", "", static_cast<double>(full.size() - withPeer) / windows);
    fmt::print("{:<44} {:>12} {:>14.2f}\n", "decoding a window (us)", "",
        microsecondsPerCall(200, [&] { wire::decode(full).has_value(); }) / windows);

    const auto configuration = makeConfiguration(10'000, routesPerService);
    const auto text = config::formatConfiguration(configuration);
    const auto services = static_cast<double>(configuration.services.size());
    fmt::print("{:<44} {:>12} {:>14.0f}\n", "service record with 23 targets and 7 routes", "",
        static_cast<double>(text.size()) / services);
    fmt::print("{:<44} {:>12} {:>14.0f}\n", "parsing and checking a service record (us)", "",
        microsecondsPerCall(1, [&] { config::parseConfiguration(text, "bench"); }) / services);
}

} // namespace

int main()
{
    printMemory();
    printDecisions();
    printControl();
    printMessages();
    return 0;
}
