#define BOOST_TEST_MODULE SettingsDirectory
#include <boost/test/unit_test.hpp>

#include "gateway_fleet.h"

using namespace buckthorncroft;
using namespace buckthorncroft::test;

// Guards against an instance that no longer handles signals after SIGHUP with a directory in place of its settings
// file: SIGTERM must still begin a graceful stop.
BOOST_FIXTURE_TEST_CASE(instanceStopsAfterHangupWithADirectory, Fleet)
{
    const Target target;
    configure();
    listTarget("i-1", target);
    startReady(1);
    std::filesystem::remove(settingsFile(0));
    std::filesystem::create_directory(settingsFile(0));
    process(0).signal(SIGHUP);
    std::this_thread::sleep_for(500ms);
    BOOST_TEST(send(0) == 200u);
    process(0).signal(SIGTERM);
    // Waits for no end of the process, which may not come; the fleet kills it.
    BOOST_TEST(waitForStatus(0, 503, 1s));
}
