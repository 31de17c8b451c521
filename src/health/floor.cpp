#include <buckthorncroft/health/floor.h>

#include <algorithm>
#include <cmath>

namespace buckthorncroft::health {

namespace {

    // A float holds scores of this size to better than this step, so rounding makes both ends agree.
    constexpr double scoreStep = 0.01;

    long long steps(double score)
    {
        return std::llround(score / scoreStep);
    }

} // namespace

void sortWorstFirst(std::vector<FloorCandidate>& candidates)
{
    std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
        return steps(a.score) != steps(b.score) ? steps(a.score) > steps(b.score) : a.target < b.target;
    });
}

std::size_t allowedOut(std::size_t available, std::size_t floor)
{
    return available > floor ? available - floor : 0;
}

} // namespace buckthorncroft::health
