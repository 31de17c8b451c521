#define BOOST_TEST_MODULE Questionnaire
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <buckthorncroft/config/parse.h>
#include <buckthorncroft/config/questionnaire.h>
#include <fstream>
#include <rapidcheck.h>
#include <sstream>

using namespace buckthorncroft;

namespace {

std::string readSample(const std::string& name)
{
    std::ifstream in(std::string(SOURCE_DIR) + "/samples/" + name);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

bool hasFinding(const base::Findings& findings, const std::string& key)
{
    return std::any_of(findings.begin(), findings.end(),
        [&](const base::Finding& it) { return it.key == key && it.line > 0 && !it.suggestion.empty(); });
}

} // namespace

// Guards against samples that no longer pass validation, and against generation that depends on anything but the
// answers.
BOOST_AUTO_TEST_CASE(samplesGenerateValidConfigurationsReproducibly)
{
    for (const std::string name : { "sprungfloor.toml", "cymoedd.toml" }) {
        const auto parsed = config::parseAnswers(readSample(name), name);
        for (const auto& it : parsed.findings)
            BOOST_ERROR(base::toString(it));
        const auto generated = config::generateConfiguration(parsed.answers);
        BOOST_TEST(config::generateConfiguration(parsed.answers).text == generated.text);
        const auto configuration = config::parseConfiguration(generated.text, "generated");
        BOOST_TEST(configuration.findings.empty());
        BOOST_TEST(config::formatConfiguration(configuration.configuration)
            == config::formatConfiguration(generated.configuration));
        BOOST_TEST(generated.configuration.services.size() == 4u);
    }
}

// Guards against a generated configuration that repeats bookings.
BOOST_AUTO_TEST_CASE(bookingsBecomeNonIdempotentAndUploadsAreStreamed)
{
    const auto answers = config::parseAnswers(readSample("sprungfloor.toml"), "s").answers;
    const auto services = config::generateConfiguration(answers).configuration.services;
    const auto& bookdesk = services.at(0);
    BOOST_TEST(bookdesk.name == "bookdesk");
    BOOST_TEST((bookdesk.routes.at(1).kind == config::RequestKind::NonIdempotent));
    BOOST_TEST(bookdesk.routes.at(1).requireIdempotencyKey);
    BOOST_TEST(!bookdesk.routes.at(1).hedge);
    BOOST_TEST(bookdesk.bias == 1.0);
    BOOST_TEST((services.at(1).routes.at(1).kind == config::RequestKind::Upload));
}

// Guards against accepting contradictory answers, whose configuration would bill twice, eject no target or let each
// request time out.
BOOST_AUTO_TEST_CASE(contradictionsAreFindings)
{
    const auto sample = readSample("sprungfloor.toml");
    const auto findings = [&](const std::string& from, const std::string& to) {
        return config::parseAnswers(replaced(sample, from, to), "s").findings;
    };
    BOOST_TEST(hasFinding(findings("may_this_request_run_again = \"no\"", "may_this_request_run_again = \"yes\""),
        "service.bookdesk.request.book.may_this_request_run_again"));
    BOOST_TEST(hasFinding(findings("what_must_stay_up_percent = 66", "what_must_stay_up_percent = 90"),
        "service.stockboard.what_must_stay_up_percent"));
    BOOST_TEST(hasFinding(findings("answer_within_ms = 2000", "answer_within_ms = 20"),
        "service.stockboard.request.availability.answer_within_ms"));
    BOOST_TEST(hasFinding(findings("zone = \"z1\"", "zone = \"z9\""), "service.stockboard.target.stockboard-1.zone"));
    BOOST_TEST(hasFinding(findings("which_hurts_more = \"a slow target kept\"", "which_hurts_more = \"dunno\""),
        "service.stockboard.which_hurts_more"));
}

// Guards against an empty questionnaire with keys that the parser does not accept.
BOOST_AUTO_TEST_CASE(emptyQuestionnaireUsesKnownKeysOnly)
{
    const auto parsed = config::parseAnswers(config::emptyQuestionnaire(), "form");
    BOOST_TEST(!parsed.findings.empty());
    for (const auto& it : parsed.findings)
        BOOST_TEST(it.reason != "is not a known key");
}

// Guards against crashes and exceptions on damaged input.
BOOST_AUTO_TEST_CASE(damagedAnswersNeverThrow)
{
    const auto sample = readSample("cymoedd.toml");
    BOOST_TEST(rc::check("damaged answers", [&] {
        auto text = sample;
        for (int i = 0; i < 4; ++i)
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        config::parseAnswers(text, "f");
    }));
}
