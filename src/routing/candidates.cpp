#include "candidates.h"

#include <algorithm>
#include <array>

namespace buckthorncroft::routing::detail {

namespace {

    // Trial requests take at most this share of the first attempts of idempotent requests, over all targets on trial.
    // Each needs a second attempt from the retry budget (10 %), of which most must stay available for retries.
    constexpr double trialShare = 0.05;

    bool hasRoom(const config::Target& target, const TargetLoad& load)
    {
        return load.inFlight < target.slots;
    }

    // A connection that is open and idle can be used, or closed to make room for a fresh one.
    bool hasConnection(const TargetLoad& load)
    {
        return load.connections < load.connectionShare || load.inFlight < load.connections;
    }

    // Idempotent work stays on a suspect target at its reduced weight. Without it no evidence would arrive, and a
    // target that fails everything would stay Suspect instead of being ejected.
    bool isSuspect(const PlacementRequest& request, const health::TargetView& view)
    {
        return request.kind != config::RequestKind::Idempotent
            && (view.stage == health::Stage::Suspect || view.suspectFor[static_cast<std::size_t>(request.kind)]);
    }

    Rejection reject(const PlacementRequest& request, std::size_t index, const config::Target& target,
        const health::TargetView& view, const TargetLoad& load)
    {
        if (view.draining || target.draining)
            return Rejection::Draining;
        if (std::find(request.excluded.begin(), request.excluded.end(), index) != request.excluded.end())
            return Rejection::Excluded;
        if (view.stage == health::Stage::Ejected)
            return Rejection::Ejected;
        if (view.stage == health::Stage::Trial)
            return Rejection::OnTrial;
        if (!hasRoom(target, load))
            return Rejection::NoSlot;
        if (!hasConnection(load))
            return Rejection::NoConnection;
        if (view.avoidLocally)
            return Rejection::LocallyAvoided;
        if (isSuspect(request, view))
            return Rejection::Suspect;
        return Rejection::None;
    }

    // Moves the targets that were rejected for `reason` to the candidates if they have room.
    void admit(
        Candidates& candidates, Rejection reason, const config::Service& service, std::span<const TargetLoad> load)
    {
        for (std::size_t i = 0; i < candidates.rejections.size(); ++i) {
            if (candidates.rejections[i] != reason || !hasRoom(service.targets[i], load[i]) || !hasConnection(load[i]))
                continue;
            candidates.rejections[i] = Rejection::None;
            candidates.targets.push_back(i);
        }
    }

} // namespace

Candidates findCandidates(const PlacementRequest& request, const config::Service& service,
    std::span<const health::TargetView> health, std::span<const TargetLoad> load)
{
    Candidates result;
    bool anyIn = false;
    for (std::size_t i = 0; i < service.targets.size(); ++i) {
        const auto reason = reject(request, i, service.targets[i], health[i], load[i]);
        result.rejections.push_back(reason);
        if (reason == Rejection::None)
            result.targets.push_back(i);
        anyIn
            = anyIn || (reason != Rejection::Draining && reason != Rejection::Ejected && reason != Rejection::OnTrial);
    }
    // Suspect targets count as capacity, and a path that is avoided may have returned.
    for (const auto reason : { Rejection::Suspect, Rejection::LocallyAvoided }) {
        if (result.targets.empty())
            admit(result, reason, service, load);
    }
    // Ejected targets serve only if nothing else is in, because a request to a bad target beats no request at all.
    // As long as a target is in, its slots or its earlier attempt decide, and ejected targets stay without work.
    for (const auto reason : { Rejection::OnTrial, Rejection::Ejected }) {
        if (result.targets.empty() && !anyIn)
            admit(result, reason, service, load);
    }
    return result;
}

std::optional<std::size_t> chooseTrial(const PlacementRequest& request, const config::Service& service,
    std::span<const health::TargetView> health, std::span<const TargetLoad> load, std::mt19937_64& random)
{
    if (request.kind != config::RequestKind::Idempotent || !request.firstAttempt)
        return std::nullopt;
    std::vector<std::size_t> onTrial;
    for (std::size_t i = 0; i < service.targets.size(); ++i) {
        const auto& view = health[i];
        if (view.stage == health::Stage::Trial && !view.draining && !service.targets[i].draining && !view.avoidLocally
            && load[i].inFlight == 0 && hasConnection(load[i]))
            onTrial.push_back(i);
    }
    if (onTrial.empty() || !std::bernoulli_distribution(trialShare)(random))
        return std::nullopt;
    return onTrial[std::uniform_int_distribution<std::size_t>(0, onTrial.size() - 1)(random)];
}

double weightOf(const health::TargetView& view, config::RequestKind kind)
{
    return std::max(0.0, std::min(view.weight, view.weightFor[static_cast<std::size_t>(kind)]));
}

std::size_t drawByWeight(std::span<const std::size_t> targets, std::span<const health::TargetView> health,
    config::RequestKind kind, std::mt19937_64& random)
{
    double total = 0;
    for (const auto it : targets)
        total += weightOf(health[it], kind);
    if (total <= 0)
        return targets[std::uniform_int_distribution<std::size_t>(0, targets.size() - 1)(random)];
    auto point = std::uniform_real_distribution<double>(0, total)(random);
    for (const auto it : targets) {
        point -= weightOf(health[it], kind);
        if (point < 0)
            return it;
    }
    return targets.back();
}

} // namespace buckthorncroft::routing::detail
