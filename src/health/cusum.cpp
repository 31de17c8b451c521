#include <buckthorncroft/health/cusum.h>
#include <buckthorncroft/health/settings.h>

#include <algorithm>
#include <cmath>

namespace buckthorncroft::health {

double ejectScore(const Settings& settings, double bias)
{
    const double b = std::clamp(bias, 0.0, 1.0);
    return settings.ejectScoreSure + b * (settings.ejectScoreFast - settings.ejectScoreSure);
}

namespace detail {

    Ratios ratios(double alternative, double baseline)
    {
        // A hypothesis close to the baseline separates nothing; its ratios would only add noise.
        constexpr double minDistance = 0.05;
        if (alternative < baseline + minDistance)
            return {};
        return { std::log(alternative / baseline), std::log((1 - alternative) / (1 - baseline)) };
    }

    double contrast(const FadingCounts& target, const FadingCounts& others)
    {
        if (target.total <= 0 || others.total <= 0
            || target.slowOrBad * others.total <= others.slowOrBad * target.total)
            return 0;
        // Log-likelihood of the counts under the bad share that fits them best.
        const auto fit = [](double slowOrBad, double total) {
            const auto part = [total](double n) { return n > 0 ? n * std::log(n / total) : 0; };
            return part(slowOrBad) + part(total - slowOrBad);
        };
        return fit(target.slowOrBad, target.total) + fit(others.slowOrBad, others.total)
            - fit(target.slowOrBad + others.slowOrBad, target.total + others.total);
    }

    void Cusum::scale(double factor)
    {
        partly *= factor;
        hard *= factor;
    }

} // namespace detail

} // namespace buckthorncroft::health
