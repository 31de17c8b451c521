#pragma once

#include <buckthorncroft/health/evidence_pool.h>
#include <buckthorncroft/health/service_health.h>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace bench {

using namespace buckthorncroft;
using namespace std::chrono_literals;

enum class Fault {
    None,
    Hanging, ///< Accepts requests and never answers.
    Failing, ///< Answers every request with an error.
    Slow, ///< Five times the usual latency.
    PartlyBad, ///< 30 % errors.
};

struct Setup {
    unsigned targets = 13;
    unsigned entries = 40;
    double rate = 60; ///< Requests per second over all entries and targets.
    double bias = 1;
    bool pooled = true; ///< Whether entries exchange evidence.
    unsigned fullEntries = 0; ///< Entries that run ServiceHealth; 0: all. The others only report windows.
    bool disturbed = false; ///< Load peaks and cold starts.
    double sigma = 0.6; ///< Of the log-normal service time.
    double linkLoss = 0.003; ///< Connect failures and timeouts between zones, as a share of attempts.
};

struct Detection {
    std::vector<double> suspected; ///< Seconds from the fault, one per entry.
    std::vector<double> ejected; ///< Seconds from the fault, one per entry.
    double lastOrdinary = 0; ///< Seconds from the fault to the last request that was sent to the target.
    unsigned falseEjections = 0; ///< Ejections of other targets.
};

struct Healthy {
    unsigned ejections = 0;
    unsigned suspicions = 0;
    unsigned heldByFloor = 0;
};

/// Entries, targets and coordinators of one service in virtual time. Messages take 4 ms; every entry reports each 0.5
/// s, or 0.1 s after its last report when it holds evidence against a target.
class Fleet {
public:
    Fleet(const Setup& setup, unsigned seed)
        : m_setup(setup)
        , m_random(seed)
    {
        m_service.name = "service";
        m_service.bias = setup.bias;
        m_service.coldStart = 10s;
        m_service.routes.push_back({ "read", "/", {}, config::RequestKind::Idempotent });
        for (unsigned it = 0; it < setup.targets; ++it)
            m_service.targets.push_back({ "t" + std::to_string(it), "127.0.0.1", 0, zoneOf(it) });
        for (unsigned it = 0; it < zones; ++it)
            m_pools.emplace_back(m_service, reporter(it, "coordinator"));
        const unsigned full = setup.fullEntries ? setup.fullEntries : setup.entries;
        for (unsigned it = 0; it < setup.entries; ++it) {
            m_entries.emplace_back();
            auto& entry = m_entries.back();
            entry.health = std::make_unique<health::ServiceHealth>(m_service, reporter(it, "entry"), m_now);
            entry.full = it < full;
            entry.views.resize(setup.targets);
            if (entry.full)
                schedule(regularPhase(it), [this, it] { exchange(it, true); });
        }
        for (unsigned it = 0; it < zones; ++it)
            schedule(100ms, [this, it] { relay(it); });
        scheduleRequest();
    }

    Detection detect(Fault fault, double limit)
    {
        // Until each entry's latency model has enough samples.
        constexpr double samples = 50;
        const double warmUp = std::max(20.0, samples * m_setup.entries / m_setup.rate);
        runFor(Duration(static_cast<long>(warmUp * 1e6)));
        m_result = {};
        m_result.suspected.assign(m_entries.size(), limit);
        m_result.ejected.assign(m_entries.size(), limit);
        m_counting = true;
        m_faultAt = m_now;
        m_fault = fault;
        const auto end
            = m_now + std::chrono::duration_cast<base::SteadyTime::duration>(std::chrono::duration<double>(limit));
        while (m_now < end && m_detected < m_entries.size())
            runFor(100ms);
        return m_result;
    }

    Healthy runHealthy(double seconds)
    {
        runFor(90s);
        m_healthy = {};
        if (m_setup.disturbed) {
            schedule(300s, [this] { startPeak(); });
            for (unsigned it = 0; it < m_setup.targets; ++it)
                schedule(Duration(600s) * (it + 1), [this, it] { restart(it); });
        }
        runFor(std::chrono::duration_cast<health::Duration>(std::chrono::duration<double>(seconds)));
        return m_healthy;
    }

private:
    using Duration = health::Duration;
    static constexpr unsigned zones = 3;
    static constexpr Duration hop = 4ms; ///< One way between zones.
    static constexpr Duration deadline = 2s;
    static constexpr double medianMicroseconds = 50000;

    struct Entry {
        std::unique_ptr<health::ServiceHealth> health;
        std::vector<health::TargetView> views;
        base::SteadyTime lastReport;
        bool full = true;
        bool regular = false; ///< A regular exchange is scheduled.
        bool soon = false; ///< An urgent report is scheduled.
    };
    struct Event {
        base::SteadyTime at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    static std::string zoneOf(unsigned n) { return "z" + std::to_string(n % zones); }
    static health::Reporter reporter(unsigned n, const std::string& role)
    {
        return { role + std::to_string(n), zoneOf(n), n + 1 };
    }

    Duration regularPhase(unsigned n) const { return Duration(static_cast<long>(500000.0 * n / m_setup.entries)); }

    void schedule(Duration delay, std::function<void()> run)
    {
        m_events.push({ m_now + delay, ++m_order, std::move(run) });
    }

    void runFor(Duration length)
    {
        const auto end = m_now + length;
        while (!m_events.empty() && m_events.top().at <= end) {
            // The order of the queue does not depend on the moved member.
            auto run = std::move(const_cast<Event&>(m_events.top()).run);
            m_now = m_events.top().at;
            m_events.pop();
            run();
        }
        m_now = end;
    }

    double chance() { return std::uniform_real_distribution<>()(m_random); }

    void scheduleRequest()
    {
        const double gap = std::exponential_distribution<>(m_setup.rate)(m_random);
        schedule(Duration(static_cast<long>(gap * 1e6)), [this] {
            request(static_cast<unsigned>(m_random() % m_entries.size()));
            scheduleRequest();
        });
    }

    void request(unsigned n)
    {
        const auto& views = m_entries[m_entries[n].full ? n : 0].views;
        std::vector<double> weights;
        weights.reserve(views.size());
        for (const auto& it : views)
            weights.push_back(it.avoidLocally || it.draining ? 0 : it.weightFor[0]);
        const auto target = std::discrete_distribution<unsigned>(weights.begin(), weights.end())(m_random);
        // Trials are taken from ordinary traffic; the second attempt that backs them is not modelled.
        for (unsigned it = 0; it < views.size(); ++it)
            if (views[it].stage == health::Stage::Trial && chance() < 0.1)
                return attempt(n, it);
        if (m_fault != Fault::None && target == 0)
            m_result.lastOrdinary = std::chrono::duration<double>(m_now - m_faultAt).count();
        attempt(n, target);
    }

    void attempt(unsigned n, unsigned target)
    {
        const bool faulty = m_fault != Fault::None && target == 0;
        double latency = medianMicroseconds * std::exp(std::normal_distribution<>(0, m_setup.sigma)(m_random));
        auto verdict = health::Verdict::Good;
        if (m_peak) {
            latency *= 3;
            if (chance() < 0.05)
                verdict = health::Verdict::Error;
        }
        if (m_now < m_coldUntil[target])
            latency *= 4;
        if (n % zones != target % zones) {
            latency += 2.0 * static_cast<double>(hop.count());
            if (chance() < m_setup.linkLoss)
                verdict = chance() < 0.5 ? health::Verdict::ConnectFailed : health::Verdict::TimedOut;
        }
        if (faulty && fault(latency))
            verdict = health::Verdict::Error;
        if (verdict == health::Verdict::Error || verdict == health::Verdict::ConnectFailed)
            latency = std::min(latency, 10000.0);
        if (verdict == health::Verdict::TimedOut || latency > static_cast<double>(deadline.count())) {
            verdict = health::Verdict::TimedOut;
            latency = static_cast<double>(deadline.count());
        }
        finishLater(n, target, verdict, Duration(static_cast<long>(latency)));
    }

    /// Applies the fault to the latency. Returns whether the answer is an error.
    bool fault(double& latency)
    {
        switch (m_fault) {
        case Fault::Hanging:
            latency = 1e9;
            return false;
        case Fault::Slow:
            latency *= 5;
            return false;
        case Fault::Failing:
            return true;
        case Fault::PartlyBad:
            return chance() < 0.3;
        case Fault::None:
            break;
        }
        return false;
    }

    void finishLater(unsigned n, unsigned target, health::Verdict verdict, Duration latency)
    {
        // Light entries share the slow limit of the first entry, which sees too few requests to know it otherwise.
        const auto limit
            = m_entries[m_entries[n].full ? n : 0].health->slowLimit(target, config::RequestKind::Idempotent);
        const bool pending = m_entries[n].full && limit && *limit < latency;
        if (pending)
            schedule(*limit, [this, n, target, limit] {
                m_entries[n].health->countPendingAsSlow(target, config::RequestKind::Idempotent, *limit, m_now);
                hurry(n);
            });
        if (!m_entries[n].full && limit && latency >= *limit && verdict == health::Verdict::Good)
            verdict = health::Verdict::Slow;
        schedule(latency, [this, n, target, verdict, latency, pending] {
            m_entries[n].health->observe(
                { target, config::RequestKind::Idempotent, verdict, latency, deadline, m_now, pending });
            hurry(n);
        });
    }

    void hurry(unsigned n)
    {
        auto& entry = m_entries[n];
        // A light entry has nothing to report without a new observation, so it has no regular exchange when idle.
        if (!entry.full && !entry.regular) {
            entry.regular = true;
            const auto wait = 500ms - (m_now.time_since_epoch() - regularPhase(n)) % 500ms;
            schedule(std::chrono::duration_cast<Duration>(wait), [this, n] { exchange(n, true); });
        }
        if (!entry.health->hasUrgentEvidence() || entry.soon)
            return;
        entry.soon = true;
        const auto wait = std::max<base::SteadyTime::duration>(entry.lastReport + 100ms - m_now, 0s);
        schedule(std::chrono::duration_cast<Duration>(wait), [this, n] { exchange(n, false); });
    }

    void exchange(unsigned n, bool regular)
    {
        auto& entry = m_entries[n];
        entry.soon = false;
        entry.lastReport = m_now;
        if (regular)
            entry.regular = entry.full;
        if (regular && entry.full)
            schedule(500ms, [this, n] { exchange(n, true); });
        if (m_setup.pooled) {
            auto windows = entry.health->takeReport(m_now, 50);
            schedule(hop, [this, n, windows = std::move(windows)] {
                auto& pool = m_pools[n % zones];
                pool.merge(windows, m_now);
                if (!m_entries[n].full)
                    return;
                auto scores = pool.evaluate(m_now);
                const auto age = std::chrono::duration_cast<Duration>(m_now - pool.evaluatedAt());
                schedule(hop, [this, n, age, scores = std::move(scores)] {
                    m_entries[n].health->mergePooledScores(scores, age + hop, m_now);
                    tick(n);
                });
            });
        } else
            tick(n);
    }

    void relay(unsigned n)
    {
        schedule(100ms, [this, n] { relay(n); });
        // A coordinator whose entries are not modelled must drop old windows, too.
        if (m_now - m_pools[n].evaluatedAt() > 1s)
            m_pools[n].evaluate(m_now);
        const auto windows = m_pools[n].windowsToRelay(m_now - 200ms, m_now, 200);
        for (unsigned it = 0; it < zones; ++it)
            if (it != n && !windows.empty())
                schedule(hop, [this, it, windows] { m_pools[it].merge(windows, m_now); });
    }

    void tick(unsigned n)
    {
        auto& entry = m_entries[n];
        for (const auto& it : entry.health->tick(m_now))
            note(n, it);
        entry.views = entry.health->views(m_now);
    }

    void note(unsigned n, const health::StageChange& change)
    {
        m_healthy.ejections += change.to == health::Stage::Ejected && change.from != health::Stage::Trial;
        m_healthy.suspicions += change.to == health::Stage::Suspect && change.from == health::Stage::Healthy;
        m_healthy.heldByFloor += change.heldByFloor;
        if (!m_counting)
            return;
        const double at = std::chrono::duration<double>(m_now - m_faultAt).count();
        const bool ejected = change.to == health::Stage::Ejected;
        if (change.target != "t0") {
            m_result.falseEjections += ejected;
            return;
        }
        const bool first = m_result.ejected[n] >= 60;
        if ((ejected || change.to == health::Stage::Suspect) && m_result.suspected[n] >= 60)
            m_result.suspected[n] = at;
        if (ejected && first) {
            m_result.ejected[n] = at;
            ++m_detected;
        }
    }

    void startPeak()
    {
        m_peak = true;
        schedule(30s, [this] { m_peak = false; });
        schedule(600s, [this] { startPeak(); });
    }

    void restart(unsigned target)
    {
        m_coldUntil[target] = m_now + 10s;
        schedule(200ms, [this, target] {
            for (auto& it : m_entries)
                it.health->handleTargetStart(target, m_now);
        });
        schedule(7200s, [this, target] { restart(target); });
    }

    Setup m_setup;
    std::mt19937_64 m_random;
    config::Service m_service;
    base::SteadyTime m_now { 1000h };
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<health::EvidencePool> m_pools;
    std::vector<Entry> m_entries;
    std::map<unsigned, base::SteadyTime> m_coldUntil;
    Fault m_fault = Fault::None;
    base::SteadyTime m_faultAt;
    bool m_peak = false;
    bool m_counting = false;
    std::size_t m_detected = 0;
    Detection m_result;
    Healthy m_healthy;
};

} // namespace bench
