#define BOOST_TEST_MODULE ControlPlane
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <buckthorncroft/daemon/control_plane.h>
#include <buckthorncroft/store/configuration_store.h>
#include <buckthorncroft/store/memory_platform.h>
#include <cstdio>
#include <memory>
#include <thread>

using namespace buckthorncroft;
using namespace std::chrono_literals;

namespace {

config::Service service(const std::string& name, double bias)
{
    config::Service result;
    result.name = name;
    result.bias = bias;
    config::Route route;
    route.name = "all";
    route.pathPrefix = "/";
    result.routes.push_back(route);
    config::Target target;
    target.id = name + "-1";
    target.host = "127.0.0.1";
    target.port = 9;
    target.zone = "z1";
    result.targets.push_back(target);
    return result;
}

// One instance with a configuration store of its own on the shared platform, or without one if `shared` is null.
struct Instance {
    Instance(unsigned n, const std::vector<daemon::Endpoint>& peers, store::MemoryPlatform* shared)
    {
        settings.instance = "e" + std::to_string(n);
        settings.zone = "z" + std::to_string(n);
        settings.inner = { "127.0.0.1", peers.at(n).port };
        settings.innerPeers = peers;
        settings.innerTls.plaintext = true;
        logger = std::make_unique<observe::Logger>(clock, settings.instance, settings.zone, observe::Level::Error, log);
        daemon::PlatformAccess access;
        if (shared) {
            store = std::make_unique<store::ConfigurationStore>(*shared, clock);
            access.store = store.get();
        }
        auto started
            = daemon::ControlPlane::start({ settings, clock, snapshots, observations, *logger, metrics, access }, {});
        BOOST_REQUIRE(started.has_value());
        control = std::move(started).value();
    }

    ~Instance()
    {
        control.reset();
        std::fclose(log);
    }
    Instance(const Instance&) = delete;
    Instance& operator=(const Instance&) = delete;

    std::uint64_t changeNumber() const
    {
        const auto snapshot = snapshots.read();
        return snapshot ? snapshot->changeNumber : 0;
    }

    base::SystemClock clock;
    daemon::InstanceSettings settings;
    std::FILE* log = std::tmpfile();
    daemon::SnapshotStore snapshots;
    daemon::ObservationQueue observations;
    observe::Metrics metrics;
    std::unique_ptr<observe::Logger> logger;
    std::unique_ptr<store::ConfigurationStore> store;
    std::unique_ptr<daemon::ControlPlane> control;
};

// Waits for a condition. Has no timeout of its own; that of the test program ends a wait that never succeeds.
template <typename Condition> void waitUntil(Condition condition)
{
    while (!condition())
        std::this_thread::sleep_for(10ms);
}

// Inner endpoints on three consecutive ports. No other process may listen on them, because the inner server does not
// start on a port in use.
std::vector<daemon::Endpoint> consecutivePorts(std::uint16_t base)
{
    return { { "127.0.0.1", base }, { "127.0.0.1", static_cast<std::uint16_t>(base + 1) },
        { "127.0.0.1", static_cast<std::uint16_t>(base + 2) } };
}

struct PlatformFixture {
    base::SystemClock clock;
    store::MemoryPlatform platform { clock };
    store::ConfigurationStore store { platform, clock };

    std::uint64_t submit(const config::Service& record, std::uint64_t base, const std::string& id)
    {
        const auto accepted = store.submit({ record, base, id, "op", "test" }, 1s);
        BOOST_REQUIRE(accepted.has_value());
        return accepted.value().change;
    }
};

} // namespace

// Guards against an instance without access to the store that never receives a change which its peers have.
BOOST_FIXTURE_TEST_CASE(instancesWithoutTheStoreFetchFromPeers, PlatformFixture)
{
    const auto peers = consecutivePorts(27110);
    const Instance reader(0, peers, &platform);
    const Instance isolated(1, peers, nullptr);
    submit(service("a", 0.5), 0, "op-1");
    const auto newest = submit(service("b", 0.5), 0, "op-2");
    waitUntil([&] { return isolated.changeNumber() == newest; });
    BOOST_TEST(isolated.snapshots.read()->services.size() == 2u);
}

// Guards against a restarted instance that has no configuration, or an old one, while the store is unavailable.
BOOST_FIXTURE_TEST_CASE(restartDuringAnOutageFetchesTheNewestFromPeers, PlatformFixture)
{
    const auto peers = consecutivePorts(27120);
    const Instance reader(0, peers, &platform);
    const auto newest = submit(service("a", 0.5), 0, "op-1");
    waitUntil([&] { return reader.changeNumber() == newest; });
    store::PlatformFaults faults;
    faults.down = true;
    platform.setFaults(faults);
    const Instance restarted(1, peers, &platform);
    waitUntil([&] { return restarted.changeNumber() == newest; });
    BOOST_TEST(reader.changeNumber() == newest);
}

// Guards against stale reads that restore an older configuration.
BOOST_FIXTURE_TEST_CASE(staleReadsNeverRevertTheConfiguration, PlatformFixture)
{
    const auto peers = consecutivePorts(27130);
    const Instance reader(0, peers, &platform);
    submit(service("a", 0.1), 0, "op-1");
    const auto newest = submit(service("a", 0.9), 1, "op-2");
    waitUntil([&] { return reader.changeNumber() == newest; });
    store::PlatformFaults faults;
    faults.readStaleness = 30s;
    platform.setFaults(faults);
    const auto last = submit(service("b", 0.5), 0, "op-3");
    for (int i = 0; i < 30; ++i) {
        std::this_thread::sleep_for(50ms);
        BOOST_TEST(reader.changeNumber() >= newest);
        BOOST_TEST(reader.snapshots.read()->services.front().service->bias == 0.9);
    }
    platform.setFaults({});
    waitUntil([&] { return reader.changeNumber() == last; });
}

// Guards against a damaged record that is applied, sent to peers, or blocks changes of other services.
BOOST_FIXTURE_TEST_CASE(damagedRecordIsNotAppliedAndOtherChangesAre, PlatformFixture)
{
    const auto peers = consecutivePorts(27140);
    const Instance reader(0, peers, &platform);
    submit(service("a", 0.1), 0, "op-1");
    const auto before = submit(service("b", 0.1), 0, "op-2");
    waitUntil([&] { return reader.changeNumber() == before; });
    submit(service("a", 0.9), 1, "op-3");
    const auto rows = platform.scan("", 1000, 1s);
    BOOST_REQUIRE(rows.has_value());
    // Damages the newest record of service a in the store, whatever key it has.
    unsigned damaged = 0;
    for (auto row : rows.value()) {
        const auto at = row.value.find("bias = 0.9");
        if (at == std::string::npos)
            continue;
        row.value.replace(at, 10, "bias = 0.8");
        damaged += platform.commit({ { row.key, row.value, row.version } }, 1s).has_value() ? 1 : 0;
    }
    BOOST_REQUIRE(damaged > 0u);
    const auto newest = submit(service("b", 0.7), 1, "op-4");
    waitUntil([&] { return reader.changeNumber() == newest; });
    for (const auto& it : reader.snapshots.read()->services)
        BOOST_TEST((it.service->name != "a" || it.service->bias < 0.8));
    BOOST_TEST(reader.snapshots.read()->services.size() == 2u);
}

// Guards against an inner endpoint in use that is detected only when peers cannot reach the instance.
BOOST_FIXTURE_TEST_CASE(innerAddressInUseIsAnError, PlatformFixture)
{
    const auto peers = consecutivePorts(27150);
    const Instance first(0, peers, nullptr);
    daemon::SnapshotStore snapshots;
    daemon::ObservationQueue observations;
    observe::Metrics metrics;
    const auto second = daemon::ControlPlane::start(
        { first.settings, first.clock, snapshots, observations, *first.logger, metrics, {} }, {});
    BOOST_TEST(second.has_error());
}

// Guards against a status document without the change number or the targets.
BOOST_FIXTURE_TEST_CASE(statusContainsTheChangeNumberAndTheTargets, PlatformFixture)
{
    const auto peers = consecutivePorts(27160);
    const Instance reader(0, peers, &platform);
    const auto newest = submit(service("a", 0.5), 0, "op-1");
    waitUntil([&] { return reader.changeNumber() == newest; });
    const auto status = reader.control->status();
    BOOST_TEST(status.find("\"change\":1") != std::string::npos);
    BOOST_TEST(status.find("\"target\":\"a-1\"") != std::string::npos);
}
