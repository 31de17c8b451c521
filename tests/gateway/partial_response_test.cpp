#define BOOST_TEST_MODULE PartialResponse
#include <boost/test/unit_test.hpp>

#include "../io/partial_responses.h"
#include "flow_fixture.h"

using namespace buckthorncroft;
using namespace buckthorncroft::test;

namespace {

std::string play(const PartialResponse& response, ConnectionEnd end, bool isReused)
{
    CuttingTarget target(response, end, isReused);
    std::string faults;
    {
        FlowFixture fixture;
        fixture.ports = { { "t", target.port() } };
        fixture.publish(1, config::RequestKind::NonIdempotent, 2000ms);
        fixture.placement.grants.assign(3 * response.cuts().size(), "t");
        const auto work = http::asio::make_work_guard(fixture.io);
        (void)fixture.start();
        const auto makeHead = [&](const std::string& method, const std::string& path) {
            return method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + fixture.names.requestId + ": " + path.substr(3)
                + "\r\n" + fixture.names.deadline + ": 1500\r\n";
        };
        faults = playCuts(
            response, end, isReused, true, [&] { return fixture.connectCaller(); }, makeHead);
    }
    return faults + target.findFault(isReused);
}

} // namespace

// Guards against a response that is cut off and relayed as complete, and against using its connection again.
BOOST_AUTO_TEST_CASE(partialResponsesAreNotRelayedAsComplete)
{
    BOOST_TEST(playAll(play) == "");
}
