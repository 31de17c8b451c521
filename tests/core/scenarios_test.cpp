#define BOOST_TEST_MODULE Scenarios
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <support/scenario.h>

using namespace buckthorncroft;

namespace {

constexpr std::uint64_t seed = 20261204;

std::string read(const std::filesystem::path& file)
{
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    return text.str();
}

} // namespace

// Guards against scenario files whose mistakes are ignored, so that they test nothing.
BOOST_AUTO_TEST_CASE(problemsInAScenarioFileAreReportedWithTheirLine)
{
    const auto parsed = simulation::parseScenario(
        "deployment sprungfloor bookdesk\nfault slow=5 bookdesk-99 at 3\nfault odd bookdesk-1 at 3\nwait 3\n"
        "load bookdesk many\ncut a at 3\nexpect speed <= 3\nexpect goodput < 1\nrestart targets stock at\n",
        "a.scn");
    BOOST_REQUIRE_EQUAL(parsed.findings.size(), 9u);
    for (unsigned i = 0; i < 8; ++i)
        BOOST_TEST(parsed.findings[i].line == i + 2);
    BOOST_TEST(parsed.findings[8].key == "time");
}

// Guards against decisions of the parts that together break a goal or an invariant of the design under failures.
// A single file can be named as argument: scenarios_test -- tests/scenarios/FILE.scn
BOOST_AUTO_TEST_CASE(everyScenarioMeetsItsExpectations)
{
    std::vector<std::filesystem::path> files;
    auto& suite = boost::unit_test::framework::master_test_suite();
    for (int i = 1; i < suite.argc; ++i)
        files.emplace_back(suite.argv[i]);
    if (files.empty()) {
        for (const auto& it : std::filesystem::directory_iterator(SOURCE_DIR "/tests/scenarios"))
            files.push_back(it.path());
    }
    std::sort(files.begin(), files.end());
    std::cout << "seed " << seed << '\n';
    for (const auto& file : files) {
        const auto parsed = simulation::parseScenario(read(file), file.filename());
        for (const auto& it : parsed.findings)
            BOOST_ERROR(base::toString(it));
        if (!parsed.findings.empty())
            continue;
        simulation::Options options;
        options.seed = seed;
        const auto metrics = simulation::runScenario(parsed.scenario, options);
        std::cout << file.filename().string() << ": requests=" << metrics.requests << " goodput=" << metrics.goodput()
                  << " detection_p99=" << metrics.detection(0.99) << " p99_ms=" << metrics.latency(0.99)
                  << " attempts=" << metrics.attemptsPerRequest() << " false=" << metrics.falseEjections.size()
                  << " bytes=" << metrics.bytesPerNodeSecond() << '\n';
        for (const auto& it : simulation::checkScenario(parsed.scenario, metrics))
            BOOST_ERROR(base::toString(it));
    }
}
