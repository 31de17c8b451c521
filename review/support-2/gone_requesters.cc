// Case 7: it isn't noticed that a requester with many unanswered requests on its connection has left.
#include "fleet.hh"

using namespace review;

namespace {

constexpr unsigned gatewayCount = 3;
constexpr unsigned serverCount = 12;
constexpr unsigned roundCount = 3;
constexpr unsigned requestersOfRound = 10;
constexpr unsigned leaversOfRound = 1; // A share of 0.1; the site has up to 0.3.
constexpr unsigned requestsOfLeaver = 40;
constexpr unsigned requestsOfOther = 2;
constexpr milliseconds work { 910 };
constexpr milliseconds timeLimit { 15'000 };
constexpr milliseconds leaveAfter { 250 };
constexpr milliseconds bound { 500 };
constexpr double maxShareAtWork = 0.25;

std::string requestText(const std::string& id)
{
    return fmt::format("GET /leny950/2f HTTP/1.1\r\nHost: hulo84.example\r\n{}: {}\r\n{}: {}\r\n\r\n", idHeader, id,
        deadlineHeader, timeLimit.count());
}

struct Left {
    std::string prefix; ///< Of the ids of its requests.
    Clock::time_point at;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    Record record(argv[1]);
    Platform platform(record);
    platform.configure(
        R"({"version":"0000000c","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s",)"
        R"("idle_timeout":"15s"},"listeners":[{"host":"hulo84.example","rules":[{"name":"r1","type":"safe",)"
        R"("target_latency":"2500ms","priority":2,"match":{"prefix":"/leny950/"},)"
        R"("action":{"service":"quotebook","timeout":"8s","max_attempts":3}}]}],)"
        R"("clusters":[{"name":"quotebook","max_conns":390}]})");
    std::list<Server> servers;
    for (unsigned n = 0; n < serverCount; ++n) {
        Server::Options options;
        options.id = fmt::format("i-{:08x}", 0x7f3a91c2 + n);
        options.work = work;
        platform.checkIn(servers.emplace_back(record, options), "quotebook", "z1", Clock::now());
    }
    std::this_thread::sleep_for(500ms);
    std::list<Gateway> gateways;
    for (unsigned n = 0; n < gatewayCount; ++n)
        gateways.emplace_back(record, argv[2], Gateway::Options { fmt::format("front-{}", n + 1) }, platform.port())
            .start();
    for (const auto& it : gateways) {
        if (!it.waitUntilReady(5s))
            return 2;
    }
    std::this_thread::sleep_for(1s);

    const bool trouble = !withoutTrouble();
    std::mutex mutex;
    std::vector<Left> left;
    std::vector<const Gateway*> fronts;
    for (const auto& it : gateways)
        fronts.push_back(&it);
    const auto request = [&](unsigned round, unsigned requester) {
        const bool leaves = requester < leaversOfRound;
        const auto& front = *fronts[(round + requester) % fronts.size()];
        const auto prefix = fmt::format("{:08x}{:04x}", round + 1, requester + 1);
        const auto count = leaves ? requestsOfLeaver : requestsOfOther;
        asio::io_context io;
        tcp::socket socket(io);
        boost::system::error_code ec;
        socket.connect({ asio::ip::address_v4::loopback(), front.callers() }, ec);
        std::string text;
        for (unsigned n = 0; n < count; ++n)
            text += requestText(fmt::format("{}{:04x}", prefix, n));
        asio::write(socket, asio::buffer(text), ec);
        record.line("requester {} sent {} requests to {}", prefix, count, front.name());
        if (leaves && trouble) {
            std::this_thread::sleep_for(leaveAfter);
            socket.close(ec);
            const std::lock_guard lock(mutex);
            left.push_back({ prefix, Clock::now() });
            record.line("requester {} closed its connection", prefix);
            return;
        }
        boost::beast::flat_buffer buffer;
        unsigned served = 0;
        for (unsigned n = 0; n < count && !ec; ++n) {
            bhttp::response<bhttp::string_body> response;
            bhttp::read(socket, buffer, response, ec);
            served += !ec && response.result_int() == 200;
        }
        record.line("requester {} got {} successes", prefix, served);
    };
    for (unsigned round = 0; round < roundCount; ++round) {
        std::vector<std::thread> requesters;
        for (unsigned n = 0; n < requestersOfRound; ++n)
            requesters.emplace_back([&, round, n] { request(round, n); });
        for (auto& it : requesters)
            it.join();
        std::this_thread::sleep_for(trouble ? 6s : 1s);
    }

    unsigned late = 0;
    unsigned longRuns = 0;
    unsigned atWork = 0;
    for (const auto& server : servers) {
        for (const auto& run : server.runs()) {
            for (const auto& it : left) {
                if (!run.request.starts_with(it.prefix))
                    continue;
                late += run.startedAt > it.at + bound;
                const bool isLong = run.startedAt <= it.at && run.startedAt + work > it.at + bound;
                longRuns += isLong;
                atWork += isLong && run.endedAt > it.at + bound;
            }
        }
    }
    const bool isBroken = longRuns > 0 && atWork > maxShareAtWork * longRuns;
    record.line(
        "{} requesters left; {} of their requests reached a server over {} ms later", left.size(), late, bound.count());
    record.line("of {} of their requests that would have lasted so long, {} were still at work {} ms later", longRuns,
        atWork, bound.count());
    record.line("result: GONE {}", isBroken ? "is broken" : "holds");
    gateways.clear();
    // The threads of the stand-ins end with the process.
    std::_Exit(isBroken ? 1 : 0);
}
