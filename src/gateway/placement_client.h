#pragma once

#include "peer_group.h"

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/gateway/settings.h>
#include <buckthorncroft/observe/log.h>
#include <buckthorncroft/routing/dispatch_point.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace buckthorncroft::gateway {

/// A request for a slot on any target of a service.
struct SlotQuery {
    std::string service;
    routing::DispatchRequest request; ///< `PlacementClient` sets `key` and `zone`.
};

/// The granted slot, or the reason why the request was refused.
struct SlotResult {
    routing::DispatchDecision decision;
    std::string point; ///< Instance whose dispatch point made the decision.
    std::uint64_t bytes = 0; ///< Length of the request's body and expected length of the response's.
};

/// Requests slots from the dispatch point of each service, on whichever instance it runs, and runs the dispatch points
/// of the services for which this instance ranks first. If no remote point responds, the request is placed by a point
/// on this instance. Runs on the control thread.
class PlacementClient {
public:
    using Callback = std::function<void(const SlotResult&)>;

    PlacementClient(const GatewaySettings& settings, const base::Clock& clock, PeerGroup& peers,
        const observe::Logger& log, std::uint64_t seed);

    /// Requests a slot. Calls `callback` once, possibly before this function returns, unless the request is withdrawn
    /// first. Returns the number of the request, for `withdraw`.
    std::uint64_t requestSlot(SlotQuery query, Callback callback);

    /// Withdraws a pending request. If its point granted a slot in the meantime, the point releases it later, because
    /// this instance does not list it among its held slots.
    void withdraw(std::uint64_t request);

    /// Reports the outcome of an attempt, or that it is overdue, to the dispatch point `point`, which granted its slot,
    /// and to the one that ranks first now.
    void report(const std::string& service, const std::string& point, routing::DispatchOutcome outcome);

    /// Sets the function to call when an outcome says that its target leaves. The second argument is true if a point on
    /// this instance granted the slot.
    void onTargetLeaving(std::function<void(const membership::LeavingTarget&, bool)> handler)
    {
        m_onTargetLeaving = std::move(handler);
    }

    /// Replaces the targets of all services.
    void setTargets(std::shared_ptr<const membership::TargetSet> targets);

    /// Processes the placement messages of a datagram from another instance.
    void handle(const wire::proto::PeerDatagram& datagram);

    /// Resends requests without a response and runs the timers of the local points. Call every `tickInterval`.
    void tick();

    /// Discards the local dispatch points and sends their queued requests again. Call after the machine was suspended,
    /// which makes their state stale.
    void discardDispatchPoints();

    static constexpr std::chrono::milliseconds tickInterval { 20 };

private:
    struct PendingRequest {
        SlotQuery query;
        Callback callback;
        std::string point; ///< Instance whose point is asked.
        base::SteadyTime sentAt; ///< Time of the last send.
        unsigned sendCount = 0; ///< To `point`, without a response.
        unsigned triedPointCount = 0; ///< Points that did not respond.
        bool isQueued = false; ///< The point has confirmed that the request is queued there.
    };
    struct HeldGrant {
        std::string target;
        std::string point;
    };
    /// Outgoing datagrams by receiving instance.
    using Outbox = std::map<std::string, wire::proto::PeerDatagram>;

    routing::DispatchPoint& findOrCreatePoint(const std::string& service);
    void send(PendingRequest& pending);
    void sendToPoint(const PendingRequest& pending);
    void complete(std::uint64_t number, const routing::DispatchDecision& decision, const std::string& point);
    void collectOutput(const std::string& service, routing::DispatchPoint& point, Outbox& outbox);
    void flushPoint(const std::string& service);
    void sendAll(Outbox& outbox);
    wire::proto::ServiceDatagram& findOrAddPart(
        Outbox& outbox, const std::string& instance, const std::string& service);
    void handleService(const std::string& sender, const wire::proto::ServiceDatagram& part);
    void handleDecision(const std::string& sender, const wire::proto::SlotDecision& message);
    void resendIfUnanswered(PendingRequest& pending);
    void notifyTargetLeaving(const routing::DispatchOutcome& outcome, bool isPointHere);
    void logQueue(const std::string& service, const routing::DispatchPoint& point);
    std::vector<routing::HeldSlot> heldSlots(const std::string& service) const;

    const GatewaySettings& m_settings;
    const base::Clock& m_clock;
    PeerGroup& m_peers;
    const observe::Logger& m_log;
    std::uint64_t m_seed;
    std::map<std::string, std::unique_ptr<routing::DispatchPoint>> m_points; ///< Local points by service.
    std::map<std::string, base::SteadyTime> m_queueLoggedAt; ///< By service.
    std::map<std::string, base::SteadyTime> m_retryUsageSentAt; ///< By service.
    std::map<std::uint64_t, PendingRequest> m_pending; ///< By request number.
    std::map<std::string, std::map<std::uint64_t, HeldGrant>> m_heldGrants; ///< Slots in use, by service and grant.
    std::shared_ptr<const membership::TargetSet> m_targets;
    std::function<void(const membership::LeavingTarget&, bool)> m_onTargetLeaving;
    std::uint64_t m_nextRequestNumber = 1;
};

} // namespace buckthorncroft::gateway
