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

    const prometheus::Histogram::BucketBoundaries& durationBucketBounds()
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
    prometheus::Counter* droppedSeries = nullptr;

    // Returns the series with this name and these labels, and creates it with `makeSeries` on first use. Returns null
    // if it is a new series beyond `maxSeries`.
    template <typename Series, typename Make>
    Series* findOrCreate(
        std::map<SeriesKey, Series*>& seriesMap, const std::string& name, const Labels& labels, Make makeSeries)
    {
        const std::lock_guard lock(mutex);
        SeriesKey key { name, labels };
        const auto it = seriesMap.find(key);
        if (it != seriesMap.end())
            return it->second;
        if (counters.size() + gauges.size() + histograms.size() >= maxSeries) {
            droppedSeries->Increment();
            return nullptr;
        }
        auto* series = makeSeries();
        seriesMap.emplace(std::move(key), series);
        return series;
    }
};

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{
    auto& family
        = prometheus::BuildCounter().Name("buckthorncroft_metric_series_dropped_total").Register(m_state->registry);
    m_state->droppedSeries = &family.Add({});
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string& name, const Labels& labels, double amount)
{
    auto* series = m_state->findOrCreate(m_state->counters, name, labels,
        [&] { return &prometheus::BuildCounter().Name(name).Register(m_state->registry).Add(labels); });
    if (series)
        series->Increment(amount);
}

void Metrics::set(const std::string& name, const Labels& labels, double value)
{
    auto* series = m_state->findOrCreate(m_state->gauges, name, labels,
        [&] { return &prometheus::BuildGauge().Name(name).Register(m_state->registry).Add(labels); });
    if (series)
        series->Set(value);
}

void Metrics::observeSeconds(const std::string& name, const Labels& labels, double seconds)
{
    auto* series = m_state->findOrCreate(m_state->histograms, name, labels, [&] {
        return &prometheus::BuildHistogram().Name(name).Register(m_state->registry).Add(labels, durationBucketBounds());
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
