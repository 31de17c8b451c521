// Measures the mean duration of a dispatch decision at 17 zones and 600 targets. Prints one line for each load.

#include <buckthorncroft/routing/dispatch_point.h>
#include <chrono>
#include <cstdio>

using namespace buckthorncroft;
using namespace std::chrono_literals;

namespace {

constexpr unsigned zoneCount = 17;
constexpr unsigned targetCount = 600;
constexpr unsigned slotsPerTarget = 4;
constexpr unsigned requestCount = 20'000;

std::string zoneName(unsigned n)
{
    return "zone-" + std::to_string(n % zoneCount);
}

void measure(const char* name, unsigned fromZones)
{
    base::ManualClock clock;
    clock.advance(60s);
    routing::DispatchPoint point({}, 1);
    std::map<std::string, membership::DirectoryEntry> targets;
    for (unsigned n = 0; n < targetCount; ++n) {
        membership::DirectoryEntry entry;
        entry.record.id = "target-" + std::to_string(n);
        entry.record.zone = zoneName(n);
        entry.record.slots = slotsPerTarget;
        entry.record.startedAtUnixMs = 1;
        targets[entry.record.id] = entry;
    }
    point.setTargets(targets, clock.now());
    std::vector<routing::DispatchDecision> running;
    std::size_t oldest = 0;
    std::chrono::steady_clock::duration total { 0 };
    for (unsigned n = 0; n < requestCount; ++n) {
        routing::DispatchRequest request;
        request.key = { "instance", n + 1 };
        request.zone = zoneName(n % fromZones);
        request.kind = config::RequestKind::Upload;
        request.requestBytes = 60'000;
        request.objectiveDeadline = clock.now() + 2500ms;
        request.deadline = clock.now() + 6000ms;
        const auto start = std::chrono::steady_clock::now();
        point.requestSlot(request, clock.now());
        total += std::chrono::steady_clock::now() - start;
        for (const auto& it : point.takeDecisions()) {
            if (it.grant)
                running.push_back(it);
        }
        // Keeps half of the slots in use.
        if (running.size() - oldest > targetCount * slotsPerTarget / 2) {
            const auto& it = running[oldest++];
            point.recordOutcome({ "instance", it.grant, it.target, config::RequestKind::Upload, health::Verdict::Good,
                                    std::chrono::microseconds(300ms) },
                clock.now());
        }
        clock.advance(std::chrono::microseconds(250));
    }
    std::printf(
        "%s: %.1f us per request\n", name, std::chrono::duration<double, std::micro>(total).count() / requestCount);
}

} // namespace

int main()
{
    measure("callers in all zones", zoneCount);
    measure("callers in three zones", 3);
}
