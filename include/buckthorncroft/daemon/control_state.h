#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/config/model.h>
#include <buckthorncroft/daemon/observation_queue.h>
#include <buckthorncroft/daemon/snapshot.h>
#include <buckthorncroft/health/service_health.h>
#include <buckthorncroft/membership/drain_tracker.h>
#include <buckthorncroft/membership/membership.h>
#include <buckthorncroft/wire/messages.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

namespace buckthorncroft::daemon {

/// A stage change with the service that it belongs to.
struct ServiceStageChange {
    std::string service;
    health::StageChange change;
};

/// A report for one peer.
struct OutgoingReport {
    std::string address; ///< host:port of the peer's inner endpoint.
    std::string instance; ///< Name of the peer.
    wire::Report report;
};

/// Bounds and intervals of the exchange between instances.
struct ControlSettings {
    std::chrono::milliseconds exchangeInterval { 500 };
    std::chrono::milliseconds heartbeatInterval { 1000 }; ///< One peer of another zone hears from this instance.
    std::size_t relayedPeers = 6; ///< Peers named in each message.
    /// Hard budget of the reports that this instance sends, replies and transport overhead included. Below the
    /// 10 KB/s that control may cost, so that a burst within a second stays within it too.
    double bytesPerSecond = 9000;
    double minRelevantScore = 0.5; ///< Pooled scores below it are not sent; absence means that there is none.
};

/// All control state of one instance: configuration in force, health of each service, membership, and what goes to
/// other instances. A state machine without input or output: events and a time in, reports and a snapshot out.
/// Used by one thread.
class ControlState {
public:
    ControlState(const membership::Peer& self, std::uint64_t seed, ControlSettings settings = {});
    ~ControlState();
    ControlState(const ControlState&) = delete;
    ControlState& operator=(const ControlState&) = delete;

    /// Applies a configuration if its change number is above the one in force; returns whether it was applied.
    /// `complete` is false when a damaged record was left out; the same change number may then be applied again.
    bool applyConfiguration(const config::Configuration& configuration, base::SteadyTime now, bool complete = true);

    /// Change number in force; 0 before the first configuration.
    std::uint64_t change() const { return m_change; }

    /// Takes observations of the traffic threads. Those of a superseded service record are matched by target id. An
    /// observation with the verdict Draining starts a drain.
    void observe(const std::vector<ReportedObservation>& observations);

    /// Takes the platform's instance list. Entries whose address is that of a target and that are leaving drain it.
    void listed(const std::vector<membership::Peer>& entries, base::SteadyTime now);

    /// Targets whose health endpoint should be asked whether they are still leaving.
    struct DrainProbeRequest {
        membership::TargetName name;
        std::string host;
        std::uint16_t port = 0;
    };

    std::vector<DrainProbeRequest> takeDrainProbes(base::SteadyTime now);

    /// Takes the result of a probe.
    void drainProbed(const membership::TargetName& name, membership::DrainProbeResult result, base::SteadyTime now);

    /// Takes a report of another instance and returns the reply. `accepted` is false for a report that was repeated,
    /// reordered or sent by a superseded process; nothing of it is used.
    wire::Report handleReport(const wire::Report& report, bool& accepted, base::SteadyTime now);

    /// Takes the reply to an own report.
    void handleReply(const wire::Report& reply, base::SteadyTime now);

    /// Closes windows and moves stages. Call at least every 0.5 s.
    void tick(base::SteadyTime now);

    /// Reports that are due now. Call at least every 0.1 s.
    std::vector<OutgoingReport> takeReports(base::SteadyTime now);

    /// A report for a peer whose name is not known yet.
    wire::Report makeGreeting(base::SteadyTime now);

    /// Stage changes since the last call, for the decision log.
    std::vector<ServiceStageChange> takeStageChanges();

    /// What traffic threads need now.
    std::shared_ptr<const Snapshot> snapshot(base::SteadyTime now) const;

    /// This instance stops; peers learn it with the next reports.
    void setLeaving() { m_members.setLeaving(); }

    const membership::Membership& members() const { return m_members; }

    /// The highest change number that a peer reported, and where to fetch it.
    struct NewerConfiguration {
        std::uint64_t change = 0;
        std::vector<std::string> addresses;
    };

    /// Peers that reported a higher change number than the one in force.
    NewerConfiguration newerAtPeers() const;

    /// Whether this instance is one of the `readersPerZone` that poll the platform for its zone.
    bool isConfigurationReader(base::SteadyTime now) const;

    /// Explanations of all targets of a service; empty for an unknown service.
    std::vector<health::StageExplanation> explain(const std::string& service) const;

    /// Names of all services, sorted.
    std::vector<std::string> services() const;

    /// Bytes of reports and replies sent since the start, with an estimate of the transport's overhead.
    std::uint64_t bytesSent() const { return m_bytesSent; }

private:
    struct ServiceState;

    ServiceState* find(const std::string& service);
    void observeOne(ServiceState& state, const ReportedObservation& reported, health::Observation observation);
    void setDraining(
        const membership::TargetName& name, bool draining, health::DrainSource source, base::SteadyTime now);
    void endDrains(base::SteadyTime now);
    void record(const std::string& service, std::vector<health::StageChange> changes);
    void mergeService(const wire::ServiceReport& part, const wire::Report& report, base::SteadyTime now);
    void mergeReport(const wire::Report& report, base::SteadyTime now);
    void evaluatePools(base::SteadyTime now);
    void addWindows(std::map<std::string, OutgoingReport>& outgoing, base::SteadyTime now);
    void addRelays(std::map<std::string, OutgoingReport>& outgoing, base::SteadyTime now);
    void relayService(
        std::map<std::string, OutgoingReport>& outgoing, const std::string& service, base::SteadyTime now);
    void addHeartbeat(std::map<std::string, OutgoingReport>& outgoing, base::SteadyTime now);
    wire::Report makeReport(base::SteadyTime now);
    wire::ServiceReport& servicePart(wire::Report& report, const std::string& service, base::SteadyTime now);
    OutgoingReport& reportFor(
        std::map<std::string, OutgoingReport>& outgoing, const membership::Peer& peer, base::SteadyTime now);
    void refillBudget(base::SteadyTime now);
    std::size_t affordableWindows() const;
    void account(const wire::Report& report);

    ControlSettings m_settings;
    membership::Membership m_members;
    membership::CoordinatorTable m_coordinators; ///< As of the last tick or exchange.
    membership::DrainTracker m_drains;
    health::Reporter m_reporter;
    std::mt19937_64 m_random;
    std::uint64_t m_change = 0;
    bool m_complete = true; ///< Whether the configuration in force has all its services.
    std::map<std::string, std::unique_ptr<ServiceState>> m_services;
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> m_lastSequence; ///< Incarnation and sequence.
    std::map<std::string, std::pair<std::uint64_t, std::string>> m_peerChanges; ///< Change number and address.
    std::unordered_set<std::uint64_t> m_countedPending; ///< Running attempts that count as slow already.
    std::vector<ServiceStageChange> m_stageChanges;
    std::uint64_t m_sequence = 0;
    base::SteadyTime m_lastExchange;
    base::SteadyTime m_lastHeartbeat;
    base::SteadyTime m_lastRefill;
    double m_budget = 0; ///< Bytes that may be sent now.
    std::uint64_t m_bytesSent = 0;
};

} // namespace buckthorncroft::daemon
