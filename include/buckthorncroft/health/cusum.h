#pragma once

namespace buckthorncroft::health::detail {

/// Log-likelihood ratios of one observation under one alternative hypothesis against the baseline.
struct Ratios {
    double bad = 0;
    double good = 0;
};

/// Ratios for the bad share `alternative` against `baseline`. Both are 0 when the alternative is not clearly above the
/// baseline, so that a service that is bad as a whole gives no evidence.
Ratios ratios(double alternative, double baseline);

/// Two cumulative sums with floor 0, one per hypothesis: partly failing, and hanging or dead. The second needs fewer
/// observations of a target whose answers are all bad.
struct Cusum {
    double partly = 0;
    double hard = 0;

    /// Multiplies both sums, to let old evidence fade.
    void scale(double factor);
    double score() const { return partly > hard ? partly : hard; }
};

/// Observations as real numbers, so that old ones can fade.
struct FadingCounts {
    double slowOrBad = 0;
    double total = 0;
};

/// Log-likelihood ratio of "the target is worse than the others" against "both have the same bad share", with the
/// shares that fit best. 0 when the target is not worse. Few observations on either side give a small ratio.
double contrast(const FadingCounts& target, const FadingCounts& others);

} // namespace buckthorncroft::health::detail
