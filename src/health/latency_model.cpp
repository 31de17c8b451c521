#include <buckthorncroft/health/latency_model.h>

#include <algorithm>
#include <cmath>

namespace buckthorncroft::health {

namespace {

    // Distance between the median and a quartile of a normal distribution, in standard deviations.
    constexpr double quartileDeviations = 0.6745;

    double quantile(std::vector<double>& values, double q)
    {
        const auto n = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + n, values.end());
        return values[static_cast<std::size_t>(n)];
    }

} // namespace

LatencyModel::LatencyModel(const Settings& settings)
    : m_settings(settings)
{
}

void LatencyModel::add(std::size_t target, Duration latency)
{
    ++m_newSamples;
    const Sample sample { target, std::log(std::max<double>(1, static_cast<double>(latency.count()))) };
    if (m_samples.size() < m_settings.maxLatencySamples) {
        m_samples.push_back(sample);
        return;
    }
    m_samples[m_nextSample] = sample;
    m_nextSample = (m_nextSample + 1) % m_samples.size();
}

void LatencyModel::updateLimits(std::size_t targets)
{
    // A few new samples hardly change the quantiles, and computing them is the most expensive part of a tick.
    constexpr std::size_t minNewSamples = 8;
    if (m_newSamples < minNewSamples && m_limits.size() == targets)
        return;
    m_newSamples = 0;
    m_limits.resize(targets);
    for (std::size_t it = 0; it < targets; ++it)
        m_limits[it] = limitFromOthers(it);
}

void LatencyModel::clear()
{
    m_samples.clear();
    m_nextSample = 0;
    m_limits.clear();
}

std::optional<Duration> LatencyModel::slowLimit(std::size_t target) const
{
    return target < m_limits.size() ? m_limits[target] : std::nullopt;
}

std::optional<Duration> LatencyModel::limitFromOthers(std::size_t target)
{
    m_scratch.clear();
    for (const auto& it : m_samples)
        if (it.target != target)
            m_scratch.push_back(it.logMicroseconds);
    if (m_scratch.size() < m_settings.minLatencySamples)
        return std::nullopt;
    const double median = quantile(m_scratch, 0.5);
    // Uses the wider side, because the lower bound of the latency compresses the left side of the distribution.
    const double spread = std::max(quantile(m_scratch, 0.75) - median, median - quantile(m_scratch, 0.25));
    const double margin = std::max(
        m_settings.slowLimitDeviations * spread / quartileDeviations, std::log(m_settings.minSlowLimitFactor));
    // exp(22) us is about an hour; larger limits have no effect, and larger exponents would overflow.
    constexpr double maxLog = 22;
    return Duration(static_cast<Duration::rep>(std::exp(std::min(median + margin, maxLog))));
}

} // namespace buckthorncroft::health
