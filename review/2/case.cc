// A planned stop breaks off requests at which back ends are at work. The eight gateways of a zone get SIGTERM in turn, two
// at a time, and start again. The balancer then finds fewer than half of the zone's gateways in rotation and uses all of
// them, so callers still reach the stopping ones. Without the disruption, no gateway is stopped.
#include "../support/stage.hh"

#include <cmath>
#include <random>

using namespace review;

namespace {

constexpr unsigned gatewayCount = 8; // As many as the site's smallest zone has.
constexpr unsigned stoppedAtOnce = 2;
constexpr auto stopInterval = 1280ms;
constexpr unsigned maxRounds = 8; // Until a request is broken off.
constexpr auto roundTime = 7s; // Of traffic.
constexpr auto stopAt = 300ms; // After the balancer's first check in a round; it checks each second.
constexpr auto requestInterval = 10ms;
constexpr unsigned uploadEvery = 5; // Requests; the others are lookups.
constexpr unsigned lookupBackends = 48;
constexpr unsigned uploadBackends = 10;
constexpr auto lookupTimeout = 8000ms;
constexpr auto uploadTimeout = 5000ms; // The callers' time limit.
constexpr unsigned uploadPieces = 10;
constexpr std::size_t pieceBytes = 6'000; // 60,000 bytes an upload, the site's mean.
constexpr auto pieceInterval = 40ms;

/// How long back ends work on requests of a kind: mean, spread and most of the site.
struct WorkTimes {
    double mean;
    double spread;
    double most;
};
constexpr WorkTimes lookupTimes { 880, 0.8, 6600 };
constexpr WorkTimes uploadTimes { 260, 0.5, 2000 };

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
    milliseconds timeLimit { 0 };
    Answer answer;
};

/// Sends an upload in pieces, as a caller on a slow link does.
Answer upload(std::uint16_t port, const std::string& id)
{
    Answer result;
    result.sentAt = Clock::now();
    const int fd = connectTo(port);
    if (fd >= 0) {
        const std::string body(uploadPieces * pieceBytes, 'x');
        const auto text = requestText("POST", host, "/plan/" + id, id, uploadTimeout.count(), body);
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

/// Stops the gateways in turn, and starts each again when its process has ended.
class Roll {
public:
    Roll(Record& record, const std::vector<std::unique_ptr<Gateway>>& gateways)
        : m_record(record)
        , m_gateways(gateways)
        , m_signalledAt(gateways.size())
        , m_startedAgainAt(gateways.size())
    {
    }

    void step()
    {
        if (m_signalled < m_gateways.size() && Clock::now() >= m_next) {
            m_next = Clock::now() + stopInterval;
            for (unsigned it = 0; it < stoppedAtOnce && m_signalled < m_gateways.size(); ++it, ++m_signalled) {
                m_signalledAt[m_signalled] = Clock::now();
                m_gateways[m_signalled]->signal(SIGTERM);
                m_record.write("SIGTERM to ", m_gateways[m_signalled]->name());
                m_stopping.push_back(m_signalled);
            }
        }
        m_stopping.remove_if([this](std::size_t it) {
            if (!m_gateways[it]->startAgainIfEnded())
                return false;
            m_startedAgainAt[it] = Clock::now();
            m_record.write(m_gateways[it]->name(), " has ended and starts again");
            return true;
        });
    }

    bool hasEnded() const { return m_signalled == m_gateways.size() && m_stopping.empty(); }

    /// Returns whether the rule protects a request that was sent and ended at these times: it was sent to the process
    /// that got SIGTERM, later than the time up to which a long request may be broken off.
    bool protects(std::size_t gateway, const Answer& answer) const
    {
        return answer.sentAt > m_signalledAt[gateway] + sentInTime && answer.sentAt < m_startedAgainAt[gateway]
            && answer.endedAt < m_signalledAt[gateway] + grace + 1s;
    }

    /// Returns the seconds from SIGTERM to the gateway until `time`.
    double sinceSignal(std::size_t gateway, Time time) const
    {
        return std::chrono::duration<double>(time - m_signalledAt[gateway]).count();
    }

private:
    Record& m_record;
    const std::vector<std::unique_ptr<Gateway>>& m_gateways;
    std::vector<Time> m_signalledAt;
    std::vector<Time> m_startedAgainAt;
    std::list<std::size_t> m_stopping;
    std::size_t m_signalled = 0;
    Time m_next {};
};

/// Draws how long a request takes, from a log-normal distribution.
class Work {
public:
    explicit Work(const WorkTimes& times)
        : m_times(times)
    {
    }

    milliseconds operator()()
    {
        const double variance = std::log(1 + m_times.spread * m_times.spread);
        const std::lock_guard lock(m_mutex);
        std::lognormal_distribution<double> draw(std::log(m_times.mean) - variance / 2, std::sqrt(variance));
        return milliseconds(static_cast<int>(std::min(draw(m_random), m_times.most)));
    }

private:
    WorkTimes m_times;
    std::mutex m_mutex;
    std::mt19937 m_random { 7 };
};

} // namespace

int main(int, char** argv)
{
    Script script(argv);
    auto& record = script.record;
    Work lookupWork(lookupTimes);
    Work uploadWork(uploadTimes);
    std::list<Backend> backends;
    buckthorncroft::standin::RegistryStore store;
    Heartbeats heartbeats(store);
    writeConfiguration(store,
        { { "lookup", "safe", "/quote/", "calib", "8000ms" }, { "plan", "upload", "/plan/", "results", "8000ms" } });
    for (unsigned n = 0; n < lookupBackends; ++n) {
        heartbeats.list(backends.emplace_back(record, "i-calib-" + std::to_string(n),
                            [&](const Message&) { return lookupWork(); }),
            "calib");
    }
    for (unsigned n = 0; n < uploadBackends; ++n) {
        heartbeats.list(backends.emplace_back(record, "i-results-" + std::to_string(n),
                            [&](const Message&) { return uploadWork(); }),
            "results");
    }
    heartbeats.start();
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (unsigned n = 1; n <= gatewayCount; ++n)
        gateways.push_back(std::make_unique<Gateway>("front-" + std::to_string(n), store.port(), script.directory));
    for (const auto& it : gateways) {
        if (!it->waitUntilReady(10s))
            return script.end(CouldNotRun, it->name() + " is not ready");
    }
    std::this_thread::sleep_for(1s);

    unsigned sentCount = 0;
    unsigned served = 0;
    unsigned brokenLookups = 0;
    unsigned brokenUploads = 0;
    for (unsigned round = 0; round < maxRounds && brokenLookups + brokenUploads == 0; ++round) {
        std::mutex mutex;
        std::vector<Sent> sent;
        std::vector<std::thread> callers;
        Roll roll(record, gateways);
        {
            Balancer balancer(gateways);
            const auto begin = Clock::now();
            while (Clock::now() < begin + roundTime) {
                if (script.hasTrouble && Clock::now() >= begin + stopAt)
                    roll.step();
                const auto n = sentCount++;
                const bool isUpload = n % uploadEvery == uploadEvery - 1;
                const auto id = (isUpload ? "upload-" : "lookup-") + std::to_string(n);
                const auto gateway = balancer.choose();
                callers.emplace_back([&, isUpload, id, gateway] {
                    const auto port = gateways[gateway]->port();
                    record.write("caller sends ", id, " to front-", gateway + 1);
                    const auto answer = isUpload
                        ? upload(port, id)
                        : callOnce(port, requestText("GET", host, "/quote/" + id, id, 15000), 9s);
                    record.write(
                        "caller gets ", answer.status, answer.isSigned ? " signed" : " unsigned", " for ", id);
                    const std::lock_guard lock(mutex);
                    sent.push_back({ id, gateway, isUpload ? uploadTimeout : lookupTimeout, answer });
                });
                std::this_thread::sleep_for(requestInterval);
            }
            while (script.hasTrouble && !roll.hasEnded()) {
                roll.step();
                std::this_thread::sleep_for(5ms);
            }
            for (auto& it : callers)
                it.join();
        }
        std::map<std::string, Backend::Run> runs;
        for (const auto& backend : backends) {
            for (const auto& run : backend.runs())
                runs[run.id] = run;
        }
        for (const auto& it : sent) {
            served += it.answer.isSigned;
            const auto run = runs.find(it.id);
            if (!script.hasTrouble || it.answer.isSigned || run == runs.end())
                continue;
            const bool wasAtWork = run->second.endedAt == Time {} || run->second.endedAt > it.answer.endedAt;
            const bool isTimeLimit = it.answer.endedAt - it.answer.sentAt >= it.timeLimit - 100ms;
            if (!wasAtWork || !roll.protects(it.gateway, it.answer) || isTimeLimit)
                continue;
            record.write(it.id, " was sent ", roll.sinceSignal(it.gateway, it.answer.sentAt), " s after SIGTERM to front-",
                it.gateway + 1, ", began at its back end and was broken off after ",
                roll.sinceSignal(it.gateway, it.answer.endedAt), " s with status ", it.answer.status);
            ++(it.id.starts_with("upload") ? brokenUploads : brokenLookups);
        }
    }
    heartbeats.stop();
    const auto counts = std::to_string(sentCount) + " sent, " + std::to_string(served) + " served, broken off: "
        + std::to_string(brokenLookups) + " lookups, " + std::to_string(brokenUploads) + " uploads";
    if (served < sentCount / 4)
        return script.end(CouldNotRun, counts);
    return brokenLookups + brokenUploads ? script.end(Broken, counts) : script.end(Held, counts);
}
