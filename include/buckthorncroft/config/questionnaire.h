#pragma once

#include <buckthorncroft/base/finding.h>
#include <buckthorncroft/config/model.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorncroft::config {

/// Which mistake about a target costs a service more.
enum class CostlierMistake {
    SlowTargetKept, ///< Detection time matters most.
    Both, ///< Both mistakes cost the same.
    HealthyTargetRemoved, ///< False ejections matter most.
};

/// Answers about one kind of request.
struct RequestAnswers {
    std::string name;
    std::string path;
    std::vector<std::string> methods;
    bool mayRunAgain = false;
    bool repeatsBillingOrShipping = true; ///< Running it twice charges, ships or reserves something twice.
    bool callersSendIdempotencyKey = false; ///< Callers send an `Idempotency-Key` with each request.
    std::uint64_t largestFileMegabytes = 0; ///< 0 if the request carries no files.
    std::chrono::milliseconds responseDeadline { 0 }; ///< Time after which a response is of no use to the caller.
};

/// Answers about one target.
struct TargetAnswers {
    std::string name;
    std::string host; ///< IP address.
    std::uint16_t port = 0;
    std::string zone; ///< Availability zone.
};

/// Answers about one service.
struct ServiceAnswers {
    std::string name;
    std::string purpose;
    std::vector<RequestAnswers> requests;
    std::vector<TargetAnswers> targets;
    unsigned requestsAtOnce = 3; ///< Per target.
    unsigned connections = 400; ///< Per target, from all entry instances together.
    std::chrono::milliseconds slowAfterStart { 0 }; ///< How long a target is slower than usual after its start.
    double mustStayUpPercent = 70; ///< Percentage of the targets that ejection must leave in.
    CostlierMistake costlierMistake = CostlierMistake::Both;
    unsigned notRunStatus = 503;
    std::string notRunHeader = "X-Not-Run";
};

/// A filled-in questionnaire.
struct Answers {
    std::string deployment;
    std::vector<std::string> zones;
    std::chrono::milliseconds zoneDelay { 0 }; ///< One-way delay between two availability zones.
    std::chrono::milliseconds clientDelay { 0 }; ///< One-way delay between callers and entry instances.
    std::vector<ServiceAnswers> services;
};

/// Parsed answers and the problems found in them. `answers` must not be used unless `findings` is empty.
struct ParsedAnswers {
    Answers answers;
    base::Findings findings;
};

/// Returns an empty questionnaire as TOML with explanatory comments and one example service.
std::string emptyQuestionnaire();

/// Parses a filled-in questionnaire. Reports malformed answers and contradictions: a request that may run again but
/// bills twice, a floor that permits no ejection, or a response time that does not exceed the network delay. `file` is
/// the name that the findings contain. Does not throw on malformed input.
ParsedAnswers parseAnswers(std::string_view text, const std::string& file);

/// A configuration generated from the answers of a questionnaire.
struct GeneratedConfiguration {
    Configuration configuration;
    std::string text; ///< TOML with comments that name the answer from which each setting was derived.
};

/// Generates a configuration. Equal answers yield equal texts. `answers` must have been parsed without findings.
GeneratedConfiguration generateConfiguration(const Answers& answers);

} // namespace buckthorncroft::config
