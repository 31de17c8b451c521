#include <buckthorncroft/routing/router.h>

#include "candidates.h"

#include <algorithm>
#include <map>

namespace buckthorncroft::routing {

namespace {

    using std::chrono::microseconds;
    using namespace std::chrono_literals;

    // Additional latency that is accepted to keep a request in its own zone, because cross-zone links cost money. Their
    // delay, 4 to 5 ms one way, is already contained in the measured latency.
    constexpr microseconds crossZonePenalty = 5ms;

    // Assumed while the latency of no target is known.
    constexpr microseconds defaultLatency = 50ms;

    Decision makeDecision(std::size_t chosen, bool trial, std::vector<Rejection> rejections, Rejection others)
    {
        Decision result { chosen, trial, std::move(rejections) };
        for (std::size_t i = 0; i < result.rejections.size(); ++i) {
            if (i == chosen)
                result.rejections[i] = Rejection::None;
            else if (result.rejections[i] == Rejection::None)
                result.rejections[i] = others;
        }
        return result;
    }

    /// The common part of all routers: sends some requests to targets on trial, and lets the policy pick one of the
    /// candidates for the others.
    class CandidateRouter : public Router {
    public:
        Decision choose(const PlacementRequest& request, const config::Service& service,
            std::span<const health::TargetView> health, std::span<const TargetLoad> load,
            std::mt19937_64& random) const final
        {
            auto candidates = detail::findCandidates(request, service, health, load);
            if (const auto trial = detail::chooseTrialTarget(request, service, health, load, random))
                return makeDecision(*trial, true, std::move(candidates.rejections), Rejection::NotSampled);
            if (candidates.targets.empty())
                return { std::nullopt, false, std::move(candidates.rejections) };
            const auto chosen = pickTarget(candidates, request.kind, service, health, load, random);
            return makeDecision(chosen, health[chosen].stage == health::Stage::Trial, std::move(candidates.rejections),
                Rejection::NotSampled);
        }

    private:
        /// Returns one of `candidates.targets`, which must not be empty. May set the rejections of the other
        /// candidates.
        virtual std::size_t pickTarget(detail::Candidates& candidates, config::RequestKind kind,
            const config::Service& service, std::span<const health::TargetView> health,
            std::span<const TargetLoad> load, std::mt19937_64& random) const = 0;
    };

    class RandomRouter final : public CandidateRouter {
    private:
        std::size_t pickTarget(detail::Candidates& candidates, config::RequestKind kind,
            const config::Service& /*service*/, std::span<const health::TargetView> health,
            std::span<const TargetLoad> /*load*/, std::mt19937_64& random) const override
        {
            return detail::drawByWeight(candidates.targets, health, kind, random);
        }
    };

    class TwoChoicesRouter final : public CandidateRouter {
    public:
        explicit TwoChoicesRouter(std::string ownZone)
            : m_ownZone(std::move(ownZone))
        {
        }

    private:
        /// Splits the candidates by zone, draws a sample, sets the rejections of the other candidates and returns the
        /// one with the lowest expected latency.
        std::size_t pickTarget(detail::Candidates& candidates, config::RequestKind kind, const config::Service& service,
            std::span<const health::TargetView> health, std::span<const TargetLoad> load,
            std::mt19937_64& random) const override
        {
            std::vector<std::size_t> own;
            std::vector<std::size_t> other;
            for (const auto it : candidates.targets)
                (service.targets[it].zone == m_ownZone ? own : other).push_back(it);
            const bool preferOwn
                = std::bernoulli_distribution(ownZoneProbability(candidates.targets, service, health, kind))(random);
            const auto& preferred = !own.empty() && (preferOwn || other.empty()) ? own : other;
            auto sample = drawTwo(preferred, health, kind, random);
            // If this instance already has attempts in flight at all sampled targets of its zone, a target of another
            // zone is compared with them.
            if (&preferred == &own && !other.empty()
                && std::all_of(sample.begin(), sample.end(), [&](std::size_t it) { return load[it].inFlight > 0; }))
                sample.push_back(detail::drawByWeight(other, health, kind, random));
            if (&preferred == &own) {
                for (const auto it : other)
                    candidates.rejections[it] = Rejection::OtherZone;
            }
            const auto typical = typicalLatency(candidates.targets, load);
            const auto cost = [&](std::size_t it) { return expectedLatency(service.targets[it], load[it], typical); };
            const auto winner = *std::min_element(
                sample.begin(), sample.end(), [&](std::size_t a, std::size_t b) { return cost(a) < cost(b); });
            for (const auto it : sample) {
                if (it != winner)
                    candidates.rejections[it] = Rejection::MoreLoaded;
            }
            return winner;
        }

        /// Returns the fraction of requests that the targets of the own zone can take without being loaded more than
        /// those of other zones, if the instances of all zones receive equally many requests.
        double ownZoneProbability(std::span<const std::size_t> targets, const config::Service& service,
            std::span<const health::TargetView> health, config::RequestKind kind) const
        {
            std::map<std::string, double> capacity;
            double total = 0;
            // Instances in zones without a usable target still send requests, so all configured zones are counted.
            for (const auto& it : service.targets)
                capacity.emplace(it.zone, 0);
            for (const auto it : targets) {
                const auto slots = service.targets[it].slots * detail::weightOf(health[it], kind);
                capacity[service.targets[it].zone] += slots;
                total += slots;
            }
            const auto own = capacity.find(m_ownZone);
            if (own == capacity.end() || total <= 0)
                return 0;
            return std::min(1.0, own->second * static_cast<double>(capacity.size()) / total);
        }

        static std::vector<std::size_t> drawTwo(std::span<const std::size_t> targets,
            std::span<const health::TargetView> health, config::RequestKind kind, std::mt19937_64& random)
        {
            std::vector<std::size_t> result { detail::drawByWeight(targets, health, kind, random) };
            std::vector<std::size_t> rest;
            for (const auto it : targets) {
                if (it != result.front())
                    rest.push_back(it);
            }
            if (!rest.empty())
                result.push_back(detail::drawByWeight(rest, health, kind, random));
            return result;
        }

        static microseconds typicalLatency(std::span<const std::size_t> targets, std::span<const TargetLoad> load)
        {
            microseconds sum { 0 };
            int knownLatencies = 0;
            for (const auto it : targets) {
                sum += load[it].typicalLatency;
                knownLatencies += load[it].typicalLatency > 0us;
            }
            return knownLatencies ? sum / knownLatencies : defaultLatency;
        }

        /// Expected latency of one more attempt. The in-flight attempts of this instance represent the load of all
        /// instances.
        microseconds expectedLatency(const config::Target& target, const TargetLoad& load, microseconds typical) const
        {
            const auto latency = load.typicalLatency > 0us ? load.typicalLatency : typical;
            const auto expected = latency + latency * load.inFlight / std::max(1u, target.slots);
            return target.zone == m_ownZone ? expected : expected + crossZonePenalty;
        }

        std::string m_ownZone;
    };

} // namespace

const char* toString(Rejection rejection)
{
    switch (rejection) {
    case Rejection::None:
        return "none";
    case Rejection::Draining:
        return "draining";
    case Rejection::Ejected:
        return "ejected";
    case Rejection::Suspect:
        return "suspect";
    case Rejection::LocallyAvoided:
        return "locally_avoided";
    case Rejection::Excluded:
        return "excluded";
    case Rejection::NoSlot:
        return "no_slot";
    case Rejection::NoConnection:
        return "no_connection";
    case Rejection::OtherZone:
        return "other_zone";
    case Rejection::NotSampled:
        return "not_sampled";
    case Rejection::MoreLoaded:
        return "more_loaded";
    case Rejection::OnTrial:
        return "on_trial";
    }
    return "unknown";
}

std::unique_ptr<Router> makeRandomRouter(const std::string&)
{
    return std::make_unique<RandomRouter>();
}

std::unique_ptr<Router> makeTwoChoicesRouter(const std::string& ownZone)
{
    return std::make_unique<TwoChoicesRouter>(ownZone);
}

} // namespace buckthorncroft::routing
