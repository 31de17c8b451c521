#pragma once

#include "load_attempt.h"

#include <buckthorncroft/base/clock.h>
#include <iostream>
#include <random>

namespace buckthorncroft::load {

using std::chrono::milliseconds;

/// What the tool is to do.
struct LoadOptions {
    std::vector<StreamSpec> streams;
    std::vector<tcp::endpoint> entries;
    std::vector<tcp::endpoint> readyEndpoints; ///< Empty, or one operators' endpoint for each entry.
    std::chrono::duration<double> duration { 10 };
    milliseconds deadline { 2000 }; ///< 0 sends none.
    bool retryUnknown = false;
    unsigned maxRetries = 3;
    std::string keyPrefix; ///< Makes idempotency keys unique over several runs.
    std::uint64_t seed = 1;
};

/// Generates the load: Poisson arrivals for each stream, independent of the answers. Used from one thread only.
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

    /// Starts the streams and, when ready endpoints are given, the polls. The context runs until all requests ended.
    void start()
    {
        m_start = m_clock.now();
        m_end = m_start + std::chrono::duration_cast<base::SteadyTime::duration>(m_options.duration);
        for (const auto& spec : m_options.streams) {
            m_bodies.push_back(makeBody(spec.bodyBytes));
            m_arrivalTimers.emplace_back(m_context);
            m_arrivalRandom.emplace_back(m_random());
        }
        if (!m_options.readyEndpoints.empty())
            pollReady();
        scheduleProgress();
        m_activeStreams = m_options.streams.size();
        for (std::size_t it = 0; it < m_options.streams.size(); ++it)
            scheduleArrival(it, m_start);
    }

    std::vector<StreamStats>& stats() { return m_stats; }

    std::uint64_t wrongResponses() const
    {
        std::uint64_t sum = 0;
        for (const auto& it : m_stats)
            sum += countOf(it.attempts, Ending::Wrong);
        return sum;
    }

private:
    static constexpr milliseconds pollInterval { 500 };
    static constexpr milliseconds pollPatience { 400 };
    static constexpr milliseconds retryDelay { 200 };
    static constexpr std::chrono::seconds progressInterval { 5 };
    // The caller waits a little longer than its deadline, so that the entry's own answer at the deadline is seen.
    static constexpr milliseconds extraPatience { 1000 };
    static constexpr milliseconds uploadPatience { 120'000 };
    static constexpr std::uint64_t uploadBytes = 65'536;

    struct Job {
        std::size_t stream = 0;
        OutgoingRequest request;
        base::SteadyTime intended;
        std::size_t entry = 0;
        unsigned attempts = 0;
    };

    std::shared_ptr<const Body> makeBody(std::uint64_t size)
    {
        Body body;
        body.bytes.resize(size);
        std::uniform_int_distribution<int> byte(0, 255);
        std::generate(body.bytes.begin(), body.bytes.end(), [&] { return static_cast<char>(byte(m_random)); });
        body.digest = config::contentDigest(body.bytes);
        return std::make_shared<const Body>(std::move(body));
    }

    void scheduleArrival(std::size_t stream, base::SteadyTime previous)
    {
        std::exponential_distribution<double> gap(m_options.streams[stream].ratePerSecond);
        const auto next = previous
            + std::chrono::duration_cast<base::SteadyTime::duration>(
                std::chrono::duration<double>(gap(m_arrivalRandom[stream])));
        if (next >= m_end) {
            --m_activeStreams;
            return stopWhenDone();
        }
        auto& timer = m_arrivalTimers[stream];
        timer.expires_at(next);
        timer.async_wait([this, stream, next](error_code ec) {
            if (ec)
                return;
            scheduleArrival(stream, next);
            begin(stream, next);
        });
    }

    // Without its repeating timers the context runs out of work and the run ends.
    void stopWhenDone()
    {
        if (m_activeStreams > 0 || m_inFlight > 0)
            return;
        m_stopped = true;
        m_pollTimer.cancel();
        m_progressTimer.cancel();
    }

    void begin(std::size_t stream, base::SteadyTime intended)
    {
        const auto& spec = m_options.streams[stream];
        auto job = std::make_shared<Job>();
        job->stream = stream;
        job->intended = intended;
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
        request.patience = spec.bodyBytes >= uploadBytes || m_options.deadline.count() == 0
            ? uploadPatience
            : m_options.deadline + extraPatience;
        request.responseBytes = responseBytes(spec.path);
        request.body = m_bodies[stream];
        ++m_stats[stream].requests;
        ++m_inFlight;
        attempt(job);
    }

    // A small number of bytes asks for less than the least answer, which is then not padded.
    static std::uint64_t responseBytes(const std::string& path)
    {
        constexpr std::uint64_t leastPadded = 1024;
        std::uint64_t bytes = 0;
        const auto position = path.find("bytes=");
        if (position != std::string::npos)
            std::from_chars(path.data() + position + 6, path.data() + path.size(), bytes);
        return bytes >= leastPadded ? bytes : 0;
    }

    // Chooses at random among the ready entries other than `avoided`, or among all when none is ready.
    std::size_t chooseEntry(std::size_t avoided)
    {
        std::vector<std::size_t> candidates;
        for (std::size_t it = 0; it < m_ready.size(); ++it) {
            if (m_ready[it] && it != avoided)
                candidates.push_back(it);
        }
        if (candidates.empty())
            return std::uniform_int_distribution<std::size_t>(0, m_ready.size() - 1)(m_random);
        return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(m_random)];
    }

    void attempt(const std::shared_ptr<Job>& job)
    {
        ++job->attempts;
        std::make_shared<Attempt>(m_context.get_executor(), job->request, [this, job](const AttemptResult& result) {
            onAttempt(job, result);
        })->start(m_options.entries[job->entry]);
    }

    void onAttempt(const std::shared_ptr<Job>& job, const AttemptResult& result)
    {
        auto& stats = m_stats[job->stream];
        ++countOf(stats.attempts, result.ending);
        if (result.ending == Ending::Wrong || result.ending == Ending::Broken || result.ending == Ending::Truncated
            || result.ending == Ending::Refused)
            report(*job, result);
        if (shouldRetry(*job, result.ending))
            return retryLater(job);
        ++countOf(stats.finals, result.ending);
        --m_inFlight;
        stopWhenDone();
        if (result.ending != Ending::Completed && result.ending != Ending::NoOutcome)
            return;
        const std::chrono::duration<double, std::milli> latency = m_clock.now() - job->intended;
        stats.latenciesMs.push_back(latency.count());
        stats.replayed += result.replayed ? 1 : 0;
        stats.serverErrors += result.status >= 500 ? 1 : 0;
        const bool upload = job->request.body->bytes.size() >= uploadBytes;
        if (!upload && job->attempts == 1 && m_options.deadline.count() > 0 && latency > m_options.deadline)
            ++stats.late;
    }

    bool shouldRetry(const Job& job, Ending ending) const
    {
        const bool unclear = ending == Ending::Unknown || ending == Ending::Broken || ending == Ending::Truncated
            || ending == Ending::TimedOut;
        return m_options.retryUnknown && unclear && !job.request.idempotencyKey.empty()
            && job.attempts <= m_options.maxRetries;
    }

    // The same key goes through another entry, as a caller behind a balancer would do it.
    void retryLater(const std::shared_ptr<Job>& job)
    {
        ++m_stats[job->stream].retries;
        job->entry = chooseEntry(job->entry);
        auto timer = std::make_shared<asio::steady_timer>(m_context, retryDelay);
        timer->async_wait([this, job, timer](error_code) { attempt(job); });
    }

    void report(const Job& job, const AttemptResult& result) const
    {
        std::cerr << fmt::format("level=warning event={} entry={} service={} path={} status={} detail=\"{}\"\n",
            endingNames.at(static_cast<std::size_t>(result.ending)), m_options.entries[job.entry].port(),
            job.request.service, job.request.path, result.status, result.detail);
    }

    void pollReady()
    {
        for (std::size_t it = 0; it < m_options.readyEndpoints.size(); ++it) {
            OutgoingRequest request { "operators", "GET", "/ready", "", {}, pollPatience, 0,
                std::make_shared<const Body>() };
            std::make_shared<Attempt>(m_context.get_executor(), std::move(request),
                [this, it](const AttemptResult& result) { m_ready[it] = result.status == 200; })
                ->start(m_options.readyEndpoints[it]);
        }
        m_pollTimer.expires_after(pollInterval);
        m_pollTimer.async_wait([this](error_code ec) {
            if (!ec && !m_stopped)
                pollReady();
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
        const std::chrono::duration<double> elapsed = m_clock.now() - m_start;
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
    std::vector<std::shared_ptr<const Body>> m_bodies;
    std::vector<asio::steady_timer> m_arrivalTimers;
    std::vector<std::mt19937_64> m_arrivalRandom;
    base::SteadyTime m_start;
    base::SteadyTime m_end;
    std::uint64_t m_serial = 0;
    std::size_t m_activeStreams = 0; // Streams with arrivals to come.
    bool m_stopped = false;
    std::uint64_t m_inFlight = 0;
};

} // namespace buckthorncroft::load
