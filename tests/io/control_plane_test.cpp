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

// One instance with its own view of the platform, which a test can take away from it.
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

    std::uint64_t change() const
    {
        const auto snapshot = snapshots.read();
        return snapshot ? snapshot->change : 0;
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

// Waits for a condition without a bound of its own; the test program's timeout ends a wait that never succeeds.
template <typename Condition> void await(Condition condition)
{
    while (!condition())
        std::this_thread::sleep_for(10ms);
}

// Ports that nothing listens on; the inner server refuses a port that is taken.
std::vector<daemon::Endpoint> ports(std::uint16_t base)
{
    return { { "127.0.0.1", base }, { "127.0.0.1", static_cast<std::uint16_t>(base + 1) },
        { "127.0.0.1", static_cast<std::uint16_t>(base + 2) } };
}

struct Fixture {
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

// Guards against an instance that is cut off from the store and never hears of a change that others have.
BOOST_FIXTURE_TEST_CASE(instancesWithoutTheStoreHearFromPeers, Fixture)
{
    const auto peers = ports(27110);
    const Instance reader(0, peers, &platform);
    const Instance cutOff(1, peers, nullptr);
    submit(service("a", 0.5), 0, "op-1");
    const auto newest = submit(service("b", 0.5), 0, "op-2");
    await([&] { return cutOff.change() == newest; });
    BOOST_TEST(cutOff.snapshots.read()->services.size() == 2u);
}

// Guards against a restarted instance that serves nothing, or something old, while the store is away.
BOOST_FIXTURE_TEST_CASE(restartDuringAnOutageTakesTheNewestFromPeers, Fixture)
{
    const auto peers = ports(27120);
    const Instance reader(0, peers, &platform);
    const auto newest = submit(service("a", 0.5), 0, "op-1");
    await([&] { return reader.change() == newest; });
    store::PlatformFaults faults;
    faults.down = true;
    platform.setFaults(faults);
    const Instance restarted(1, peers, &platform);
    await([&] { return restarted.change() == newest; });
    BOOST_TEST(reader.change() == newest);
}

// Guards against stale reads that bring an older configuration back.
BOOST_FIXTURE_TEST_CASE(staleReadsNeverRevertTheConfiguration, Fixture)
{
    const auto peers = ports(27130);
    const Instance reader(0, peers, &platform);
    submit(service("a", 0.1), 0, "op-1");
    const auto newest = submit(service("a", 0.9), 1, "op-2");
    await([&] { return reader.change() == newest; });
    store::PlatformFaults faults;
    faults.readStaleness = 30s;
    platform.setFaults(faults);
    const auto last = submit(service("b", 0.5), 0, "op-3");
    for (int i = 0; i < 30; ++i) {
        std::this_thread::sleep_for(50ms);
        BOOST_TEST(reader.change() >= newest);
        BOOST_TEST(reader.snapshots.read()->services.front().service->bias == 0.9);
    }
    platform.setFaults({});
    await([&] { return reader.change() == last; });
}

// Guards against a damaged record that is applied, handed to peers, or stops changes of other services.
BOOST_FIXTURE_TEST_CASE(damagedRecordKeepsTheServiceAndOtherChangesApply, Fixture)
{
    const auto peers = ports(27140);
    const Instance reader(0, peers, &platform);
    submit(service("a", 0.1), 0, "op-1");
    const auto before = submit(service("b", 0.1), 0, "op-2");
    await([&] { return reader.change() == before; });
    submit(service("a", 0.9), 1, "op-3");
    const auto rows = platform.scan("", 1000, 1s);
    BOOST_REQUIRE(rows.has_value());
    // The newest record of service a is damaged in the store, whatever key it has.
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
    await([&] { return reader.change() == newest; });
    for (const auto& it : reader.snapshots.read()->services)
        BOOST_TEST((it.service->name != "a" || it.service->bias < 0.8));
    BOOST_TEST(reader.snapshots.read()->services.size() == 2u);
}

// Guards against an endpoint in use that is noticed only when peers cannot reach the instance.
BOOST_FIXTURE_TEST_CASE(innerAddressInUseIsAnError, Fixture)
{
    const auto peers = ports(27150);
    const Instance first(0, peers, nullptr);
    daemon::SnapshotStore snapshots;
    daemon::ObservationQueue observations;
    observe::Metrics metrics;
    const auto second = daemon::ControlPlane::start(
        { first.settings, first.clock, snapshots, observations, *first.logger, metrics, {} }, {});
    BOOST_TEST(second.has_error());
}

// Guards against a status document that programs cannot read.
BOOST_FIXTURE_TEST_CASE(statusNamesTheChangeAndTheTargets, Fixture)
{
    const auto peers = ports(27160);
    const Instance reader(0, peers, &platform);
    const auto newest = submit(service("a", 0.5), 0, "op-1");
    await([&] { return reader.change() == newest; });
    const auto status = reader.control->status();
    BOOST_TEST(status.find("\"change\":1") != std::string::npos);
    BOOST_TEST(status.find("\"target\":\"a-1\"") != std::string::npos);
}
