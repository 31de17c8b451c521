// Measures detection times and false ejections of the health package in virtual time, with fixed seeds.
// Usage: bench-health_detection [detect|pooled|false|all] [trials] [days] [load index from 0] [seed of mode false]
#include "health_fleet.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>

using namespace buckthorncroft;

namespace {

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto n = std::min(values.size() - 1, static_cast<std::size_t>(q * static_cast<double>(values.size())));
    return values[n];
}

struct Case {
    const char* name;
    bench::Fault fault;
};

struct Load {
    const char* name;
    bench::Setup setup;
};

std::string formatQuantile(const std::vector<double>& values, double q, double limit)
{
    const double value = quantile(values, q);
    return value >= limit ? fmt::format(">{:.0f}", limit) : fmt::format("{:.2f}", value);
}

void measureDetection(const Load& load, unsigned trials, bool includeUnpooled)
{
    constexpr double limit = 60;
    const Case cases[] = { { "hanging", bench::Fault::Hanging }, { "failing", bench::Fault::Failing },
        { "slow 5x", bench::Fault::Slow }, { "30 % bad", bench::Fault::PartialErrors } };
    for (const auto& it : cases)
        for (const bool pooled : { true, false }) {
            if (!pooled && !includeUnpooled)
                continue;
            std::vector<double> suspected;
            std::vector<double> ejected;
            std::vector<double> lastRequests;
            unsigned falseEjections = 0;
            // Without pooling, each instance is an independent sample, so fewer trials give as many samples.
            // At high request rates the trials differ little and take longer.
            const bool useFewerTrials = !pooled || load.setup.rate > 100;
            const unsigned n = useFewerTrials ? std::max(1U, trials / 10) : trials;
            for (unsigned seed = 1; seed <= n; ++seed) {
                auto setup = load.setup;
                setup.pooled = pooled;
                bench::Fleet fleet(setup, seed);
                const auto result = fleet.detect(it.fault, limit);
                suspected.insert(suspected.end(), result.suspected.begin(), result.suspected.end());
                ejected.insert(ejected.end(), result.ejected.begin(), result.ejected.end());
                lastRequests.push_back(result.lastRequestAt);
                falseEjections += result.falseEjections;
            }
            fmt::print("{:<26} {:<9} {:<7} suspect p50 {:>6} p99 {:>6}  ejected p50 {:>6} p99 {:>6}  "
                       "last request p99 {:>6}  false {}\n",
                load.name, it.name, pooled ? "pooled" : "alone", formatQuantile(suspected, 0.5, limit),
                formatQuantile(suspected, 0.99, limit), formatQuantile(ejected, 0.5, limit),
                formatQuantile(ejected, 0.99, limit), formatQuantile(lastRequests, 0.99, limit), falseEjections);
            std::fflush(stdout);
        }
}

void measureFalseEjections(const Load& load, double days, unsigned seed)
{
    auto setup = load.setup;
    setup.fullInstanceCount = 1;
    setup.hasDisturbances = true;
    bench::Fleet fleet(setup, seed);
    const auto n = fleet.runHealthy(days * 86400);
    const double targetDays = days * setup.targets;
    fmt::print("{:<26} bias {:.1f}  {:.1f} target-days  false ejections {}  ({:.3f} per target-day)  suspicions {}  "
               "held back {}\n",
        load.name, setup.bias, targetDays, n.ejections, n.ejections / targetDays, n.suspicions, n.heldByFloor);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    const std::string mode = argc > 1 ? argv[1] : "all";
    const unsigned trials = argc > 2 ? static_cast<unsigned>(std::atoi(argv[2])) : 50;
    const double days = argc > 3 ? std::atof(argv[3]) : 1;
    const Load sprungLow { "13 targets, 60/s in all", { .targets = 13, .instances = 40, .rate = 60, .bias = 1 } };
    const Load sprungHigh { "13 targets, 60/s each", { .targets = 13, .instances = 40, .rate = 780, .bias = 1 } };
    const Load cymoedd { "7 targets, 4/s in all", { .targets = 7, .instances = 32, .rate = 4, .bias = 0.1 } };
    const Load cymoeddBusy { "11 targets, 60/s in all", { .targets = 11, .instances = 32, .rate = 60, .bias = 0.1 } };
    const Load loads[] = { sprungLow, sprungHigh, cymoedd, cymoeddBusy };
    const int onlyLoad = argc > 4 ? std::atoi(argv[4]) : -1;
    const unsigned seed = argc > 5 ? static_cast<unsigned>(std::atoi(argv[5])) : 7;
    for (int it = 0; it < 4; ++it) {
        if (onlyLoad >= 0 && onlyLoad != it)
            continue;
        if (mode != "false" && it < 3)
            measureDetection(loads[it], trials, mode != "pooled");
        if (mode != "detect" && mode != "pooled" && it != 1)
            measureFalseEjections(loads[it], days, seed);
    }
}
