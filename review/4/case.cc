// Gateways never learn that a back end is gone. The store is silent for some seconds. More than `stability` after its
// return, the entry of a back end is removed, and the back end serves on for a while, as the pages allow. Without the
// disruption, the store is never silent.
#include "../support/leaving.hh"

using namespace review;

namespace {

constexpr milliseconds outages[] { 3800ms, 4000ms, 5200ms, 3700ms, 5400ms, 3800ms }; // One for each round.
constexpr auto afterOutage = 3050ms; // Until the first removal.
constexpr auto untilNextRemoval = 80ms;
constexpr auto bookingInterval = 20ms;
constexpr auto servesOn = 7s; // A back end whose entry was removed.
constexpr unsigned removalCount = 4; // Of twenty back ends: a share of 0.2.

} // namespace

int main(int, char** argv)
{
    Script script(argv);
    LeavingStage stage(script, bookingInterval, servesOn);
    if (!stage.start())
        return script.end(CouldNotRun, "a gateway is not ready");
    unsigned late = 0;
    double most = 0;
    for (const auto outage : outages) {
        if (script.hasTrouble) {
            script.record.write("the store is silent");
            stage.setBackendsCut(true);
            for (auto& it : stage.paths)
                it.setCut(true);
        }
        std::this_thread::sleep_for(outage);
        for (auto& it : stage.paths)
            it.setCut(false);
        stage.setBackendsCut(false);
        script.record.write("the store answers");
        std::this_thread::sleep_for(afterOutage);
        for (unsigned n = 0; n < removalCount; ++n) {
            stage.addBackend();
            stage.removeBackend();
            std::this_thread::sleep_for(untilNextRemoval);
        }
        std::this_thread::sleep_for(servesOn);
        stage.exitBackends();
        std::this_thread::sleep_for(300ms);
        std::tie(late, most) = stage.countLate();
        if (late)
            break;
    }
    const auto cut = stage.countCutAtExit();
    char text[240];
    std::snprintf(text, sizeof text,
        "%u bookings reached a back end more than 2 s after its removal, the latest %.2f s after; %u were cut by its "
        "exit; %u sent",
        late, most, cut, stage.sentCount());
    if (stage.servedCount() < stage.sentCount() / 2)
        return script.end(CouldNotRun, text);
    return script.end(late ? Broken : Held, text);
}
