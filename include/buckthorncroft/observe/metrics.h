#pragma once

#include <map>
#include <memory>
#include <string>

namespace buckthorncroft::observe {

/// Labels of a metric. Values must come from bounded sets: services, targets, kinds, outcomes, stages, reasons.
using Labels = std::map<std::string, std::string>;

/// Counters, gauges and histograms of one process, in the Prometheus text format. Safe for concurrent use.
///
/// Names carry their unit, for example `buckthorncroft_request_seconds`. Series beyond a bound per process are counted
/// in `buckthorncroft_metric_series_dropped_total` and otherwise ignored, so that a mistake cannot exhaust memory.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /// Adds to a counter; its name ends in `_total`.
    void count(const std::string& name, const Labels& labels = {}, double amount = 1);

    void set(const std::string& name, const Labels& labels, double value);

    /// Records a duration in seconds in a histogram with bounds from 1 ms to 60 s.
    void observeSeconds(const std::string& name, const Labels& labels, double seconds);

    /// Returns all series in the Prometheus text format.
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace buckthorncroft::observe
