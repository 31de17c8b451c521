#define BOOST_TEST_MODULE Documents
#include <boost/test/unit_test.hpp>

#include "../../platform/documents.h"

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
        { "1790000000000", "1.5" }, { "\"1500ms\"", "\"later\"" }, { "{", "" } };
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
