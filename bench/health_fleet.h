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
    Hanging, ///< Accepts requests and never responds.
    Failing, ///< Responds to every request with an error.
    Slow, ///< Five times the usual latency.
    PartialErrors, ///< Responds to 30 % of the requests with an error.
};

struct Setup {
    unsigned targets = 13;
    unsigned instances = 40;
    double rate = 60; ///< Requests per second over all instances and targets.
    double bias = 1;
    bool pooled = true; ///< Whether instances exchange evidence.
    /// Instances that evaluate their targets and report regularly; 0: all. The others only report windows.
    unsigned fullInstanceCount = 0;
    bool hasDisturbances = false; ///< Load peaks and cold starts of targets.
    double serviceTimeSigma = 0.6; ///< Standard deviation of the logarithm of the service time.
    /// Probability that an attempt to another zone fails to connect or times out.
    double linkFailureProbability = 0.003;
};

struct DetectionResult {
    std::vector<double> suspected; ///< Seconds from the fault, one per instance.
    std::vector<double> ejected; ///< Seconds from the fault, one per instance.
    double lastRequestAt = 0; ///< Seconds from the fault to the last request, other than a trial, sent to the target.
    unsigned falseEjections = 0; ///< Ejections of other targets.
};

struct HealthyResult {
    unsigned ejections = 0;
    unsigned suspicions = 0;
    unsigned heldByFloor = 0;
};

/// Simulates instances, targets and coordinators of one service in virtual time. Messages take 4 ms. Every instance
/// reports each 0.5 s, or 0.1 s after its last report when it has evidence against a target.
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
        const unsigned full = setup.fullInstanceCount ? setup.fullInstanceCount : setup.instances;
        for (unsigned it = 0; it < setup.instances; ++it) {
            m_instances.emplace_back();
            auto& instance = m_instances.back();
            instance.health = std::make_unique<health::ServiceHealth>(m_service, reporter(it, "entry"), m_now);
            instance.full = it < full;
            instance.views.resize(setup.targets);
            if (instance.full)
                schedule(regularReportOffset(it), [this, it] { exchangeReport(it, true); });
        }
        for (unsigned it = 0; it < zones; ++it)
            schedule(100ms, [this, it] { relayWindows(it); });
        scheduleRequest();
    }

    /// Injects the fault into target 0 after a warm-up and runs until every instance has ejected the target, at most
    /// `limit` seconds. An instance that does not detect the fault gets `limit` as its time.
    DetectionResult detect(Fault fault, double limit)
    {
        // The warm-up lasts until the latency model of each instance has enough samples.
        constexpr double minSamplesPerInstance = 50;
        const double warmUp = std::max(20.0, minSamplesPerInstance * m_setup.instances / m_setup.rate);
        runFor(Duration(static_cast<long>(warmUp * 1e6)));
        m_result = {};
        m_result.suspected.assign(m_instances.size(), limit);
        m_result.ejected.assign(m_instances.size(), limit);
        m_isMeasuring = true;
        m_faultAt = m_now;
        m_fault = fault;
        const auto end
            = m_now + std::chrono::duration_cast<base::SteadyTime::duration>(std::chrono::duration<double>(limit));
        while (m_now < end && m_detectedCount < m_instances.size())
            runFor(100ms);
        return m_result;
    }

    /// Runs for `seconds` without a fault after a warm-up and counts stage changes.
    HealthyResult runHealthy(double seconds)
    {
        runFor(90s);
        m_healthyResult = {};
        if (m_setup.hasDisturbances) {
            schedule(300s, [this] { startPeak(); });
            for (unsigned it = 0; it < m_setup.targets; ++it)
                schedule(Duration(600s) * (it + 1), [this, it] { restartTarget(it); });
        }
        runFor(std::chrono::duration_cast<health::Duration>(std::chrono::duration<double>(seconds)));
        return m_healthyResult;
    }

private:
    using Duration = health::Duration;
    static constexpr unsigned zones = 3;
    static constexpr Duration linkDelay = 4ms; ///< One way between zones.
    static constexpr Duration deadline = 2s;
    static constexpr double medianServiceMicroseconds = 50000;

    struct Instance {
        std::unique_ptr<health::ServiceHealth> health;
        std::vector<health::TargetView> views;
        base::SteadyTime lastReportAt;
        bool full = true; ///< Evaluates its targets; see `Setup::fullInstanceCount`.
        bool isRegularReportScheduled = false; ///< The next report at the regular interval is scheduled.
        bool isUrgentReportScheduled = false; ///< An urgent report is scheduled.
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

    Duration regularReportOffset(unsigned n) const
    {
        return Duration(static_cast<long>(500000.0 * n / m_setup.instances));
    }

    void schedule(Duration delay, std::function<void()> run)
    {
        m_events.push({ m_now + delay, ++m_order, std::move(run) });
    }

    void runFor(Duration time)
    {
        const auto end = m_now + time;
        while (!m_events.empty() && m_events.top().at <= end) {
            // Moving the callback out of the top element does not affect the order of the queue.
            auto run = std::move(const_cast<Event&>(m_events.top()).run);
            m_now = m_events.top().at;
            m_events.pop();
            run();
        }
        m_now = end;
    }

    double drawUniform() { return std::uniform_real_distribution<>()(m_random); }

    void scheduleRequest()
    {
        const double gap = std::exponential_distribution<>(m_setup.rate)(m_random);
        schedule(Duration(static_cast<long>(gap * 1e6)), [this] {
            request(static_cast<unsigned>(m_random() % m_instances.size()));
            scheduleRequest();
        });
    }

    void request(unsigned n)
    {
        const auto& views = m_instances[m_instances[n].full ? n : 0].views;
        std::vector<double> weights;
        weights.reserve(views.size());
        for (const auto& it : views)
            weights.push_back(it.avoidLocally || it.draining ? 0 : it.weightFor[0]);
        const auto target = std::discrete_distribution<unsigned>(weights.begin(), weights.end())(m_random);
        // Trials use regular traffic. The second attempt that protects a trial request is not modelled.
        for (unsigned it = 0; it < views.size(); ++it)
            if (views[it].stage == health::Stage::Trial && drawUniform() < 0.1)
                return attempt(n, it);
        if (m_fault != Fault::None && target == 0)
            m_result.lastRequestAt = std::chrono::duration<double>(m_now - m_faultAt).count();
        attempt(n, target);
    }

    void attempt(unsigned n, unsigned target)
    {
        const bool faulty = m_fault != Fault::None && target == 0;
        // In microseconds, as all latencies below.
        double latency
            = medianServiceMicroseconds * std::exp(std::normal_distribution<>(0, m_setup.serviceTimeSigma)(m_random));
        auto verdict = health::Verdict::Good;
        if (m_isPeak) {
            latency *= 3;
            if (drawUniform() < 0.05)
                verdict = health::Verdict::Error;
        }
        if (m_now < m_coldUntil[target])
            latency *= 4;
        if (n % zones != target % zones) {
            latency += 2.0 * static_cast<double>(linkDelay.count());
            if (drawUniform() < m_setup.linkFailureProbability)
                verdict = drawUniform() < 0.5 ? health::Verdict::ConnectFailed : health::Verdict::TimedOut;
        }
        if (faulty && applyFault(latency))
            verdict = health::Verdict::Error;
        // Errors and refused connections arrive after at most 10 ms.
        if (verdict == health::Verdict::Error || verdict == health::Verdict::ConnectFailed)
            latency = std::min(latency, 10000.0);
        if (verdict == health::Verdict::TimedOut || latency > static_cast<double>(deadline.count())) {
            verdict = health::Verdict::TimedOut;
            latency = static_cast<double>(deadline.count());
        }
        scheduleCompletion(n, target, verdict, Duration(static_cast<long>(latency)));
    }

    /// Applies the fault to the latency, in microseconds. Returns whether the response is an error.
    bool applyFault(double& latency)
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
        case Fault::PartialErrors:
            return drawUniform() < 0.3;
        case Fault::None:
            break;
        }
        return false;
    }

    void scheduleCompletion(unsigned n, unsigned target, health::Verdict verdict, Duration latency)
    {
        // Instances that are not full use the slow limit of the first instance; on its own, an instance receives too
        // few requests to compute the limit.
        const auto limit
            = m_instances[m_instances[n].full ? n : 0].health->slowLimit(target, config::RequestKind::Idempotent);
        const bool pending = m_instances[n].full && limit && *limit < latency;
        if (pending)
            schedule(*limit, [this, n, target, limit] {
                m_instances[n].health->countPendingAsSlow(target, config::RequestKind::Idempotent, *limit, m_now);
                scheduleUrgentReport(n);
            });
        if (!m_instances[n].full && limit && latency >= *limit && verdict == health::Verdict::Good)
            verdict = health::Verdict::Slow;
        schedule(latency, [this, n, target, verdict, latency, pending] {
            m_instances[n].health->observe(
                { target, config::RequestKind::Idempotent, verdict, latency, deadline, m_now, pending });
            scheduleUrgentReport(n);
        });
    }

    void scheduleUrgentReport(unsigned n)
    {
        auto& instance = m_instances[n];
        // An instance that is not full has nothing to report without a new observation, so it sends no regular reports
        // while it is idle.
        if (!instance.full && !instance.isRegularReportScheduled) {
            instance.isRegularReportScheduled = true;
            const auto wait = 500ms - (m_now.time_since_epoch() - regularReportOffset(n)) % 500ms;
            schedule(std::chrono::duration_cast<Duration>(wait), [this, n] { exchangeReport(n, true); });
        }
        if (!instance.health->hasUrgentEvidence() || instance.isUrgentReportScheduled)
            return;
        instance.isUrgentReportScheduled = true;
        const auto wait = std::max<base::SteadyTime::duration>(instance.lastReportAt + 100ms - m_now, 0s);
        schedule(std::chrono::duration_cast<Duration>(wait), [this, n] { exchangeReport(n, false); });
    }

    void exchangeReport(unsigned n, bool regular)
    {
        auto& instance = m_instances[n];
        instance.isUrgentReportScheduled = false;
        instance.lastReportAt = m_now;
        if (regular)
            instance.isRegularReportScheduled = instance.full;
        if (regular && instance.full)
            schedule(500ms, [this, n] { exchangeReport(n, true); });
        if (m_setup.pooled) {
            auto windows = instance.health->takeReport(m_now, 50);
            schedule(linkDelay, [this, n, windows = std::move(windows)] {
                auto& pool = m_pools[n % zones];
                pool.merge(windows, m_now);
                if (!m_instances[n].full)
                    return;
                auto scores = pool.evaluate(m_now);
                const auto age = std::chrono::duration_cast<Duration>(m_now - pool.evaluatedAt());
                schedule(linkDelay, [this, n, age, scores = std::move(scores)] {
                    m_instances[n].health->mergePooledScores(scores, age + linkDelay, m_now);
                    tick(n);
                });
            });
        } else
            tick(n);
    }

    void relayWindows(unsigned n)
    {
        schedule(100ms, [this, n] { relayWindows(n); });
        // A coordinator to which no full instance reports must drop expired windows, too.
        if (m_now - m_pools[n].evaluatedAt() > 1s)
            m_pools[n].evaluate(m_now);
        const auto windows = m_pools[n].windowsToRelay(m_now - 200ms, m_now, 200);
        for (unsigned it = 0; it < zones; ++it)
            if (it != n && !windows.empty())
                schedule(linkDelay, [this, it, windows] { m_pools[it].merge(windows, m_now); });
    }

    void tick(unsigned n)
    {
        auto& instance = m_instances[n];
        for (const auto& it : instance.health->tick(m_now))
            recordStageChange(n, it);
        instance.views = instance.health->views(m_now);
    }

    void recordStageChange(unsigned n, const health::StageChange& change)
    {
        m_healthyResult.ejections += change.to == health::Stage::Ejected && change.from != health::Stage::Trial;
        m_healthyResult.suspicions += change.to == health::Stage::Suspect && change.from == health::Stage::Healthy;
        m_healthyResult.heldByFloor += change.heldByFloor;
        if (!m_isMeasuring)
            return;
        const double at = std::chrono::duration<double>(m_now - m_faultAt).count();
        const bool ejected = change.to == health::Stage::Ejected;
        if (change.target != "t0") {
            m_result.falseEjections += ejected;
            return;
        }
        // An instance that has not detected the fault has the value `limit`, which health_detection.cpp sets to 60 s.
        const bool first = m_result.ejected[n] >= 60;
        if ((ejected || change.to == health::Stage::Suspect) && m_result.suspected[n] >= 60)
            m_result.suspected[n] = at;
        if (ejected && first) {
            m_result.ejected[n] = at;
            ++m_detectedCount;
        }
    }

    void startPeak()
    {
        m_isPeak = true;
        schedule(30s, [this] { m_isPeak = false; });
        schedule(600s, [this] { startPeak(); });
    }

    void restartTarget(unsigned target)
    {
        m_coldUntil[target] = m_now + 10s;
        schedule(200ms, [this, target] {
            for (auto& it : m_instances)
                it.health->handleTargetStart(target, m_now);
        });
        schedule(7200s, [this, target] { restartTarget(target); });
    }

    Setup m_setup;
    std::mt19937_64 m_random;
    config::Service m_service;
    base::SteadyTime m_now { 1000h };
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<health::EvidencePool> m_pools;
    std::vector<Instance> m_instances;
    std::map<unsigned, base::SteadyTime> m_coldUntil;
    Fault m_fault = Fault::None;
    base::SteadyTime m_faultAt;
    bool m_isPeak = false;
    bool m_isMeasuring = false;
    std::size_t m_detectedCount = 0;
    DetectionResult m_result;
    HealthyResult m_healthyResult;
};

} // namespace bench
