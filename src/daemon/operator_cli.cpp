#include <buckthorncroft/daemon/operator_cli.h>

#include "cli_command.h"
#include <boost/program_options.hpp>
#include <buckthorncroft/daemon/version.h>
#include <charconv>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <sstream>

namespace buckthorncroft::daemon {

namespace {

    namespace po = boost::program_options;
    using detail::CliCommand;

    constexpr const char* usageText = R"(Usage: buckthorncroftctl COMMAND [ARGUMENTS] [options]

Commands that need files only:
  questionnaire             print an empty questionnaire
  generate ANSWERS          print the configuration that follows from a filled-in questionnaire
  check FILE...             list all problems of questionnaires and configurations

Commands that query instances (--operators):
  status                    which change is in force where, and who lags behind
  targets                   stage of each target, counted over the instances
  explain SERVICE TARGET    why a target is in its stage, and the evidence behind it

Commands that use the platform's table (--platform):
  submit FILE               submit each service of a configuration (--operator, --reason)
  drain SERVICE TARGET      stop new work for a target (--operator, --reason)
  undrain SERVICE TARGET    allow new work again (--operator, --reason)
  show SERVICE              print the record in force with its version, to edit and submit
  history SERVICE           accepted versions: when, who and why
  diff SERVICE FROM TO      difference between two versions
  rollback SERVICE VERSION  submit the content of an old version as a new one (--operator, --reason)
  operation ID              look up an operation whose answer was lost
  cancel ID                 make sure that an operation that was not found never takes effect

)";

    constexpr const char* exitCodesText = R"(
Exit codes:
  0  done
  1  refused or failed; nothing changed (status, --wait: an instance did not answer or lags)
  2  the command line or a file has problems; all are listed
  4  the outcome is not known yet; query it with the command operation
)";

    struct CommandEntry {
        std::size_t minArguments;
        std::size_t maxArguments;
        bool needsOperators;
        bool needsPlatform;
        bool changesConfiguration; ///< Requires an operator's name and a reason.
        std::function<int(const CliCommand&)> run;
    };

    constexpr std::size_t maxFileArguments = 1000;

    const std::map<std::string, CommandEntry>& commands()
    {
        static const std::map<std::string, CommandEntry> entries {
            { "questionnaire",
                { 0, 0, false, false, false, [](const CliCommand&) { return detail::runQuestionnaire(); } } },
            { "generate", { 1, 1, false, false, false, detail::runGenerate } },
            { "check", { 1, maxFileArguments, false, false, false, detail::runCheck } },
            { "status", { 0, 0, true, false, false, detail::runStatus } },
            { "targets", { 0, 0, true, false, false, detail::runTargets } },
            { "explain", { 2, 2, true, false, false, detail::runExplain } },
            { "submit", { 1, 1, false, true, true, detail::runSubmit } },
            { "drain", { 2, 2, false, true, true, [](const CliCommand& it) { return detail::runDrain(it, true); } } },
            { "undrain",
                { 2, 2, false, true, true, [](const CliCommand& it) { return detail::runDrain(it, false); } } },
            { "show", { 1, 1, false, true, false, detail::runShow } },
            { "history", { 1, 1, false, true, false, detail::runHistory } },
            { "diff", { 3, 3, false, true, false, detail::runDiff } },
            { "rollback", { 2, 2, false, true, true, detail::runRollback } },
            { "operation",
                { 1, 1, false, true, false, [](const CliCommand& it) { return detail::runOperation(it, false); } } },
            { "cancel",
                { 1, 1, false, true, true, [](const CliCommand& it) { return detail::runOperation(it, true); } } },
        };
        return entries;
    }

    std::optional<Endpoint> parseEndpoint(const std::string& text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string::npos || colon == 0)
            return std::nullopt;
        Endpoint endpoint;
        endpoint.host = text.substr(0, colon);
        if (endpoint.host.front() == '[' && endpoint.host.back() == ']')
            endpoint.host = endpoint.host.substr(1, endpoint.host.size() - 2);
        const auto* last = text.data() + text.size();
        const auto [end, ec] = std::from_chars(text.data() + colon + 1, last, endpoint.port);
        if (ec != std::errc() || end != last || endpoint.port == 0)
            return std::nullopt;
        return endpoint;
    }

    std::string newOperationId()
    {
        std::random_device device;
        return fmt::format("op-{:08x}{:08x}", device(), device());
    }

    struct Options {
        std::vector<std::string> words;
        std::vector<std::string> operators;
        std::string platform;
        std::int64_t timeoutMs = 10'000;
    };

    po::options_description describeOptions(CliCommand& command, Options& options)
    {
        po::options_description description("Options");
        description.add_options()("help", "print this text")("version", "print the version")("operators",
            po::value(&options.operators)->composing(), "operators' endpoint host:port; may be repeated")("platform",
            po::value(&options.platform), "platform's service, host:port")("operator", po::value(&command.operatorName),
            "your name, for the history")("reason", po::value(&command.reason), "why, for the history")("operation",
            po::value(&command.operationId),
            "operation id; give the same again to repeat a submit whose answer was lost")(
            "timeout-ms", po::value(&options.timeoutMs), "maximum wait in milliseconds, default 10000")(
            "wait", po::bool_switch(&command.wait), "wait until the change is in force on all --operators endpoints")(
            "replace", po::bool_switch(&command.replace), "let a file without versions replace existing services")(
            "json", po::bool_switch(&command.json), "print JSON for programs")(
            "certificate", po::value(&command.tls.certificate), "PEM file of the own certificate")(
            "key", po::value(&command.tls.privateKey), "PEM file of the own private key")(
            "authority", po::value(&command.tls.authority), "PEM file of the authority of the instances' certificates")(
            "plaintext", po::bool_switch(&command.tls.plaintext), "no TLS; only where the instances' settings say so");
        return description;
    }

    void addFinding(base::Findings& findings, const std::string& key, const std::string& reason)
    {
        findings.push_back({ "", 0, key, reason, "see --help" });
    }

    void checkEndpoints(CliCommand& command, const Options& options, base::Findings& findings)
    {
        for (const auto& it : options.operators) {
            if (const auto endpoint = parseEndpoint(it))
                command.operators.push_back(*endpoint);
            else
                addFinding(findings, "--operators", "\"" + it + "\" is not host:port");
        }
        if (options.platform.empty())
            return;
        if (const auto endpoint = parseEndpoint(options.platform))
            command.platform = *endpoint;
        else
            addFinding(findings, "--platform", "\"" + options.platform + "\" is not host:port");
    }

    void checkRequirements(const CliCommand& command, const CommandEntry& entry, base::Findings& findings)
    {
        const auto n = command.arguments.size();
        if (n < entry.minArguments || n > entry.maxArguments)
            addFinding(findings, command.name, "wrong number of arguments");
        if ((entry.needsOperators || command.wait) && command.operators.empty())
            addFinding(findings, "--operators", "is missing");
        if (entry.needsPlatform && command.platform.host.empty())
            addFinding(findings, "--platform", "is missing");
        if (entry.changesConfiguration && (command.operatorName.empty() || command.reason.empty()))
            addFinding(findings, "--operator, --reason", "are both needed for a change");
        const bool hasTlsFiles
            = !command.tls.certificate.empty() && !command.tls.privateKey.empty() && !command.tls.authority.empty();
        if ((entry.needsOperators || command.wait) && !command.tls.plaintext && !hasTlsFiles)
            addFinding(findings, "--certificate, --key, --authority", "are needed unless --plaintext is given");
    }

    int execute(CliCommand& command, const Options& options)
    {
        base::Findings findings;
        command.name = options.words.front();
        command.arguments.assign(options.words.begin() + 1, options.words.end());
        command.timeout = std::chrono::milliseconds(options.timeoutMs);
        command.isOperationIdGiven = !command.operationId.empty();
        if (command.operationId.empty())
            command.operationId = newOperationId();
        const auto entry = commands().find(command.name);
        if (entry == commands().end()) {
            addFinding(findings, command.name, "is not a command");
            return detail::reportFindings(findings);
        }
        checkEndpoints(command, options, findings);
        checkRequirements(command, entry->second, findings);
        if (options.timeoutMs <= 0)
            addFinding(findings, "--timeout-ms", "must be above 0");
        if (!findings.empty())
            return detail::reportFindings(findings);
        return entry->second.run(command);
    }

} // namespace

int runOperatorCli(int argc, char** argv)
{
    CliCommand command;
    Options options;
    const auto visible = describeOptions(command, options);
    po::options_description all;
    all.add(visible).add_options()("words", po::value(&options.words));
    po::positional_options_description positions;
    positions.add("words", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
        po::notify(values);
    } catch (const po::error& error) {
        fmt::print(stderr, "{}\nTry --help.\n", error.what());
        return CliBadInput;
    }
    if (values.count("version")) {
        fmt::print("buckthorncroftctl {}\n", versionText());
        return CliOk;
    }
    if (values.count("help") || options.words.empty()) {
        std::ostringstream text;
        text << visible;
        fmt::print("{}{}{}", usageText, text.str(), exitCodesText);
        return values.count("help") ? CliOk : CliBadInput;
    }
    return execute(command, options);
}

} // namespace buckthorncroft::daemon
