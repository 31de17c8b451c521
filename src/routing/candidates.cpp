#include "candidates.h"

#include <algorithm>
#include <array>

namespace buckthorncroft::routing::detail {

namespace {

    // Fraction of the first attempts of idempotent requests that become trials, over all targets on trial. Each trial
    // needs a second attempt from the retry budget (10 %), most of which must stay available for retries.
    constexpr double trialProbability = 0.05;

    bool hasFreeSlot(const config::Target& target, const TargetLoad& load)
    {
        return load.inFlight < target.slots;
    }

    // An idle connection can be reused, or closed so that a new one can be opened.
    bool hasFreeConnection(const TargetLoad& load)
    {
        return load.connections < load.connectionShare || load.inFlight < load.connections;
    }

    // Idempotent requests still go to a suspect target, at its reduced weight. Without them there would be no evidence,
    // and a target that fails all requests would stay Suspect instead of being ejected.
    bool isSuspect(const PlacementRequest& request, const health::TargetView& view)
    {
        return request.kind != config::RequestKind::Idempotent
            && (view.stage == health::Stage::Suspect || view.suspectFor[static_cast<std::size_t>(request.kind)]);
    }

    Rejection findRejection(const PlacementRequest& request, std::size_t index, const config::Target& target,
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
        if (!hasFreeSlot(target, load))
            return Rejection::NoSlot;
        if (!hasFreeConnection(load))
            return Rejection::NoConnection;
        if (view.avoidLocally)
            return Rejection::LocallyAvoided;
        if (isSuspect(request, view))
            return Rejection::Suspect;
        return Rejection::None;
    }

    // Moves the targets that were rejected for `reason` to the candidates, if they have a free slot and a connection.
    void readmitRejected(
        Candidates& candidates, Rejection reason, const config::Service& service, std::span<const TargetLoad> load)
    {
        for (std::size_t i = 0; i < candidates.rejections.size(); ++i) {
            if (candidates.rejections[i] != reason || !hasFreeSlot(service.targets[i], load[i])
                || !hasFreeConnection(load[i]))
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
    bool anyInService = false;
    for (std::size_t i = 0; i < service.targets.size(); ++i) {
        const auto reason = findRejection(request, i, service.targets[i], health[i], load[i]);
        result.rejections.push_back(reason);
        if (reason == Rejection::None)
            result.targets.push_back(i);
        anyInService = anyInService
            || (reason != Rejection::Draining && reason != Rejection::Ejected && reason != Rejection::OnTrial);
    }
    // Suspect targets count as capacity, and an avoided path may work again.
    for (const auto reason : { Rejection::Suspect, Rejection::LocallyAvoided }) {
        if (result.targets.empty())
            readmitRejected(result, reason, service, load);
    }
    // Targets on trial and ejected targets are used only if no other target is in service, because an attempt at an
    // unhealthy target is better than none. While a target is in service but has no free slot, or was already tried,
    // the request does not go to an ejected target.
    for (const auto reason : { Rejection::OnTrial, Rejection::Ejected }) {
        if (result.targets.empty() && !anyInService)
            readmitRejected(result, reason, service, load);
    }
    return result;
}

std::optional<std::size_t> chooseTrialTarget(const PlacementRequest& request, const config::Service& service,
    std::span<const health::TargetView> health, std::span<const TargetLoad> load, std::mt19937_64& random)
{
    if (request.kind != config::RequestKind::Idempotent || !request.firstAttempt)
        return std::nullopt;
    std::vector<std::size_t> onTrial;
    for (std::size_t i = 0; i < service.targets.size(); ++i) {
        const auto& view = health[i];
        if (view.stage == health::Stage::Trial && !view.draining && !service.targets[i].draining && !view.avoidLocally
            && load[i].inFlight == 0 && hasFreeConnection(load[i]))
            onTrial.push_back(i);
    }
    if (onTrial.empty() || !std::bernoulli_distribution(trialProbability)(random))
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
