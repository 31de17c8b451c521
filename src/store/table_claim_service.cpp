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

    constexpr std::size_t sweepBatchSize = 100; // Keeps the transaction small.
    constexpr std::size_t maxSweepPrefixDigits = 32; // Length of a digest in hexadecimal digits.
    // Wall clocks of instances differ; a row must not be removed before its retention has ended by its holder's clock.
    constexpr std::chrono::minutes clockTolerance { 10 };
    constexpr unsigned maxCompletionAttempts = 6;
    // Delay before the second attempt to complete a claim; it grows linearly with each further attempt.
    constexpr std::chrono::seconds completionRetryDelay { 2 };
    // Number of held claims above which expired ones are discarded.
    constexpr std::size_t heldPurgeThreshold = 1000;

    /// A claim and its state machine. Only one thread at a time uses the machine.
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
        std::string key; ///< Key of the claim's row; `request.key` is the idempotency key.
        base::SteadyTime deadline;
        std::function<void(outcome::ClaimResult)> done;
        outcome::ClaimMachine machine;
        std::atomic<bool> taken = false; ///< Set by the thread that starts the claim or by the timer that ends it.
        bool resultDelivered = false;
        bool countsAsCleanup = false; ///< Whether the job is included in `m_pendingCleanups`.
        unsigned prepaidWrites = 2; ///< Writes already taken from the budget.
        base::SteadyTime heldSince;
    };
    using JobPtr = std::shared_ptr<Job>;

    outcome::ClaimResult unavailableResult()
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
        , m_workGuard(asio::make_work_guard(m_timerContext))
        , m_claimPool(m_settings.threadCount)
        , m_cleanupPool(1)
        , m_timerThread([this] { m_timerContext.run(); })
    {
        scheduleSweep();
    }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    ~Implementation()
    {
        m_stopping = true;
        m_timerContext.stop();
        m_timerThread.join();
        // Queued claims still run, but end with Unavailable, so that each caller gets its result.
        m_claimPool.join();
        m_cleanupPool.join();
    }

    void acquire(
        const outcome::ClaimRequest& request, base::SteadyTime deadline, std::function<void(outcome::ClaimResult)> done)
    {
        auto job = admit(request, deadline);
        if (!job)
            return done(unavailableResult());
        job->done = std::move(done);
        runAfter(deadline - m_clock.now(), [this, job] {
            if (!job->taken.exchange(true))
                job->done(unavailableResult());
        });
        asio::post(m_claimPool, [this, job] {
            --m_queuedClaims;
            if (!job->taken.exchange(true))
                runActions(job, job->machine.start(m_clock.now()));
        });
    }

    void release(const std::string& token)
    {
        if (const auto job = takeHeldJob(token))
            postCleanup(job, [this, job] { runActions(job, job->machine.release(m_clock.now())); });
    }

    void complete(const std::string& token, const outcome::RecordedResponse& response)
    {
        const auto job = takeHeldJob(token);
        if (!job)
            return;
        postCleanup(
            job, [this, job, recorded = outcome::trimForRecording(response)] { recordResponse(job, recorded, 1); });
    }

    void setLiveInstances(unsigned instances)
    {
        const std::lock_guard lock(m_mutex);
        m_liveInstances = std::max(1u, instances);
        m_budget.setLiveInstances(m_liveInstances);
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
        if (m_stopping || m_queuedClaims >= m_settings.maxQueuedClaims) {
            ++m_counters.refusedBusy;
            return nullptr;
        }
        if (!m_budget.tryTake(2, m_clock.now())) {
            ++m_counters.refusedBudget;
            return nullptr;
        }
        ++m_queuedClaims;
        // The incarnation makes tokens unique even if two instances get the same seed.
        auto token = fmt::format("{}-{:016x}{:016x}", m_settings.holder, m_random(), m_random());
        return std::make_shared<Job>(request, std::move(token), deadline, m_settings.times);
    }

    template <typename Function> void runAfter(std::chrono::nanoseconds delay, Function function)
    {
        auto timer = std::make_shared<asio::steady_timer>(m_timerContext);
        // Only the timer thread uses timers.
        asio::post(m_timerContext, [timer, delay, function = std::move(function)] {
            timer->expires_after(std::max(delay, std::chrono::nanoseconds(0)));
            timer->async_wait([timer, function](boost::system::error_code) { function(); });
        });
    }

    void addHeldJob(const JobPtr& job)
    {
        const std::lock_guard lock(m_mutex);
        ++m_counters.held;
        job->heldSince = m_clock.now();
        m_heldJobs[job->machine.token()] = job;
        if (m_heldJobs.size() <= heldPurgeThreshold || job->heldSince < m_nextPurgeAt)
            return;
        // Discards expired claims, at most every 10 s. A claim whose request ended with an unknown outcome is never
        // released or completed.
        m_nextPurgeAt = job->heldSince + std::chrono::seconds(10);
        const auto oldest = job->heldSince - m_settings.heldClaimTtl;
        std::erase_if(m_heldJobs, [&](const auto& it) { return it.second->heldSince < oldest; });
    }

    JobPtr takeHeldJob(const std::string& token)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_heldJobs.find(token);
        if (it == m_heldJobs.end())
            return nullptr;
        auto job = std::move(it->second);
        m_heldJobs.erase(it);
        return job;
    }

    bool beginCleanup(const JobPtr& job)
    {
        if (job->countsAsCleanup)
            return true;
        const std::lock_guard lock(m_mutex);
        if (m_pendingCleanups >= m_settings.maxPendingCleanups) {
            ++m_counters.cleanupsDropped;
            return false;
        }
        ++m_pendingCleanups;
        job->countsAsCleanup = true;
        return true;
    }

    void endCleanup(const JobPtr& job)
    {
        const std::lock_guard lock(m_mutex);
        if (job->countsAsCleanup)
            --m_pendingCleanups;
        job->countsAsCleanup = false;
    }

    template <typename Function> void postCleanup(const JobPtr& job, Function function)
    {
        if (!beginCleanup(job))
            return;
        asio::post(m_cleanupPool, [this, function = std::move(function)] {
            if (!m_stopping)
                function();
        });
    }

    // Takes one write from the budget, or one of the job's prepaid writes. Returns false if the budget is used up.
    bool takeWrite(const JobPtr& job)
    {
        const std::lock_guard lock(m_mutex);
        if (!job->prepaidWrites)
            return m_budget.tryTake(1, m_clock.now());
        --job->prepaidWrites;
        return true;
    }

    // Returns the timeout of the claim's next platform call. Until the result is delivered, the claim's deadline limits
    // it.
    std::chrono::milliseconds timeoutFor(const JobPtr& job) const
    {
        if (job->resultDelivered)
            return m_settings.callTimeout;
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(job->deadline - m_clock.now());
        return std::min(m_settings.callTimeout, remaining);
    }

    void runActions(const JobPtr& job, ClaimActions actions)
    {
        while (!actions.empty()) {
            const auto action = std::move(actions.front());
            actions.erase(actions.begin());
            if (action.kind == ClaimAction::Kind::DeliverResult) {
                if (!deliverResult(job, action.result))
                    return;
            } else if (action.kind == ClaimAction::Kind::Wait) {
                return scheduleCleanupStep(job, action.time);
            } else {
                actions = performAction(job, action);
            }
        }
        endCleanup(job);
    }

    // Returns false if the claim is now held, so that the job waits for `release` or `complete`.
    bool deliverResult(const JobPtr& job, const outcome::ClaimResult& result)
    {
        job->resultDelivered = true;
        const auto done = std::move(job->done);
        const bool isHeld = result.status == ClaimStatus::Held;
        if (isHeld)
            addHeldJob(job);
        done(result);
        return !isHeld;
    }

    void scheduleCleanupStep(const JobPtr& job, base::SteadyTime time)
    {
        if (!beginCleanup(job))
            return;
        runAfter(time - m_clock.now(), [this, job] {
            postCleanup(job, [this, job] { runActions(job, job->machine.waitElapsed(m_clock.now())); });
        });
    }

    ClaimActions performAction(const JobPtr& job, const ClaimAction& action)
    {
        const auto timeout = timeoutFor(job);
        const bool canCall = timeout.count() > 0 && !m_stopping;
        auto& machine = job->machine;
        if (action.kind == ClaimAction::Kind::Read)
            return canCall ? readRow(job, timeout) : machine.readFailed(m_clock.now());
        if (!canCall || !takeWrite(job))
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

    ClaimActions readRow(const JobPtr& job, std::chrono::milliseconds timeout)
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

    // Records the response in the claim's row, with retries after failures. The write is conditional, so it never
    // changes another holder's row.
    void recordResponse(const JobPtr& job, const outcome::RecordedResponse& response, unsigned attempt)
    {
        const auto stored = m_platform.read(job->key, true, m_settings.callTimeout);
        if (stored) {
            auto row = parseClaim(stored.value().value);
            if (!row || row->token != job->machine.token() || row->response)
                return endCleanup(job);
            row->response = response;
            if (takeWrite(job)
                && m_platform.commit(
                    { { job->key, formatClaim(*row), stored.value().version } }, m_settings.callTimeout))
                return endCleanup(job);
        }
        if (attempt == maxCompletionAttempts) {
            const std::lock_guard lock(m_mutex);
            ++m_counters.cleanupsDropped;
        }
        if (attempt >= maxCompletionAttempts)
            return endCleanup(job);
        runAfter(completionRetryDelay * attempt, [this, job, response, attempt] {
            postCleanup(job, [this, job, response, attempt] { recordResponse(job, response, attempt + 1); });
        });
    }

    void scheduleSweep()
    {
        if (m_settings.fleetSweepInterval.count() <= 0)
            return;
        std::chrono::duration<double> delay {};
        {
            const std::lock_guard lock(m_mutex);
            const auto meanSeconds = static_cast<double>(m_settings.fleetSweepInterval.count()) * m_liveInstances;
            delay = std::chrono::duration<double>(std::exponential_distribution<>(1 / meanSeconds)(m_random));
        }
        runAfter(std::chrono::duration_cast<std::chrono::nanoseconds>(delay), [this] {
            asio::post(m_cleanupPool, [this] {
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
    std::unordered_map<std::string, JobPtr> m_heldJobs;
    base::SteadyTime m_nextPurgeAt;
    std::size_t m_pendingCleanups = 0;
    unsigned m_liveInstances = 1;
    std::atomic<std::size_t> m_queuedClaims = 0;
    std::atomic<bool> m_stopping = false;
    asio::io_context m_timerContext;
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
    asio::thread_pool m_claimPool;
    asio::thread_pool m_cleanupPool; ///< Separate from the claims' threads, so that cleanup never delays a claim.
    std::thread m_timerThread;
};

// Scans with a random prefix of the rows' digests, which is extended until the matching rows fit into one batch. This
// samples all rows evenly, so instances need no agreement on which of them sweeps which part.
std::size_t TableClaimService::Implementation::sweep()
{
    std::string prefix = claimKeyPrefix;
    std::vector<Row> rows;
    for (std::size_t digits = 0; digits < maxSweepPrefixDigits; ++digits) {
        const auto result = m_platform.scan(prefix, sweepBatchSize, m_settings.callTimeout);
        if (!result)
            return 0;
        rows = result.value();
        if (rows.size() < sweepBatchSize)
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
    m_counters.rowsSwept += deletes.size();
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
