// All processes are killed and started again. Some seconds later the store is down for 4.5 s, and the entries of the
// targets expire meanwhile. The targets run all the time and register again within 2 s after the store is back.
#include "harness.h"

#include <atomic>

namespace {

using namespace review;
namespace standin = buckthorncroft::standin;

constexpr auto beforeFault = std::chrono::seconds(6);
constexpr auto calmAfterRestart = std::chrono::seconds(5);
constexpr auto outageTime = milliseconds(4500);
// The targets are back in the store from 1.2 s to 1.8 s after its return; the pages say within about 2 s.
constexpr auto firstCheckIn = milliseconds(1200);
constexpr auto checkInSpacing = milliseconds(50);
constexpr auto recovery = std::chrono::seconds(15); // After the machines are back.
constexpr auto measureTime = std::chrono::seconds(10);
constexpr int serviceCount = 4;
const char* const serviceNames[serviceCount] = { "stock", "hire", "results", "calib" };
constexpr int targetsPerService = 3;
constexpr int instanceCount = 32;

std::string headerValue(const std::string& head, const std::string& name)
{
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return "";
    const auto begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

struct Count {
    std::atomic<unsigned> sent = 0;
    std::atomic<unsigned> served = 0;
};

/// Sends one request on a new connection. Returns its status, or 0.
int send(std::uint16_t port, int service, const std::string& id)
{
    asio::io_context io;
    Tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect({ asio::ip::address_v4::loopback(), port }, ec);
    if (ec)
        return 0;
    const auto text = "GET /" + std::string(serviceNames[service])
        + "/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Buckthorncroft-Request-Id: " + id
        + "\r\nX-Buckthorncroft-Deadline-Ms: 4000\r\n\r\n";
    asio::write(socket, asio::buffer(text), ec);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return couldNotRun;
    const std::string folder = argv[1];
    Record record(argv[2]);
    const bool troubled = isTroubled();
    standin::RegistryStore store;
    std::string listeners;
    std::string clusters;
    for (int s = 0; s < serviceCount; ++s) {
        const std::string name = serviceNames[s];
        listeners += std::string(s ? "," : "") + R"({"name":")" + name
            + R"(","type":"safe","target_latency":"800ms","priority":2,"match":{"prefix":"/)" + name
            + R"(/"},"action":{"service":")" + name + R"(","timeout":"4000ms","max_attempts":2}})";
        clusters += std::string(s ? "," : "") + R"({"name":")" + name + R"(","max_conns":330})";
    }
    store.put("op", "config",
        encodeBase64(R"({"version":"00000002","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
            "header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"h.example","rules":[)"
            + listeners + R"(]}],"clusters":[)" + clusters + "]}"));

    // Targets answer after 50 ms.
    struct Backend {
        std::string id;
        std::string service;
        std::unique_ptr<Listener> listener;
    };
    std::vector<Backend> backends;
    std::atomic<unsigned> runs = 0;
    for (int s = 0; s < serviceCount; ++s) {
        for (int n = 0; n < targetsPerService; ++n) {
            const auto id = "i-" + std::to_string(s) + std::to_string(n);
            backends.push_back({ id, serviceNames[s], std::make_unique<Listener>([&, id](Tcp::socket& socket) {
                boost::system::error_code ec;
                std::string buffer;
                char piece[4096];
                while (true) {
                    auto end = buffer.find("\r\n\r\n");
                    while (!ec && end == std::string::npos) {
                        const auto n = socket.read_some(asio::buffer(piece), ec);
                        buffer.append(piece, ec ? 0 : n);
                        end = buffer.find("\r\n\r\n");
                    }
                    if (ec)
                        return;
                    const auto request = headerValue(buffer.substr(0, end + 2), "X-Buckthorncroft-Request-Id");
                    buffer.erase(0, end + 4);
                    ++runs;
                    record.write("target " + id + " runs " + request);
                    std::this_thread::sleep_for(milliseconds(50));
                    asio::write(socket,
                        asio::buffer("HTTP/1.1 200 OK\r\nX-Buckthorncroft-Request-Id: " + request
                            + "\r\nX-Buckthorncroft-Response-Signature: proof\r\nContent-Length: 2\r\n\r\nok"),
                        ec);
                }
            }) });
        }
    }
    std::atomic<bool> stopped = false;
    const auto registerOnce = [&](const Backend& it, unsigned sequence) {
        store.put("servers", it.id,
            encodeBase64("{\"service\":\"" + it.service + "\",\"address\":\"127.0.0.1:"
                + std::to_string(it.listener->port())
                + "\",\"zone\":\"aberdare\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"cold_remaining\":"
                  "\"0ms\",\"seq\":"
                + std::to_string(sequence) + ",\"born\":1700000000000}"));
    };
    // An entry changes when more than `seq` changes, so the check-ins between these writes change nothing in the store.
    for (const auto& it : backends)
        registerOnce(it, 1);

    const char* zones[] = { "aberdare", "merthyr", "pontypridd" };
    std::vector<std::unique_ptr<Gateway>> fleet;
    for (int n = 0; n < instanceCount; ++n) {
        const std::string zone = zones[n % 3];
        fleet.push_back(std::make_unique<Gateway>(
            folder, "front-" + zone + "-" + std::to_string(n / 3 + 1), zone, store.port()));
    }
    for (const auto& it : fleet) {
        if (!it->waitUntilReady())
            return couldNotRun;
    }

    Count before;
    Count after;
    std::atomic<int> phase = 0; // 1: before the final fault, 2: the span that the rule measures.
    std::vector<std::thread> callers;
    for (int n = 0; n < instanceCount; ++n) {
        callers.emplace_back([&, n] {
            for (unsigned i = 0; !stopped; ++i) {
                const int now = phase;
                const auto id = std::to_string(n) + "-" + std::to_string(i);
                const int status = send(fleet[n]->callers(), static_cast<int>(i) % serviceCount, id);
                record.write("request " + id + " for " + serviceNames[i % serviceCount] + " at " + fleet[n]->name()
                    + " got " + std::to_string(status));
                if (now != 0 && now == phase) {
                    auto& count = now == 1 ? before : after;
                    ++count.sent;
                    count.served += status == 200;
                }
                std::this_thread::sleep_for(milliseconds(800));
            }
        });
    }
    phase = 1;
    std::this_thread::sleep_for(beforeFault);
    phase = 0;
    record.write("final fault: all processes are killed");
    for (const auto& it : fleet)
        it->kill();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    for (const auto& it : fleet)
        it->start();
    const auto backAt = Clock::now();
    record.write("all processes are started again");
    std::this_thread::sleep_for(calmAfterRestart);
    if (troubled) {
        record.write("the store is down");
        store.setFault(standin::StoreFault::Returns503);
        std::this_thread::sleep_for(outageTime - milliseconds(200));
        for (const auto& it : backends)
            store.remove("servers", it.id);
        record.write("the entries of the targets have expired");
        std::this_thread::sleep_for(milliseconds(200));
        store.setFault(standin::StoreFault::None);
        record.write("the store is back");
        std::this_thread::sleep_for(firstCheckIn);
        for (const auto& it : backends) {
            registerOnce(it, 100);
            std::this_thread::sleep_for(checkInSpacing);
        }
        record.write("all targets have registered again");
    }
    std::this_thread::sleep_until(backAt + recovery);
    const auto runsBefore = runs.load();
    phase = 2;
    record.write("the span that the rule measures begins");
    std::this_thread::sleep_for(measureTime);
    phase = 0;
    const auto runsInSpan = runs - runsBefore;
    stopped = true;
    for (auto& it : callers)
        it.join();
    const auto text = "before the final fault " + std::to_string(before.served) + " of " + std::to_string(before.sent)
        + " served; later than 15 s after the machines were back " + std::to_string(after.served) + " of "
        + std::to_string(after.sent) + " served, " + std::to_string(runsInSpan) + " runs at targets";
    record.write(text);
    std::cout << text << std::endl;
    fleet.clear();
    if (before.sent == 0 || after.sent == 0 || before.served * 4 < before.sent)
        std::_Exit(couldNotRun);
    std::_Exit(after.served * 4 < after.sent ? ruleBroken : ruleHeld);
}
