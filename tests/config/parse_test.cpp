#define BOOST_TEST_MODULE ConfigurationParser
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/config/parse.h>
#include <rapidcheck.h>

using namespace buckthorncroft;

namespace {

const char* const validDocument = R"(
change = 7
[[service]]
name = "bookdesk"
floor_fraction = 0.7
bias = 1
[[service.route]]
name = "book"
path_prefix = "/bookings"
methods = ["POST"]
kind = "non-idempotent"
[[service.target]]
id = "b1"
host = "127.0.0.1"
port = 9001
zone = "z1"
)";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

// Guards against a configuration that changes when an instance stores it and reads it again.
BOOST_AUTO_TEST_CASE(canonicalFormParsesToItself)
{
    const auto parsed = config::parseConfiguration(validDocument, "a.toml");
    BOOST_REQUIRE(parsed.findings.empty());
    const auto text = config::formatConfiguration(parsed.configuration);
    const auto again = config::parseConfiguration(text, "b.toml");
    BOOST_REQUIRE(again.findings.empty());
    BOOST_TEST(config::formatConfiguration(again.configuration) == text);
    BOOST_TEST(again.configuration.services.at(0).bias == 1.0);
    BOOST_TEST(again.configuration.changeNumber == 7u);
}

// Guards against a parser that stops at the first problem, so that an operator needs many passes to correct a file.
BOOST_AUTO_TEST_CASE(allProblemsAreReportedWithTheirLine)
{
    auto text = replaced(validDocument, "port = 9001", "port = 90010\nprot = 1");
    text = replaced(text, "floor_fraction = 0.7", "floor_fraction = nan");
    text = replaced(text, "\"non-idempotent\"", "\"once\"");
    const auto parsed = config::parseConfiguration(text, "a.toml");
    BOOST_REQUIRE_EQUAL(parsed.findings.size(), 4u);
    for (const auto& it : parsed.findings) {
        BOOST_TEST(it.line > 0u);
        BOOST_TEST(it.file == "a.toml");
    }
}

// Guards against hedging requests that may run only once.
BOOST_AUTO_TEST_CASE(hedgeOnNonIdempotentRouteIsRefused)
{
    const auto parsed = config::parseConfiguration(
        replaced(validDocument, "kind = \"non-idempotent\"", "kind = \"non-idempotent\"\nhedge = true"), "a.toml");
    BOOST_REQUIRE_EQUAL(parsed.findings.size(), 1u);
    BOOST_TEST(parsed.findings.front().key == "service.bookdesk.route.book.hedge");
}

// Guards against two entries for one target, which would double its share of the requests and its slots.
BOOST_AUTO_TEST_CASE(duplicateAddressIsRefused)
{
    const std::string other = "\n[[service.target]]\nid = \"b2\"\nhost = \"127.0.0.1\"\nport = 9001\nzone = \"z1\"\n";
    BOOST_TEST(config::parseConfiguration(validDocument + other, "a.toml").findings.size() == 1u);
}

// Guards against rounding the floor incorrectly: 70 % of 10 targets are 7, and 70 % of 7 targets (4.9) are 5.
BOOST_AUTO_TEST_CASE(floorRoundsUpWithoutOvershoot)
{
    config::Service service;
    service.floorFraction = 0.7;
    service.targets.resize(10);
    BOOST_TEST(config::floorTargetCount(service) == 7u);
    service.targets.resize(7);
    BOOST_TEST(config::floorTargetCount(service) == 5u);
}

// Guards against crashes and exceptions on arbitrary input.
BOOST_AUTO_TEST_CASE(arbitraryInputNeverThrows)
{
    BOOST_TEST(rc::check("arbitrary bytes", [](const std::string& text) { config::parseConfiguration(text, "f"); }));
    BOOST_TEST(rc::check("damaged document", [] {
        std::string text = validDocument;
        const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
        text[place] = *rc::gen::arbitrary<char>();
        config::parseConfiguration(text, "f");
    }));
}
