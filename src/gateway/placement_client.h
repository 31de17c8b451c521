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

/// A request for a slot, as the way of a request makes it.
struct SlotQuery {
    std::string service;
    routing::DispatchRequest request; ///< `key` is filled in by the client.
};

/// A slot, or the reason why there is none.
struct SlotResult {
    routing::DispatchDecision decision;
    std::string point; ///< Instance that decided.
};

/// Gets slots from the dispatch point of each service, wherever it runs, and serves as the point for those services
/// that rank this instance first. When no point answers, this instance decides alone. Runs on the control thread.
class PlacementClient {
public:
    using Callback = std::function<void(const SlotResult&)>;

    PlacementClient(const GatewaySettings& settings, const base::Clock& clock, PeerGroup& peers,
        const observe::Logger& log, std::uint64_t seed);

    /// Asks for a slot; `done` is called once, unless the request is withdrawn before. Returns the request's number.
    std::uint64_t requestSlot(SlotQuery query, Callback done);

    /// The request needs no slot any more. A slot that was granted meanwhile is given back.
    void withdraw(std::uint64_t request);

    /// Reports the end of an attempt, or that it is overdue.
    void report(const std::string& service, const std::string& point, routing::DispatchOutcome outcome);

    void setTargets(std::shared_ptr<const membership::TargetSet> targets);

    /// Takes the placement part of a datagram.
    void handle(const wire::proto::PeerDatagram& datagram);

    /// Repeats questions without an answer, and lets the points decide. Call every `tickInterval`.
    void tick();

    /// The process was paused: what the points knew is old.
    void forgetState();

    static constexpr std::chrono::milliseconds tickInterval { 20 };

private:
    struct Question {
        SlotQuery query;
        Callback done;
        std::string point;
        base::SteadyTime sentAt;
        unsigned sends = 0;
        unsigned pointsTried = 0;
        bool waiting = false; ///< The point said that the request waits.
    };
    struct HeldGrant {
        std::string target;
        std::string point;
    };
    using Outbox = std::map<std::string, wire::proto::PeerDatagram>;

    routing::DispatchPoint& pointOf(const std::string& service);
    void send(Question& question);
    void sendToPoint(const Question& question);
    void respond(std::uint64_t number, const routing::DispatchDecision& decision, const std::string& point);
    void deliver(const std::string& service, routing::DispatchPoint& point, Outbox& outbox);
    void flush(const std::string& service);
    void sendAll(Outbox& outbox);
    wire::proto::ServiceDatagram& partFor(Outbox& outbox, const std::string& instance, const std::string& service);
    void handleService(const std::string& sender, const wire::proto::ServiceDatagram& part);
    void handleDecision(const std::string& sender, const wire::proto::SlotDecision& message);
    void repeatUnanswered(Question& question);
    void logLoad(const std::string& service, const routing::DispatchPoint& point);
    std::vector<routing::HeldSlot> heldSlots(const std::string& service) const;

    const GatewaySettings& m_settings;
    const base::Clock& m_clock;
    PeerGroup& m_peers;
    const observe::Logger& m_log;
    std::uint64_t m_seed;
    std::map<std::string, std::unique_ptr<routing::DispatchPoint>> m_points; ///< By service.
    std::map<std::string, base::SteadyTime> m_loadLoggedAt; ///< By service.
    std::map<std::uint64_t, Question> m_questions;
    std::map<std::string, std::map<std::uint64_t, HeldGrant>> m_held; ///< By service, then by grant.
    std::shared_ptr<const membership::TargetSet> m_targets;
    std::uint64_t m_nextRequest = 1;
};

} // namespace buckthorncroft::gateway
