#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthorncroft::config {

/// How a request may be treated when its answer is missing.
enum class RequestKind {
    Idempotent, ///< May run again; may be retried and hedged.
    NonIdempotent, ///< Runs at most once.
    Upload, ///< Carries a large body that is streamed; sent once, like NonIdempotent.
};

constexpr unsigned requestKindCount = 3;

/// Returns `idempotent`, `non-idempotent` or `upload`, as written in configuration files.
const char* toString(RequestKind kind);

/// A set of requests with one treatment. The first route of a service whose method and longest path prefix match wins.
struct Route {
    std::string name;
    std::string pathPrefix; ///< Starts with `/`.
    std::vector<std::string> methods; ///< Upper case; empty means all methods.
    RequestKind kind = RequestKind::NonIdempotent; ///< The safe choice when nothing is said.
    std::chrono::milliseconds deadline { 5000 }; ///< Latest answer, from arrival at the entry instance.
    std::uint64_t maxBodyBytes = 1 << 20; ///< Larger request bodies are refused with 413.
    bool hedge = false; ///< Whether a late idempotent attempt may be backed by a second one.
    bool requireIdempotencyKey = false; ///< Whether a request without `Idempotency-Key` is refused with 400.
};

/// One target of a service.
struct Target {
    std::string id; ///< Unique within its service.
    std::string host; ///< IP number.
    std::uint16_t port = 0;
    std::string zone; ///< Availability zone.
    unsigned slots = 3; ///< Requests that the target runs at the same time.
    unsigned connectionLimit = 400; ///< Connections that the target accepts over all entry instances.
    bool draining = false; ///< Receives no new work.
};

/// How a target of the service states that it did not run a request.
struct NotRunContract {
    unsigned status = 503; ///< HTTP status of such an answer.
    std::string header = "X-Not-Run"; ///< Header that must be present with the value `true`.
};

/// One service entry, as operators edit it. The unit of compare-and-set in the configuration store.
struct Service {
    std::string name;
    std::uint64_t version = 0; ///< Raised by one with each accepted change; 0 for a record never accepted.
    std::vector<Route> routes;
    std::vector<Target> targets;
    double floorFraction = 0.7; ///< Share of the configured targets that ejection must leave in, 0 to 1.
    unsigned floorCount = 1; ///< Targets that ejection must leave in, at least.
    double bias = 0.5; ///< 0: fewest false ejections; 1: shortest detection time.
    NotRunContract notRun;
    std::chrono::milliseconds coldStart { 0 }; ///< How long a started target is slower than usual.
    double retryShare = 0.1; ///< Retries and hedges together, as a share of requests.
    unsigned queueLimit = 200; ///< Requests that wait for a slot on one instance, at most.
};

/// Everything that an entry instance needs to route. Services are sorted by name.
struct Configuration {
    std::uint64_t changeNumber = 0; ///< Change number of the region; only a higher one replaces a configuration.
    std::vector<Service> services;
};

/// Number of targets of `service` that ejection must leave in: the larger of the fraction (rounded up) and the
/// count, but not more than there are targets.
unsigned floorTargetCount(const Service& service);

} // namespace buckthorncroft::config
