#define BOOST_TEST_MODULE entry_process
#include "process_fleet.h"

using namespace buckthorncroft::test;
using std::chrono::milliseconds;

namespace {

// Streams of the load generator: service:METHOD:path:requests per second[:bytes of the body].
constexpr const char* lookups = "bookdesk:GET:/lookup?bytes=2000:40";
constexpr const char* bookings = "bookdesk:POST:/bookings:40:300";
constexpr const char* uploads = "bookdesk:PUT:/plans:6:4000000";

/// Returns the part of the load generator's report about the stream with this method.
nlohmann::json findStream(const nlohmann::json& loadReport, const std::string& method)
{
    for (const auto& it : loadReport.at("streams")) {
        if (it.at("method") == method)
            return it;
    }
    BOOST_FAIL("no stream " + method);
    return {};
}

// Checks that bookings were executed, that none was executed twice, and that none was executed after its caller was
// told that it was not.
void checkBookings(const ProcessFleet& fleet, const nlohmann::json& loadReport)
{
    std::uint64_t executedBookings = 0;
    for (const auto& [request, count] : fleet.executionCounts()) {
        if (request.rfind("POST ", 0) != 0)
            continue;
        ++executedBookings;
        BOOST_CHECK_MESSAGE(count == 1, request << " ran " << count << " times");
    }
    const auto stream = findStream(loadReport, "POST");
    const auto refused = stream.at("finals").at("not_run").get<std::uint64_t>();
    BOOST_CHECK_GT(executedBookings, 0);
    BOOST_CHECK_LE(executedBookings, stream.at("requests").get<std::uint64_t>() - refused);
}

} // namespace

// Guards against a booking that is sent again after its target was killed, and against wrong or truncated responses of
// the other targets.
BOOST_AUTO_TEST_CASE(targetKilledUnderLoadRepeatsNoBookingAndBreaksNoResponse)
{
    ProcessFleet fleet(3, 2);
    const auto load = fleet.startLoad({ lookups, bookings });
    std::this_thread::sleep_for(milliseconds(1500));
    fleet.target(0).signal(SIGKILL);
    BOOST_CHECK_EQUAL(load->wait(), 0);
    const auto loadReport = fleet.readLoadReport();
    BOOST_CHECK_EQUAL(loadReport.at("attempts").at("wrong"), 0);
    BOOST_CHECK_EQUAL(loadReport.at("attempts").at("broken"), 0);
    BOOST_CHECK_GT(findStream(loadReport, "GET").at("finals").at("completed").get<int>(), 0);
    checkBookings(fleet, loadReport);
}

// Guards against a paused instance that, once resumed, sends requests that its callers have given up or mixes up
// responses.
BOOST_AUTO_TEST_CASE(entryPausedAndResumedRepeatsNoBookingAndMixesNoResponses)
{
    ProcessFleet fleet(3, 2);
    const auto load = fleet.startLoad({ lookups, bookings });
    std::this_thread::sleep_for(milliseconds(1000));
    fleet.entry(0).signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(1500));
    fleet.entry(0).signal(SIGCONT);
    BOOST_CHECK_EQUAL(load->wait(), 0);
    const auto loadReport = fleet.readLoadReport();
    BOOST_CHECK_EQUAL(loadReport.at("attempts").at("wrong"), 0);
    checkBookings(fleet, loadReport);
}

// Guards against a graceful stop that interrupts uploads in progress, or that rejects requests which the load balancer
// still sends.
BOOST_AUTO_TEST_CASE(gracefulStopInterruptsNoUpload)
{
    ProcessFleet fleet(3, 2);
    const auto load = fleet.startLoad({ lookups, uploads });
    std::this_thread::sleep_for(milliseconds(1000));
    fleet.entry(0).signal(SIGTERM);
    BOOST_CHECK_EQUAL(fleet.entry(0).wait(), 0);
    BOOST_CHECK_EQUAL(load->wait(), 0);
    const auto loadReport = fleet.readLoadReport();
    for (const auto* it : { "wrong", "broken", "truncated", "refused" })
        BOOST_CHECK_MESSAGE(loadReport.at("attempts").at(it) == 0, it << " " << loadReport.at("attempts").at(it));
    const auto completed = findStream(loadReport, "PUT").at("finals").at("completed").get<std::uint64_t>();
    BOOST_CHECK_GT(completed, 0);
    BOOST_CHECK_EQUAL(fleet.sumCounter("uploads_cut"), 0);
    BOOST_CHECK_EQUAL(fleet.sumCounter("uploads_whole"), completed);
}
