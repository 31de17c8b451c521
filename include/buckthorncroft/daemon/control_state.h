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

/// A stage change of a target of `service`.
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
    /// Interval of reports to one random peer, preferably of another zone.
    std::chrono::milliseconds heartbeatInterval { 1000 };
    std::size_t relayedPeersPerMessage = 6; ///< Peers named in each message.
    /// Budget of the reports and replies that this instance sends, transport overhead included. It is below the limit
    /// of 10 KB/s for control traffic, so that a burst within a second stays within the limit too.
    double maxSentBytesPerSecond = 9000;
    /// A pooled score is not sent if it and its path fault score are below this. Receivers use 0 for a score that no
    /// coordinator sends.
    double minRelevantScore = 0.5;
};

/// Holds the control state of one instance: the configuration in force, the health of each service, membership, and the
/// reports to other instances. A state machine without I/O: callers pass in events with the current time and take
/// out reports and snapshots. Not safe for concurrent use.
class ControlState {
public:
    /// `seed`: seed of the random choice of the peer that gets a heartbeat.
    ControlState(const membership::Peer& self, std::uint64_t seed, ControlSettings settings = {});
    ~ControlState();
    ControlState(const ControlState&) = delete;
    ControlState& operator=(const ControlState&) = delete;

    /// Applies a configuration if its change number is above the one in force; returns whether it was applied.
    /// `complete` is false when a damaged record was left out; the same change number may then be applied again.
    bool applyConfiguration(const config::Configuration& configuration, base::SteadyTime now, bool complete = true);

    /// Change number in force; 0 before the first configuration.
    std::uint64_t changeNumber() const { return m_changeNumber; }

    /// Processes observations of the traffic threads. Those of a superseded service record are matched by target id.
    /// An observation with the verdict Draining starts a drain.
    void observe(const std::vector<ReportedObservation>& observations);

    /// Applies the platform's instance list. An entry with the address of a target drains the target while the entry is
    /// leaving; all other entries update the membership.
    void applyInstanceList(const std::vector<membership::Peer>& entries, base::SteadyTime now);

    /// A target whose health endpoint is to be probed for whether the target is still leaving.
    struct DrainProbeRequest {
        membership::TargetName name;
        std::string host;
        std::uint16_t port = 0;
    };

    /// Returns the drain probes that are due now.
    std::vector<DrainProbeRequest> takeDrainProbes(base::SteadyTime now);

    /// Records the result of a drain probe.
    void recordDrainProbe(
        const membership::TargetName& name, membership::DrainProbeResult result, base::SteadyTime now);

    /// Processes a report of another instance and returns the reply. Sets `accepted` to false for a report that is
    /// repeated, out of order or from a superseded process; the content of such a report is ignored.
    wire::Report handleReport(const wire::Report& report, bool& accepted, base::SteadyTime now);

    /// Processes the reply to one of this instance's reports.
    void handleReply(const wire::Report& reply, base::SteadyTime now);

    /// Closes evidence windows, evaluates pools and updates stages. Call at least every 0.5 s.
    void tick(base::SteadyTime now);

    /// Returns the reports that are due now. Call at least every 0.1 s.
    std::vector<OutgoingReport> takeReports(base::SteadyTime now);

    /// Returns a report for a seed peer, whose instance name is not known yet.
    wire::Report makeSeedReport(base::SteadyTime now);

    /// Returns the stage changes since the last call, for the decision log.
    std::vector<ServiceStageChange> takeStageChanges();

    /// Returns the snapshot for the traffic threads.
    std::shared_ptr<const Snapshot> snapshot(base::SteadyTime now) const;

    /// Marks this instance as stopping; the next reports announce it to peers.
    void setLeaving() { m_members.setLeaving(); }

    const membership::Membership& members() const { return m_members; }

    /// The highest change number that peers reported, and the inner endpoints of the peers that reported it.
    struct NewerConfiguration {
        std::uint64_t changeNumber = 0;
        std::vector<std::string> addresses;
    };

    /// Returns the newest configuration that peers reported; empty if it is not newer than the one in force.
    NewerConfiguration newerConfiguration() const;

    /// Whether this instance is one of its zone's configuration readers, which poll the platform more often than the
    /// other instances.
    bool isConfigurationReader(base::SteadyTime now) const;

    /// Returns the explanation of each target's stage; empty for an unknown service.
    std::vector<health::StageExplanation> explain(const std::string& service) const;

    /// Names of all services, sorted.
    std::vector<std::string> services() const;

    /// Bytes of reports and replies sent since the start, including estimated transport overhead.
    std::uint64_t bytesSent() const { return m_bytesSent; }

private:
    struct ServiceState;

    ServiceState* findService(const std::string& service);
    void observeAttempt(ServiceState& state, const ReportedObservation& reported, health::Observation observation);
    void setDraining(
        const membership::TargetName& name, bool draining, health::DrainSource source, base::SteadyTime now);
    void applyEndedDrains(base::SteadyTime now);
    void recordStageChanges(const std::string& service, std::vector<health::StageChange> changes);
    void mergeServiceReport(const wire::ServiceReport& part, const wire::Report& report, base::SteadyTime now);
    void mergeReport(const wire::Report& report, base::SteadyTime now);
    void evaluatePools(base::SteadyTime now);
    void addOwnWindows(std::map<std::string, OutgoingReport>& outgoing, base::SteadyTime now);
    void addRelayedWindows(std::map<std::string, OutgoingReport>& outgoing, base::SteadyTime now);
    void relayWindows(
        std::map<std::string, OutgoingReport>& outgoing, const std::string& service, base::SteadyTime now);
    void addHeartbeat(std::map<std::string, OutgoingReport>& outgoing, base::SteadyTime now);
    wire::Report makeReport(base::SteadyTime now);
    wire::ServiceReport& findOrAddServiceReport(wire::Report& report, const std::string& service, base::SteadyTime now);
    OutgoingReport& findOrAddReport(
        std::map<std::string, OutgoingReport>& outgoing, const membership::Peer& peer, base::SteadyTime now);
    void refillBudget(base::SteadyTime now);
    std::size_t affordableWindows() const;
    void chargeBudget(const wire::Report& report);

    ControlSettings m_settings;
    membership::Membership m_members;
    membership::CoordinatorTable m_coordinators; ///< As of the last tick or exchange.
    membership::DrainTracker m_drains;
    health::Reporter m_reporter;
    std::mt19937_64 m_random;
    std::uint64_t m_changeNumber = 0;
    bool m_isComplete = true; ///< False if a damaged record was left out of the configuration in force.
    std::map<std::string, std::unique_ptr<ServiceState>> m_services;
    /// By sender: incarnation and last sequence number.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> m_lastSequence;
    /// By peer: change number and address.
    std::map<std::string, std::pair<std::uint64_t, std::string>> m_peerChangeNumbers;
    std::unordered_set<std::uint64_t> m_countedPending; ///< Pending attempts already counted as slow.
    std::vector<ServiceStageChange> m_stageChanges;
    std::uint64_t m_sequence = 0;
    base::SteadyTime m_lastExchangeAt;
    base::SteadyTime m_lastHeartbeatAt;
    base::SteadyTime m_lastRefillAt;
    double m_budgetBytes = 0; ///< Bytes that may be sent now.
    std::uint64_t m_bytesSent = 0;
};

} // namespace buckthorncroft::daemon
