#pragma once

namespace buckthorncroft::health::detail {

/// What one observation adds to a cumulative sum: its log-likelihood ratio under an alternative hypothesis against the
/// baseline.
struct LogLikelihoodRatios {
    double bad = 0; ///< Of a slow or bad attempt; positive.
    double good = 0; ///< Of a good attempt; negative.
};

/// Returns the ratios of the hypothesis that a fraction `alternative` of the attempts is slow or bad against the
/// fraction `baseline`. Both ratios are 0 if the alternative is not clearly above the baseline, so that a service that
/// is degraded as a whole yields no evidence against single targets.
LogLikelihoodRatios logLikelihoodRatios(double alternative, double baseline);

/// CUSUM detector with two sums that never fall below 0, one per hypothesis: the target fails partly, or it hangs or is
/// down. The second sum needs fewer observations of a target whose attempts all fail.
struct Cusum {
    double partialFailure = 0;
    double completeFailure = 0;

    /// Multiplies both sums by `factor`; used to decay old evidence.
    void scale(double factor);
    /// The larger of the two sums.
    double score() const { return partialFailure > completeFailure ? partialFailure : completeFailure; }
};

/// Numbers of attempts as real numbers, so that old attempts can decay.
struct DecayedCounts {
    double slowOrBad = 0;
    double total = 0;
};

/// Returns the log-likelihood ratio of the hypothesis "the target has a larger fraction of slow or bad attempts than
/// the others" against "both have the same fraction", each with its maximum-likelihood fractions. Returns 0 if the
/// target's fraction is not larger. Few observations on either side result in a small ratio.
double logLikelihoodRatioToOthers(const DecayedCounts& target, const DecayedCounts& others);

} // namespace buckthorncroft::health::detail
