// Gateways that reach the store all the time send requests to a back end that is gone, because the store turned
// others of the fleet away for a while. It resets the connections of three of ten gateways for 2 s; entries of back
// ends are removed shortly after. Without the disruption, the store serves all.
#include "../support/leaving.hh"

using namespace review;

namespace {

constexpr unsigned turnedAwayCount = 3; // Of ten gateways: less than the share of 0.35.
constexpr auto turnedAwayTime = 2s;
constexpr milliseconds removals[] { 600ms, 950ms, 1300ms, 1650ms }; // After that time; a share of 0.2 of twenty back ends.
constexpr auto bookingInterval = 10ms;
constexpr auto servesOn = 2350ms; // A back end whose entry was removed: `drain` and a little longer.
constexpr auto roundPause = 4s; // Between the last removal and the next round.
constexpr unsigned maxRounds = 10;

} // namespace

int main(int, char** argv)
{
    Script script(argv);
    LeavingStage stage(script, bookingInterval, servesOn);
    if (!stage.start())
        return script.end(CouldNotRun, "a gateway is not ready");
    unsigned late = 0;
    double most = 0;
    for (unsigned round = 0; round < maxRounds && late == 0; ++round) {
        std::vector<std::size_t> chosen;
        for (std::size_t n = 0; n < turnedAwayCount; ++n)
            chosen.push_back((round * turnedAwayCount + n) % LeavingStage::gatewayCount);
        if (script.hasTrouble) {
            for (const auto n : chosen) {
                stage.setTurnedAway(n, true);
                script.record.write("the store turns away front-", n + 1);
            }
        }
        std::this_thread::sleep_for(turnedAwayTime);
        const auto end = Clock::now();
        if (script.hasTrouble) {
            for (const auto n : chosen)
                stage.setTurnedAway(n, false);
            script.record.write("the store serves all");
        }
        for (const auto it : removals) {
            sleepUntil(end + it);
            stage.removeBackend();
            stage.addBackend();
        }
        for (const auto roundEnd = Clock::now() + roundPause; Clock::now() < roundEnd;) {
            stage.exitBackends();
            std::this_thread::sleep_for(2ms);
        }
        std::tie(late, most) = stage.countLate();
    }
    char text[240];
    std::snprintf(text, sizeof text,
        "%u bookings, from gateways that had reached the store all the time, reached a back end more than 2 s after "
        "its removal, the latest %.2f s after; %u of them were cut by its exit; %u sent",
        late, most, stage.countCutAtExit(), stage.sentCount());
    if (stage.servedCount() < stage.sentCount() / 2)
        return script.end(CouldNotRun, text);
    return script.end(late ? Broken : Held, text);
}
