#define BOOST_TEST_MODULE Wire
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <buckthorncroft/wire/codec.h>
#include <buckthorncroft/wire/inner_client.h>
#include <buckthorncroft/wire/inner_server.h>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <rapidcheck.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;

namespace {

wire::Report sampleReport()
{
    wire::Report report;
    report.sender = { "e1", "z1", "127.0.0.1:7000", 42, false };
    report.sequence = 9;
    report.configurationChange = 3;
    const health::Reporter self { "e1", "z1", 42 };
    wire::ServiceReport service;
    service.service = "bookdesk";
    service.windows.push_back(
        { self, "b1", config::RequestKind::NonIdempotent, 17, 250ms, { 3, 1, 2 }, { 4, 44, 485 } });
    service.windows.push_back(
        { { "e2", "z1", 43 }, "b2", config::RequestKind::Idempotent, 18, 750ms, { 5, 0, 0 }, {} });
    service.pooled.emplace();
    service.pooled->coordinator = self;
    service.pooled->sequence = 5;
    service.pooled->scores.push_back({ "b1", config::RequestKind::Upload, 7.5, 0.25, 4, { 1, 2, 3 }, "z2", 1.5 });
    service.pooled->slowLimits = { 150ms, 0ms, 2s };
    service.pooledAge = 120ms;
    service.ejected.emplace();
    service.ejected->push_back({ "b1", 12.5 });
    service.draining = { { "b4", 800ms } };
    report.services.push_back(service);
    report.peers.push_back({ { "e3", "z2", "127.0.0.1:7002", 44, true }, 300ms });
    return report;
}

class Handler final : public wire::InnerHandler {
public:
    wire::Report exchange(wire::Report report) override
    {
        ++exchangeCount;
        return report;
    }
    wire::ConfigurationDocument fetchConfiguration(std::uint64_t newerThan) override
    {
        return newerThan < 7 ? wire::ConfigurationDocument { 7, "d", "text" } : wire::ConfigurationDocument {};
    }
    wire::PlaceReply place(const wire::PlaceRequest& request) override { return { request.service + "-1", 5 }; }
    void release(const std::string&, const std::vector<std::uint64_t>&) override { }
    void onMalformedMessage(const std::string& sender, const base::Error&) override
    {
        ++malformedMessageCount;
        lastSender = sender;
    }

    std::atomic<int> exchangeCount { 0 };
    std::atomic<int> malformedMessageCount { 0 };
    std::string lastSender;
};

template <typename T, typename Send> base::Result<T> waitForResult(Send send)
{
    std::promise<base::Result<T>> promise;
    send([&](base::Result<T> result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

std::string address(const wire::InnerServer& server)
{
    return "127.0.0.1:" + std::to_string(server.port());
}

// Creates a certificate authority and a certificate that it has signed, as files in a temporary folder.
struct CertificateAuthority {
    explicit CertificateAuthority(const std::string& name)
        : folder(std::filesystem::temp_directory_path() / ("buckthorncroft-wire-" + std::to_string(getpid()) + name))
    {
        std::filesystem::create_directories(folder);
        const auto base = folder.string() + "/";
        run("openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=fleet-" + name + " -keyout " + base
            + "ca.key -out " + base + "ca.pem");
        run("openssl req -newkey rsa:2048 -nodes -subj /CN=e1 -keyout " + base + "e.key -out " + base + "e.csr");
        run("openssl x509 -req -days 2 -in " + base + "e.csr -CA " + base + "ca.pem -CAkey " + base
            + "ca.key -CAcreateserial -out " + base + "e.pem");
        material = { false, base + "e.pem", base + "e.key", base + "ca.pem" };
    }
    ~CertificateAuthority() { std::filesystem::remove_all(folder); }
    CertificateAuthority(const CertificateAuthority&) = delete;
    CertificateAuthority& operator=(const CertificateAuthority&) = delete;

    static void run(const std::string& command)
    {
        BOOST_REQUIRE_EQUAL(std::system((command + " >/dev/null 2>&1").c_str()), 0); // NOLINT(cert-env33-c)
    }

    std::filesystem::path folder;
    wire::TlsMaterial material;
};

} // namespace

// Guards against fields that are lost or changed in encoding, which would distort evidence or the floor.
BOOST_AUTO_TEST_CASE(reportSurvivesEncodingAndDecoding)
{
    const auto bytes = wire::encode(sampleReport());
    const auto decoded = wire::decode(bytes);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(wire::encode(decoded.value()) == bytes);
    const auto& service = decoded.value().services.at(0);
    BOOST_TEST(service.windows.at(1).reporter.instance == "e2");
    BOOST_TEST(service.windows.at(0).counts.bad == 2u);
    BOOST_TEST(std::abs(service.windows.at(0).latency.mean() - 11) < 0.01);
    BOOST_TEST(std::abs(service.windows.at(0).latency.squaredDeviationSum() - 1) < 0.01);
    BOOST_TEST((service.pooled->slowLimits.at(2) == 2s));
    BOOST_TEST(service.pooled->scores.at(0).pathFaultZone == "z2");
    BOOST_TEST(service.ejected->at(0).score == 12.5);
    BOOST_TEST((decoded.value().peers.at(0).age == 300ms));
}

// Guards against messages that exceed a bound and still change state.
BOOST_AUTO_TEST_CASE(messagesThatExceedABoundAreRejected)
{
    auto report = sampleReport();
    report.sender.incarnation = 0;
    BOOST_TEST(wire::decode(wire::encode(report)).has_error());
    report = sampleReport();
    report.services[0].windows[0].age = 700s;
    BOOST_TEST(wire::decode(wire::encode(report)).has_error());
    report = sampleReport();
    report.services[0].pooled->scores[0].score = -1;
    BOOST_TEST(wire::decode(wire::encode(report)).has_error());
    report = sampleReport();
    report.services[0].windows[0].target = std::string(200, 'x');
    BOOST_TEST(wire::decode(wire::encode(report)).has_error());
}

// Guards against a crash or an uncaught exception on damaged or malicious messages.
BOOST_AUTO_TEST_CASE(arbitraryBytesNeverThrow)
{
    const auto bytes = wire::encode(sampleReport());
    BOOST_TEST(rc::check("arbitrary bytes", [](const std::string& text) { wire::decode(text).has_value(); }));
    BOOST_TEST(rc::check("damaged report", [&] {
        auto damaged = bytes;
        for (int i = 0; i < 3; ++i)
            damaged[*rc::gen::inRange<std::size_t>(0, damaged.size())] = *rc::gen::arbitrary<char>();
        wire::decode(damaged).has_value();
    }));
}

// Guards against replies that are delivered to the wrong call, and against calls that never complete.
BOOST_AUTO_TEST_CASE(callsReachTheServerAndReceiveReplies)
{
    Handler handler;
    const wire::TlsMaterial plaintext { true, "", "", "" };
    auto server = wire::InnerServer::start("127.0.0.1:0", plaintext, handler);
    BOOST_REQUIRE(server.has_value());
    wire::InnerClient client(plaintext);
    const auto to = address(*server.value());
    const auto reply = waitForResult<wire::Report>([&](auto done) { client.exchange(to, sampleReport(), 5s, done); });
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply.value().sequence == 9u);
    const auto document
        = waitForResult<wire::ConfigurationDocument>([&](auto done) { client.fetchConfiguration(to, 6, 5s, done); });
    BOOST_TEST(document.value().change == 7u);
    const auto placed = waitForResult<wire::PlaceReply>([&](auto done) {
        client.place(to, { "e1", "calib", config::RequestKind::Idempotent, {} }, 5s, done);
    });
    BOOST_TEST(placed.value().target == "calib-1");
}

// Guards against a malformed message that changes state or is dropped without a report to the handler.
BOOST_AUTO_TEST_CASE(malformedMessageIsReportedWithItsSenderAndChangesNothing)
{
    Handler handler;
    const wire::TlsMaterial plaintext { true, "", "", "" };
    auto server = wire::InnerServer::start("127.0.0.1:0", plaintext, handler);
    wire::InnerClient client(plaintext);
    auto report = sampleReport();
    report.services[0].windows[0].age = 700s;
    const auto reply
        = waitForResult<wire::Report>([&](auto done) { client.exchange(address(*server.value()), report, 5s, done); });
    BOOST_REQUIRE(reply.has_error());
    BOOST_TEST((reply.error().code == base::ErrorCode::Malformed));
    BOOST_TEST(handler.malformedMessageCount == 1);
    BOOST_TEST(handler.lastSender == "e1");
    BOOST_TEST(handler.exchangeCount == 0);
}

// Guards against processes without a certificate of the fleet that take part in the exchange.
BOOST_AUTO_TEST_CASE(onlyCertificatesOfTheFleetAreAccepted)
{
    const CertificateAuthority fleet("a");
    const CertificateAuthority other("b");
    Handler handler;
    auto server = wire::InnerServer::start("127.0.0.1:0", fleet.material, handler);
    BOOST_REQUIRE(server.has_value());
    const auto to = address(*server.value());
    const auto canExchange = [&](const wire::TlsMaterial& tls) {
        wire::InnerClient client(tls);
        return waitForResult<wire::Report>([&](auto done) {
            client.exchange(to, sampleReport(), 3s, done);
        }).has_value();
    };
    BOOST_TEST(canExchange(fleet.material));
    BOOST_TEST(!canExchange(other.material));
    BOOST_TEST(!canExchange({ true, "", "", "" }));
    // A client of the fleet must reject a server with a certificate of another authority.
    auto otherServer = wire::InnerServer::start("127.0.0.1:0", other.material, handler);
    wire::InnerClient client(fleet.material);
    const auto otherReply = waitForResult<wire::Report>(
        [&](auto done) { client.exchange(address(*otherServer.value()), sampleReport(), 3s, done); });
    BOOST_TEST(otherReply.has_error());
    BOOST_TEST(handler.exchangeCount == 1);
}

// Guards against two instances that bind the same address and each receive only some of the messages.
BOOST_AUTO_TEST_CASE(addressInUseIsReported)
{
    Handler handler;
    const wire::TlsMaterial plaintext { true, "", "", "" };
    auto first = wire::InnerServer::start("127.0.0.1:0", plaintext, handler);
    BOOST_TEST(wire::InnerServer::start(address(*first.value()), plaintext, handler).has_error());
    BOOST_TEST(wire::InnerServer::start("127.0.0.1:0", { false, "/none", "/none", "/none" }, handler).has_error());
}
