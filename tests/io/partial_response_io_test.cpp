#define BOOST_TEST_MODULE PartialResponseIo
#include <boost/test/unit_test.hpp>

#include "partial_responses.h"

using namespace buckthorncroft;
using namespace buckthorncroft::test;

namespace {

std::string play(const PartialResponse& response, ConnectionEnd end, bool isReused)
{
    CuttingTarget target(response, end, isReused);
    std::string faults;
    {
        ServerFixture fixture;
        fixture.addTarget(target.port());
        fixture.start();
        const auto makeHead = [](const std::string& method, const std::string& path) {
            const std::string prefix = method == "POST" ? "/book" : method == "PUT" ? "/up" : "";
            return method + " " + prefix + path + " HTTP/1.1\r\nHost: s\r\nBuckthorncroft-Deadline-Ms: 1500\r\n";
        };
        faults = playCuts(
            response, end, isReused, false, [&] { return fixture.caller(); }, makeHead);
    }
    // Only idempotent requests use connections again.
    return faults + target.findFault(isReused && response.method != "POST" && response.method != "PUT");
}

} // namespace

// Guards against a response that is cut off and relayed as complete, and against using its connection again.
BOOST_AUTO_TEST_CASE(partialResponsesAreNotRelayedAsComplete)
{
    BOOST_TEST(playAll(play) == "");
}
