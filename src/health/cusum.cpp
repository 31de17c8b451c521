#include <buckthorncroft/health/cusum.h>
#include <buckthorncroft/health/settings.h>

#include <algorithm>
#include <cmath>

namespace buckthorncroft::health {

double ejectScore(const Settings& settings, double bias)
{
    const double b = std::clamp(bias, 0.0, 1.0);
    return settings.ejectScoreAtBias0 + b * (settings.ejectScoreAtBias1 - settings.ejectScoreAtBias0);
}

namespace detail {

    LogLikelihoodRatios logLikelihoodRatios(double alternative, double baseline)
    {
        // A hypothesis close to the baseline doesn't separate healthy from failing targets; it would only add noise.
        constexpr double minDistance = 0.05;
        if (alternative < baseline + minDistance)
            return {};
        return { std::log(alternative / baseline), std::log((1 - alternative) / (1 - baseline)) };
    }

    double logLikelihoodRatioToOthers(const DecayedCounts& target, const DecayedCounts& others)
    {
        if (target.total <= 0 || others.total <= 0
            || target.slowOrBad * others.total <= others.slowOrBad * target.total)
            return 0;
        // Log-likelihood of the counts under their maximum-likelihood fraction of slow or bad attempts.
        const auto maxLogLikelihood = [](double slowOrBad, double total) {
            const auto term = [total](double n) { return n > 0 ? n * std::log(n / total) : 0; };
            return term(slowOrBad) + term(total - slowOrBad);
        };
        return maxLogLikelihood(target.slowOrBad, target.total) + maxLogLikelihood(others.slowOrBad, others.total)
            - maxLogLikelihood(target.slowOrBad + others.slowOrBad, target.total + others.total);
    }

    void Cusum::scale(double factor)
    {
        partialFailure *= factor;
        completeFailure *= factor;
    }

} // namespace detail

} // namespace buckthorncroft::health
