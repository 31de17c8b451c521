#include <buckthorncroft/observe/metrics.h>

#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace buckthorncroft::observe {

namespace {

    constexpr std::size_t maxSeries = 20'000;

    const prometheus::Histogram::BucketBoundaries& latencyBounds()
    {
        static const prometheus::Histogram::BucketBoundaries bounds { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
            0.5, 1, 2, 5, 10, 30, 60 };
        return bounds;
    }

} // namespace

struct Metrics::State {
    using SeriesKey = std::pair<std::string, Labels>;

    prometheus::Registry registry;
    mutable std::mutex mutex;
    std::map<SeriesKey, prometheus::Counter*> counters;
    std::map<SeriesKey, prometheus::Gauge*> gauges;
    std::map<SeriesKey, prometheus::Histogram*> histograms;
    prometheus::Counter* dropped = nullptr;

    // Returns the series, making it with `make` on first use; nothing when the bound on series is reached.
    template <typename Series, typename Make>
    Series* find(std::map<SeriesKey, Series*>& known, const std::string& name, const Labels& labels, Make make)
    {
        const std::lock_guard lock(mutex);
        SeriesKey key { name, labels };
        const auto it = known.find(key);
        if (it != known.end())
            return it->second;
        if (counters.size() + gauges.size() + histograms.size() >= maxSeries) {
            dropped->Increment();
            return nullptr;
        }
        auto* series = make();
        known.emplace(std::move(key), series);
        return series;
    }
};

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{
    auto& family
        = prometheus::BuildCounter().Name("buckthorncroft_metric_series_dropped_total").Register(m_state->registry);
    m_state->dropped = &family.Add({});
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string& name, const Labels& labels, double amount)
{
    auto* series = m_state->find(m_state->counters, name, labels,
        [&] { return &prometheus::BuildCounter().Name(name).Register(m_state->registry).Add(labels); });
    if (series)
        series->Increment(amount);
}

void Metrics::set(const std::string& name, const Labels& labels, double value)
{
    auto* series = m_state->find(m_state->gauges, name, labels,
        [&] { return &prometheus::BuildGauge().Name(name).Register(m_state->registry).Add(labels); });
    if (series)
        series->Set(value);
}

void Metrics::observeSeconds(const std::string& name, const Labels& labels, double seconds)
{
    auto* series = m_state->find(m_state->histograms, name, labels, [&] {
        return &prometheus::BuildHistogram().Name(name).Register(m_state->registry).Add(labels, latencyBounds());
    });
    if (series)
        series->Observe(seconds);
}

std::string Metrics::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, m_state->registry.Collect());
    return out.str();
}

} // namespace buckthorncroft::observe
