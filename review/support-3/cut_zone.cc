// Two processes of one zone are killed and don't come back: the two that read new configurations for their zone. Then
// configurations come in quick succession. The first of them moves a route to another service.
#include "harness.hh"

#include <algorithm>
#include <xxhash.h>

namespace {

using namespace review;
namespace standin = buckthorncroft::standin;

constexpr auto stormTime = std::chrono::seconds(4); // `config_storm` for_s
constexpr auto stormGap = milliseconds(330); // `config_storm` gap_s
constexpr int storms = 3; // One after the other.
constexpr auto configApply = milliseconds(2000);

/// The ranking of the instances, as in src/membership/rendezvous.cpp.
std::vector<std::string> rank(const std::string& key, std::vector<std::string> names)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    std::sort(names.begin(), names.end(), [&](const auto& a, const auto& b) {
        return XXH3_64bits_withSeed(a.data(), a.size(), seed) > XXH3_64bits_withSeed(b.data(), b.size(), seed);
    });
    return names;
}

bool isIn(const std::string& zone, const std::string& name)
{
    return name.find(zone) != std::string::npos;
}

std::string configuration(unsigned version, const std::string& service)
{
    char number[16];
    std::snprintf(number, sizeof number, "%08x", version);
    // Only the timeout changes from one version of the storm to the next.
    return std::string(R"({"version":")") + number
        + R"(","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms",
        "idle_timeout":"15000ms"},"listeners":[{"host":"h.example","rules":[{"name":"r","type":"safe",
        "target_latency":"800ms","priority":2,"match":{"prefix":"/p/"},"action":{"service":")"
        + service + R"(","timeout":")" + std::to_string(3000 + version) + R"(ms","max_attempts":2}}]}],
        "clusters":[{"name":"hire","max_conns":330},{"name":"calib","max_conns":330}]})";
}

/// Sends one request on a new connection. Returns the service that ran it, or the status.
std::string send(std::uint16_t port, const std::string& id)
{
    asio::io_context io;
    Tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect({ asio::ip::address_v4::loopback(), port }, ec);
    const auto text = "GET /p/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Buckthorncroft-Request-Id: " + id
        + "\r\nX-Buckthorncroft-Deadline-Ms: 2000\r\n\r\n";
    asio::write(socket, asio::buffer(text), ec);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    if (!answer.starts_with("HTTP/1.1 200"))
        return answer.size() > 12 ? answer.substr(9, 3) : "none";
    return answer.substr(answer.find("\r\n\r\n") + 4);
}

std::unique_ptr<Listener> makeTarget(Record& record, const std::string& service)
{
    return std::make_unique<Listener>([&record, service](Tcp::socket& socket) {
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
            const std::string name = "\r\nX-Buckthorncroft-Request-Id: ";
            const auto begin = buffer.find(name) + name.size();
            const auto id = buffer.substr(begin, buffer.find("\r\n", begin) - begin);
            buffer.erase(0, end + 4);
            record.write("target of " + service + " runs " + id);
            asio::write(socket,
                asio::buffer("HTTP/1.1 200 OK\r\nX-Buckthorncroft-Request-Id: " + id
                    + "\r\nX-Buckthorncroft-Response-Signature: proof\r\nContent-Length: "
                    + std::to_string(service.size()) + "\r\n\r\n" + service),
                ec);
        }
    });
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return couldNotRun;
    Record record(argv[2]);
    const bool troubled = isTroubled();
    standin::RegistryStore store;
    const auto hire = makeTarget(record, "hire");
    const auto calib = makeTarget(record, "calib");
    store.put("op", "config", encodeBase64(configuration(2, "hire")));
    for (const auto& [service, port] : { std::pair("hire", hire->port()), std::pair("calib", calib->port()) }) {
        store.put("servers", std::string("i-") + service,
            encodeBase64(std::string("{\"service\":\"") + service + "\",\"address\":\"127.0.0.1:"
                + std::to_string(port)
                + "\",\"zone\":\"aberdare\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"cold_remaining\":"
                  "\"0ms\",\"seq\":4,\"born\":1700000000000}"));
    }

    // 12 instances, six of them in the zone `merthyr`. The numbers are the first with which the three readers of the
    // store are in other zones, and neither service is placed by one of the two processes that are killed.
    std::vector<std::string> names;
    std::vector<std::string> killed;
    for (int first = 1; first < 500; ++first) {
        names.clear();
        std::vector<std::string> zone;
        for (int n = 0; n < 12; ++n) {
            names.push_back((n < 6 ? "front-aberdare-" : "front-merthyr-") + std::to_string(first + n % 6));
            if (n >= 6)
                zone.push_back(names.back());
        }
        const auto readers = rank("registry-readers", names);
        const auto zoneReaders = rank("zone-readers", zone);
        killed = { zoneReaders[0], zoneReaders[1] };
        const auto isKilled = [&](const std::string& name) { return name == killed[0] || name == killed[1]; };
        if (!isIn("merthyr", readers[0]) && !isIn("merthyr", readers[1]) && !isIn("merthyr", readers[2])
            && !isKilled(rank("hire", names)[0]) && !isKilled(rank("calib", names)[0]))
            break;
    }
    std::vector<std::unique_ptr<Gateway>> fleet;
    for (const auto& it : names)
        fleet.push_back(std::make_unique<Gateway>(
            argv[1], it, isIn("merthyr", it) ? "merthyr" : "aberdare", store.port()));
    for (const auto& it : fleet) {
        if (!it->waitUntilReady())
            return couldNotRun;
    }
    std::this_thread::sleep_for(std::chrono::seconds(4));
    if (troubled) {
        for (const auto& it : fleet) {
            if (it->name() == killed[0] || it->name() == killed[1]) {
                record.write(it->name() + " is killed");
                it->kill();
            }
        }
    }
    std::this_thread::sleep_for(std::chrono::seconds(4)); // Longer than `stability`.
    const auto movedAt = Clock::now();
    unsigned version = 3;
    store.put("op", "config", encodeBase64(configuration(version, "calib")));
    record.write("version 3 moves the route from hire to calib; acknowledged");
    const auto end = movedAt + storms * stormTime;
    unsigned sent = 0;
    unsigned late = 0;
    std::map<std::string, double> staleUntil;
    auto nextVersionAt = movedAt + stormGap;
    for (unsigned i = 0; Clock::now() < end; ++i) {
        if (troubled && Clock::now() >= nextVersionAt) {
            store.put("op", "config", encodeBase64(configuration(++version, "calib")));
            record.write("version " + std::to_string(version) + " acknowledged");
            nextVersionAt += stormGap;
        }
        for (const auto& it : fleet) {
            if (troubled && (it->name() == killed[0] || it->name() == killed[1]))
                continue;
            const auto id = it->name() + "-" + std::to_string(i);
            const auto sentAt = Clock::now();
            const auto ranBy = send(it->callers(), id);
            ++sent;
            record.write("request " + id + " got " + ranBy);
            if (ranBy == "hire" && sentAt > movedAt + configApply) {
                ++late;
                staleUntil[it->name()] = std::chrono::duration<double>(sentAt - movedAt).count();
            }
        }
        std::this_thread::sleep_for(milliseconds(60));
    }
    for (const auto& [name, seconds] : staleUntil)
        record.write(name + " still used the old service " + std::to_string(seconds) + " s after the acknowledgement");
    const auto text = std::to_string(sent) + " requests, " + std::to_string(late)
        + " sent later than 2 s after the acknowledgement and run by the old service, at "
        + std::to_string(staleUntil.size()) + " instances";
    record.write(text);
    std::cout << text << std::endl;
    fleet.clear();
    if (sent < 100)
        std::_Exit(couldNotRun);
    std::_Exit(late > 0 ? ruleBroken : ruleHeld);
}
