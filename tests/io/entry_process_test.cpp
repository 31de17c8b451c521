#define BOOST_TEST_MODULE entry_process
#include "process_fleet.h"

using namespace buckthorncroft::test;
using std::chrono::milliseconds;

namespace {

constexpr const char* lookups = "bookdesk:GET:/lookup?bytes=2000:40";
constexpr const char* bookings = "bookdesk:POST:/bookings:40:300";
constexpr const char* uploads = "bookdesk:PUT:/plans:6:4000000";

/// Figures of one stream, by its method.
nlohmann::json streamOf(const nlohmann::json& figures, const std::string& method)
{
    for (const auto& it : figures.at("streams")) {
        if (it.at("method") == method)
            return it;
    }
    BOOST_FAIL("no stream " + method);
    return {};
}

// Counts the bookings that ran and checks that none ran twice, and that none ran of which the caller was told that it
// did not run.
void checkBookings(const ProcessFleet& fleet, const nlohmann::json& figures)
{
    std::uint64_t ran = 0;
    for (const auto& [request, count] : fleet.runs()) {
        if (request.rfind("POST ", 0) != 0)
            continue;
        ++ran;
        BOOST_CHECK_MESSAGE(count == 1, request << " ran " << count << " times");
    }
    const auto stream = streamOf(figures, "POST");
    const auto refused = stream.at("finals").at("not_run").get<std::uint64_t>();
    BOOST_CHECK_GT(ran, 0);
    BOOST_CHECK_LE(ran, stream.at("requests").get<std::uint64_t>() - refused);
}

} // namespace

// Guards against a booking that is sent again after its target died, and against mixed or cut answers of the others.
BOOST_AUTO_TEST_CASE(a_target_killed_under_load_doubles_no_booking_and_breaks_no_answer)
{
    ProcessFleet fleet(3, 2);
    const auto load = fleet.startLoad({ lookups, bookings });
    std::this_thread::sleep_for(milliseconds(1500));
    fleet.target(0).signal(SIGKILL);
    BOOST_CHECK_EQUAL(load->wait(), 0);
    const auto figures = fleet.loadFigures();
    BOOST_CHECK_EQUAL(figures.at("attempts").at("wrong"), 0);
    BOOST_CHECK_EQUAL(figures.at("attempts").at("broken"), 0);
    BOOST_CHECK_GT(streamOf(figures, "GET").at("finals").at("completed").get<int>(), 0);
    checkBookings(fleet, figures);
}

// Guards against a paused instance that, once resumed, sends what its callers have given up or mixes up answers.
BOOST_AUTO_TEST_CASE(an_entry_paused_and_resumed_doubles_no_booking_and_mixes_no_answers)
{
    ProcessFleet fleet(3, 2);
    const auto load = fleet.startLoad({ lookups, bookings });
    std::this_thread::sleep_for(milliseconds(1000));
    fleet.entry(0).signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(1500));
    fleet.entry(0).signal(SIGCONT);
    BOOST_CHECK_EQUAL(load->wait(), 0);
    const auto figures = fleet.loadFigures();
    BOOST_CHECK_EQUAL(figures.at("attempts").at("wrong"), 0);
    checkBookings(fleet, figures);
}

// Guards against a planned stop that cuts uploads in progress or refuses callers while the balancer still sends them.
BOOST_AUTO_TEST_CASE(a_graceful_stop_under_uploads_cuts_nothing)
{
    ProcessFleet fleet(3, 2);
    const auto load = fleet.startLoad({ lookups, uploads });
    std::this_thread::sleep_for(milliseconds(1000));
    fleet.entry(0).signal(SIGTERM);
    BOOST_CHECK_EQUAL(fleet.entry(0).wait(), 0);
    BOOST_CHECK_EQUAL(load->wait(), 0);
    const auto figures = fleet.loadFigures();
    for (const auto* it : { "wrong", "broken", "truncated", "refused" })
        BOOST_CHECK_MESSAGE(figures.at("attempts").at(it) == 0, it << " " << figures.at("attempts").at(it));
    const auto completed = streamOf(figures, "PUT").at("finals").at("completed").get<std::uint64_t>();
    BOOST_CHECK_GT(completed, 0);
    BOOST_CHECK_EQUAL(fleet.sumOf("uploads_cut"), 0);
    BOOST_CHECK_EQUAL(fleet.sumOf("uploads_whole"), completed);
}
