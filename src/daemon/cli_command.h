#pragma once

#include <buckthorncroft/base/error.h>
#include <buckthorncroft/base/finding.h>
#include <buckthorncroft/daemon/settings.h>
#include <chrono>
#include <string>
#include <vector>

namespace buckthorncroft::daemon::detail {

/// A checked command line of the operators' client.
struct CliCommand {
    std::string name;
    std::vector<std::string> arguments;
    std::vector<Endpoint> operators; ///< Operators' endpoints of instances.
    Endpoint platform;
    TlsFiles tls;
    std::string operatorName;
    std::string reason;
    std::string operationId; ///< Generated if the operator gives none.
    std::chrono::milliseconds timeout { 10'000 };
    bool json = false;
    bool replace = false; ///< Use the current version as the base of a file without versions.
    bool isOperationIdGiven = false; ///< Whether the operator gave `operationId`, for example to repeat a submit.
    bool wait = false; ///< Wait until the change is in force on every endpoint of `operators`.
};

/// Prints findings to standard error and returns the exit code for them.
int reportFindings(const base::Findings& findings);

/// Prints an error to standard error and returns the exit code for it.
int reportError(const std::string& what, const base::Error& error);

// Commands that need files only.
int runQuestionnaire();
int runGenerate(const CliCommand& command);
int runCheck(const CliCommand& command);

// Commands that query instances.
int runStatus(const CliCommand& command);
int runTargets(const CliCommand& command);
int runExplain(const CliCommand& command);

/// Waits until every endpoint reports at least `changeNumber`. On timeout, prints the endpoints that do not and returns
/// false.
bool waitUntilInForce(const CliCommand& command, std::uint64_t changeNumber);

// Commands that use the platform's table.
int runSubmit(const CliCommand& command);
int runDrain(const CliCommand& command, bool draining);
int runShow(const CliCommand& command);
int runHistory(const CliCommand& command);
int runDiff(const CliCommand& command);
int runRollback(const CliCommand& command);
int runOperation(const CliCommand& command, bool cancel);

} // namespace buckthorncroft::daemon::detail
