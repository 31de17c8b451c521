#include <buckthorncroft/store/table_claim_service.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <buckthorncroft/outcome/write_budget.h>
#include <buckthorncroft/store/claim_row.h>
#include <fmt/core.h>
#include <mutex>
#include <random>
#include <thread>
#include <unordered_map>

namespace buckthorncroft::store {

namespace asio = boost::asio;
using base::ErrorCode;
using outcome::ClaimAction;
using outcome::ClaimActions;
using outcome::ClaimStatus;

namespace {

    constexpr std::size_t sweepBatch = 100; // Keeps one transaction small.
    constexpr std::size_t sweepMaxDigits = 32;
    // Wall clocks of instances differ; a row must not be removed before its retention ended for its holder.
    constexpr std::chrono::minutes clockTolerance { 10 };
    constexpr unsigned completionTries = 6;
    constexpr std::chrono::seconds completionPause { 2 };
    // Claims that may be released or completed later; above it, the oldest ones are forgotten.
    constexpr std::size_t heldSoftLimit = 1000;

    /// One claim on its way through its machine. Only one thread at a time uses the machine.
    struct Job {
        Job(const outcome::ClaimRequest& claimRequest, std::string token, base::SteadyTime jobDeadline,
            const outcome::ClaimTimes& times)
            : request(claimRequest)
            , key(claimKey(claimRequest))
            , deadline(jobDeadline)
            , machine(claimRequest.requestDigest, std::move(token), jobDeadline, times)
        {
        }

        outcome::ClaimRequest request;
        std::string key;
        base::SteadyTime deadline;
        std::function<void(outcome::ClaimResult)> done;
        outcome::ClaimMachine machine;
        std::atomic<bool> taken = false; ///< Whether a thread has started it, or its deadline has ended it.
        bool resultGiven = false;
        bool background = false; ///< Whether it counts in the background.
        unsigned writesPaid = 2; ///< Writes that may still be made without asking the budget.
        base::SteadyTime heldSince;
    };
    using JobPtr = std::shared_ptr<Job>;

    outcome::ClaimResult unavailable()
    {
        return {};
    }

} // namespace

class TableClaimService::Implementation {
public:
    Implementation(Platform& platform, const base::Clock& clock, ClaimServiceSettings settings, std::uint64_t seed)
        : m_platform(platform)
        , m_clock(clock)
        , m_settings(std::move(settings))
        , m_random(seed)
        , m_budget(m_settings.fleetWritesPerSecond)
        , m_work(asio::make_work_guard(m_timers))
        , m_claims(m_settings.threads)
        , m_background(1)
        , m_timerThread([this] { m_timers.run(); })
    {
        scheduleSweep();
    }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    ~Implementation()
    {
        m_stopping = true;
        m_timers.stop();
        m_timerThread.join();
        // Queued claims still run and end with Unavailable, so that each caller gets its result.
        m_claims.join();
        m_background.join();
    }

    void acquire(
        const outcome::ClaimRequest& request, base::SteadyTime deadline, std::function<void(outcome::ClaimResult)> done)
    {
        auto job = admit(request, deadline);
        if (!job)
            return done(unavailable());
        job->done = std::move(done);
        after(deadline - m_clock.now(), [this, job] {
            if (!job->taken.exchange(true))
                job->done(unavailable());
        });
        asio::post(m_claims, [this, job] {
            --m_queued;
            if (!job->taken.exchange(true))
                drive(job, job->machine.start(m_clock.now()));
        });
    }

    void release(const std::string& token)
    {
        if (const auto job = takeHeld(token))
            inBackground(job, [this, job] { drive(job, job->machine.release(m_clock.now())); });
    }

    void complete(const std::string& token, const outcome::RecordedResponse& response)
    {
        const auto job = takeHeld(token);
        if (!job)
            return;
        inBackground(job, [this, job, recorded = outcome::trimForRecording(response)] { record(job, recorded, 1); });
    }

    void setLiveInstances(unsigned instances)
    {
        const std::lock_guard lock(m_mutex);
        m_instances = std::max(1u, instances);
        m_budget.setLiveInstances(m_instances);
    }

    ClaimCounters counters() const
    {
        const std::lock_guard lock(m_mutex);
        return m_counters;
    }

    std::size_t sweep();

private:
    JobPtr admit(const outcome::ClaimRequest& request, base::SteadyTime deadline)
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping || m_queued >= m_settings.queueLimit) {
            ++m_counters.refusedBusy;
            return nullptr;
        }
        if (!m_budget.tryTake(2, m_clock.now())) {
            ++m_counters.refusedBudget;
            return nullptr;
        }
        ++m_queued;
        // The incarnation keeps tokens apart even if two instances are given the same seed.
        auto token = fmt::format("{}-{:016x}{:016x}", m_settings.holder, m_random(), m_random());
        return std::make_shared<Job>(request, std::move(token), deadline, m_settings.times);
    }

    template <typename Function> void after(std::chrono::nanoseconds pause, Function function)
    {
        auto timer = std::make_shared<asio::steady_timer>(m_timers);
        // Timers are used by the timer thread only.
        asio::post(m_timers, [timer, pause, function = std::move(function)] {
            timer->expires_after(std::max(pause, std::chrono::nanoseconds(0)));
            timer->async_wait([timer, function](boost::system::error_code) { function(); });
        });
    }

    void hold(const JobPtr& job)
    {
        const std::lock_guard lock(m_mutex);
        ++m_counters.held;
        job->heldSince = m_clock.now();
        m_held[job->machine.token()] = job;
        if (m_held.size() <= heldSoftLimit || job->heldSince < m_nextPurge)
            return;
        // Claims whose request ended as unknown are never released or completed.
        m_nextPurge = job->heldSince + std::chrono::seconds(10);
        const auto oldest = job->heldSince - m_settings.heldLimit;
        std::erase_if(m_held, [&](const auto& it) { return it.second->heldSince < oldest; });
    }

    JobPtr takeHeld(const std::string& token)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_held.find(token);
        if (it == m_held.end())
            return nullptr;
        auto job = std::move(it->second);
        m_held.erase(it);
        return job;
    }

    bool enterBackground(const JobPtr& job)
    {
        if (job->background)
            return true;
        const std::lock_guard lock(m_mutex);
        if (m_inBackground >= m_settings.backgroundLimit) {
            ++m_counters.cleanupsDropped;
            return false;
        }
        ++m_inBackground;
        job->background = true;
        return true;
    }

    void leaveBackground(const JobPtr& job)
    {
        const std::lock_guard lock(m_mutex);
        if (job->background)
            --m_inBackground;
        job->background = false;
    }

    template <typename Function> void inBackground(const JobPtr& job, Function function)
    {
        if (!enterBackground(job))
            return;
        asio::post(m_background, [this, function = std::move(function)] {
            if (!m_stopping)
                function();
        });
    }

    bool payWrite(const JobPtr& job)
    {
        const std::lock_guard lock(m_mutex);
        if (!job->writesPaid)
            return m_budget.tryTake(1, m_clock.now());
        --job->writesPaid;
        return true;
    }

    // The time that a call may take. Before the result is given, the claim's deadline bounds it.
    std::chrono::milliseconds callTime(const JobPtr& job) const
    {
        if (job->resultGiven)
            return m_settings.callTimeout;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(job->deadline - m_clock.now());
        return std::min(m_settings.callTimeout, left);
    }

    void drive(const JobPtr& job, ClaimActions actions)
    {
        while (!actions.empty()) {
            const auto action = std::move(actions.front());
            actions.erase(actions.begin());
            if (action.kind == ClaimAction::Kind::DeliverResult) {
                if (!giveResult(job, action.result))
                    return;
            } else if (action.kind == ClaimAction::Kind::Wait) {
                return waitInBackground(job, action.time);
            } else {
                actions = perform(job, action);
            }
        }
        leaveBackground(job);
    }

    // Returns false when the job now belongs to the holder of the claim.
    bool giveResult(const JobPtr& job, const outcome::ClaimResult& result)
    {
        job->resultGiven = true;
        const auto done = std::move(job->done);
        const bool isHeld = result.status == ClaimStatus::Held;
        if (isHeld)
            hold(job);
        done(result);
        return !isHeld;
    }

    void waitInBackground(const JobPtr& job, base::SteadyTime time)
    {
        if (!enterBackground(job))
            return;
        after(time - m_clock.now(),
            [this, job] { inBackground(job, [this, job] { drive(job, job->machine.waitElapsed(m_clock.now())); }); });
    }

    ClaimActions perform(const JobPtr& job, const ClaimAction& action)
    {
        const auto timeout = callTime(job);
        const bool possible = timeout.count() > 0 && !m_stopping;
        auto& machine = job->machine;
        if (action.kind == ClaimAction::Kind::Read)
            return possible ? read(job, timeout) : machine.readFailed(m_clock.now());
        if (!possible || !payWrite(job))
            return machine.writeRefused(m_clock.now());
        Write write { job->key, std::nullopt, action.version };
        if (action.kind == ClaimAction::Kind::Insert) {
            write.value = formatClaim(
                { m_settings.holder, machine.token(), job->request.requestDigest, m_clock.wallNow(), std::nullopt });
        }
        return reportWrite(machine, m_platform.commit({ write }, timeout));
    }

    ClaimActions reportWrite(outcome::ClaimMachine& machine, const base::Result<void>& result) const
    {
        const auto now = m_clock.now();
        if (result)
            return machine.writeCommitted(now);
        switch (result.error().code) {
        case ErrorCode::Conflict:
            return machine.writeConflicted(now);
        case ErrorCode::Unavailable:
        case ErrorCode::LimitExceeded:
        case ErrorCode::InvalidArgument:
            return machine.writeRefused(now);
        default:
            return machine.writeOutcomeUnknown(now);
        }
    }

    ClaimActions read(const JobPtr& job, std::chrono::milliseconds timeout)
    {
        const auto result = m_platform.read(job->key, true, timeout);
        const auto now = m_clock.now();
        if (!result) {
            return result.error().code == ErrorCode::NotFound ? job->machine.rowRead({}, now)
                                                              : job->machine.readFailed(now);
        }
        const auto row = parseClaim(result.value().value);
        return row ? job->machine.rowRead(outcome::StoredClaim { *row, result.value().version }, now)
                   : job->machine.readFailed(now);
    }

    // Records the answer in the held row. Tried again after failures; the write is conditional, so it never runs on a
    // row of another holder.
    void record(const JobPtr& job, const outcome::RecordedResponse& response, unsigned tries)
    {
        const auto stored = m_platform.read(job->key, true, m_settings.callTimeout);
        if (stored) {
            auto row = parseClaim(stored.value().value);
            if (!row || row->token != job->machine.token() || row->response)
                return leaveBackground(job);
            row->response = response;
            if (payWrite(job)
                && m_platform.commit(
                    { { job->key, formatClaim(*row), stored.value().version } }, m_settings.callTimeout))
                return leaveBackground(job);
        }
        if (tries == completionTries) {
            const std::lock_guard lock(m_mutex);
            ++m_counters.cleanupsDropped;
        }
        if (tries >= completionTries)
            return leaveBackground(job);
        after(completionPause * tries, [this, job, response, tries] {
            inBackground(job, [this, job, response, tries] { record(job, response, tries + 1); });
        });
    }

    void scheduleSweep()
    {
        if (m_settings.fleetSweepPause.count() <= 0)
            return;
        std::chrono::duration<double> pause {};
        {
            const std::lock_guard lock(m_mutex);
            const auto mean = static_cast<double>(m_settings.fleetSweepPause.count()) * m_instances;
            pause = std::chrono::duration<double>(std::exponential_distribution<>(1 / mean)(m_random));
        }
        after(std::chrono::duration_cast<std::chrono::nanoseconds>(pause), [this] {
            asio::post(m_background, [this] {
                if (!m_stopping)
                    sweep();
            });
            scheduleSweep();
        });
    }

    Platform& m_platform;
    const base::Clock& m_clock;
    const ClaimServiceSettings m_settings;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    outcome::WriteBudget m_budget;
    ClaimCounters m_counters;
    std::unordered_map<std::string, JobPtr> m_held;
    base::SteadyTime m_nextPurge;
    std::size_t m_inBackground = 0;
    unsigned m_instances = 1;
    std::atomic<std::size_t> m_queued = 0;
    std::atomic<bool> m_stopping = false;
    asio::io_context m_timers;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    asio::thread_pool m_claims;
    asio::thread_pool m_background; ///< Apart from the claims' threads, so that cleanup never delays a claim.
    std::thread m_timerThread;
};

// Scans with random leading digits of the rows' digests, more of them until the part fits into one batch. This samples
// all rows evenly, so instances need not agree on who sweeps what.
std::size_t TableClaimService::Implementation::sweep()
{
    std::string prefix = claimPrefix;
    std::vector<Row> rows;
    for (std::size_t digits = 0; digits < sweepMaxDigits; ++digits) {
        const auto result = m_platform.scan(prefix, sweepBatch, m_settings.callTimeout);
        if (!result)
            return 0;
        rows = result.value();
        if (rows.size() < sweepBatch)
            break;
        const std::lock_guard lock(m_mutex);
        prefix += "0123456789abcdef"[m_random() % 16];
    }
    const auto oldest = m_clock.wallNow() - m_settings.retention - clockTolerance;
    std::vector<Write> deletes;
    for (const auto& it : rows) {
        const auto row = parseClaim(it.value);
        if (row && row->createdAt < oldest)
            deletes.push_back({ it.key, std::nullopt, it.version });
    }
    if (deletes.empty())
        return 0;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_budget.tryTake(1, m_clock.now()))
            return 0;
    }
    if (!m_platform.commit(deletes, m_settings.callTimeout))
        return 0;
    const std::lock_guard lock(m_mutex);
    m_counters.swept += deletes.size();
    return deletes.size();
}

TableClaimService::TableClaimService(
    Platform& platform, const base::Clock& clock, ClaimServiceSettings settings, std::uint64_t seed)
    : m_implementation(std::make_unique<Implementation>(platform, clock, std::move(settings), seed))
{
}

TableClaimService::~TableClaimService() = default;

void TableClaimService::acquire(
    const outcome::ClaimRequest& request, base::SteadyTime deadline, std::function<void(outcome::ClaimResult)> done)
{
    m_implementation->acquire(request, deadline, std::move(done));
}

void TableClaimService::release(const outcome::ClaimRequest&, const std::string& token)
{
    m_implementation->release(token);
}

void TableClaimService::complete(
    const outcome::ClaimRequest&, const std::string& token, const outcome::RecordedResponse& response)
{
    m_implementation->complete(token, response);
}

void TableClaimService::setLiveInstances(unsigned instances)
{
    m_implementation->setLiveInstances(instances);
}

std::size_t TableClaimService::sweep()
{
    return m_implementation->sweep();
}

ClaimCounters TableClaimService::counters() const
{
    return m_implementation->counters();
}

} // namespace buckthorncroft::store
