// Measures the decisions of the product in the simulation and prints docs/MEASUREMENTS.md. Usage: bench-measure [seeds]
// Every figure comes from runs in virtual time with the seeds named in the output, so that it is reproducible.

#include <support/simulation.h>

#include <atomic>
#include <cmath>
#include <cstdlib>
#include <fmt/format.h>
#include <thread>

using namespace buckthorncroft::simulation;

namespace {

constexpr std::uint64_t firstSeed = 20261204;
constexpr unsigned workerThreadCount = 3;

struct Run {
    std::string deployment;
    std::string service;
    double rate = 0; ///< Requests per second, or percent of the capacity if `rateIsPercent`.
    bool rateIsPercent = false;
    double seconds = 60;
    Fault fault;
    Options options;
    unsigned seeds = 1;
};

constexpr double faultAt = 20; // Seconds from the start of the run.

Metrics execute(const Run& run)
{
    Simulation simulation(makeDeployment(run.deployment, { run.service }), run.options);
    simulation.setRate(run.service, run.rateIsPercent ? run.rate / 100 * simulation.capacity(run.service) : run.rate);
    if (run.fault.kind != FaultKind::None)
        simulation.scheduleAt(faultAt, [&] { simulation.setFault(simulation.targetIds(run.service)[2], run.fault); });
    simulation.run(run.seconds);
    return std::move(simulation.metrics);
}

void merge(Metrics& sum, const Metrics& added)
{
    const double seconds = sum.seconds + added.seconds;
    for (const auto field : { &Metrics::requests, &Metrics::goodResponses, &Metrics::notRun, &Metrics::unknown,
             &Metrics::attempts, &Metrics::grantRequests, &Metrics::rejected, &Metrics::duplicateExecutions,
             &Metrics::mismatchedResponses, &Metrics::falseNotRun, &Metrics::lateRequests, &Metrics::floorViolations })
        sum.*field += added.*field;
    sum.latencies.insert(sum.latencies.end(), added.latencies.begin(), added.latencies.end());
    for (const auto& [target, times] : added.detectionTimes)
        sum.detectionTimes[target].insert(sum.detectionTimes[target].end(), times.begin(), times.end());
    // Each minute of a target counts once, so the minutes of different runs must not overlap.
    for (const auto& [target, minute] : added.falseEjections)
        sum.falseEjections.emplace(target, minute + static_cast<long>(std::ceil(sum.seconds / 60)));
    for (const auto& [name, bytes] : added.controlBytes)
        sum.controlBytes[name] += bytes;
    sum.targets = added.targets;
    sum.instances = added.instances;
    sum.seconds = seconds;
}

/// Executes each run with all its seeds and returns the merged metrics of each run in the same order.
std::vector<Metrics> executeAll(const std::vector<Run>& runs)
{
    std::vector<std::pair<std::size_t, std::uint64_t>> jobs;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (unsigned n = 0; n < runs[i].seeds; ++n)
            jobs.emplace_back(i, firstSeed + n);
    }
    std::vector<Metrics> results(jobs.size());
    std::atomic<std::size_t> next { 0 };
    std::vector<std::thread> threads(workerThreadCount);
    for (auto& it : threads) {
        it = std::thread([&] {
            for (std::size_t n = next++; n < jobs.size(); n = next++) {
                auto run = runs[jobs[n].first];
                run.options.seed = jobs[n].second;
                results[n] = execute(run);
            }
        });
    }
    for (auto& it : threads)
        it.join();
    std::vector<Metrics> sums(runs.size());
    for (std::size_t n = 0; n < results.size(); ++n)
        merge(sums[jobs[n].first], results[n]);
    return sums;
}

struct Variant {
    const char* name;
    Options options;
};

std::vector<Variant> variants()
{
    std::vector<Variant> result { { "full", {} }, { "random choice", {} }, { "evidence alone", {} },
        { "no retry budget", {} }, { "no stages", {} } };
    result[1].options.policy = Policy::Random;
    result[2].options.pooling = false;
    result[3].options.retryBudget = false;
    result[4].options.stages = false;
    return result;
}

struct NamedFault {
    const char* name;
    Fault fault;
};

const std::vector<NamedFault> faults { { "slow, 5 times", { FaultKind::Slow, 5 } },
    { "30 % errors", { FaultKind::Errors, 0.3 } }, { "all errors", { FaultKind::Errors, 1 } },
    { "hanging", { FaultKind::Hanging, 1 } }, { "bookings only", { FaultKind::BookingErrors, 1 } },
    { "dead", { FaultKind::Dead, 1 } }, { "flapping, 3 s", { FaultKind::Flapping, 3 } } };

std::string formatSeconds(double value)
{
    return std::isinf(value) ? "not within run" : fmt::format("{:.1f} s", value);
}

void printFaults(
    const std::string& deployment, const std::string& service, double rate, double durationSeconds, unsigned seeds)
{
    std::vector<Run> runs;
    for (const auto& fault : faults) {
        for (const auto& variant : variants())
            runs.push_back({ deployment, service, rate, false, durationSeconds, fault.fault, variant.options,
                // Detection times within one run depend on each other, so the complete product gets more seeds.
                runs.size() % variants().size() == 0 ? 4 * seeds : seeds });
    }
    const auto results = executeAll(runs);
    fmt::print("\n## Faults: {} / {}, {} requests/s, fault at {} s of {} s\n\n", deployment, service, rate, faultAt,
        durationSeconds);
    fmt::print("| fault | variant | detection p50 | p99 | false ejections | goodput | latency p50 | p99 | attempts per "
               "request | not run | unknown | doubled | wrong | floor violations | control B/s |\n|{}\n",
        "---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (std::size_t i = 0; i < results.size(); ++i) {
        const auto& it = results[i];
        fmt::print(
            "| {} | {} | {} | {} | {} | {:.4f} | {:.0f} ms | {:.0f} ms | {:.3f} | {} | {} | {} | {} | {} | {:.0f} |\n",
            faults[i / variants().size()].name, variants()[i % variants().size()].name,
            formatSeconds(it.detectionTime(0.5)), formatSeconds(it.detectionTime(0.99)), it.falseEjections.size(),
            it.goodput(), it.latency(0.5), it.latency(0.99), it.attemptsPerRequest(), it.notRun, it.unknown,
            it.duplicateExecutions, it.mismatchedResponses, it.floorViolations, it.controlBytesPerSecond());
    }
}

void printFalseEjections(unsigned seeds)
{
    constexpr double durationSeconds = 3600;
    const std::vector<Run> runs { { "sprungfloor", "bookdesk", 60, false, durationSeconds, {}, {}, seeds },
        { "sprungfloor", "stockboard", 60, false, durationSeconds, {}, {}, seeds },
        { "cymoedd", "hire", 4, false, durationSeconds, {}, {}, seeds },
        { "cymoedd", "hire", 40, false, durationSeconds, {}, {}, seeds },
        { "cymoedd", "calib", 4, false, durationSeconds, {}, {}, seeds } };
    const auto results = executeAll(runs);
    fmt::print("\n## False ejections without a fault\n\nThe bound is the 95 % upper limit (Poisson) for the observed "
               "number.\n\n| deployment | service | requests/s | target-days | false ejections | per 100 target-days | "
               "bound per 100 target-days | goodput | control B/s |\n|---|---|---|---|---|---|---|---|---|\n");
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const auto& it = results[i];
        const double targetDays = it.seconds * it.targets / 86400;
        const auto n = double(it.falseEjections.size());
        // Wilson-Hilferty approximation of the upper Poisson limit; the exact limit for zero events is 3.0.
        const double upperLimit
            = n == 0 ? 3.0 : (n + 1) * std::pow(1 - 1 / (9 * (n + 1)) + 1.645 / (3 * std::sqrt(n + 1)), 3);
        fmt::print("| {} | {} | {} | {:.2f} | {} | {:.0f} | {:.0f} | {:.4f} | {:.0f} |\n", runs[i].deployment,
            runs[i].service, runs[i].rate, targetDays, n, n / targetDays * 100, upperLimit / targetDays * 100,
            it.goodput(), it.controlBytesPerSecond());
    }
}

void printPlacement(unsigned seeds)
{
    const std::vector<std::pair<const char*, Policy>> policies { { "random", Policy::Random },
        { "two choices", Policy::TwoChoices }, { "placement point", Policy::Placement },
        { "perfect knowledge", Policy::Perfect } };
    const std::vector<double> loads { 50, 70, 85 };
    std::vector<Run> runs;
    for (const auto load : loads) {
        for (const auto& [name, policy] : policies) {
            Options options;
            options.policy = policy;
            runs.push_back({ "sprungfloor", "bookdesk", load, true, 30, {}, options, seeds });
        }
    }
    const auto results = executeAll(runs);
    fmt::print("\n## Placement: sprungfloor / bookdesk, no fault\n\n| load | policy | latency p50 | p99 | p99 against "
               "perfect knowledge | asked the point | attempts per request | goodput | false ejections |\n"
               "|---|---|---|---|---|---|---|---|---|\n");
    for (std::size_t i = 0; i < results.size(); ++i) {
        const auto& it = results[i];
        const auto& perfect = results[i / policies.size() * policies.size() + policies.size() - 1];
        fmt::print("| {} % | {} | {:.0f} ms | {:.0f} ms | {:+.0f} % | {:.0f} % | {:.3f} | {:.4f} | {} |\n",
            loads[i / policies.size()], policies[i % policies.size()].first, it.latency(0.5), it.latency(0.99),
            (it.latency(0.99) / perfect.latency(0.99) - 1) * 100, 100 * double(it.grantRequests) / double(it.requests),
            it.attemptsPerRequest(), it.goodput(), it.falseEjections.size());
    }
}

} // namespace

int main(int argc, char** argv)
{
    const auto seeds = argc > 1 ? static_cast<unsigned>(std::max(1, std::atoi(argv[1]))) : 3;
    fmt::print("# Measurements\n\nMade by `scripts/measure.sh {}` with seeds {} to {}. Decision objects of the product "
               "on fake instances (40), targets (3 slots, log-normal service time with a mean of 50 ms) and links in "
               "virtual time. Detection is counted per instance, until it ejects or avoids the target (for bookings "
               "only: until it moves bookings away). Control bytes are estimates from message contents, for the "
               "instance that sends most. Variants turn one part off. Instances of one run detect together, so that "
               "small differences between rows "
               "may be chance. Fault "
               "rows of the full product use {} seeds, the others {}.\n",
        seeds, firstSeed, firstSeed + std::uint64_t { 4 } * seeds - 1, 4 * seeds, seeds);
    printPlacement(seeds);
    printFaults("sprungfloor", "bookdesk", 60, 45, seeds);
    printFaults("cymoedd", "hire", 4, 120, seeds);
    printFalseEjections(seeds);
    return 0;
}
