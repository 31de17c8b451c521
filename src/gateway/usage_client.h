#pragma once

#include "peer_group.h"
#include "traffic_context.h"

#include <array>
#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/limits/usage_point.h>
#include <buckthorncroft/observe/log.h>
#include <buckthorncroft/observe/metrics.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace buckthorncroft::gateway {

/// Asks the points that count the usage of workspaces for admission of requests, and runs the points for which this
/// instance ranks first. Workspaces are distributed to a fixed number of shards with one point each. If no remote point
/// responds, a point on this instance decides. Runs on the control thread.
class UsageClient {
public:
    using Callback = std::function<void(const Admission&)>;

    /// Numbers of requests start at `firstRequest`, which must differ between runs of this instance.
    UsageClient(const base::Clock& clock, PeerGroup& peers, const observe::Logger& log, observe::Metrics& metrics,
        std::uint64_t firstRequest);

    /// Replaces the quotas of all workspaces.
    void setWorkspaces(const std::vector<routing::Workspace>& workspaces);

    /// Asks for admission of one request. Calls `callback` once, possibly before this function returns.
    void admit(const std::string& workspace, Callback callback);

    /// Processes the usage messages of a datagram from another instance.
    void handle(const wire::proto::PeerDatagram& datagram);

    /// Resends requests without a response and runs the timers of the local points. Call every
    /// `PlacementClient::tickInterval`.
    void tick();

    /// Removes the tokens of the local points. Call after the machine was suspended.
    void clearPoints();

private:
    struct Shard {
        std::string key; ///< For the ranking.
        limits::UsagePoint localPoint;
        std::string askedPoint; ///< Instance that was asked last.
        base::SteadyTime askedAt {};
    };
    struct PendingRequest {
        std::string workspace;
        Callback callback;
        Shard* shard = nullptr;
        std::string point; ///< Instance whose point is asked.
        base::SteadyTime createdAt;
        base::SteadyTime sentAt; ///< Time of the last send.
        unsigned sendCount = 0; ///< To `point`, without a response.
        unsigned triedPointCount = 0; ///< Points that did not respond.
        bool isWaiting = false; ///< The point has confirmed that the request waits there.
    };
    /// Outgoing datagrams by receiving instance.
    using Outbox = std::map<std::string, wire::proto::PeerDatagram>;

    static constexpr std::size_t shardCount = 4;

    Shard& shardOf(const std::string& workspace);
    void setAskedPoint(Shard& shard, const std::string& point);
    void send(std::uint64_t number, PendingRequest& pending);
    void resendIfUnanswered(std::uint64_t number, PendingRequest& pending);
    void complete(std::uint64_t number, const Admission& admission, const char* reason);
    void handleDecision(const wire::proto::AdmissionDecision& message);
    void collectDecisions(Shard& shard, Outbox& outbox);
    void sendHeartbeats();
    void sendAll(const Outbox& outbox);
    std::size_t fleetSize();

    const base::Clock& m_clock;
    PeerGroup& m_peers;
    const observe::Logger& m_log;
    observe::Metrics& m_metrics;
    std::uint64_t m_nextRequestNumber;
    base::SteadyTime m_startedAt;
    std::array<Shard, shardCount> m_shards;
    std::map<std::string, routing::Quota> m_quotas; ///< Limited workspaces only.
    std::map<std::uint64_t, PendingRequest> m_pending; ///< By request number.
};

} // namespace buckthorncroft::gateway
