#include <buckthorncroft/daemon/traffic_server.h>

#include "attempt.h"
#include "session.h"
#include "traffic_context.h"

#include <boost/asio/executor_work_guard.hpp>
#include <condition_variable>
#include <fmt/format.h>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace buckthorncroft::daemon {

namespace {

    // The tick places requests that still wait although a slot is free, for example after a configuration change.
    constexpr std::chrono::milliseconds tickInterval { 50 };

    // Pending attempts are reported on every second tick, about every 100 ms; see ReportedObservation::pending.
    constexpr unsigned ticksPerPendingReport = 2;

    // Pause after a failed accept. When the process is out of descriptors, retrying at once would only waste CPU time.
    constexpr std::chrono::milliseconds acceptRetryDelay { 20 };

    using WorkGuard = http::asio::executor_work_guard<http::asio::io_context::executor_type>;

    struct Worker {
        explicit Worker(TrafficShared& shared)
            : io(std::make_unique<http::asio::io_context>(1))
            , workGuard(io->get_executor())
            , tickTimer(*io)
        {
            context = std::make_unique<TrafficContext>(TrafficContext { *io, shared });
        }

        std::unique_ptr<TrafficContext> context; ///< Outlives the coroutines, which `io` destroys with itself.
        std::unique_ptr<http::asio::io_context> io;
        WorkGuard workGuard;
        http::asio::steady_timer tickTimer;
        std::vector<std::weak_ptr<Session>> sessions;
        std::thread thread;
        unsigned ticks = 0;
        bool stopping = false;
    };

} // namespace

struct TrafficServer::State {
    State(const InstanceSettings& instanceSettings, TrafficDependencies dependencies)
        : settings(instanceSettings)
        , shared(instanceSettings, std::move(dependencies))
    {
    }

    void accept(Worker& worker);
    void startSession(Worker& worker, http::tcp::socket socket);
    void serve(http::tcp::socket socket);
    void closeAcceptor();
    void scheduleTick(std::size_t index);
    void onTick(std::size_t index);
    http::Awaitable<void> acceptLoop();
    void sessionEnded();
    void stopThreads();

    InstanceSettings settings;
    TrafficShared shared;
    std::vector<std::unique_ptr<Worker>> workers;
    std::unique_ptr<http::tcp::acceptor> acceptor;
    std::uint16_t port = 0;
    std::size_t nextWorker = 0;
    std::mutex mutex;
    std::condition_variable stateChanged; ///< The acceptor was closed, or the last session has ended.
    std::size_t sessions = 0; ///< Guarded by `mutex`.
};

TrafficServer::TrafficServer(const InstanceSettings& settings, TrafficDependencies dependencies)
    : m_state(std::make_unique<State>(settings, std::move(dependencies)))
{
    std::random_device random;
    m_state->shared.incarnation = fmt::format("{}-{:08x}", settings.instance, random());
}

TrafficServer::~TrafficServer()
{
    m_state->stopThreads();
}

base::Result<void> TrafficServer::start()
{
    auto& state = *m_state;
    for (unsigned i = 0; i < state.settings.trafficThreads; ++i)
        state.workers.push_back(std::make_unique<Worker>(state.shared));
    http::error_code ec;
    const auto address = http::asio::ip::make_address(state.settings.callers.host, ec);
    const http::tcp::endpoint endpoint(address, state.settings.callers.port);
    state.acceptor = std::make_unique<http::tcp::acceptor>(*state.workers.front()->io);
    if (!ec)
        state.acceptor->open(endpoint.protocol(), ec);
    if (!ec)
        state.acceptor->set_option(http::tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        state.acceptor->bind(endpoint, ec);
    if (!ec)
        state.acceptor->listen(http::asio::socket_base::max_listen_connections, ec);
    if (ec) {
        return base::Error { base::ErrorCode::Unavailable,
            fmt::format("cannot listen on {}: {}", toString(state.settings.callers), ec.message()) };
    }
    state.port = state.acceptor->local_endpoint(ec).port();
    for (std::size_t i = 0; i < state.workers.size(); ++i) {
        state.scheduleTick(i);
        state.workers[i]->thread = std::thread([io = state.workers[i]->io.get()] { io->run(); });
    }
    http::asio::co_spawn(
        *state.workers.front()->io, [&state] { return state.acceptLoop(); }, http::asio::detached);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

http::Awaitable<void> TrafficServer::State::acceptLoop()
{
    while (acceptor->is_open()) {
        auto& worker = *workers[nextWorker++ % workers.size()];
        http::tcp::socket socket(*worker.io);
        http::error_code ec;
        co_await acceptor->async_accept(socket, http::captureError(ec));
        if (!ec) {
            startSession(worker, std::move(socket));
        } else if (acceptor->is_open()) {
            http::asio::steady_timer retryTimer(*workers.front()->io, acceptRetryDelay);
            co_await retryTimer.async_wait(http::captureError(ec));
        }
    }
}

void TrafficServer::State::startSession(Worker& worker, http::tcp::socket socket)
{
    {
        const std::lock_guard lock(mutex);
        ++sessions;
    }
    http::asio::post(*worker.io, [this, &worker, socket = std::move(socket)]() mutable {
        const auto session = std::make_shared<Session>(*worker.context, std::move(socket));
        std::erase_if(worker.sessions, [](const std::weak_ptr<Session>& it) { return it.expired(); });
        worker.sessions.push_back(session);
        if (worker.stopping)
            session->stop();
        http::asio::co_spawn(
            *worker.io, [session] { return session->run(); }, [this](const std::exception_ptr&) { sessionEnded(); });
    });
}

void TrafficServer::State::sessionEnded()
{
    const std::lock_guard lock(mutex);
    if (--sessions == 0)
        stateChanged.notify_all();
}

// Accepts the connections in the kernel's backlog first, because closing the acceptor would reset them.
void TrafficServer::State::closeAcceptor()
{
    http::error_code ec;
    acceptor->cancel(ec);
    acceptor->non_blocking(true, ec);
    while (!ec) {
        auto& worker = *workers[nextWorker++ % workers.size()];
        http::tcp::socket socket(*worker.io);
        acceptor->accept(socket, ec);
        if (!ec)
            startSession(worker, std::move(socket));
    }
    acceptor->close(ec);
}

void TrafficServer::State::scheduleTick(std::size_t index)
{
    auto& worker = *workers[index];
    worker.tickTimer.expires_after(tickInterval);
    worker.tickTimer.async_wait([this, index](http::error_code ec) {
        if (!ec)
            onTick(index);
    });
}

void TrafficServer::State::onTick(std::size_t index)
{
    auto& worker = *workers[index];
    const auto now = shared.dependencies.clock.now();
    if (index == 0)
        shared.services.tick(shared.dependencies.snapshots.read(), now);
    if (++worker.ticks % ticksPerPendingReport == 0) {
        for (const auto* it : worker.context->attempts)
            it->reportPending(now);
    }
    scheduleTick(index);
}

void TrafficServer::State::stopThreads()
{
    for (const auto& it : workers)
        it->io->stop();
    for (const auto& it : workers) {
        if (it->thread.joinable())
            it->thread.join();
    }
    {
        const std::lock_guard lock(shared.liveness->mutex);
        shared.liveness->alive = false;
    }
    shared.services.shutDown();
    acceptor.reset();
    workers.clear();
}

std::uint16_t TrafficServer::port() const
{
    return m_state->port;
}

void TrafficServer::announceStop()
{
    m_state->shared.stopAnnounced = true;
}

void TrafficServer::stopGracefully()
{
    auto& state = *m_state;
    announceStop();
    if (state.workers.empty())
        return;
    std::unique_lock lock(state.mutex);
    bool closed = false;
    http::asio::post(*state.workers.front()->io, [&state, &closed] {
        state.closeAcceptor();
        const std::lock_guard inner(state.mutex);
        closed = true;
        state.stateChanged.notify_all();
    });
    state.stateChanged.wait(lock, [&closed] { return closed; });
    lock.unlock();
    for (const auto& it : state.workers) {
        http::asio::post(*it->io, [worker = it.get()] {
            worker->stopping = true;
            for (const auto& entry : worker->sessions) {
                if (const auto session = entry.lock())
                    session->stop();
            }
        });
    }
    lock.lock();
    state.stateChanged.wait(lock, [&state] { return state.sessions == 0; });
    lock.unlock();
    state.stopThreads();
}

std::size_t TrafficServer::activeRequests() const
{
    return m_state->shared.activeRequests;
}

std::size_t TrafficServer::memoryUsed() const
{
    return m_state->shared.services.memory().used();
}

} // namespace buckthorncroft::daemon
