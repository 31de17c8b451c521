#include <buckthorncroft/health/floor.h>

#include <algorithm>
#include <cmath>

namespace buckthorncroft::health {

namespace {

    // 32-bit floats represent scores more precisely than this step, so rounded scores are the same on all instances.
    constexpr double scoreStep = 0.01;

    long long toSteps(double score)
    {
        return std::llround(score / scoreStep);
    }

} // namespace

void sortWorstFirst(std::vector<EjectionCandidate>& candidates)
{
    std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
        return toSteps(a.score) != toSteps(b.score) ? toSteps(a.score) > toSteps(b.score) : a.target < b.target;
    });
}

std::size_t maxOutOfService(std::size_t available, std::size_t floor)
{
    return available > floor ? available - floor : 0;
}

} // namespace buckthorncroft::health
