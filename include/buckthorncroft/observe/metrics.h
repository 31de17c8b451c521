#pragma once

#include <map>
#include <memory>
#include <string>

namespace buckthorncroft::observe {

/// Label names and values of a metric. Values must come from bounded sets, such as services, targets, request kinds,
/// outcomes, stages and reasons.
using Labels = std::map<std::string, std::string>;

/// Counters, gauges and histograms of one process, exported in the Prometheus text format. Safe for concurrent use.
///
/// Metric names include the unit, for example `buckthorncroft_request_seconds`. A process holds a limited number of
/// series. Values of further series are discarded, and `buckthorncroft_metric_series_dropped_total` counts them, so
/// that a label with too many values cannot exhaust memory.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /// Adds `amount` to a counter, whose name ends in `_total`.
    void count(const std::string& name, const Labels& labels = {}, double amount = 1);

    /// Sets a gauge to `value`.
    void set(const std::string& name, const Labels& labels, double value);

    /// Records a duration in a histogram with bucket bounds from 1 ms to 60 s.
    void observeSeconds(const std::string& name, const Labels& labels, double seconds);

    /// Returns all series in the Prometheus text format.
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace buckthorncroft::observe
