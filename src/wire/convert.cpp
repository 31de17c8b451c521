#include "convert.h"

#include <cmath>
#include <map>

namespace buckthorncroft::wire::detail {

namespace {

    using std::chrono::duration_cast;
    using std::chrono::milliseconds;

    // Attempts of one reporter in one window. Also bounds the scaled sum of squared latency deviations.
    constexpr std::uint32_t maxAttemptCount = 100'000'000;
    constexpr std::size_t maxReporters = 5000;
    // Log latencies are sent in hundredths, which are steps of 1 % of the latency, finer than any limit needs.
    constexpr double latencyScale = 100;
    // e^30 us is about 124 days, longer than any attempt takes.
    constexpr std::uint32_t maxScaledLatencyMean = 3000;
    constexpr std::uint64_t maxSlowLimitUs = 4'000'000'000; // More than an hour.

    std::uint32_t toMilliseconds(health::Duration age)
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, duration_cast<milliseconds>(age).count()));
    }

    // Collects the reporters of a message. Many windows have the same reporter, so the message contains each reporter
    // once and refers to it by index.
    class ReporterTable {
    public:
        explicit ReporterTable(proto::Report& message)
            : m_message(message)
        {
        }

        std::uint32_t indexOf(const health::Reporter& reporter)
        {
            const auto [it, inserted] = m_indexes.try_emplace(reporter, static_cast<std::uint32_t>(m_indexes.size()));
            if (inserted) {
                auto& entry = *m_message.add_reporters();
                entry.set_instance(reporter.instance);
                entry.set_zone(reporter.zone);
                entry.set_incarnation(reporter.incarnation);
            }
            return it->second;
        }

    private:
        proto::Report& m_message;
        std::map<health::Reporter, std::uint32_t> m_indexes;
    };

    void writePeer(proto::Peer& out, const membership::Peer& peer, milliseconds age)
    {
        out.set_instance(peer.instance);
        out.set_zone(peer.zone);
        out.set_address(peer.address);
        out.set_incarnation(peer.incarnation);
        out.set_leaving(peer.leaving);
        out.set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count())));
    }

    void writePooledScores(
        proto::PooledScores& out, const health::PooledScores& pooled, milliseconds age, ReporterTable& reporterTable)
    {
        out.set_sequence(pooled.sequence);
        out.set_age_ms(toMilliseconds(age));
        for (const auto& it : pooled.slowLimits)
            out.add_slow_limit_us(static_cast<std::uint64_t>(std::max<health::Duration::rep>(0, it.count())));
        for (const auto& it : pooled.ignored)
            out.add_ignored(reporterTable.indexOf(it));
        for (const auto& it : pooled.scores) {
            auto& score = *out.add_scores();
            score.set_target(it.target);
            score.set_kind(static_cast<std::uint32_t>(it.kind));
            score.set_score(static_cast<float>(it.score));
            score.set_baseline(static_cast<float>(it.baseline));
            score.set_reporters(it.reporters);
            score.set_good(it.counts.good);
            score.set_slow(it.counts.slow);
            score.set_bad(it.counts.bad);
            score.set_path_zone(it.pathFaultZone);
            score.set_path_score(static_cast<float>(it.pathFaultScore));
        }
    }

    void writeLatency(proto::Window& out, const health::LatencyMoments& latency)
    {
        if (latency.count < 1)
            return;
        out.set_latency_count(static_cast<std::uint32_t>(std::lround(latency.count)));
        out.set_latency_mean(static_cast<std::uint32_t>(std::lround(std::max(0.0, latency.mean()) * latencyScale)));
        out.set_latency_deviation(
            static_cast<std::uint32_t>(std::lround(latency.squaredDeviationSum() * latencyScale)));
    }

    void writeService(proto::ServiceReport& out, const ServiceReport& service, ReporterTable& reporterTable)
    {
        out.set_service(service.service);
        for (const auto& it : service.windows) {
            auto& window = *out.add_windows();
            window.set_reporter(reporterTable.indexOf(it.reporter));
            window.set_target(it.target);
            window.set_kind(static_cast<std::uint32_t>(it.kind));
            window.set_window(it.window);
            window.set_age_ms(toMilliseconds(it.age));
            window.set_good(it.counts.good);
            window.set_slow(it.counts.slow);
            window.set_bad(it.counts.bad);
            writeLatency(window, it.latency);
        }
        if (service.pooled)
            writePooledScores(*out.mutable_pooled(), *service.pooled, service.pooledAge, reporterTable);
        out.set_has_ejected(service.ejected.has_value());
        if (service.ejected) {
            for (const auto& it : *service.ejected) {
                auto& ejected = *out.add_ejected();
                ejected.set_target(it.target);
                ejected.set_score(static_cast<float>(it.score));
            }
        }
        for (const auto& it : service.draining) {
            auto& draining = *out.add_draining();
            draining.set_target(it.target);
            draining.set_age_ms(toMilliseconds(it.age));
        }
    }

    // Converts and validates one report. Only the first problem is recorded, because an invalid report is dropped
    // whole.
    class ReportParser {
    public:
        ReportParser(const proto::Report& message, const MessageLimits& limits)
            : m_message(message)
            , m_limits(limits)
        {
        }

        base::Result<Report> parse()
        {
            Report report;
            report.sender = parsePeer(m_message.sender());
            check(report.sender.incarnation != 0, "sender without incarnation");
            report.sequence = m_message.sequence();
            report.configurationChange = m_message.configuration_change();
            check(static_cast<std::size_t>(m_message.services_size()) <= m_limits.maxServices, "too many services");
            check(static_cast<std::size_t>(m_message.peers_size()) <= m_limits.maxPeers, "too many peers");
            check(static_cast<std::size_t>(m_message.reporters_size()) <= maxReporters, "too many reporters");
            if (!m_problem.empty())
                return makeError();
            for (const auto& it : m_message.reporters())
                m_reporters.push_back({ parseName(it.instance()), parseName(it.zone()), it.incarnation() });
            for (const auto& it : m_message.peers())
                report.peers.push_back({ parsePeer(it), parseAge(it.age_ms()) });
            for (const auto& it : m_message.services())
                report.services.push_back(parseService(it, report.sender));
            if (!m_problem.empty())
                return makeError();
            return report;
        }

    private:
        base::Error makeError() const { return { base::ErrorCode::Malformed, m_problem }; }

        void check(bool condition, const char* problem)
        {
            if (!condition && m_problem.empty())
                m_problem = problem;
        }

        std::string parseName(const std::string& text)
        {
            check(!text.empty() && text.size() <= m_limits.maxNameBytes, "a name is empty or too long");
            return text;
        }

        milliseconds parseAge(std::uint32_t ms)
        {
            check(milliseconds(ms) <= m_limits.maxAge, "an age is out of bounds");
            return milliseconds(ms);
        }

        config::RequestKind parseKind(std::uint32_t value)
        {
            check(value < config::requestKindCount, "unknown request kind");
            return static_cast<config::RequestKind>(value < config::requestKindCount ? value : 0);
        }

        double parseScore(float value)
        {
            check(std::isfinite(value) && value >= 0, "a score is not a finite number of at least 0");
            return value;
        }

        health::AttemptCounts parseCounts(std::uint32_t good, std::uint32_t slow, std::uint32_t bad)
        {
            check(good <= maxAttemptCount && slow <= maxAttemptCount && bad <= maxAttemptCount,
                "a count is out of bounds");
            return { good, slow, bad };
        }

        health::LatencyMoments parseLatency(const proto::Window& window)
        {
            check(window.latency_count() <= maxAttemptCount && window.latency_mean() <= maxScaledLatencyMean
                    && window.latency_deviation() <= maxAttemptCount,
                "a latency is out of bounds");
            health::LatencyMoments result;
            result.count = window.latency_count();
            const double mean = window.latency_mean() / latencyScale;
            result.sum = mean * result.count;
            result.sumOfSquares = window.latency_deviation() / latencyScale + mean * result.sum;
            return result;
        }

        health::Reporter findReporter(std::uint32_t index)
        {
            check(index < m_reporters.size(), "unknown reporter index");
            return index < m_reporters.size() ? m_reporters[index] : health::Reporter {};
        }

        membership::Peer parsePeer(const proto::Peer& peer)
        {
            check(peer.address().size() <= m_limits.maxNameBytes, "an address is too long");
            return { parseName(peer.instance()), parseName(peer.zone()), peer.address(), peer.incarnation(),
                peer.leaving() };
        }

        health::PooledScores parsePooledScores(const proto::PooledScores& pooled, const membership::Peer& sender)
        {
            health::PooledScores result;
            result.coordinator = { sender.instance, sender.zone, sender.incarnation };
            result.sequence = pooled.sequence();
            for (const auto it : pooled.ignored())
                result.ignored.push_back(findReporter(it));
            check(static_cast<std::size_t>(pooled.slow_limit_us_size()) <= config::requestKindCount,
                "too many slow limits");
            for (int i = 0; m_problem.empty() && i < pooled.slow_limit_us_size(); ++i) {
                check(pooled.slow_limit_us(i) <= maxSlowLimitUs, "a slow limit is out of bounds");
                result.slowLimits[static_cast<std::size_t>(i)]
                    = health::Duration(static_cast<health::Duration::rep>(pooled.slow_limit_us(i)));
            }
            for (const auto& it : pooled.scores()) {
                result.scores.push_back({ parseName(it.target()), parseKind(it.kind()), parseScore(it.score()),
                    parseScore(it.baseline()), it.reporters(), parseCounts(it.good(), it.slow(), it.bad()),
                    it.path_zone(), parseScore(it.path_score()) });
            }
            return result;
        }

        ServiceReport parseService(const proto::ServiceReport& service, const membership::Peer& sender)
        {
            ServiceReport result;
            result.service = parseName(service.service());
            m_itemCount += static_cast<std::size_t>(service.windows_size() + service.pooled().scores_size()
                + service.ejected_size() + service.draining_size());
            check(m_itemCount <= m_limits.maxItems, "too many windows");
            if (!m_problem.empty())
                return result;
            for (const auto& it : service.windows()) {
                result.windows.push_back(
                    { findReporter(it.reporter()), parseName(it.target()), parseKind(it.kind()), it.window(),
                        parseAge(it.age_ms()), parseCounts(it.good(), it.slow(), it.bad()), parseLatency(it) });
            }
            if (service.has_pooled()) {
                result.pooled = parsePooledScores(service.pooled(), sender);
                result.pooledAge = parseAge(service.pooled().age_ms());
            }
            if (service.has_ejected()) {
                result.ejected.emplace();
                for (const auto& it : service.ejected())
                    result.ejected->push_back({ parseName(it.target()), parseScore(it.score()) });
            }
            for (const auto& it : service.draining())
                result.draining.push_back({ parseName(it.target()), parseAge(it.age_ms()) });
            return result;
        }

        const proto::Report& m_message;
        const MessageLimits& m_limits;
        std::string m_problem;
        std::vector<health::Reporter> m_reporters;
        std::size_t m_itemCount = 0;
    };

} // namespace

proto::Report toProto(const Report& report)
{
    proto::Report message;
    ReporterTable reporterTable(message);
    writePeer(*message.mutable_sender(), report.sender, milliseconds(0));
    message.set_sequence(report.sequence);
    message.set_configuration_change(report.configurationChange);
    for (const auto& it : report.services)
        writeService(*message.add_services(), it, reporterTable);
    for (const auto& it : report.peers)
        writePeer(*message.add_peers(), it.peer, it.age);
    return message;
}

base::Result<Report> fromProto(const proto::Report& message, const MessageLimits& limits)
{
    return ReportParser(message, limits).parse();
}

proto::PlaceRequest toProto(const PlaceRequest& request)
{
    proto::PlaceRequest message;
    message.set_instance(request.instance);
    message.set_service(request.service);
    message.set_kind(static_cast<std::uint32_t>(request.kind));
    for (const auto& it : request.excluded)
        message.add_excluded(it);
    return message;
}

base::Result<PlaceRequest> fromProto(const proto::PlaceRequest& message, const MessageLimits& limits)
{
    if (message.instance().empty() || message.service().empty() || message.instance().size() > limits.maxNameBytes
        || message.service().size() > limits.maxNameBytes)
        return base::Error { base::ErrorCode::Malformed, "a name is empty or too long" };
    if (message.kind() >= config::requestKindCount)
        return base::Error { base::ErrorCode::Malformed, "unknown request kind" };
    if (static_cast<std::size_t>(message.excluded_size()) > limits.maxPeers)
        return base::Error { base::ErrorCode::LimitExceeded, "too many excluded targets" };
    return PlaceRequest { message.instance(), message.service(), static_cast<config::RequestKind>(message.kind()),
        { message.excluded().begin(), message.excluded().end() } };
}

} // namespace buckthorncroft::wire::detail
