#pragma once

#include <algorithm>

namespace buckthorncroft::health {

/// Count, sum and sum of squares of log latencies (natural logarithm of microseconds). Moments of several windows or
/// instances can be added.
struct LatencyMoments {
    double count = 0;
    double sum = 0;
    double sumOfSquares = 0;

    /// Adds one latency.
    void add(double logMicroseconds)
    {
        count += 1;
        sum += logMicroseconds;
        sumOfSquares += logMicroseconds * logMicroseconds;
    }

    void add(const LatencyMoments& other)
    {
        count += other.count;
        sum += other.sum;
        sumOfSquares += other.sumOfSquares;
    }

    /// Multiplies all moments by `factor`; used to decay old latencies.
    void scale(double factor)
    {
        count *= factor;
        sum *= factor;
        sumOfSquares *= factor;
    }

    /// Mean log latency; 0 without latencies.
    double mean() const { return count > 0 ? sum / count : 0; }

    /// Sum of squared deviations from the mean. Clamped to 0, because rounding could make it negative.
    double squaredDeviationSum() const { return count > 0 ? std::max(0.0, sumOfSquares - sum * sum / count) : 0; }
};

} // namespace buckthorncroft::health
