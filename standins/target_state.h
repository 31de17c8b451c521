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

/// Settings of one target stand-in. Times are in milliseconds.
struct TargetOptions {
    std::string id = "target";
    std::string zone = "z1";
    unsigned slots = 3;
    double serviceMedianMs = 50;
    double serviceSigma = 0.5; ///< Standard deviation of the logarithm of the service time.
    milliseconds coldStart { 0 }; ///< How long after the start requests are slower.
    double coldFactor = 4; ///< Slowdown at the start; falls linearly to 1 over `coldStart`.
    milliseconds endpointLag { 0 }; ///< Age of what `/health` and `/load` report.
    std::uint64_t seed = 1;
};

enum class FaultKind { None, Slow, Wrong, Crossed, Truncated, Hanging, Silent, Misleading };

/// A fault that is switched on at run time and affects a share of the matching requests.
struct Fault {
    FaultKind kind = FaultKind::None;
    double factor = 5; ///< Slowdown, for Slow.
    unsigned status = 500; ///< Status of the answer, for Wrong.
    double share = 1; ///< Share of the matching requests, 0 to 1.
    std::string method; ///< Empty matches every method.
    std::string path; ///< Path prefix; empty matches every path.
    milliseconds period { 0 }; ///< When above 0, the fault is off and on in turn for this long each.
    bool effect = true; ///< Whether the work of an affected request is applied although its answer is bad.
};

/// Parses the body of `POST /control/fault`. Returns no value when the document or a value is not valid.
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
        fault.factor = document.value("factor", fault.factor);
        fault.status = document.value("status", fault.status);
        fault.share = document.value("share", fault.share);
        fault.method = document.value("method", "");
        fault.path = document.value("path", "");
        fault.period = milliseconds(document.value("period_ms", name == "flapping" ? 2000 : 0));
        fault.effect = document.value("effect", fault.kind != FaultKind::Hanging);
        const bool valid = fault.factor > 0 && fault.share >= 0 && fault.share <= 1 && fault.status >= 500
            && fault.status <= 599 && fault.period.count() >= 0;
        return valid ? std::optional(fault) : std::nullopt;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

/// Counters since the start.
struct TargetCounts {
    std::uint64_t requests = 0; ///< Requests whose header arrived, `/control`, `/health` and `/load` apart.
    std::uint64_t runs = 0; ///< Requests whose work was completed.
    std::uint64_t sheds = 0; ///< Requests refused under the not-run contract because no slot was free.
    std::uint64_t expired = 0; ///< Requests stopped at their deadline, refused under the not-run contract.
    std::uint64_t cancelled = 0; ///< Requests whose caller closed the connection before the work was complete.
    std::uint64_t faulted = 0; ///< Requests affected by a fault.
    std::uint64_t uploadsWhole = 0;
    std::uint64_t uploadsCut = 0;
    std::uint64_t requestsAfterDrain = 0; ///< Requests that arrived more than `drainGrace` after the drain began.
    unsigned maxInUse = 0; ///< Highest number of slots in use at a time.
};

/// How long after the start of a drain new work may still arrive.
constexpr milliseconds drainGrace { 3000 };

/// What the last run was about; the answer of a `crossed` fault is made of it.
struct RunRecord {
    std::string id = "crossed-id";
    std::string method = "GET";
    std::string path = "/crossed";
    std::string digest = "0";
    std::uint64_t length = 0;
};

/// State of a target stand-in: slots, fault, drain and counters. Used from one thread only.
class TargetState {
public:
    TargetState(TargetOptions options, const base::Clock& clock)
        : m_options(std::move(options))
        , m_clock(clock)
        , m_started(clock.now())
        , m_random(m_options.seed)
    {
        noteLoad();
    }

    const TargetOptions& options() const { return m_options; }
    TargetCounts& counts() { return m_counts; }
    bool draining() const { return m_draining; }
    const Fault& fault() const { return m_fault; }
    const RunRecord& lastRun() const { return m_lastRun; }

    void setFault(Fault fault)
    {
        m_fault = std::move(fault);
        m_faultSince = m_clock.now();
    }

    void setDraining(bool draining)
    {
        m_draining = draining;
        m_drainSince = m_clock.now();
        noteLoad();
    }

    /// Counts a request that arrived.
    void noteRequest()
    {
        ++m_counts.requests;
        if (m_draining && m_clock.now() - m_drainSince > drainGrace)
            ++m_counts.requestsAfterDrain;
    }

    /// Returns the fault that affects a request of this method and path; draws from the share.
    Fault faultFor(const std::string& method, const std::string& path)
    {
        const bool matches = m_fault.kind != FaultKind::Misleading && faultActive()
            && (m_fault.method.empty() || m_fault.method == method)
            && path.compare(0, m_fault.path.size(), m_fault.path) == 0;
        if (!matches || !draw(m_fault.share))
            return {};
        ++m_counts.faulted;
        return m_fault;
    }

    /// Whether a new connection is accepted and never read.
    bool ignoresConnection()
    {
        return m_fault.kind == FaultKind::Silent && m_fault.method.empty() && m_fault.path.empty() && faultActive()
            && draw(m_fault.share);
    }

    /// Takes a slot. Returns false, and counts a shed request, when none is free.
    bool tryAcquire()
    {
        if (m_inUse >= m_options.slots) {
            ++m_counts.sheds;
            return false;
        }
        m_counts.maxInUse = std::max(m_counts.maxInUse, ++m_inUse);
        noteLoad();
        return true;
    }

    void release()
    {
        --m_inUse;
        noteLoad();
    }

    /// Draws a service time from the log-normal distribution and applies the cold start.
    std::chrono::microseconds serviceTime()
    {
        std::lognormal_distribution<double> distribution(
            std::log(std::max(m_options.serviceMedianMs, 0.001)), m_options.serviceSigma);
        double factor = 1;
        const std::chrono::duration<double, std::milli> age = m_clock.now() - m_started;
        const auto coldMs = static_cast<double>(m_options.coldStart.count());
        if (age.count() < coldMs)
            factor = m_options.coldFactor + (1 - m_options.coldFactor) * age.count() / coldMs;
        return std::chrono::microseconds(static_cast<std::int64_t>(distribution(m_random) * factor * 1000));
    }

    /// Counts a run, which means that the work was completed.
    void noteRun(const RunRecord& run, const std::string& idempotencyKey)
    {
        ++m_counts.runs;
        if (!run.id.empty())
            ++m_runsById[run.method + " " + run.id];
        if (!idempotencyKey.empty())
            ++m_runsByKey[idempotencyKey];
        m_lastRun = run;
    }

    /// Body of `GET /control/counts`.
    nlohmann::json report() const
    {
        return { { "id", m_options.id }, { "zone", m_options.zone }, { "requests", m_counts.requests },
            { "runs", m_counts.runs }, { "sheds", m_counts.sheds }, { "expired", m_counts.expired },
            { "cancelled", m_counts.cancelled }, { "faulted", m_counts.faulted },
            { "uploads_whole", m_counts.uploadsWhole }, { "uploads_cut", m_counts.uploadsCut },
            { "requests_after_drain", m_counts.requestsAfterDrain }, { "in_use", m_inUse },
            { "max_in_use", m_counts.maxInUse }, { "draining", m_draining }, { "keys", m_runsByKey.size() },
            { "repeated_keys", repeated(m_runsByKey) }, { "repeated_ids", repeated(m_runsById) } };
    }

    /// One line `KEY RUNS` per idempotency key, or `METHOD ID RUNS` per request id, for sums over several targets.
    std::string listRuns(bool byKey) const
    {
        std::string text;
        for (const auto& [name, runs] : byKey ? m_runsByKey : m_runsById)
            text += name + " " + std::to_string(runs) + "\n";
        return text;
    }

    /// Body of `GET /health` or `GET /load`: the state of `endpointLag` ago, or a misleading one.
    nlohmann::json endpointReport()
    {
        const auto load = laggedLoad();
        if (m_fault.kind == FaultKind::Misleading && faultActive())
            return { { "status", "failing" }, { "in_use", m_options.slots }, { "slots", m_options.slots } };
        return { { "status", load.draining ? "leaving" : "ok" }, { "in_use", load.inUse },
            { "slots", m_options.slots } };
    }

private:
    struct Load {
        base::SteadyTime time;
        unsigned inUse = 0;
        bool draining = false;
    };

    bool draw(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }

    bool faultActive() const
    {
        if (m_fault.kind == FaultKind::None)
            return false;
        return m_fault.period.count() == 0 || ((m_clock.now() - m_faultSince) / m_fault.period) % 2 == 0;
    }

    void noteLoad()
    {
        m_loads.push_back({ m_clock.now(), m_inUse, m_draining });
        laggedLoad();
    }

    // Drops entries that are older than the newest one that the endpoints may report.
    Load laggedLoad()
    {
        const auto visible = m_clock.now() - m_options.endpointLag;
        while (m_loads.size() > 1 && m_loads[1].time <= visible)
            m_loads.pop_front();
        return m_loads.front();
    }

    static nlohmann::json repeated(const std::map<std::string, unsigned>& runs)
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
    base::SteadyTime m_started;
    std::mt19937_64 m_random;
    Fault m_fault;
    base::SteadyTime m_faultSince;
    bool m_draining = false;
    base::SteadyTime m_drainSince;
    unsigned m_inUse = 0;
    TargetCounts m_counts;
    RunRecord m_lastRun;
    std::deque<Load> m_loads;
    std::map<std::string, unsigned> m_runsById;
    std::map<std::string, unsigned> m_runsByKey;
};

} // namespace buckthorncroft::standins
