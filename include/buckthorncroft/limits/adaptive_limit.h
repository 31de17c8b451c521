#pragma once

namespace buckthorncroft::limits {

/// Estimates how many requests a target takes at a time, for targets that shed requests below their number of slots. A
/// shed request lowers the limit below the number in use; each success at the limit raises it by a part of a slot. The
/// limit is at least 1, so a target that sheds everything is still probed. Not safe for concurrent use.
class AdaptiveLimit {
public:
    /// `inUse`: slots in use at the time of the shed request, including its own.
    void recordShed(unsigned inUse, unsigned slots);

    /// `inUse`: slots in use at the end of the request, including its own.
    void recordSuccess(unsigned inUse, unsigned slots);

    /// Requests that the target may receive at a time, at most `slots`.
    unsigned limit(unsigned slots) const;

private:
    double m_reduction = 0; ///< Slots by which the limit is below the number of slots.
};

} // namespace buckthorncroft::limits
