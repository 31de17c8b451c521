#define BOOST_TEST_MODULE Documents
#include <boost/test/unit_test.hpp>

#include "../../platform/documents.h"
#include "../../src/gateway/key_digest.h"

#include <rapidcheck.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;

namespace {

constexpr const char* configuration = R"({"version":"0000000c","limits":{"max_header_bytes":16384,
    "max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15s"},
    "listeners":[{"host":"a.example","rules":[
        {"name":"r1","type":"unsafe","target_latency":"1s","priority":1,"match":{"prefix":"/p/"},
         "action":{"service":"s1","timeout":"2.5s","max_attempts":2}},
        {"name":"r2","type":"safe","target_latency":"800ms","priority":2,"match":{"prefix":"/q/"},
         "action":{"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"timeout":"5000ms",
                   "max_attempts":3}}]}],
    "clusters":[{"name":"s1","health_path":"/health","max_conns":390,"protocol":"h1","tls":false}],
    "unknown":{"later":true}})";

constexpr const char* configurationWithWorkspaces = R"({"version":"0000000d","listeners":[{"host":"a.example","rules":[
        {"name":"r1","type":"download","public":true,"match":{"prefix":"/p/"},"action":{"service":"s1"}}]}],"clusters":[],
    "tenants":[{"name":"w1","api_keys":["key-one","key-two"],"priority":3,"rate_per_s":36.5,"burst":7},
               {"name":"w2","api_keys":["key-three"]}]})";

constexpr const char* entry = R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":3,
    "state":"ready","cold_remaining":"1500ms","seq":4,"born":1790000000000})";

std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

// Guards against configuration fields that are lost in decoding, and against rejection of a document with unknown
// fields.
BOOST_AUTO_TEST_CASE(configurationIsDecodedCompletely)
{
    const auto routes = platform::decodeRoutes(configuration);
    BOOST_TEST(routes.version == 12u);
    BOOST_TEST((routes.limits.idleTimeout == 15s));
    BOOST_REQUIRE(routes.routes.size() == 2u);
    const auto& first = routes.routes[0];
    BOOST_TEST((first.kind == config::RequestKind::NonIdempotent));
    BOOST_TEST((first.timeout == 2500ms));
    BOOST_TEST((first.latencyObjective == 1s));
    BOOST_TEST(first.maxAttempts == 2u);
    BOOST_TEST(routes.routes[1].services[1].service == "s2");
    BOOST_TEST(routes.services[0].connectionLimit == 390u);
}

// Guards against repeated execution of requests of an unknown kind, which may not be idempotent.
BOOST_AUTO_TEST_CASE(unknownRequestKindIsNonIdempotent)
{
    const auto routes = platform::decodeRoutes(replaceFirst(configuration, "\"safe\"", "\"novel\""));
    BOOST_TEST((routes.routes[1].kind == config::RequestKind::NonIdempotent));
}

// Guards against keys, priorities or quotas that are lost in decoding, and against the repetition of a download
// being refused.
BOOST_AUTO_TEST_CASE(workspacesAreDecodedCompletely)
{
    const routing::RouteTable table(platform::decodeRoutes(configurationWithWorkspaces));
    BOOST_TEST((table.routeSet().routes[0].kind == config::RequestKind::Idempotent));
    BOOST_TEST(table.routeSet().routes[0].isPublic);
    BOOST_TEST(table.routeSet().workspaceProblems.isEmpty());
    const auto* first = table.findWorkspace(gateway::digestOfKey("key-two"));
    BOOST_REQUIRE(first);
    BOOST_TEST(first->name == "w1");
    BOOST_TEST(first->priority == 3u);
    BOOST_TEST(first->quota.ratePerSecond == 36.5);
    BOOST_TEST(first->quota.burst == 7);
    const auto* second = table.findWorkspace(gateway::digestOfKey("key-three"));
    BOOST_REQUIRE(second);
    BOOST_TEST(second->name == "w2");
    BOOST_TEST(!second->quota.isLimited());
    BOOST_TEST(!table.findWorkspace(gateway::digestOfKey("key-thre")));
    BOOST_TEST(!platform::decodeRoutes(configuration).requiresKeys());
}

// Guards against a fault in one workspace or key that affects others, that passes unnoticed, or whose report contains
// a key.
BOOST_AUTO_TEST_CASE(invalidWorkspacesAndKeysAreLeftOut)
{
    struct Change {
        std::string from, to;
        std::size_t workspaces, keys;
    };
    const std::vector<Change> changes { { "\"w1\"", "7", 1, 0 }, { "\"w1\"", "\"\"", 1, 0 },
        { "\"w1\"", "\"a\\r\\nb\"", 1, 0 }, { "\"w1\"", "\"" + std::string(201, 'w') + "\"", 1, 0 },
        { "\"name\":\"w1\",", "", 1, 0 }, { "[\"key-one\",\"key-two\"]", "\"key-one\"", 1, 0 },
        { "\"priority\":3", "\"priority\":-1", 1, 0 }, { "\"priority\":3", "\"priority\":1001", 1, 0 },
        { "36.5", "\"36.5\"", 1, 0 }, { "36.5", "-1", 1, 0 }, { "36.5", "1e300", 1, 0 },
        { "\"burst\":7", "\"burst\":null", 1, 0 }, { "\"key-one\"", "null", 0, 1 }, { "\"key-one\"", "\"\"", 0, 1 },
        { "\"key-one\"", "\"a b\"", 0, 1 }, { "\"key-one\"", "\"" + std::string(513, 'k') + "\"", 0, 1 },
        { "\"key-one\"", "\"key-two\"", 0, 0 } };
    for (const auto& it : changes) {
        BOOST_TEST_CONTEXT(it.from << " replaced by " << it.to)
        {
            const routing::RouteTable table(
                platform::decodeRoutes(replaceFirst(configurationWithWorkspaces, it.from, it.to)));
            const auto& problems = table.routeSet().workspaceProblems;
            BOOST_TEST(problems.workspaces == it.workspaces);
            BOOST_TEST(problems.keys == it.keys);
            BOOST_TEST(problems.reasons.size() == it.workspaces + it.keys);
            for (const auto& reason : problems.reasons)
                BOOST_TEST(reason.find("key-") == std::string::npos);
            BOOST_TEST(table.routeSet().requiresKeys());
            BOOST_TEST((table.findWorkspace(gateway::digestOfKey("key-two")) != nullptr) == (it.workspaces == 0));
            const auto* other = table.findWorkspace(gateway::digestOfKey("key-three"));
            BOOST_TEST((other && other->name == "w2"));
        }
    }
}

// Guards against requests without a key being served because no workspace of the configuration is valid.
BOOST_AUTO_TEST_CASE(invalidWorkspacesStillRequireKeys)
{
    const auto isolated = [](const std::string& tenants) {
        const auto rows = std::string(configurationWithWorkspaces).find("\"tenants\"");
        return std::string(configurationWithWorkspaces).substr(0, rows) + "\"tenants\":" + tenants + "}";
    };
    BOOST_TEST(platform::decodeRoutes(isolated("[null]")).requiresKeys());
    BOOST_CHECK_THROW(platform::decodeRoutes(isolated("null")), std::exception);
    BOOST_CHECK_THROW(platform::decodeRoutes(isolated("{}")), std::exception);
    BOOST_TEST(!platform::decodeRoutes(isolated("[]")).requiresKeys());
}

// Guards against two workspaces that targets and quotas cannot tell apart.
BOOST_AUTO_TEST_CASE(secondWorkspaceOfANameIsLeftOut)
{
    const routing::RouteTable table(
        platform::decodeRoutes(replaceFirst(configurationWithWorkspaces, "\"w2\"", "\"w1\"")));
    BOOST_TEST(table.routeSet().workspaceProblems.workspaces == 1u);
    BOOST_TEST(table.findWorkspace(gateway::digestOfKey("key-two")));
    BOOST_TEST(!table.findWorkspace(gateway::digestOfKey("key-three")));
}

// Guards against a key that passes to another workspace because both name it.
BOOST_AUTO_TEST_CASE(firstOwnerKeepsAKey)
{
    const routing::RouteTable table(
        platform::decodeRoutes(replaceFirst(configurationWithWorkspaces, "\"key-three\"", "\"key-one\"")));
    BOOST_TEST(table.findWorkspace(gateway::digestOfKey("key-one"))->name == "w1");
    BOOST_TEST(table.routeSet().workspaceProblems.keys == 1u);
    BOOST_TEST(table.routeSet().workspaceProblems.reasons.at(0).find("key-one") == std::string::npos);
}

// Guards against a key in the log: the parser's own message quotes the text at the error.
BOOST_AUTO_TEST_CASE(errorOfAnIncompleteDocumentQuotesNoKey)
{
    const std::string whole = configurationWithWorkspaces;
    try {
        platform::decodeRoutes(whole.substr(0, whole.find("key-one") + 5));
        BOOST_FAIL("the document was accepted");
    } catch (const std::exception& error) {
        BOOST_TEST(std::string(error.what()).find("key-") == std::string::npos);
    }
}

// Guards against partial use of an invalid configuration.
BOOST_AUTO_TEST_CASE(invalidConfigurationIsRejected)
{
    const std::string whole = configuration;
    BOOST_CHECK_THROW(platform::decodeRoutes(whole.substr(0, whole.size() / 2)), std::exception);
    BOOST_CHECK_THROW(platform::decodeRoutes(replaceFirst(whole, "\"2.5s\"", "\"soon\"")), std::exception);
    BOOST_CHECK_THROW(platform::decodeRoutes(replaceFirst(whole, "\"0000000c\"", "\"x\"")), std::exception);
    BOOST_CHECK_THROW(
        platform::decodeRoutes(replaceFirst(whole, "\"service\":\"s1\",\"timeout\"", "\"timeout\"")), std::exception);
}

BOOST_AUTO_TEST_CASE(targetEntryIsDecodedCompletely)
{
    const auto target = platform::decodeTarget("i-1", entry);
    BOOST_TEST(target.id == "i-1");
    BOOST_TEST(target.host == "10.0.0.9");
    BOOST_TEST(target.port == 8080);
    BOOST_TEST((target.coldRemaining == 1500ms));
    BOOST_TEST(target.startedAtUnixMs == 1'790'000'000'000);
    BOOST_TEST(!target.draining);
}

// Guards against requests to a target whose entry is malformed, for example because another program wrote it.
BOOST_AUTO_TEST_CASE(malformedTargetEntriesAreRejected)
{
    const std::string whole = entry;
    const std::vector<std::pair<std::string, std::string>> changes { { "\"ready\"", "\"novel\"" },
        { "10.0.0.9:8080", "10.0.0.9" }, { "10.0.0.9:8080", "nowhere:80" }, { "\"slots\":3", "\"slots\":\"3\"" },
        { "\"slots\":3", "\"slots\":0" }, { "\"seq\":4", "\"seq\":\"4\"" }, { "\"zone\":\"z\",", "" },
        { "1790000000000", "1.5" }, { "\"1500ms\"", "\"later\"" }, { "{", "" },
        { "\"slots\":3", "\"slots\":4294967297" }, { "\"slots\":3", "\"slots\":1e300" },
        { "\"slots\":3", "\"slots\":-1" }, { "\"slots\":3", "\"slots\":3.0" }, { "\"seq\":4", "\"seq\":-4" },
        { "\"seq\":4", "\"seq\":18446744073709551616" }, { "1790000000000", "-1" },
        { "1790000000000", "9223372036854775807" }, { "1790000000000", "18446744073709551615" },
        { "\"1500ms\"", "\"1e300s\"" }, { "\"1500ms\"", "\"1e400s\"" }, { "\"1500ms\"", "\"nan ms\"" },
        { "\"1500ms\"", "\"-1ms\"" }, { "\"1500ms\"", "\"infs\"" }, { "10.0.0.9:8080", "10.0.0.9:65536" },
        { "10.0.0.9:8080", "10.0.0.9:0" }, { "10.0.0.9:8080", "10.0.0.9:-1" }, { "10.0.0.9:8080", "0.0.0.0:8080" },
        { "10.0.0.9:8080", "224.0.0.1:8080" }, { "\"zone\":\"z\"", "\"zone\":\"z\\r\\nX: 1\"" },
        { "\"service\":\"s1\"", "\"service\":\"\"" },
        { "\"service\":\"s1\"", "\"service\":\"" + std::string(201, 's') + "\"" } };
    for (const auto& [from, to] : changes)
        BOOST_CHECK_THROW(platform::decodeTarget("i-1", replaceFirst(whole, from, to)), std::exception);
}

// Guards against values that are corrupted by base64 encoding or decoding.
BOOST_AUTO_TEST_CASE(base64RoundTripPreservesBytes)
{
    for (const std::string text : { "", "a", "ab", "abc", "\x00\xff\x10 tail" })
        BOOST_TEST(platform::decodeBase64(platform::encodeBase64(text)) == text);
    BOOST_CHECK_THROW(platform::decodeBase64("!!!!"), std::exception);
}

BOOST_AUTO_TEST_CASE(peerRoundTripPreservesFields)
{
    const gateway::PeerRecord peer { "g1", "z1", "10.0.0.1", 7620, 0.25 };
    const auto decoded = platform::decodePeer("g1", platform::encodePeer(peer));
    BOOST_TEST(decoded.host == peer.host);
    BOOST_TEST(decoded.port == peer.port);
    BOOST_TEST(decoded.capacity == peer.capacity);
}

// Guards against an entry whose nesting exhausts the stack. An entry with an unknown field of moderate depth is valid.
BOOST_AUTO_TEST_CASE(deeplyNestedDocumentsAreRejected)
{
    const auto nested = [](std::size_t depth) {
        const auto value = std::string(depth, '[') + std::string(depth, ']');
        return replaceFirst(entry, "\"slots\"", "\"extra\":" + value + ",\"slots\"");
    };
    BOOST_TEST(platform::decodeTarget("i-1", nested(20)).slots == 3u);
    BOOST_CHECK_THROW(platform::decodeTarget("i-1", nested(30'000)), std::exception);
    BOOST_CHECK_THROW(platform::decodeTarget("i-1", std::string(65'536, '[')), std::exception);
    BOOST_CHECK_THROW(
        platform::decodeTarget("i-1", replaceFirst(entry, "3,", std::string(30'000, '[') + ",")), std::exception);
    BOOST_TEST(platform::parseDocument(R"(["[[[\"[",1])").size() == 2u);
}

// Guards against a reason that does not name the field, its value and its bounds.
BOOST_AUTO_TEST_CASE(reasonNamesValueAndBounds)
{
    try {
        platform::decodeTarget("i-1", replaceFirst(entry, "\"slots\":3", "\"slots\":70000"));
        BOOST_FAIL("the entry was accepted");
    } catch (const std::exception& error) {
        BOOST_TEST(std::string(error.what()) == "slots is 70000, but must be a whole number from 1 to 65535");
    }
}

// Guards against invalid numbers in the configuration that change their value when they are converted.
BOOST_AUTO_TEST_CASE(configurationNumbersAreChecked)
{
    const std::vector<std::pair<std::string, std::string>> changes { { "\"priority\":1", "\"priority\":-1" },
        { "\"priority\":1", "\"priority\":4294967297" }, { "\"max_attempts\":2", "\"max_attempts\":1e300" },
        { "\"weight\":90", "\"weight\":-1" }, { "\"weight\":90", "\"weight\":1e300" }, { "16384", "4294967297" },
        { "67108864", "-1" }, { "\"2.5s\"", "\"1e300s\"" } };
    for (const auto& [from, to] : changes)
        BOOST_CHECK_THROW(platform::decodeRoutes(replaceFirst(configuration, from, to)), std::exception);
}

namespace {

/// Whether a decoder returned a record that passes all checks, or threw a standard exception.
bool isHandled(const std::string& document)
{
    try {
        const auto target = platform::decodeTarget("i-1", document);
        return !membership::findProblem(target).has_value();
    } catch (const std::exception&) {
        return true;
    }
}

nlohmann::json arbitraryValue()
{
    return *rc::gen::element<nlohmann::json>(nullptr, true, -1, 0, 4'294'967'296, 1e300, -1e300, 0.5,
        18'446'744'073'709'551'615u, "", "x", "10.0.0.1:99999", "1e999ms", std::string(70'000, 'a'),
        nlohmann::json::array(), nlohmann::json::object(), nlohmann::json::array({ nlohmann::json::array() }));
}

} // namespace

// Guards against input for which a decoder throws anything but a standard exception, or returns values out of bounds.
BOOST_AUTO_TEST_CASE(decodersHandleAnyInput)
{
    BOOST_TEST(rc::check("arbitrary bytes", [](const std::string& bytes) { RC_ASSERT(isHandled(bytes)); }));
    BOOST_TEST(rc::check("one byte of a valid entry is replaced", [] {
        std::string document = entry;
        document[*rc::gen::inRange<std::size_t>(0, document.size())] = *rc::gen::arbitrary<char>();
        RC_ASSERT(isHandled(document));
    }));
    BOOST_TEST(rc::check("one field of a valid entry is replaced", [] {
        auto document = nlohmann::json::parse(entry);
        const auto key = *rc::gen::element<std::string>(
            "service", "address", "zone", "slots", "state", "cold_remaining", "seq", "born");
        document[key] = arbitraryValue();
        RC_ASSERT(isHandled(document.dump()));
    }));
    BOOST_TEST(rc::check("base64", [](const std::string& bytes) {
        RC_ASSERT(platform::decodeBase64(platform::encodeBase64(bytes)) == bytes);
        try {
            platform::decodeBase64(bytes);
        } catch (const std::exception&) {
        }
    }));
}
