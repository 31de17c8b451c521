#pragma once

#include "../../src/gateway/caller_session.h"
#include "../io/traffic_fixture.h"

#include <buckthorncroft/gateway/settings.h>
#include <deque>
#include <fstream>
#include <future>
#include <map>
#include <optional>

namespace buckthorncroft::test {

using namespace std::chrono_literals;

/// Grants slots at the targets listed in `grants`, in order, and records requests and reported outcomes.
class FakePlacement final : public gateway::PlacementService {
public:
    explicit FakePlacement(http::asio::io_context& io)
        : m_io(io)
    {
    }

    std::uint64_t requestSlot(gateway::SlotQuery query, gateway::PlacementClient::Callback done) override
    {
        slotRequests.push_back(query.request);
        gateway::SlotResult result;
        result.point = "point";
        if (!grants.empty()) {
            result.decision.grant = slotRequests.size();
            result.decision.target = grants.front();
            grants.pop_front();
        } else {
            result.decision.refusal = routing::DispatchRefusal::Overloaded;
            result.decision.retryAfter = 250ms;
        }
        const auto timer = std::make_shared<http::asio::steady_timer>(m_io, slotDelay);
        timer->async_wait([this, timer, result, done = std::move(done)](http::error_code) {
            if (beforeSlotResult)
                beforeSlotResult();
            done(result);
        });
        return slotRequests.size();
    }

    void withdraw(std::uint64_t) override { ++withdrawn; }

    void report(const std::string&, const std::string&, const routing::DispatchOutcome& outcome) override
    {
        outcomes.push_back(outcome);
    }

    std::deque<std::string> grants; ///< Targets of the next grants; when it is empty, slot requests are refused.
    std::vector<routing::DispatchRequest> slotRequests;
    std::vector<routing::DispatchOutcome> outcomes;
    std::function<void()> beforeSlotResult; ///< Called on the traffic thread before each slot request completes.
    std::chrono::milliseconds slotDelay { 0 }; ///< Time until a slot request completes.
    unsigned withdrawn = 0;

private:
    http::asio::io_context& m_io;
};

/// An event loop whose pending operations can be destroyed before the objects that they refer to.
class TestContext : public http::asio::io_context {
public:
    using io_context::io_context;

    void destroyHandlers() { shutdown(); }
};

/// Responds to each request with the result of `make`.
inline RawTarget::Script answering(std::function<std::string(const std::string& request)> make)
{
    return [make = std::move(make)](RawConnection& peer, unsigned) {
        while (true) {
            const auto request = peer.readMessage();
            if (request.empty())
                return;
            peer.send(make(request));
        }
    };
}

/// Runs a `CallerSession` over a real connection. Targets are raw connections that the test controls.
class FlowFixture {
public:
    FlowFixture()
        : acceptor(io, { http::asio::ip::make_address("127.0.0.1"), 0 })
        , log(clock, "test", "z1", observe::Level::Error, stderr)
        , memory(1 << 24)
        , placement(io)
        , context { io, clock, names, snapshots, placement, log, metrics, memory, gateway::ConnectionPool(clock),
            std::mt19937_64(1) }
    {
        publish(1, config::RequestKind::Idempotent, 2000ms);
    }

    ~FlowFixture()
    {
        io.stop();
        if (thread.joinable())
            thread.join();
        io.destroyHandlers();
    }

    /// Publishes one route, path `/r/` of host `h` to service `s`, and the targets in `ports`.
    void publish(std::uint64_t version, config::RequestKind kind, std::chrono::milliseconds timeout)
    {
        routing::RouteSet routes;
        routes.version = version;
        routing::HostRoute route;
        route.name = "route";
        route.host = "h";
        route.prefix = "/r/";
        route.kind = kind;
        route.services = { { "s", 1 } };
        route.timeout = timeout;
        route.isPublic = isPublic;
        routes.routes.push_back(route);
        routes.workspaces = workspaces;
        auto set = std::make_shared<membership::TargetSet>();
        for (const auto& [id, port] : ports) {
            membership::DirectoryEntry entry;
            entry.record.id = id;
            entry.record.service = "s";
            entry.record.host = "127.0.0.1";
            entry.record.port = port;
            set->services["s"][id] = entry;
        }
        snapshots.publish(std::make_shared<const gateway::GatewaySnapshot>(
            gateway::GatewaySnapshot { std::make_shared<const routing::RouteTable>(routes), set }));
    }

    /// Starts serving one caller and returns its connection.
    std::unique_ptr<RawConnection> start()
    {
        auto caller = connectCaller();
        thread = std::thread([this] { io.run(); });
        return caller;
    }

    /// Connects a further caller.
    std::unique_ptr<RawConnection> connectCaller()
    {
        auto caller = RawConnection::connectTo(acceptor.local_endpoint().port());
        auto session = std::make_shared<gateway::CallerSession>(context, acceptor.accept());
        sessions.push_back(session);
        http::asio::co_spawn(
            io, [session] { return session->run(); }, http::asio::detached);
        return caller;
    }

    /// Waits until the `n`th session waits for a request and has none in flight. Returns false if it has ended.
    bool waitUntilIdle(std::size_t n)
    {
        while (true) {
            std::promise<std::optional<bool>> result;
            http::asio::post(io, [&] {
                const auto session = sessions.at(n).lock();
                result.set_value(session ? std::optional(session->isIdle()) : std::nullopt);
            });
            const auto isIdle = result.get_future().get();
            if (!isIdle || *isIdle)
                return isIdle.has_value();
            std::this_thread::sleep_for(1ms);
        }
    }

    /// Returns the resident memory of this process.
    static std::size_t residentBytes()
    {
        std::ifstream file("/proc/self/statm");
        std::size_t total = 0;
        std::size_t resident = 0;
        file >> total >> resident;
        return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    }

    /// Waits until all sessions have ended and nothing is pending, so that the test can inspect the state.
    void waitUntilDone() { thread.join(); }

    /// Stops the traffic thread, so that the test can inspect its state.
    void stopTraffic()
    {
        io.stop();
        thread.join();
    }

    std::string request(const std::string& id, const std::string& method = "GET", const std::string& body = "") const
    {
        auto result = method + " /r/x HTTP/1.1\r\nHost: h\r\n" + names.requestId + ": " + id + "\r\n" + names.deadline
            + ": " + std::to_string(callerDeadline.count()) + "\r\n";
        if (!body.empty())
            result += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return result + "\r\n" + body;
    }

    std::string response(const std::string& id, const std::string& body, const std::string& status = "200 OK") const
    {
        return "HTTP/1.1 " + status + "\r\n" + names.requestId + ": " + id + "\r\n" + names.signature
            + ": proof\r\nKeep-Alive: timeout=10\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    TestContext io { 1 };
    http::tcp::acceptor acceptor;
    base::SystemClock clock;
    observe::Logger log;
    observe::Metrics metrics;
    limits::MemoryBudget memory;
    gateway::HeaderNames names;
    gateway::GatewaySnapshotHolder snapshots;
    FakePlacement placement;
    gateway::TrafficContext context;
    std::chrono::milliseconds callerDeadline { 1500 }; ///< Sent with each request.
    std::map<std::string, std::uint16_t> ports; ///< Port of each target, by id.
    std::vector<routing::Workspace> workspaces; ///< Published with the route.
    bool isPublic = false; ///< Whether the route is public.
    std::vector<std::weak_ptr<gateway::CallerSession>> sessions;
    std::thread thread;
};

} // namespace buckthorncroft::test
