#pragma once

#include "load_attempt.h"

#include <buckthorncroft/base/clock.h>
#include <iostream>
#include <random>

namespace buckthorncroft::load {

using std::chrono::milliseconds;

/// Options of a load run.
struct LoadOptions {
    std::vector<StreamSpec> streams;
    std::vector<tcp::endpoint> entries;
    std::vector<tcp::endpoint> readyEndpoints; ///< Empty, or the operators' endpoint of each entry, in the same order.
    std::chrono::duration<double> duration { 10 };
    milliseconds deadline { 2000 }; ///< Sent with each request; 0 sends no deadline.
    bool retryUnknown = false;
    unsigned maxRetries = 3;
    std::string keyPrefix; ///< Keeps idempotency keys of different runs distinct.
    std::uint64_t seed = 1;
};

/// Generates open-loop load: each stream has Poisson arrivals that do not depend on the responses. Not thread-safe.
class LoadRunner {
public:
    LoadRunner(asio::io_context& context, LoadOptions options, const base::Clock& clock)
        : m_context(context)
        , m_options(std::move(options))
        , m_clock(clock)
        , m_random(m_options.seed)
        , m_pollTimer(context)
        , m_progressTimer(context)
        , m_ready(m_options.entries.size(), true)
        , m_stats(m_options.streams.size())
    {
    }

    /// Starts the streams and, when ready endpoints are given, polls them. The context runs until all requests have
    /// ended.
    void start()
    {
        m_startedAt = m_clock.now();
        m_arrivalsEndAt = m_startedAt + std::chrono::duration_cast<base::SteadyTime::duration>(m_options.duration);
        for (const auto& spec : m_options.streams) {
            m_bodies.push_back(makeBody(spec.bodyBytes));
            m_arrivalTimers.emplace_back(m_context);
            m_arrivalRandom.emplace_back(m_random());
        }
        if (!m_options.readyEndpoints.empty())
            pollReadiness();
        scheduleProgress();
        m_activeStreams = m_options.streams.size();
        for (std::size_t it = 0; it < m_options.streams.size(); ++it)
            scheduleArrival(it, m_startedAt);
    }

    std::vector<StreamStats>& stats() { return m_stats; }

    std::uint64_t wrongResponses() const
    {
        std::uint64_t sum = 0;
        for (const auto& it : m_stats)
            sum += countOf(it.attemptOutcomes, AttemptOutcome::Wrong);
        return sum;
    }

private:
    static constexpr milliseconds readinessPollInterval { 500 };
    static constexpr milliseconds readinessPollTimeout { 400 };
    static constexpr milliseconds retryDelay { 200 };
    static constexpr std::chrono::seconds progressInterval { 5 };
    // The caller waits a little longer than its deadline, so that it receives the response that the entry sends at the
    // deadline.
    static constexpr milliseconds deadlineMargin { 1000 };
    static constexpr milliseconds uploadTimeout { 120'000 };
    // Bodies of at least this length count as uploads, which have their own timeout and are never late.
    static constexpr std::uint64_t minUploadBytes = 65'536;

    // A request with the state of its retries.
    struct Job {
        std::size_t stream = 0;
        OutgoingRequest request;
        base::SteadyTime scheduledAt;
        std::size_t entry = 0;
        unsigned attempts = 0;
    };

    std::shared_ptr<const RequestBody> makeBody(std::uint64_t size)
    {
        RequestBody body;
        body.bytes.resize(size);
        std::uniform_int_distribution<int> byte(0, 255);
        std::generate(body.bytes.begin(), body.bytes.end(), [&] { return static_cast<char>(byte(m_random)); });
        body.digest = config::contentDigest(body.bytes);
        return std::make_shared<const RequestBody>(std::move(body));
    }

    void scheduleArrival(std::size_t stream, base::SteadyTime previous)
    {
        std::exponential_distribution<double> interarrivalTime(m_options.streams[stream].ratePerSecond);
        const auto next = previous
            + std::chrono::duration_cast<base::SteadyTime::duration>(
                std::chrono::duration<double>(interarrivalTime(m_arrivalRandom[stream])));
        if (next >= m_arrivalsEndAt) {
            --m_activeStreams;
            return stopWhenDone();
        }
        auto& timer = m_arrivalTimers[stream];
        timer.expires_at(next);
        timer.async_wait([this, stream, next](error_code ec) {
            if (ec)
                return;
            scheduleArrival(stream, next);
            startRequest(stream, next);
        });
    }

    // Cancels the repeating timers after the last request, so that the context runs out of work and returns.
    void stopWhenDone()
    {
        if (m_activeStreams > 0 || m_inFlight > 0)
            return;
        m_stopped = true;
        m_pollTimer.cancel();
        m_progressTimer.cancel();
    }

    void startRequest(std::size_t stream, base::SteadyTime scheduledAt)
    {
        const auto& spec = m_options.streams[stream];
        auto job = std::make_shared<Job>();
        job->stream = stream;
        job->scheduledAt = scheduledAt;
        job->entry = chooseEntry(m_options.entries.size());
        const auto serial = ++m_serial;
        auto& request = job->request;
        request.service = spec.service;
        request.method = spec.method;
        request.path = fmt::format(
            "{}{}token={}-{}", spec.path, spec.path.find('?') == std::string::npos ? "?" : "&", m_options.seed, serial);
        if (spec.keyed)
            request.idempotencyKey = fmt::format("{}-{}-{}", m_options.keyPrefix, m_options.seed, serial);
        request.deadline = m_options.deadline;
        request.timeout = spec.bodyBytes >= minUploadBytes || m_options.deadline.count() == 0
            ? uploadTimeout
            : m_options.deadline + deadlineMargin;
        request.responseBytes = responseBytes(spec.path);
        request.body = m_bodies[stream];
        ++m_stats[stream].requests;
        ++m_inFlight;
        startAttempt(job);
    }

    // Returns the response size that the path requests. The target stand-in does not pad a response whose requested
    // size is smaller than its unpadded body, so small sizes are not checked.
    static std::uint64_t responseBytes(const std::string& path)
    {
        constexpr std::uint64_t minPaddedBytes = 1024;
        std::uint64_t bytes = 0;
        const auto position = path.find("bytes=");
        if (position != std::string::npos)
            std::from_chars(path.data() + position + 6, path.data() + path.size(), bytes);
        return bytes >= minPaddedBytes ? bytes : 0;
    }

    // Chooses a random ready entry other than `excluded`, or any entry when there is none.
    std::size_t chooseEntry(std::size_t excluded)
    {
        std::vector<std::size_t> candidates;
        for (std::size_t it = 0; it < m_ready.size(); ++it) {
            if (m_ready[it] && it != excluded)
                candidates.push_back(it);
        }
        if (candidates.empty())
            return std::uniform_int_distribution<std::size_t>(0, m_ready.size() - 1)(m_random);
        return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(m_random)];
    }

    void startAttempt(const std::shared_ptr<Job>& job)
    {
        ++job->attempts;
        std::make_shared<Attempt>(m_context.get_executor(), job->request, [this, job](const AttemptResult& result) {
            onAttemptEnded(job, result);
        })->start(m_options.entries[job->entry]);
    }

    void onAttemptEnded(const std::shared_ptr<Job>& job, const AttemptResult& result)
    {
        auto& stats = m_stats[job->stream];
        ++countOf(stats.attemptOutcomes, result.outcome);
        if (result.outcome == AttemptOutcome::Wrong || result.outcome == AttemptOutcome::Broken
            || result.outcome == AttemptOutcome::Truncated || result.outcome == AttemptOutcome::Refused)
            logFailedAttempt(*job, result);
        if (shouldRetry(*job, result.outcome))
            return scheduleRetry(job);
        ++countOf(stats.requestOutcomes, result.outcome);
        --m_inFlight;
        stopWhenDone();
        if (result.outcome != AttemptOutcome::Completed && result.outcome != AttemptOutcome::NoOutcome)
            return;
        const std::chrono::duration<double, std::milli> latency = m_clock.now() - job->scheduledAt;
        stats.latenciesMs.push_back(latency.count());
        stats.replayed += result.replayed ? 1 : 0;
        stats.serverErrors += result.status >= 500 ? 1 : 0;
        const bool upload = job->request.body->bytes.size() >= minUploadBytes;
        if (!upload && job->attempts == 1 && m_options.deadline.count() > 0 && latency > m_options.deadline)
            ++stats.late;
    }

    bool shouldRetry(const Job& job, AttemptOutcome outcome) const
    {
        const bool ambiguous = outcome == AttemptOutcome::Unknown || outcome == AttemptOutcome::Broken
            || outcome == AttemptOutcome::Truncated || outcome == AttemptOutcome::TimedOut;
        return m_options.retryUnknown && ambiguous && !job.request.idempotencyKey.empty()
            && job.attempts <= m_options.maxRetries;
    }

    // Sends the same key through another entry, as a caller behind a load balancer would.
    void scheduleRetry(const std::shared_ptr<Job>& job)
    {
        ++m_stats[job->stream].retries;
        job->entry = chooseEntry(job->entry);
        auto timer = std::make_shared<asio::steady_timer>(m_context, retryDelay);
        timer->async_wait([this, job, timer](error_code) { startAttempt(job); });
    }

    void logFailedAttempt(const Job& job, const AttemptResult& result) const
    {
        std::cerr << fmt::format("level=warning event={} entry={} service={} path={} status={} detail=\"{}\"\n",
            outcomeNames.at(static_cast<std::size_t>(result.outcome)), m_options.entries[job.entry].port(),
            job.request.service, job.request.path, result.status, result.detail);
    }

    void pollReadiness()
    {
        for (std::size_t it = 0; it < m_options.readyEndpoints.size(); ++it) {
            OutgoingRequest request { "operators", "GET", "/ready", "", {}, readinessPollTimeout, 0,
                std::make_shared<const RequestBody>() };
            std::make_shared<Attempt>(m_context.get_executor(), std::move(request),
                [this, it](const AttemptResult& result) { m_ready[it] = result.status == 200; })
                ->start(m_options.readyEndpoints[it]);
        }
        m_pollTimer.expires_after(readinessPollInterval);
        m_pollTimer.async_wait([this](error_code ec) {
            if (!ec && !m_stopped)
                pollReadiness();
        });
    }

    void scheduleProgress()
    {
        m_progressTimer.expires_after(progressInterval);
        m_progressTimer.async_wait([this](error_code ec) {
            if (ec || m_stopped)
                return;
            printProgress();
            scheduleProgress();
        });
    }

    void printProgress() const
    {
        const std::chrono::duration<double> elapsed = m_clock.now() - m_startedAt;
        std::cerr << fmt::format("level=info event=progress elapsed_s={:.0f} in_flight={} {}\n", elapsed.count(),
            m_inFlight, formatTotals(m_stats));
    }

    asio::io_context& m_context;
    LoadOptions m_options;
    const base::Clock& m_clock;
    std::mt19937_64 m_random;
    asio::steady_timer m_pollTimer;
    asio::steady_timer m_progressTimer;
    std::vector<bool> m_ready;
    std::vector<StreamStats> m_stats;
    std::vector<std::shared_ptr<const RequestBody>> m_bodies;
    std::vector<asio::steady_timer> m_arrivalTimers;
    std::vector<std::mt19937_64> m_arrivalRandom;
    base::SteadyTime m_startedAt;
    base::SteadyTime m_arrivalsEndAt;
    std::uint64_t m_serial = 0;
    std::size_t m_activeStreams = 0; // Streams that have arrivals left to schedule.
    bool m_stopped = false;
    std::uint64_t m_inFlight = 0;
};

} // namespace buckthorncroft::load
