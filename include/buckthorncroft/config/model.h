#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthorncroft::config {

/// How a request may be repeated if its response is lost.
enum class RequestKind {
    Idempotent, ///< May run more than once, so it may be retried and hedged.
    NonIdempotent, ///< Runs at most once.
    Upload, ///< Carries a large body that is streamed. Sent once, like NonIdempotent.
};

constexpr unsigned requestKindCount = 3;

/// Returns `idempotent`, `non-idempotent` or `upload`, as written in configuration files.
const char* toString(RequestKind kind);

/// A set of requests that are handled alike. Of the routes of a service that match the method, the one with the longest
/// matching path prefix applies, and the first of several equal ones.
struct Route {
    std::string name;
    std::string pathPrefix; ///< Starts with `/`.
    std::vector<std::string> methods; ///< Upper case; empty means all methods.
    RequestKind kind = RequestKind::NonIdempotent; ///< The default is the kind that is safe for every request.
    std::chrono::milliseconds deadline { 5000 }; ///< Time limit for the response, from arrival at the entry instance.
    std::uint64_t maxBodyBytes = 1 << 20; ///< Larger request bodies are rejected with 413.
    bool hedge = false; ///< Whether a second attempt may start when the first one of an idempotent request is late.
    bool requireIdempotencyKey = false; ///< Whether a request without `Idempotency-Key` is rejected with 400.
};

/// One target of a service.
struct Target {
    std::string id; ///< Unique within its service.
    std::string host; ///< IP address.
    std::uint16_t port = 0;
    std::string zone; ///< Availability zone.
    unsigned slots = 3; ///< Requests that the target runs at the same time.
    unsigned connectionLimit = 400; ///< Connections that the target accepts from all entry instances together.
    bool draining = false; ///< The target receives no new requests.
};

/// How a target of the service states that it did not run a request.
struct NotRunContract {
    unsigned status = 503; ///< HTTP status of such a response.
    std::string header = "X-Not-Run"; ///< Header that must be present with the value `true`.
};

/// Configuration of one service, as operators edit it. The unit of compare-and-set in the configuration store.
struct Service {
    std::string name;
    std::uint64_t version = 0; ///< Increased by one with each accepted change; 0 before the first one.
    std::vector<Route> routes;
    std::vector<Target> targets;
    double floorFraction = 0.7; ///< Fraction of the configured targets that ejection must leave in, 0 to 1.
    unsigned floorCount = 1; ///< Minimum number of targets that ejection must leave in.
    double bias = 0.5; ///< From 0 (fewest false ejections) to 1 (shortest detection time).
    NotRunContract notRun;
    std::chrono::milliseconds coldStart { 0 }; ///< How long a target is slower than usual after its start.
    double retryShare = 0.1; ///< Maximum number of retries and hedges together, as a fraction of the requests.
    unsigned queueLimit = 200; ///< Maximum number of requests that wait for a slot on one instance.
};

/// The configuration by which an entry instance routes requests. Services are sorted by name.
struct Configuration {
    /// Number of the latest change in the region. A configuration is replaced only by one with a higher number.
    std::uint64_t changeNumber = 0;
    std::vector<Service> services;
};

/// Returns the number of targets of `service` that ejection must leave in: the larger of `floorFraction` of the targets
/// (rounded up) and `floorCount`, but not more than there are targets.
unsigned floorTargetCount(const Service& service);

} // namespace buckthorncroft::config
