#pragma once

#include <buckthorncroft/base/finding.h>
#include <buckthorncroft/config/model.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorncroft::config {

/// Which of two mistakes costs a service more.
enum class CostlierMistake {
    SlowTargetKept, ///< Detection time matters most.
    Both,
    HealthyTargetRemoved, ///< False ejections matter most.
};

/// Answers about one sort of request.
struct RequestAnswers {
    std::string name;
    std::string path;
    std::vector<std::string> methods;
    bool mayRunAgain = false;
    bool billsOrShips = true; ///< Running it twice charges, ships or reserves something twice.
    bool callersSendKey = false; ///< Callers send an `Idempotency-Key` with each request.
    std::uint64_t largestFileMegabytes = 0; ///< 0: no files.
    std::chrono::milliseconds answerWithin { 0 };
};

/// Answers about one target.
struct TargetAnswers {
    std::string name;
    std::string host; ///< IP number.
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
    unsigned connections = 400; ///< Per target, over all entry instances.
    std::chrono::milliseconds slowAfterStart { 0 };
    double mustStayUpPercent = 70;
    CostlierMistake costlierMistake = CostlierMistake::Both;
    unsigned notRunStatus = 503;
    std::string notRunHeader = "X-Not-Run";
};

/// A filled-in questionnaire.
struct Answers {
    std::string deployment;
    std::vector<std::string> zones;
    std::chrono::milliseconds zoneDelay { 0 }; ///< Between two availability zones, one way.
    std::chrono::milliseconds clientDelay { 0 }; ///< Between callers and entry instances, one way.
    std::vector<ServiceAnswers> services;
};

/// Parsed answers together with their problems. `answers` must not be used unless `findings` is empty.
struct ParsedAnswers {
    Answers answers;
    base::Findings findings;
};

/// Returns an empty questionnaire in commented TOML, in plain words, with one example service.
std::string emptyQuestionnaire();

/// Parses a filled-in questionnaire. Besides malformed answers it reports contradictions: a request that may run again
/// but bills, a floor above what is there, an answer time that the network alone uses up. Never throws on bad input.
ParsedAnswers parseAnswers(std::string_view text, const std::string& file);

/// A generated configuration and where each setting comes from.
struct Generated {
    Configuration configuration;
    std::string text; ///< TOML with one comment per setting that names the answer behind it.
};

/// Generates the configuration. Equal answers give equal text. `answers` must be free of findings.
Generated generateConfiguration(const Answers& answers);

} // namespace buckthorncroft::config
