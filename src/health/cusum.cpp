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

    void Cusum::scale(double factor)
    {
        partly *= factor;
        hard *= factor;
    }

} // namespace detail

} // namespace buckthorncroft::health
