#define BOOST_TEST_MODULE GatewaySettings
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/gateway/settings.h>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <regex>

using namespace buckthorncroft;
using namespace std::chrono_literals;

namespace {

const std::string valid = R"(instance = "g1"
zone = "z1"
callers = "10.0.0.1:80"
ready = "10.0.0.1:81"
peers = "10.0.0.1:82"
seeds = ["10.0.0.2:90", "10.0.0.3:90"]
registry = "10.0.0.9:100"
cores = 0.2
memory_mb = 260
grace = "6s"

[retries]
ratio = 0.2
window = "10s"
slack = 62
)";

} // namespace

BOOST_AUTO_TEST_CASE(validSettingsAreParsed)
{
    const auto parsed = gateway::parseGatewaySettings(valid, "f");
    BOOST_REQUIRE(parsed.findings.empty());
    BOOST_TEST(parsed.settings.seeds.size() == 2u);
    BOOST_TEST(parsed.settings.capacity == 0.2);
    BOOST_TEST((parsed.settings.gracePeriod == 6s));
    BOOST_TEST((parsed.settings.retries.window == 10s));
    BOOST_TEST(parsed.settings.retries.slack == 62);
}

// Guards against a start with invalid or misspelt settings, and against a parser that stops at the first problem.
BOOST_AUTO_TEST_CASE(allProblemsAreReportedTogether)
{
    auto text = valid;
    text.replace(text.find("\"6s\""), 4, "\"6\"");
    text.replace(text.find("10.0.0.1:80"), 11, "nowhere");
    text += "extra = 1\n";
    const auto parsed = gateway::parseGatewaySettings(text, "f");
    BOOST_TEST(parsed.findings.size() == 3u);
    for (const auto& it : parsed.findings)
        BOOST_TEST(it.file == "f");
}

// Guards against keys in the deployed settings template that the program does not accept.
BOOST_AUTO_TEST_CASE(deployedTemplateHasOnlyKnownKeys)
{
    std::ifstream file(SOURCE_DIR "/deploy/settings.toml");
    std::string text { std::istreambuf_iterator<char>(file), {} };
    BOOST_REQUIRE(!text.empty());
    text = std::regex_replace(text, std::regex(R"(\[\{\{#seeds.*\]\n)"), "[]\n");
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>> { { "listen.front", "10.0.0.1:1" },
             { "listen.ready", "10.0.0.1:2" }, { "ip", "10.0.0.1" }, { "port_range.0", "3" },
             { "platform.address", "10.0.0.1:4" }, { "bounds.grace", "6s" }, { "bounds.budget_window", "10s" },
             { "node", "n" }, { "zone", "z" } })
        text = std::regex_replace(text, std::regex(fmt::format("\\{{\\{{{}\\}}\\}}", from)), to);
    text = std::regex_replace(text, std::regex(R"(\{\{[a-z_.]+\}\})"), "100");
    text = std::regex_replace(text, std::regex("ratio = 100"), "ratio = 0.2");
    const auto parsed = gateway::parseGatewaySettings(text, "template");
    for (const auto& it : parsed.findings)
        BOOST_ERROR(base::toString(it));
}
