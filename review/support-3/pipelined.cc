// Callers send a second `safe` request before the first one has been answered, on kept connections. The answer to the
// first is long, and its target breaks off some of its answers. The second goes to a sound target of another service.
#include "harness.hh"

#include <atomic>
#include <random>
#include <set>

namespace {

using namespace review;
namespace standin = buckthorncroft::standin;

constexpr std::size_t longBytes = 200'000;
constexpr std::size_t breakOffAt = 120'000;
constexpr double breakOffShare = 0.4; // Of the answers of one target.
constexpr auto runTime = std::chrono::seconds(45);
constexpr unsigned allowedLosses = 3;

std::string headerValue(const std::string& head, const std::string& name)
{
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return "";
    const auto begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// Reads up to the end of a head; bytes behind it stay in `buffer`. Returns an empty text at the end of the connection.
std::string readHead(Tcp::socket& socket, std::string& buffer)
{
    boost::system::error_code ec;
    char piece[16'384];
    while (true) {
        if (const auto end = buffer.find("\r\n\r\n"); end != std::string::npos) {
            const auto head = buffer.substr(0, end + 4);
            buffer.erase(0, end + 4);
            return head;
        }
        const auto n = socket.read_some(asio::buffer(piece), ec);
        if (ec)
            return "";
        buffer.append(piece, n);
    }
}

/// A target that answers each request with a signed body of a fixed length. Requests have no body.
class Target {
public:
    Target(Record& record, std::string id, std::size_t bytes, bool isFaulty, milliseconds delay)
        : m_record(record)
        , m_id(std::move(id))
        , m_bytes(bytes)
        , m_isFaulty(isFaulty)
        , m_delay(delay)
        , m_listener([this](Tcp::socket& socket) { serve(socket); })
    {
    }

    std::uint16_t port() const { return m_listener.port(); }

    bool hasAnswered(const std::string& request)
    {
        const std::lock_guard lock(m_mutex);
        return m_answered.contains(request);
    }

private:
    void serve(Tcp::socket& socket)
    {
        boost::system::error_code ec;
        std::string buffer;
        while (true) {
            const auto head = readHead(socket, buffer);
            if (head.empty())
                return;
            const auto request = headerValue(head, "X-Buckthorncroft-Request-Id");
            m_record.write("target " + m_id + " runs " + request);
            std::this_thread::sleep_for(m_delay);
            const std::string body(m_bytes, 'x');
            const auto answer = "HTTP/1.1 200 OK\r\nX-Buckthorncroft-Request-Id: " + request
                + "\r\nX-Buckthorncroft-Response-Signature: proof\r\nContent-Length: " + std::to_string(m_bytes)
                + "\r\n\r\n" + body;
            bool breaksOff = false;
            {
                const std::lock_guard lock(m_mutex);
                breaksOff = m_isFaulty && std::uniform_real_distribution<double>(0, 1)(m_random) < breakOffShare;
                if (!breaksOff)
                    m_answered.insert(request);
            }
            const auto n = breaksOff ? breakOffAt : answer.size();
            asio::write(socket, asio::buffer(answer.data(), n), ec);
            m_record.write("target " + m_id + (breaksOff ? " breaks off " : " answers ") + request);
            if (ec || breaksOff)
                return;
        }
    }

    Record& m_record;
    std::string m_id;
    std::size_t m_bytes;
    bool m_isFaulty;
    milliseconds m_delay;
    std::mutex m_mutex;
    std::set<std::string> m_answered;
    std::mt19937 m_random { 7 };
    Listener m_listener;
};

/// Reads an answer with a length. Returns its status, or 0 if the connection ends first.
int readAnswer(Tcp::socket& socket, std::string& buffer)
{
    const auto head = readHead(socket, buffer);
    if (head.empty())
        return 0;
    const auto length = std::stoul("0" + headerValue(head, "Content-Length"));
    boost::system::error_code ec;
    char piece[16'384];
    while (buffer.size() < length) {
        const auto n = socket.read_some(asio::buffer(piece), ec);
        if (ec)
            return 0;
        buffer.append(piece, n);
    }
    buffer.erase(0, length);
    return std::stoi(head.substr(9, 3));
}

std::string request(const std::string& path, const std::string& id)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Buckthorncroft-Request-Id: " + id
        + "\r\nX-Buckthorncroft-Deadline-Ms: 4000\r\n\r\n";
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return couldNotRun;
    const std::string folder = argv[1];
    Record record(argv[2]);
    standin::RegistryStore store;
    const bool troubled = isTroubled();
    // One of the two targets with long answers is faulty, which is a share of 0.5.
    Target plansA(record, "plans-a", longBytes, troubled, milliseconds(100));
    Target plansB(record, "plans-b", longBytes, false, milliseconds(100));
    Target stock(record, "stock-a", 600, false, milliseconds(20));
    store.put("op", "config", encodeBase64(R"({"version":"00000002","limits":{"max_header_bytes":16384,
        "max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"h.example",
        "rules":[{"name":"plans","type":"safe","target_latency":"800ms","priority":2,"match":{"prefix":"/plans/"},
        "action":{"service":"plans","timeout":"4000ms","max_attempts":2}},
        {"name":"stock","type":"safe","target_latency":"800ms","priority":2,"match":{"prefix":"/stock/"},
        "action":{"service":"stock","timeout":"4000ms","max_attempts":2}}]}],
        "clusters":[{"name":"plans","max_conns":330},{"name":"stock","max_conns":330}]})"));
    const auto list = [&](const std::string& id, const std::string& service, std::uint16_t port) {
        store.put("servers", id,
            encodeBase64("{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + std::to_string(port)
                + "\",\"zone\":\"aberdare\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
                  "\"cold_remaining\":\"0ms\",\"seq\":4,\"born\":1700000000000}"));
    };
    list("plans-a", "plans", plansA.port());
    list("plans-b", "plans", plansB.port());
    list("stock-a", "stock", stock.port());
    std::vector<std::unique_ptr<Gateway>> fleet;
    for (int n = 1; n <= 3; ++n)
        fleet.push_back(
            std::make_unique<Gateway>(folder, "front-aberdare-" + std::to_string(n), "aberdare", store.port()));
    for (const auto& it : fleet) {
        if (!it->waitUntilReady())
            return couldNotRun;
    }
    std::atomic<unsigned> pairs = 0;
    std::atomic<unsigned> served = 0;
    std::atomic<unsigned> lost = 0;
    const auto end = Clock::now() + runTime;
    std::vector<std::thread> callers;
    for (int n = 0; n < 3; ++n) {
        callers.emplace_back([&, n] {
            asio::io_context io;
            std::unique_ptr<Tcp::socket> socket;
            std::string buffer;
            for (int i = 0; Clock::now() < end; ++i) {
                boost::system::error_code ec;
                if (!socket) {
                    socket = std::make_unique<Tcp::socket>(io);
                    buffer.clear();
                    socket->connect({ asio::ip::address_v4::loopback(), fleet[n]->callers() }, ec);
                    // The first request makes it a kept connection.
                    const auto id = "k" + std::to_string(n) + "-" + std::to_string(i);
                    asio::write(*socket, asio::buffer(request("/stock/1", id)), ec);
                    if (readAnswer(*socket, buffer) == 0) {
                        socket.reset();
                        continue;
                    }
                }
                const auto suffix = std::to_string(n) + "-" + std::to_string(i);
                const auto first = "a" + suffix;
                const auto second = "b" + suffix;
                ++pairs;
                record.write("sent " + first + " and " + second + " to " + fleet[n]->name());
                asio::write(*socket, asio::buffer(request("/plans/1", first) + request("/stock/1", second)), ec);
                const int status = readAnswer(*socket, buffer);
                record.write("got for " + first + ": " + (status ? std::to_string(status) : "connection ended"));
                const int next = status ? readAnswer(*socket, buffer) : 0;
                record.write("got for " + second + ": " + (next ? std::to_string(next) : "connection ended"));
                served += next == 200;
                if (next == 0) {
                    if (stock.hasAnswered(second)) {
                        ++lost;
                        record.write("lost " + second + ": stock-a, which is sound, has run and answered it");
                    }
                    socket.reset();
                }
                std::this_thread::sleep_for(milliseconds(50));
            }
        });
    }
    for (auto& it : callers)
        it.join();
    record.write("pairs " + std::to_string(pairs) + ", second requests served " + std::to_string(served)
        + ", second requests answered by a sound target and lost " + std::to_string(lost) + " (allowed "
        + std::to_string(allowedLosses) + ")");
    std::cout << "pairs " << pairs << ", served " << served << ", lost " << lost << std::endl;
    fleet.clear();
    if (pairs < 20 || served == 0)
        std::_Exit(couldNotRun);
    std::_Exit(lost > allowedLosses ? ruleBroken : ruleHeld);
}
