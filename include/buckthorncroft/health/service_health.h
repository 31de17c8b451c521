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

/// Health of the targets of one service as one instance sees it. All times must come from one clock and not go back.
/// Indexes of targets are those of `config::Service::targets` in the latest record.
class ServiceHealth {
public:
    ServiceHealth(const config::Service& service, Reporter self, base::SteadyTime now, Settings settings = {});

    /// Applies a new record of the service; state is kept by target id.
    std::vector<StageChange> reconfigure(const config::Service& service, base::SteadyTime now);

    /// Counts a finished attempt. Verdicts that are no evidence are ignored.
    /// A Good verdict may be counted as slow, by the other targets' latencies.
    void observe(const Observation& observation);

    /// Latency from which an answer of the target counts as slow against the service's other targets. An attempt that
    /// is still unfinished at this age is sure to be slow or worse, so the daemon passes it to `countPendingAsSlow`.
    /// Empty while too few latencies are known; the deadline then decides.
    std::optional<Duration> slowLimit(std::size_t target, config::RequestKind kind) const;

    /// Counts an attempt as slow that is unfinished at `age`, or that was abandoned after `age` because a hedge won.
    /// Returns whether it counted: `age` must have reached the slow limit. Call it again only while it returns false,
    /// and set `Observation::alreadyCounted` when the attempt ends.
    bool countPendingAsSlow(std::size_t target, config::RequestKind kind, Duration age, base::SteadyTime now);

    /// Closes windows, scores targets, moves stages and checks the floor. Call at least every 0.5 s.
    std::vector<StageChange> tick(base::SteadyTime now);

    /// Whether evidence against a target is waiting to be reported, so that the report should not wait for its
    /// interval.
    bool hasUrgentEvidence() const { return m_urgent; }

    /// Windows that changed since the last call, most suspicious first, at most `limit`. The rest is given next time.
    std::vector<EvidenceWindow> takeReport(base::SteadyTime now, std::size_t limit);

    /// Takes the scores of a coordinator. `age` is the time since they were evaluated.
    void mergePooledScores(const PooledScores& scores, Duration age, base::SteadyTime now);

    /// Replaces the ejected set of a peer, then checks the floor over the union and readmits the least bad targets.
    std::vector<StageChange> mergePeerEjections(
        const std::string& peer, const std::vector<EjectedTarget>& ejected, base::SteadyTime now);

    /// This instance's ejected targets, for its peers.
    std::vector<EjectedTarget> ejectedTargets() const;

    /// States whether `source` says that the target is leaving. May readmit other targets because of the floor.
    std::vector<StageChange> setDraining(std::size_t target, bool draining, DrainSource source, base::SteadyTime now);

    /// States whether the target is down, for example with its zone. May readmit other targets because of the floor.
    std::vector<StageChange> setDown(std::size_t target, bool down, base::SteadyTime now);

    /// A health or load endpoint answered badly. Adds suspicion; nothing that an endpoint says clears a target.
    void endpointSuspicion(std::size_t target, base::SteadyTime now);

    /// The target has started or restarted. It ramps up, and its observations are no evidence, for the service's cold
    /// start time.
    std::vector<StageChange> handleTargetStart(std::size_t target, base::SteadyTime now);

    /// One view per target, in the order of the record.
    std::vector<TargetView> views(base::SteadyTime now) const;

    /// One explanation per target, in the order of the record.
    std::vector<StageExplanation> explain() const;

    /// Targets that are in: configured, not Ejected or in Trial, not draining, not down.
    unsigned targetsIn() const;

private:
    struct PeerReport {
        std::vector<EjectedTarget> ejected;
        base::SteadyTime at;
    };
    struct CoordinatorReport {
        PooledScores scores;
        base::SteadyTime at; ///< When the scores were evaluated, on this instance's clock.
    };
    struct OwnWindow {
        std::size_t target = 0;
        config::RequestKind kind = config::RequestKind::Idempotent;
        std::uint64_t index = 0;
        bool operator<(const OwnWindow& other) const
        {
            return std::tie(target, kind, index) < std::tie(other.target, other.kind, other.index);
        }
    };
    struct OwnCounts {
        AttemptCounts counts;
        LatencyMoments latency;
        bool unscored = true; ///< Not yet in `m_own`.
        bool unreported = true; ///< Not yet given by `takeReport`.
    };

    OwnCounts& windowAt(std::size_t target, config::RequestKind kind, base::SteadyTime at);
    void count(std::size_t target, config::RequestKind kind, Verdict verdict, base::SteadyTime at);
    void noteTrial(detail::TargetState& state, config::RequestKind kind, Verdict verdict);
    void dropOldWindows(base::SteadyTime now);
    void scoreOwn(base::SteadyTime now);
    void scorePooled(base::SteadyTime now);
    void judge(detail::TargetState& state, base::SteadyTime now) const;
    void judgeKind(detail::TargetState& state, std::size_t kind, bool endpoint, base::SteadyTime now) const;
    void adoptFromPeers(base::SteadyTime now);
    void moveStage(std::size_t target, base::SteadyTime now, std::vector<StageChange>& changes);
    void moveTrial(std::size_t target, base::SteadyTime now, std::vector<StageChange>& changes);
    void enterRampUp(
        std::size_t target, Reason reason, Duration length, base::SteadyTime now, std::vector<StageChange>& changes);
    void eject(std::size_t target, Reason reason, base::SteadyTime now, std::vector<StageChange>& changes);
    void readmit(std::size_t target, base::SteadyTime now, std::vector<StageChange>& changes);
    void holdBack(std::size_t target, std::vector<StageChange>& changes);
    void change(std::size_t target, Stage to, Reason reason, base::SteadyTime now, std::vector<StageChange>& changes);
    void applyFloor(base::SteadyTime now, std::vector<StageChange>& changes);
    std::vector<FloorCandidate> candidates(base::SteadyTime now) const;
    bool available(const detail::TargetState& state) const { return !state.down && state.drains.empty(); }
    double threshold(const detail::TargetState& state) const;
    bool hasIdempotentRoute() const;
    double endpointScore(const detail::TargetState& state, base::SteadyTime now) const;
    double idempotentWeight(const detail::TargetState& state, base::SteadyTime now) const;
    StageChange describe(std::size_t target) const;

    config::Service m_service;
    Reporter m_self;
    Settings m_settings;
    base::SteadyTime m_start;
    std::vector<detail::TargetState> m_targets;
    std::vector<LatencyModel> m_latencies; ///< One per request kind.
    std::map<OwnWindow, OwnCounts> m_windows; ///< Own counts of the last 10 s.
    EvidencePool m_own; ///< Scores this instance's own windows alone.
    std::map<Reporter, CoordinatorReport> m_pooled; ///< Latest scores of each coordinator.
    std::map<std::string, PeerReport> m_peers; ///< Latest ejected set of each peer.
    bool m_ignored = false; ///< A coordinator ignores this instance's evidence.
    bool m_urgent = false;
};

} // namespace buckthorncroft::health
