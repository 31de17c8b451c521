#pragma once

#include <algorithm>
#include <buckthorncroft/base/clock.h>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace buckthorncroft::standins {

using std::chrono::milliseconds;

/// Options of one target stand-in.
struct TargetOptions {
    std::string id = "target";
    std::string zone = "z1";
    unsigned slots = 3;
    double serviceMedianMs = 50; ///< Median service time in milliseconds.
    double serviceSigma = 0.5; ///< Standard deviation of the logarithm of the service time.
    milliseconds coldStart { 0 }; ///< Time after the start during which requests are slower.
    double coldStartFactor = 4; ///< Slowdown at the start; decreases linearly to 1 over `coldStart`.
    milliseconds reportDelay { 0 }; ///< Age of the state that `/health` and `/load` report.
    std::uint64_t seed = 1;
};

/// Kinds of faults that the stand-in injects.
enum class FaultKind {
    None,
    Slow, ///< The service time is multiplied.
    Wrong, ///< The response has an error status.
    Crossed, ///< The response belongs to the request that ran before.
    Truncated, ///< The connection is closed in the middle of the response body.
    Hanging, ///< The request takes a slot and is read, but gets no response.
    Silent, ///< Requests, and new connections when neither method nor path is set, are accepted but get no response.
    Misleading ///< `/health` and `/load` report a failing target although requests succeed.
};

/// A fault that is set at run time and affects matching requests at random.
struct Fault {
    FaultKind kind = FaultKind::None;
    double slowdownFactor = 5; ///< Factor on the service time, for Slow.
    unsigned status = 500; ///< Status of the response, for Wrong.
    double probability = 1; ///< Probability that a matching request is affected, 0 to 1.
    std::string method; ///< Empty matches every method.
    std::string path; ///< Path prefix; empty matches every path.
    milliseconds togglePeriod { 0 }; ///< When greater than 0, the fault is alternately on and off for this long each.
    bool countsAsRun = true; ///< Whether an affected request counts as run although its response is faulty or missing.
};

/// Parses the body of `POST /control/fault`. Returns no value when the document or a value is invalid.
inline std::optional<Fault> parseFault(const std::string& text)
{
    static const std::map<std::string, FaultKind> kinds { { "none", FaultKind::None }, { "slow", FaultKind::Slow },
        { "wrong", FaultKind::Wrong }, { "crossed", FaultKind::Crossed }, { "truncated", FaultKind::Truncated },
        { "hanging", FaultKind::Hanging }, { "accept-and-never-answer", FaultKind::Silent },
        { "flapping", FaultKind::Wrong }, { "misleading", FaultKind::Misleading } };
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    try {
        const auto name = document.value("kind", "none");
        const auto it = kinds.find(name);
        if (it == kinds.end())
            return std::nullopt;
        Fault fault;
        fault.kind = it->second;
        fault.slowdownFactor = document.value("factor", fault.slowdownFactor);
        fault.status = document.value("status", fault.status);
        fault.probability = document.value("share", fault.probability);
        fault.method = document.value("method", "");
        fault.path = document.value("path", "");
        fault.togglePeriod = milliseconds(document.value("period_ms", name == "flapping" ? 2000 : 0));
        fault.countsAsRun = document.value("effect", fault.kind != FaultKind::Hanging);
        const bool valid = fault.slowdownFactor > 0 && fault.probability >= 0 && fault.probability <= 1
            && fault.status >= 500 && fault.status <= 599 && fault.togglePeriod.count() >= 0;
        return valid ? std::optional(fault) : std::nullopt;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

/// Event counters since the start.
struct TargetCounts {
    std::uint64_t requests = 0; ///< Received request headers, except for `/control/`, `/health` and `/load`.
    std::uint64_t runs = 0; ///< Requests whose work was completed.
    std::uint64_t sheds = 0; ///< Requests rejected as not run because no slot was free.
    std::uint64_t expired = 0; ///< Requests stopped at their deadline and rejected as not run.
    std::uint64_t cancelled = 0; ///< Requests whose caller disconnected or stalled before the work was completed.
    std::uint64_t faulted = 0; ///< Requests affected by a fault.
    std::uint64_t uploadsWhole = 0; ///< Uploads that were received completely.
    std::uint64_t uploadsCut = 0; ///< Uploads that ended before the body was complete.
    std::uint64_t requestsAfterDrain = 0; ///< Requests received more than `drainGrace` after draining started.
    unsigned maxInUse = 0; ///< Maximum number of slots in use at the same time.
};

/// Time after the start of draining during which new requests may still arrive.
constexpr milliseconds drainGrace { 3000 };

/// The parts of a request that a response repeats. The defaults stand in for the previous request of a `crossed` fault
/// when no request was run yet.
struct RequestSummary {
    std::string id = "crossed-id";
    std::string method = "GET";
    std::string path = "/crossed";
    std::string digest = "0";
    std::uint64_t length = 0;
};

/// State of a target stand-in: slots, fault, draining flag and counters. Not thread-safe.
class TargetState {
public:
    TargetState(TargetOptions options, const base::Clock& clock)
        : m_options(std::move(options))
        , m_clock(clock)
        , m_startedAt(clock.now())
        , m_random(m_options.seed)
    {
        recordLoad();
    }

    const TargetOptions& options() const { return m_options; }
    TargetCounts& counts() { return m_counts; }
    bool isDraining() const { return m_draining; }
    const Fault& fault() const { return m_fault; }
    const RequestSummary& lastRun() const { return m_lastRun; }

    void setFault(Fault fault)
    {
        m_fault = std::move(fault);
        m_faultSetAt = m_clock.now();
    }

    void setDraining(bool draining)
    {
        m_draining = draining;
        m_drainChangedAt = m_clock.now();
        recordLoad();
    }

    /// Counts a received request.
    void recordRequest()
    {
        ++m_counts.requests;
        if (m_draining && m_clock.now() - m_drainChangedAt > drainGrace)
            ++m_counts.requestsAfterDrain;
    }

    /// Returns the fault that affects a request with this method and path, or a fault of kind None. Random, according
    /// to the fault's probability.
    Fault selectFault(const std::string& method, const std::string& path)
    {
        const bool matches = m_fault.kind != FaultKind::Misleading && isFaultActive()
            && (m_fault.method.empty() || m_fault.method == method)
            && path.compare(0, m_fault.path.size(), m_fault.path) == 0;
        if (!matches || !drawBernoulli(m_fault.probability))
            return {};
        ++m_counts.faulted;
        return m_fault;
    }

    /// Returns whether a new connection is accepted but never read. Random, according to the fault's probability.
    bool shouldIgnoreConnection()
    {
        return m_fault.kind == FaultKind::Silent && m_fault.method.empty() && m_fault.path.empty() && isFaultActive()
            && drawBernoulli(m_fault.probability);
    }

    /// Acquires a slot. Returns false and counts a shed request when none is free.
    bool tryAcquire()
    {
        if (m_inUse >= m_options.slots) {
            ++m_counts.sheds;
            return false;
        }
        m_counts.maxInUse = std::max(m_counts.maxInUse, ++m_inUse);
        recordLoad();
        return true;
    }

    void release()
    {
        --m_inUse;
        recordLoad();
    }

    /// Returns a random service time from the log-normal distribution, with the slowdown of the cold start.
    std::chrono::microseconds serviceTime()
    {
        std::lognormal_distribution<double> distribution(
            std::log(std::max(m_options.serviceMedianMs, 0.001)), m_options.serviceSigma);
        double slowdownFactor = 1;
        const std::chrono::duration<double, std::milli> age = m_clock.now() - m_startedAt;
        const auto coldStartMs = static_cast<double>(m_options.coldStart.count());
        if (age.count() < coldStartMs)
            slowdownFactor = m_options.coldStartFactor + (1 - m_options.coldStartFactor) * age.count() / coldStartMs;
        return std::chrono::microseconds(static_cast<std::int64_t>(distribution(m_random) * slowdownFactor * 1000));
    }

    /// Counts a request whose work was completed.
    void recordRun(const RequestSummary& request, const std::string& idempotencyKey)
    {
        ++m_counts.runs;
        if (!request.id.empty())
            ++m_runsById[request.method + " " + request.id];
        if (!idempotencyKey.empty())
            ++m_runsByKey[idempotencyKey];
        m_lastRun = request;
    }

    /// Returns the body of `GET /control/counts`.
    nlohmann::json makeCountsReport() const
    {
        return { { "id", m_options.id }, { "zone", m_options.zone }, { "requests", m_counts.requests },
            { "runs", m_counts.runs }, { "sheds", m_counts.sheds }, { "expired", m_counts.expired },
            { "cancelled", m_counts.cancelled }, { "faulted", m_counts.faulted },
            { "uploads_whole", m_counts.uploadsWhole }, { "uploads_cut", m_counts.uploadsCut },
            { "requests_after_drain", m_counts.requestsAfterDrain }, { "in_use", m_inUse },
            { "max_in_use", m_counts.maxInUse }, { "draining", m_draining }, { "keys", m_runsByKey.size() },
            { "repeated_keys", selectRepeated(m_runsByKey) }, { "repeated_ids", selectRepeated(m_runsById) } };
    }

    /// Returns one line `KEY RUNS` for each idempotency key, or `METHOD ID RUNS` for each request id, so that runs can
    /// be summed over several targets.
    std::string listRuns(bool byKey) const
    {
        std::string text;
        for (const auto& [name, runs] : byKey ? m_runsByKey : m_runsById)
            text += name + " " + std::to_string(runs) + "\n";
        return text;
    }

    /// Returns the body of `GET /health` or `GET /load`: the state from `reportDelay` ago, or the false state of a
    /// Misleading fault.
    nlohmann::json makeLoadReport()
    {
        const auto load = reportedLoad();
        if (m_fault.kind == FaultKind::Misleading && isFaultActive())
            return { { "status", "failing" }, { "in_use", m_options.slots }, { "slots", m_options.slots } };
        return { { "status", load.draining ? "leaving" : "ok" }, { "in_use", load.inUse },
            { "slots", m_options.slots } };
    }

private:
    struct LoadSample {
        base::SteadyTime recordedAt;
        unsigned inUse = 0;
        bool draining = false;
    };

    bool drawBernoulli(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    bool isFaultActive() const
    {
        if (m_fault.kind == FaultKind::None)
            return false;
        return m_fault.togglePeriod.count() == 0 || ((m_clock.now() - m_faultSetAt) / m_fault.togglePeriod) % 2 == 0;
    }

    void recordLoad()
    {
        m_loadSamples.push_back({ m_clock.now(), m_inUse, m_draining });
        reportedLoad();
    }

    // Returns the newest sample that is at least `reportDelay` old, or the oldest one. Drops the samples before it.
    LoadSample reportedLoad()
    {
        const auto visible = m_clock.now() - m_options.reportDelay;
        while (m_loadSamples.size() > 1 && m_loadSamples[1].recordedAt <= visible)
            m_loadSamples.pop_front();
        return m_loadSamples.front();
    }

    static nlohmann::json selectRepeated(const std::map<std::string, unsigned>& runs)
    {
        auto result = nlohmann::json::object();
        for (const auto& [name, count] : runs) {
            if (count > 1)
                result[name] = count;
        }
        return result;
    }

    TargetOptions m_options;
    const base::Clock& m_clock;
    base::SteadyTime m_startedAt;
    std::mt19937_64 m_random;
    Fault m_fault;
    base::SteadyTime m_faultSetAt;
    bool m_draining = false;
    base::SteadyTime m_drainChangedAt;
    unsigned m_inUse = 0;
    TargetCounts m_counts;
    RequestSummary m_lastRun;
    std::deque<LoadSample> m_loadSamples;
    std::map<std::string, unsigned> m_runsById;
    std::map<std::string, unsigned> m_runsByKey;
};

} // namespace buckthorncroft::standins
