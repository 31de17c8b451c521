// A planned stop breaks off requests at which back ends are at work. A zone has three gateways; two of them get SIGTERM
// at the same moment. The balancer then finds fewer than half of the zone's gateways in rotation and uses all of them,
// so callers still reach the stopping ones. Without the disruption, no gateway is stopped.
#include "../support/stage.hh"

using namespace review;

namespace {

constexpr auto stopAt = 3s; // After the start of traffic.
constexpr auto trafficTime = 8s;
constexpr auto lookupWork = 3000ms; // The site's lookups take 910 ms in the mean and 6,800 ms at most.
constexpr auto uploadWork = 2100ms; // The most that an upload takes.
constexpr unsigned uploadPieces = 10;
constexpr std::size_t pieceBytes = 20'000;
constexpr auto pieceInterval = 40ms;

// Bounds of the rule.
constexpr auto sentInTime = 3s; // A request that was sent no later than this after the signal may be broken off.
constexpr auto grace = 6s;

/// The platform's balancer: asks each gateway once a second, takes it out after two misses, and uses all of the zone's
/// gateways if fewer than half are in rotation.
class Balancer {
public:
    explicit Balancer(const std::vector<std::unique_ptr<Gateway>>& gateways)
        : m_gateways(gateways)
        , m_misses(gateways.size())
        , m_thread([this] { check(); })
    {
    }
    ~Balancer()
    {
        m_ended = true;
        m_thread.join();
    }

    std::size_t choose()
    {
        std::vector<std::size_t> inRotation;
        for (std::size_t n = 0; n < m_gateways.size(); ++n) {
            if (m_misses[n] < 2)
                inRotation.push_back(n);
        }
        const auto turn = m_next++;
        if (2 * inRotation.size() < m_gateways.size())
            return turn % m_gateways.size();
        return inRotation[turn % inRotation.size()];
    }

private:
    void check()
    {
        while (!m_ended) {
            const auto next = Clock::now() + 1s;
            for (std::size_t n = 0; n < m_gateways.size(); ++n)
                m_misses[n] = m_gateways[n]->isReady() ? 0 : m_misses[n] + 1;
            while (!m_ended && Clock::now() < next)
                std::this_thread::sleep_for(10ms);
        }
    }

    const std::vector<std::unique_ptr<Gateway>>& m_gateways;
    std::vector<std::atomic<unsigned>> m_misses;
    std::atomic<unsigned> m_next { 0 };
    std::atomic<bool> m_ended { false };
    std::thread m_thread;
};

struct Sent {
    std::string id;
    std::size_t gateway = 0;
    Answer answer;
    milliseconds routeTimeout { 0 };
};

/// Sends an upload in pieces, as a caller on a slow link does.
Answer upload(std::uint16_t port, const std::string& id)
{
    Answer result;
    result.sentAt = Clock::now();
    const int fd = connectTo(port);
    if (fd >= 0) {
        const std::string body(uploadPieces * pieceBytes, 'x');
        const auto text = requestText("POST", host, "/plan/" + id, id, 8000, body);
        bool isSent = sendAll(fd, text.substr(0, text.size() - body.size()));
        for (unsigned n = 0; isSent && n < uploadPieces; ++n) {
            std::this_thread::sleep_for(pieceInterval);
            isSent = sendAll(fd, body.substr(n * pieceBytes, pieceBytes));
        }
        Message message;
        Reader reader(fd);
        if (reader.read(message, result.sentAt + 9s)) {
            result.status = message.status();
            result.isSigned = !message.field("x-buckthorncroft-response-signature").empty();
        }
        ::close(fd);
    }
    result.endedAt = Clock::now();
    return result;
}

} // namespace

int main(int, char** argv)
{
    Script script(argv);
    auto& record = script.record;
    std::list<Backend> lookups;
    std::list<Backend> uploads;
    buckthorncroft::standin::RegistryStore store;
    Heartbeats heartbeats(store);
    writeConfiguration(store,
        { { "lookup", "safe", "/quote/", "quotebook", "8000ms" },
            { "plan", "upload", "/plan/", "plandrop", "8000ms" } });
    for (unsigned n = 0; n < 6; ++n) {
        heartbeats.list(
            lookups.emplace_back(record, "i-quote-" + std::to_string(n), [](const Message&) { return lookupWork; }),
            "quotebook");
        heartbeats.list(
            uploads.emplace_back(record, "i-plan-" + std::to_string(n), [](const Message&) { return uploadWork; }),
            "plandrop");
    }
    heartbeats.start();
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (unsigned n = 1; n <= 3; ++n)
        gateways.push_back(std::make_unique<Gateway>("front-" + std::to_string(n), store.port(), script.directory));
    for (const auto& it : gateways) {
        if (!it->waitUntilReady(10s))
            return script.end(CouldNotRun, it->name() + " is not ready");
    }
    std::this_thread::sleep_for(1s);

    std::mutex mutex;
    std::vector<Sent> sent;
    std::vector<std::thread> callers;
    Time signalledAt = Time::max();
    {
        Balancer balancer(gateways);
        const auto begin = Clock::now();
        for (unsigned n = 0; Clock::now() < begin + trafficTime; ++n) {
            if (script.hasTrouble && signalledAt == Time::max() && Clock::now() >= begin + stopAt) {
                signalledAt = Clock::now();
                gateways[0]->signal(SIGTERM);
                gateways[1]->signal(SIGTERM);
                record.write("SIGTERM to front-1 and front-2");
            }
            const bool isUpload = n % 2 == 1;
            const auto id = (isUpload ? "upload-" : "lookup-") + std::to_string(n);
            const auto gateway = balancer.choose();
            callers.emplace_back([&, isUpload, id, gateway] {
                const auto port = gateways[gateway]->port();
                record.write("caller sends ", id, " to front-", gateway + 1);
                const auto answer = isUpload ? upload(port, id)
                                             : callOnce(port, requestText("GET", host, "/quote/" + id, id, 15000), 9s);
                record.write("caller gets ", answer.status, answer.isSigned ? " signed" : " unsigned", " for ", id);
                const std::lock_guard lock(mutex);
                sent.push_back({ id, gateway, answer, 8000ms });
            });
            std::this_thread::sleep_for(100ms);
        }
        for (auto& it : callers)
            it.join();
    }
    heartbeats.stop();

    std::map<std::string, Backend::Run> runs;
    for (auto* list : { &lookups, &uploads }) {
        for (const auto& backend : *list) {
            for (const auto& run : backend.runs())
                runs[run.id] = run;
        }
    }
    unsigned served = 0;
    unsigned brokenLookups = 0;
    unsigned brokenUploads = 0;
    for (const auto& it : sent) {
        served += it.answer.isSigned;
        const auto run = runs.find(it.id);
        const bool isAtStoppedGateway = script.hasTrouble && it.gateway < 2;
        if (!isAtStoppedGateway || it.answer.isSigned || run == runs.end())
            continue;
        const bool wasAtWork = run->second.endedAt == Time {} || run->second.endedAt > it.answer.endedAt;
        const bool isInWindow
            = it.answer.sentAt > signalledAt + sentInTime && it.answer.endedAt < signalledAt + grace + 1s;
        const bool isTimeLimit = it.answer.endedAt - it.answer.sentAt >= it.routeTimeout - 100ms;
        if (!wasAtWork || !isInWindow || isTimeLimit)
            continue;
        record.write(it.id, " was sent ", std::chrono::duration<double>(it.answer.sentAt - signalledAt).count(),
            " s after SIGTERM to front-", it.gateway + 1, ", began at its back end and was broken off after ",
            std::chrono::duration<double>(it.answer.endedAt - signalledAt).count(), " s with status ",
            it.answer.status);
        ++(it.id.starts_with("upload") ? brokenUploads : brokenLookups);
    }
    const auto counts = std::to_string(sent.size()) + " sent, " + std::to_string(served) + " served, broken off: "
        + std::to_string(brokenLookups) + " lookups, " + std::to_string(brokenUploads) + " uploads";
    if (served < sent.size() / 4)
        return script.end(CouldNotRun, counts);
    return brokenLookups + brokenUploads ? script.end(Broken, counts) : script.end(Held, counts);
}
