#define BOOST_TEST_MODULE DrainProbe
#include <boost/test/unit_test.hpp>

#include "../../src/daemon/platform_worker.h"
#include "../../standins/raw_target.h"

#include <fmt/format.h>
#include <future>

using namespace buckthorncroft;
using membership::DrainProbeResult;
using standin::RawConnection;
using standin::RawTarget;

namespace {

/// Probes a target that sends `response` and closes the connection.
DrainProbeResult probe(const std::string& response)
{
    RawTarget target([&](RawConnection& peer, unsigned) {
        peer.readMessage();
        peer.send(response);
    });
    base::SystemClock clock;
    daemon::InstanceSettings settings;
    daemon::SnapshotStore snapshots;
    daemon::ObservationQueue observations;
    observe::Logger logger { clock, "test", "z1", observe::Level::Error };
    observe::Metrics metrics;
    std::promise<DrainProbeResult> result;
    daemon::detail::PlatformCallbacks callbacks;
    callbacks.onDrainProbe = [&](const membership::TargetName&, DrainProbeResult it) { result.set_value(it); };
    daemon::detail::PlatformWorker worker(
        { settings, clock, snapshots, observations, logger, metrics, {} }, {}, 1, callbacks);
    worker.addProbes({ { { "s", "t" }, "127.0.0.1", target.port() } });
    return result.get_future().get();
}

} // namespace

// Guards against a drain that ends because the target sent a response that is not valid.
BOOST_AUTO_TEST_CASE(onlyAValidResponseSaysWhetherTheTargetDrains)
{
    const auto makeResponse = [](const std::string& status, const std::string& fields) {
        return fmt::format("HTTP/1.1 {} Status\r\n{}Content-Length: 2\r\n\r\nok", status, fields);
    };
    const std::string draining = "Buckthorncroft-Draining: true\r\n";
    BOOST_TEST((probe(makeResponse("200", "")) == DrainProbeResult::NotDraining));
    BOOST_TEST((probe(makeResponse("503", draining)) == DrainProbeResult::StillDraining));
    BOOST_TEST((probe("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok") == DrainProbeResult::NoResponse));
    for (const std::string status : { "000", "099", "600" }) {
        BOOST_TEST_CONTEXT(status)
        {
            BOOST_TEST((probe(makeResponse(status, "")) == DrainProbeResult::NoResponse));
            BOOST_TEST((probe(makeResponse(status, draining)) == DrainProbeResult::NoResponse));
        }
    }
}
