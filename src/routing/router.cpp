#include <buckthorncroft/routing/router.h>

#include "candidates.h"

#include <algorithm>
#include <map>

namespace buckthorncroft::routing {

namespace {

    using std::chrono::microseconds;
    using namespace std::chrono_literals;

    // A link between zones costs 4 to 5 ms one way, which the measured latency already contains, and money; this much
    // expected time is accepted to keep a request in its own zone.
    constexpr microseconds otherZonePenalty = 5ms;

    // Assumed for targets of which no latency is known yet, when it is known of no other target either.
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

    /// What all routers share: trials first, then one of the candidates, which the policy picks.
    class CandidateRouter : public Router {
    public:
        Decision choose(const PlacementRequest& request, const config::Service& service,
            std::span<const health::TargetView> health, std::span<const TargetLoad> load,
            std::mt19937_64& random) const final
        {
            auto candidates = detail::findCandidates(request, service, health, load);
            if (const auto trial = detail::chooseTrial(request, service, health, load, random))
                return makeDecision(*trial, true, std::move(candidates.rejections), Rejection::NotSampled);
            if (candidates.targets.empty())
                return { std::nullopt, false, std::move(candidates.rejections) };
            const auto chosen = pick(candidates, request.kind, service, health, load, random);
            return makeDecision(chosen, health[chosen].stage == health::Stage::Trial, std::move(candidates.rejections),
                Rejection::NotSampled);
        }

    private:
        /// Returns one of `candidates.targets`, which are not empty; may mark why others lost.
        virtual std::size_t pick(detail::Candidates& candidates, config::RequestKind kind,
            const config::Service& service, std::span<const health::TargetView> health,
            std::span<const TargetLoad> load, std::mt19937_64& random) const = 0;
    };

    class RandomRouter final : public CandidateRouter {
    private:
        std::size_t pick(detail::Candidates& candidates, config::RequestKind kind, const config::Service& /*service*/,
            std::span<const health::TargetView> health, std::span<const TargetLoad> /*load*/,
            std::mt19937_64& random) const override
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
        /// Splits the candidates by zone, draws two, and marks the losers. Returns the winner.
        std::size_t pick(detail::Candidates& candidates, config::RequestKind kind, const config::Service& service,
            std::span<const health::TargetView> health, std::span<const TargetLoad> load,
            std::mt19937_64& random) const override
        {
            std::vector<std::size_t> own;
            std::vector<std::size_t> other;
            for (const auto it : candidates.targets)
                (service.targets[it].zone == m_ownZone ? own : other).push_back(it);
            const bool preferOwn
                = std::bernoulli_distribution(ownZoneShare(candidates.targets, service, health, kind))(random);
            const auto& first = !own.empty() && (preferOwn || other.empty()) ? own : other;
            auto sample = drawTwo(first, health, kind, random);
            // An own zone in which this instance already has work running is compared with another zone.
            if (&first == &own && !other.empty()
                && std::all_of(sample.begin(), sample.end(), [&](std::size_t it) { return load[it].inFlight > 0; }))
                sample.push_back(detail::drawByWeight(other, health, kind, random));
            if (&first == &own) {
                for (const auto it : other)
                    candidates.rejections[it] = Rejection::OtherZone;
            }
            const auto typical = typicalLatency(candidates.targets, load);
            const auto cost = [&](std::size_t it) { return expectedTime(service.targets[it], load[it], typical); };
            const auto winner = *std::min_element(
                sample.begin(), sample.end(), [&](std::size_t a, std::size_t b) { return cost(a) < cost(b); });
            for (const auto it : sample) {
                if (it != winner)
                    candidates.rejections[it] = Rejection::MoreLoaded;
            }
            return winner;
        }

        /// The share of requests that the own zone's targets can take without more load than those of other zones, if
        /// every zone's instances receive equally many requests.
        double ownZoneShare(std::span<const std::size_t> targets, const config::Service& service,
            std::span<const health::TargetView> health, config::RequestKind kind) const
        {
            std::map<std::string, double> capacity;
            double total = 0;
            // Zones without a usable target still send requests, so all configured zones are counted.
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
            int known = 0;
            for (const auto it : targets) {
                sum += load[it].typicalLatency;
                known += load[it].typicalLatency > 0us;
            }
            return known ? sum / known : defaultLatency;
        }

        /// Expected time of one more attempt, in which running attempts of this instance stand for the load of all.
        microseconds expectedTime(const config::Target& target, const TargetLoad& load, microseconds typical) const
        {
            const auto latency = load.typicalLatency > 0us ? load.typicalLatency : typical;
            const auto loaded = latency + latency * load.inFlight / std::max(1u, target.slots);
            return target.zone == m_ownZone ? loaded : loaded + otherZonePenalty;
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
