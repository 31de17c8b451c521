// Case 6: after an outage of the store in which entries of servers expired, the fleet forgets servers that are listed
// again.
#include "fleet.hh"

#include <xxhash.h>

using namespace review;

namespace {

constexpr unsigned gatewayCount = 16;
constexpr unsigned serverCount = 6;
constexpr milliseconds outage { 4500 };
constexpr milliseconds checkInStep { 50 }; // Between the check-ins of one server and the next.
constexpr milliseconds outagePhase { 350 }; // Of the begin of the outage, after the first server's check-in.
constexpr milliseconds recovery { 15'000 };
constexpr milliseconds restartDelay { 1000 };
constexpr milliseconds observed { 10'000 };
constexpr double requestsPerSecond = 20; // The six servers can take 60.
constexpr milliseconds timeLimit { 5000 };

// The rank of an instance for a key, as docs/platform.md describes it (rendezvous hashing).
std::vector<std::string> ranking(const std::string& key, std::vector<std::string> names)
{
    const auto score = [&](const std::string& it) {
        return XXH3_64bits_withSeed(it.data(), it.size(), XXH3_64bits(key.data(), key.size()));
    };
    std::sort(names.begin(), names.end(), [&](const auto& a, const auto& b) { return score(a) > score(b); });
    return names;
}

struct Sent {
    Clock::time_point at;
    unsigned status = 0;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    Record record(argv[1]);
    const std::string folder = argv[2];
    // The instance that places the requests of a service mostly is none of the few that read the store for the others.
    // It is made so in each run by the choice of the service's name.
    std::vector<std::string> names;
    for (unsigned n = 0; n < gatewayCount; ++n)
        names.push_back(fmt::format("front-{}", n + 1));
    const auto last = ranking("registry-readers", names).back();
    std::string service;
    for (unsigned n = 0; service.empty() || ranking(service, names).front() != last; ++n)
        service = fmt::format("service-{}", n);

    Platform platform(record);
    platform.configure(fmt::format(
        R"({{"version":"0000000c","limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s",)"
        R"("idle_timeout":"15s"}},"listeners":[{{"host":"hulo84.example","rules":[{{"name":"r1","type":"safe",)"
        R"("target_latency":"1000ms","priority":2,"match":{{"prefix":"/leny950/"}},)"
        R"("action":{{"service":"{0}","timeout":"5s","max_attempts":3}}}}]}}],)"
        R"("clusters":[{{"name":"{0}","max_conns":390}}]}})",
        service));
    std::list<Server> servers;
    const auto begin = Clock::now();
    for (unsigned n = 0; n < serverCount; ++n) {
        const auto& server = servers.emplace_back(record, Server::Options { fmt::format("i-{:08x}", 0x7f3a91c2 + n) });
        platform.checkIn(server, service, "z1", begin + n * checkInStep);
    }
    std::this_thread::sleep_until(begin + 2s);
    std::list<Gateway> gateways;
    std::vector<const Gateway*> fronts;
    for (const auto& it : names) {
        auto& gateway = gateways.emplace_back(record, folder, Gateway::Options { it }, platform.port());
        gateway.start();
        fronts.push_back(&gateway);
    }
    const auto waitUntilReady = [&] {
        for (const auto& it : gateways) {
            if (!it.waitUntilReady(8s)) {
                record.line("gateway {} is not ready", it.name());
                return false;
            }
        }
        return true;
    };
    if (!waitUntilReady())
        return 2;

    std::mutex mutex;
    std::vector<Sent> sent;
    std::vector<std::thread> clients;
    std::atomic<bool> stopped = false;
    const auto trafficAt = Clock::now();
    std::thread generator([&] {
        std::uint64_t number = 0;
        for (auto next = trafficAt; !stopped; next += std::chrono::microseconds(int(1e6 / requestsPerSecond))) {
            std::this_thread::sleep_until(next);
            const auto* front = fronts[number % fronts.size()];
            const auto id = fmt::format("{:016x}", ++number);
            clients.emplace_back([&, front, id] {
                const auto at = Clock::now();
                record.line("sent {} to {}", id, front->name());
                const auto status = sendOnce(front->callers(), bhttp::verb::get, "/leny950/2f", id, timeLimit);
                record.line("answered {} by {} with {}", id, front->name(), status);
                const std::lock_guard lock(mutex);
                sent.push_back({ at, status });
            });
        }
    });
    const auto servedShare = [&](Clock::time_point from, Clock::time_point to) {
        const std::lock_guard lock(mutex);
        unsigned served = 0;
        unsigned requests = 0;
        for (const auto& it : sent) {
            requests += it.at >= from && it.at < to;
            served += it.at >= from && it.at < to && it.status == 200;
        }
        record.line(
            "requests sent from {:.1f} to {:.1f}: {} of {} were served", seconds(from), seconds(to), served, requests);
        return requests ? double(served) / requests : 0;
    };

    // The final fault: all processes are killed, and start again after a short delay.
    const auto faultAt = trafficAt + 5s;
    std::this_thread::sleep_until(faultAt);
    for (auto& it : gateways)
        it.signal(SIGKILL);
    for (auto& it : gateways) {
        if (!it.waitForEnd(2s))
            return 2;
    }
    std::this_thread::sleep_until(faultAt + restartDelay);
    for (auto& it : gateways)
        it.start();
    if (!waitUntilReady())
        return 2;
    const auto backAt = Clock::now();
    record.line("all machines are back");
    if (!withoutTrouble()) {
        // The servers check in again 1.15 to 1.4 s after the store's return.
        auto outageAt = begin + outagePhase;
        while (outageAt < backAt + 2s)
            outageAt += Platform::heartbeat;
        std::this_thread::sleep_until(outageAt);
        platform.setDown(true);
        std::this_thread::sleep_until(outageAt + outage);
        platform.setDown(false);
    }
    std::this_thread::sleep_until(backAt + recovery + observed);
    unsigned ready = 0;
    for (const auto& it : gateways)
        ready += it.isReady();
    record.line("{} of {} gateways say that they are ready", ready, gatewayCount);
    stopped = true;
    generator.join();
    for (auto& it : clients)
        it.join();
    const auto before = servedShare(trafficAt, faultAt);
    const auto after = servedShare(backAt + recovery, backAt + recovery + observed);
    const bool isBroken = before >= 0.25 && after < 0.25;
    record.line("result: RECOVER {}", isBroken ? "is broken" : "holds");
    gateways.clear();
    // The threads of the stand-ins end with the process.
    std::_Exit(isBroken ? 1 : 0);
}
