#pragma once

#include <algorithm>

namespace buckthorncroft::health {

/// Count, mean and variance of latencies on a logarithmic scale (natural logarithm of microseconds), in a form that can
/// be added up over windows, instances and time.
struct LatencyMoments {
    double count = 0;
    double sum = 0;
    double sumOfSquares = 0;

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

    void scale(double factor)
    {
        count *= factor;
        sum *= factor;
        sumOfSquares *= factor;
    }

    /// 0 without latencies.
    double mean() const { return count > 0 ? sum / count : 0; }

    /// Sum of the squared distances from the mean; rounding never makes it negative.
    double squaredDeviationSum() const { return count > 0 ? std::max(0.0, sumOfSquares - sum * sum / count) : 0; }
};

} // namespace buckthorncroft::health
