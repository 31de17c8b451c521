#include "cli_command.h"
#include "files.h"

#include <buckthorncroft/config/parse.h>
#include <buckthorncroft/config/questionnaire.h>
#include <buckthorncroft/daemon/operator_cli.h>
#include <fmt/format.h>

namespace buckthorncroft::daemon::detail {

namespace {

    // A questionnaire has the key `deployment`, a configuration does not.
    bool isQuestionnaire(const std::string& text)
    {
        return text.rfind("deployment", 0) == 0 || text.find("\ndeployment") != std::string::npos;
    }

} // namespace

int reportFindings(const base::Findings& findings)
{
    for (const auto& it : findings)
        fmt::print(stderr, "{}\n", base::toString(it));
    return findings.empty() ? CliOk : CliBadInput;
}

int reportError(const std::string& what, const base::Error& error)
{
    fmt::print(stderr, "{}: {}: {}\n", what, toString(error.code), error.message);
    const bool unknown = error.code == base::ErrorCode::OutcomeUnknown || error.code == base::ErrorCode::Timeout;
    return unknown ? CliUnknown : CliRefused;
}

int runQuestionnaire()
{
    fmt::print("{}", config::emptyQuestionnaire());
    return CliOk;
}

int runGenerate(const CliCommand& command)
{
    base::Findings findings;
    const auto& file = command.arguments.at(0);
    const auto text = readWholeFile(file, findings);
    if (!findings.empty())
        return reportFindings(findings);
    const auto parsed = config::parseAnswers(text, file);
    if (!parsed.findings.empty())
        return reportFindings(parsed.findings);
    fmt::print("{}", config::generateConfiguration(parsed.answers).text);
    return CliOk;
}

int runCheck(const CliCommand& command)
{
    base::Findings findings;
    for (const auto& file : command.arguments) {
        const auto before = findings.size();
        const auto text = readWholeFile(file, findings);
        if (findings.size() > before)
            continue;
        const auto found = isQuestionnaire(text) ? config::parseAnswers(text, file).findings
                                                 : config::parseConfiguration(text, file).findings;
        findings.insert(findings.end(), found.begin(), found.end());
        if (found.empty())
            fmt::print("{}: no problems found\n", file);
    }
    return reportFindings(findings);
}

} // namespace buckthorncroft::daemon::detail
