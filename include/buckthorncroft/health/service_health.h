#pragma once

#include <buckthorncroft/health/evidence.h>
#include <buckthorncroft/health/evidence_pool.h>
#include <buckthorncroft/health/floor.h>
#include <buckthorncroft/health/latency_model.h>
#include <buckthorncroft/health/stage_change.h>
#include <buckthorncroft/health/target_state.h>
#include <buckthorncroft/health/target_view.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthorncroft::health {

/// Tracks the health of the targets of one service on one instance and decides which targets are ejected. All times
/// must come from one monotonic clock. Target indexes refer to `config::Service::targets` of the latest configuration.
/// Methods that can change stages return the changes for the decision log. Not safe for concurrent use.
class ServiceHealth {
public:
    ServiceHealth(const config::Service& service, Reporter self, base::SteadyTime now, Settings settings = {});

    /// Applies a new configuration of the service. State is kept by target id.
    std::vector<StageChange> reconfigure(const config::Service& service, base::SteadyTime now);

    /// Records a finished attempt. Verdicts that are not evidence are ignored. A `Good` verdict counts as `Slow` if the
    /// latency reaches `slowLimit`.
    void observe(const Observation& observation);

    /// Latency from which a response of the target counts as slow compared with the service's other targets. An attempt
    /// that is still pending at this age will end as slow or bad, so the daemon passes it to `countPendingAsSlow`.
    /// Empty while too few latencies are recorded; then only the deadline applies.
    std::optional<Duration> slowLimit(std::size_t target, config::RequestKind kind) const;

    /// Counts an attempt as slow that is pending at `age`, or that was cancelled after `age` because a hedge won.
    /// Returns whether it was counted, which requires that `age` has reached the slow limit. Don't call it again for
    /// the same attempt after it returned true; set `Observation::alreadyCounted` when the attempt ends.
    bool countPendingAsSlow(std::size_t target, config::RequestKind kind, Duration age, base::SteadyTime now);

    /// Scores the targets, updates their stages and enforces the floor. Must be called at least every 0.5 s.
    std::vector<StageChange> tick(base::SteadyTime now);

    /// Whether unreported evidence against a target exists. The next report should then be sent early.
    bool hasUrgentEvidence() const { return m_hasUrgentEvidence; }

    /// Returns at most `limit` windows that have changed since they were last returned. Windows with the most slow or
    /// bad attempts come first; the remaining ones are returned by the next calls.
    std::vector<EvidenceWindow> takeReport(base::SteadyTime now, std::size_t limit);

    /// Stores the scores of a coordinator. `age` is the time since their evaluation. Old or repeated scores are
    /// ignored.
    void mergePooledScores(const PooledScores& scores, Duration age, base::SteadyTime now);

    /// Replaces the set of targets that a peer has ejected. Then enforces the floor for the union of all ejected sets;
    /// if it is violated, the targets with the lowest scores are readmitted.
    std::vector<StageChange> mergePeerEjections(
        const std::string& peer, const std::vector<EjectedTarget>& ejected, base::SteadyTime now);

    /// Targets that are ejected or in trial on this instance, to be sent to its peers.
    std::vector<EjectedTarget> ejectedTargets() const;

    /// Sets whether the target is draining according to `source`. May readmit other targets because of the floor.
    std::vector<StageChange> setDraining(std::size_t target, bool draining, DrainSource source, base::SteadyTime now);

    /// Sets whether the target is down, for example with its zone. May readmit other targets because of the floor.
    std::vector<StageChange> setDown(std::size_t target, bool down, base::SteadyTime now);

    /// Records a bad response of the target's health or load endpoint. It raises the suspicion score; good responses of
    /// these endpoints never lower it.
    void recordEndpointFailure(std::size_t target, base::SteadyTime now);

    /// Handles a start or restart of the target. During the service's cold start time the target ramps up, and its
    /// attempts are not evidence.
    std::vector<StageChange> handleTargetStart(std::size_t target, base::SteadyTime now);

    /// Health of each target for routing, in the order of `config::Service::targets`.
    std::vector<TargetView> views(base::SteadyTime now) const;

    /// Explains the stage of each target, in the order of `config::Service::targets`.
    std::vector<StageExplanation> explain() const;

    /// Number of targets in service: configured, neither `Ejected` nor in `Trial`, not draining, not down.
    unsigned countInService() const;

private:
    struct PeerReport {
        std::vector<EjectedTarget> ejected;
        base::SteadyTime receivedAt;
    };
    struct CoordinatorReport {
        PooledScores scores;
        base::SteadyTime evaluatedAt; ///< Evaluation time on this instance's clock.
    };
    struct WindowKey {
        std::size_t target = 0;
        config::RequestKind kind = config::RequestKind::Idempotent;
        std::uint64_t index = 0;
        bool operator<(const WindowKey& other) const
        {
            return std::tie(target, kind, index) < std::tie(other.target, other.kind, other.index);
        }
    };
    struct WindowData {
        AttemptCounts counts;
        LatencyMoments latency;
        bool unscored = true; ///< Has changes that are not merged into `m_ownPool`.
        bool unreported = true; ///< Has changes that `takeReport` has not returned.
    };

    WindowData& windowAt(std::size_t target, config::RequestKind kind, base::SteadyTime at);
    void count(std::size_t target, config::RequestKind kind, Verdict verdict, base::SteadyTime at);
    void recordTrialResult(detail::TargetState& state, config::RequestKind kind, Verdict verdict);
    void removeExpiredWindows(base::SteadyTime now);
    void updateOwnScores(base::SteadyTime now);
    void updatePooledScores(base::SteadyTime now);
    /// Sets `shouldEject`, `avoidLocally` and the suspect kinds of a target from its scores.
    void evaluateTarget(detail::TargetState& state, base::SteadyTime now) const;
    void updateSuspicion(
        detail::TargetState& state, std::size_t kind, bool hasEndpointSuspicion, base::SteadyTime now) const;
    /// Marks targets for ejection that enough peers have ejected; only shortly after the start.
    void adoptPeerEjections(base::SteadyTime now);
    void advanceStage(std::size_t target, base::SteadyTime now, std::vector<StageChange>& changes);
    void advanceTrial(std::size_t target, base::SteadyTime now, std::vector<StageChange>& changes);
    void enterRampUp(std::size_t target, StageChangeReason reason, Duration length, base::SteadyTime now,
        std::vector<StageChange>& changes);
    void eject(std::size_t target, StageChangeReason reason, base::SteadyTime now, std::vector<StageChange>& changes);
    void readmit(std::size_t target, base::SteadyTime now, std::vector<StageChange>& changes);
    /// Records that the floor prevents the ejection of the target.
    void recordFloorHold(std::size_t target, std::vector<StageChange>& changes);
    void changeStage(std::size_t target, Stage to, StageChangeReason reason, base::SteadyTime now,
        std::vector<StageChange>& changes);
    /// Ejects and readmits targets by the ranking of `ejectionCandidates`, as far as the floor allows.
    void applyFloor(base::SteadyTime now, std::vector<StageChange>& changes);
    std::vector<EjectionCandidate> ejectionCandidates(base::SteadyTime now) const;
    bool isAvailable(const detail::TargetState& state) const { return !state.down && state.drainSources.empty(); }
    double ejectionThreshold(const detail::TargetState& state) const;
    bool hasIdempotentRoute() const;
    double currentEndpointScore(const detail::TargetState& state, base::SteadyTime now) const;
    double idempotentWeight(const detail::TargetState& state, base::SteadyTime now) const;
    StageChange makeStageChange(std::size_t target) const;

    config::Service m_service;
    Reporter m_self;
    Settings m_settings;
    base::SteadyTime m_startedAt;
    std::vector<detail::TargetState> m_targets;
    std::vector<LatencyModel> m_latencyModels; ///< One per request kind.
    std::map<WindowKey, WindowData> m_windows; ///< This instance's attempts of the last 10 s.
    EvidencePool m_ownPool; ///< Scores targets by this instance's windows only.
    std::map<Reporter, CoordinatorReport> m_coordinatorReports; ///< Latest scores from each coordinator.
    std::map<std::string, PeerReport> m_peerReports; ///< Latest ejected set from each peer.
    bool m_isIgnored = false; ///< Whether a coordinator ignores this instance's evidence.
    bool m_hasUrgentEvidence = false;
};

} // namespace buckthorncroft::health
