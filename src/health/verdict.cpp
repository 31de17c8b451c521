#include <buckthorncroft/health/verdict.h>

namespace buckthorncroft::health {

const char* toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Good:
        return "good";
    case Verdict::Slow:
        return "slow";
    case Verdict::Error:
        return "error";
    case Verdict::Truncated:
        return "truncated";
    case Verdict::Mismatched:
        return "mismatched";
    case Verdict::ConnectFailed:
        return "connect_failed";
    case Verdict::TimedOut:
        return "timed_out";
    case Verdict::Shed:
        return "shed";
    case Verdict::ColdStart:
        return "cold_start";
    case Verdict::Draining:
        return "draining";
    case Verdict::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

const char* toString(Stage stage)
{
    switch (stage) {
    case Stage::Healthy:
        return "healthy";
    case Stage::Suspect:
        return "suspect";
    case Stage::Ejected:
        return "ejected";
    case Stage::Trial:
        return "trial";
    case Stage::RampUp:
        return "ramp_up";
    }
    return "unknown";
}

} // namespace buckthorncroft::health
