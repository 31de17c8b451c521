#define BOOST_TEST_MODULE Scenarios
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <rapidcheck.h>
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

// Guards against mistakes in scenario files that are ignored, so that the scenario tests nothing.
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

// Guards against a value that is replaced by a default or read in part, so that the scenario plays something else.
BOOST_AUTO_TEST_CASE(invalidValuesInAScenarioFileAreReported)
{
    const std::vector<std::string> lines { "time 5s", "time -5", "time inf", "time 5 5", "load bookdesk 85%%",
        "load bookdesk 85%x", "load bookdesk -5", "load bookdesk nan", "load bookdesk %",
        "fault slow=many bookdesk-1 at 1", "fault slow= bookdesk-1 at 1", "fault slow=0 bookdesk-1 at 1",
        "fault wrong=1.5 bookdesk-1 at 1", "fault hanging=2 bookdesk-1 at 1", "fault slow=5 bookdesk-1 at inf",
        "cut i0 bookdesk-1 at 1", "cut i41 bookdesk-1 at 1", "cut i1 bookdesk-99 at 1", "cut i1.5 * at 1",
        "expect detection_p99 bookdesk-99 <= 2", "expect goodput >= nan" };
    for (const auto& it : lines) {
        const auto parsed = simulation::parseScenario("deployment sprungfloor bookdesk\ntime 5\n" + it + "\n", "a.scn");
        BOOST_TEST(parsed.findings.size() == 1u, it);
    }
}

// Guards against a check that cannot fail: without the check of ids, callers get responses to other requests.
BOOST_AUTO_TEST_CASE(responsesToOtherRequestsAreFound)
{
    const auto parsed = simulation::parseScenario("deployment sprungfloor bookdesk\ntime 8\nload bookdesk 150\n"
                                                  "fault mismatched=0.5 bookdesk-4 at 1 for 5\n",
        "a.scn");
    BOOST_REQUIRE(parsed.findings.empty());
    for (const bool idCheck : { true, false }) {
        simulation::Options options;
        options.seed = seed;
        options.idCheck = idCheck;
        const auto metrics = simulation::runScenario(parsed.scenario, options);
        BOOST_TEST((metrics.mismatchedResponses == 0) == idCheck);
        const auto findings = simulation::checkScenario(parsed.scenario, metrics);
        const bool isFound = std::any_of(
            findings.begin(), findings.end(), [](const auto& finding) { return finding.key == "wrong_answers"; });
        BOOST_TEST(isFound != idCheck);
    }
}

// Guards against changes of the parser or of a deployment that invalidate a scenario file.
BOOST_AUTO_TEST_CASE(everyScenarioFileIsValid)
{
    std::size_t files = 0;
    for (const auto& it : std::filesystem::directory_iterator(SOURCE_DIR "/tests/scenarios")) {
        ++files;
        for (const auto& finding : simulation::parseScenario(read(it.path()), it.path().filename()).findings)
            BOOST_ERROR(base::toString(finding));
    }
    BOOST_TEST(files > 30u);
}

// Guards against decisions of the components that together violate a goal or an invariant of the design under failures.
// ctest runs this test once for each scenario file: scenarios_test -- tests/scenarios/FILE.scn...
BOOST_AUTO_TEST_CASE(everyNamedScenarioMeetsItsExpectations)
{
    const auto& suite = boost::unit_test::framework::master_test_suite();
    for (int i = 1; i < suite.argc; ++i) {
        const std::filesystem::path file(suite.argv[i]);
        const auto parsed = simulation::parseScenario(read(file), file.filename());
        for (const auto& it : parsed.findings)
            BOOST_ERROR(base::toString(it));
        if (!parsed.findings.empty())
            continue;
        simulation::Options options;
        options.seed = seed;
        const auto metrics = simulation::runScenario(parsed.scenario, options);
        std::cout << file.filename().string() << " seed=" << seed << " requests=" << metrics.requests
                  << " goodput=" << metrics.goodput() << " detection_p99=" << metrics.detectionTime(0.99)
                  << " p99_ms=" << metrics.latency(0.99) << " attempts=" << metrics.attemptsPerRequest()
                  << " false=" << metrics.falseEjections.size() << " control_bytes=" << metrics.controlBytesPerSecond()
                  << " placement_bytes=" << metrics.placementBytesPerSecond() << '\n';
        for (const auto& it : simulation::checkScenario(parsed.scenario, metrics))
            BOOST_ERROR(base::toString(it));
    }
}

// Guards against combinations of failures without a scenario file that execute a booking twice, report a request as not
// run although it ran, exceed the retry budget or violate the floor.
BOOST_AUTO_TEST_CASE(invariantsHoldUnderRandomFailures)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.disableShrinking = true; // A failing run has only a few actions.
    params.maxSuccess = 12;
    const auto result = rc::detail::checkTestable(
        [] {
            static const std::vector<std::string> actions { "fault slow=5 bookdesk-2 at 2 for 4",
                "fault wrong=0.5 bookdesk-5 at 1 for 5", "fault hanging bookdesk-7 at 2 for 4",
                "fault dead bookdesk-3 at 3 for 3", "fault mismatched=0.5 bookdesk-4 at 1 for 3",
                "fault bookings bookdesk-9 at 2", "fault platform-away at 2 for 3",
                "fault zone-lost coast-c at 4 for 2", "cut i5 bookdesk-4 at 1", "cut bookdesk-6 i2 at 2 for 3",
                "cut coast-a coast-b at 3 for 1", "restart instances at 1 every 0.3",
                "restart targets bookdesk at 1 every 1", "load bookdesk 110% at 3" };
            std::string text = "deployment sprungfloor bookdesk\ntime 8\nload bookdesk 150\n";
            for (const auto& it : *rc::gen::unique<std::vector<std::string>>(rc::gen::elementOf(actions)))
                text += it + "\n";
            const auto parsed = simulation::parseScenario(text, "generated");
            RC_ASSERT(parsed.findings.empty());
            simulation::Options options;
            options.seed = *rc::gen::arbitrary<std::uint32_t>();
            const auto metrics = simulation::runScenario(parsed.scenario, options);
            for (const auto& it : simulation::checkScenario(parsed.scenario, metrics))
                RC_FAIL(base::toString(it));
        },
        rc::detail::TestMetadata {}, params);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    BOOST_TEST(result.template is<rc::detail::SuccessResult>(), message.str());
}
