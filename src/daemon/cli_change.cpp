#include "cli_command.h"
#include "files.h"

#include <algorithm>
#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/config/difference.h>
#include <buckthorncroft/config/parse.h>
#include <buckthorncroft/daemon/operator_cli.h>
#include <buckthorncroft/store/configuration_store.h>
#include <buckthorncroft/store/http_platform.h>
#include <charconv>
#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace buckthorncroft::daemon::detail {

namespace {

    using nlohmann::json;
    using store::Acceptance;
    using store::HistoryEntry;

    constexpr std::size_t maxHistoryEntries = 1000;

    /// The configuration store of the platform that the command names.
    struct StoreAccess {
        explicit StoreAccess(const CliCommand& command)
            : http(command.platform.host, command.platform.port)
            , store(http, clock)
        {
        }

        base::SystemClock clock;
        store::HttpPlatform http;
        store::ConfigurationStore store;
    };

    std::optional<std::uint64_t> parseVersion(const std::string& text)
    {
        std::uint64_t value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (ec != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    int reportBadVersion(const std::string& text)
    {
        fmt::print(stderr, "\"{}\" is not a version number\n", text);
        return CliBadInput;
    }

    std::string formatTime(base::WallTime time)
    {
        return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(std::chrono::system_clock::to_time_t(time)));
    }

    void printAcceptance(const CliCommand& command, const std::string& service, const Acceptance& acceptance)
    {
        if (command.json) {
            const json document { { "service", service }, { "version", acceptance.version },
                { "change", acceptance.change }, { "operation", command.operationId } };
            fmt::print("{}\n", document.dump());
            return;
        }
        fmt::print("{}: accepted as version {}, change {}, operation {}\n", service, acceptance.version,
            acceptance.change, command.operationId);
    }

    int reportSubmission(const CliCommand& command, const std::string& service, const base::Result<Acceptance>& result)
    {
        if (!result) {
            const auto code = reportError(service, result.error());
            if (code == CliUnknown)
                fmt::print(stderr, "query it with: buckthorncroftctl operation {}\n", command.operationId);
            return code;
        }
        printAcceptance(command, service, result.value());
        if (!command.wait)
            return CliOk;
        return waitUntilInForce(command, result.value().change) ? CliOk : CliRefused;
    }

    std::uint64_t currentVersion(const config::Configuration& configuration, const std::string& service)
    {
        for (const auto& it : configuration.services) {
            if (it.name == service)
                return it.version;
        }
        return 0;
    }

    store::Submission makeSubmission(const CliCommand& command, const config::Service& service, std::uint64_t base)
    {
        return { service, base, command.operationId, command.operatorName, command.reason };
    }

    const HistoryEntry* findVersion(const store::StoredHistory& history, std::uint64_t version)
    {
        const auto it = std::find_if(history.entries.begin(), history.entries.end(),
            [&](const HistoryEntry& entry) { return entry.version == version; });
        return it == history.entries.end() ? nullptr : &*it;
    }

} // namespace

// A generated file has version 0 in each service. That is right for a new service. Replacing an existing service with
// it would undo changes that its author has not seen, so the operator must request this explicitly. `show` prints a
// record with its version.
int runSubmit(const CliCommand& command)
{
    base::Findings findings;
    const auto text = readWholeFile(command.arguments.at(0), findings);
    if (!findings.empty())
        return reportFindings(findings);
    const auto parsed = config::parseConfiguration(text, command.arguments.at(0));
    if (!parsed.findings.empty())
        return reportFindings(parsed.findings);
    StoreAccess access(command);
    const auto stored = access.store.readConfiguration(command.timeout);
    if (!stored)
        return reportError("read the current configuration", stored.error());
    auto serviceCommand = command;
    int exitCode = CliOk;
    for (const auto& service : parsed.configuration.services) {
        const auto current = currentVersion(stored.value().configuration, service.name);
        serviceCommand.operationId = parsed.configuration.services.size() == 1
            ? command.operationId
            : command.operationId + "." + service.name;
        if (command.isOperationIdGiven) {
            // A repeated submit may have another base version than the first, so the outcome of the first is looked up.
            const auto previous = access.store.operation(serviceCommand.operationId, command.timeout);
            if (previous && previous.value().state == store::OperationState::Accepted) {
                exitCode
                    = std::max(exitCode, reportSubmission(serviceCommand, service.name, previous.value().acceptance));
                continue;
            }
        }
        if (!service.version && current && !command.replace) {
            fmt::print(stderr, "{}: exists as version {}; edit the output of show, or give --replace\n", service.name,
                current);
            exitCode = std::max<int>(exitCode, CliRefused);
            continue;
        }
        const auto base = service.version ? service.version : current;
        exitCode = std::max(exitCode,
            reportSubmission(serviceCommand, service.name,
                access.store.submit(makeSubmission(serviceCommand, service, base), command.timeout)));
    }
    return exitCode;
}

int runDrain(const CliCommand& command, bool draining)
{
    StoreAccess access(command);
    const auto stored = access.store.readConfiguration(command.timeout);
    if (!stored)
        return reportError("read the current configuration", stored.error());
    for (auto service : stored.value().configuration.services) {
        if (service.name != command.arguments.at(0))
            continue;
        for (auto& it : service.targets) {
            if (it.id != command.arguments.at(1))
                continue;
            it.draining = draining;
            return reportSubmission(command, service.name,
                access.store.submit(makeSubmission(command, service, service.version), command.timeout));
        }
    }
    fmt::print(stderr, "there is no target {} of service {}\n", command.arguments.at(1), command.arguments.at(0));
    return CliRefused;
}

int runShow(const CliCommand& command)
{
    StoreAccess access(command);
    const auto stored = access.store.readConfiguration(command.timeout);
    if (!stored)
        return reportError("read the current configuration", stored.error());
    for (const auto& it : stored.value().configuration.services) {
        if (it.name != command.arguments.at(0))
            continue;
        fmt::print("{}", config::formatService(it));
        return CliOk;
    }
    fmt::print(stderr, "there is no service {}\n", command.arguments.at(0));
    return CliRefused;
}

int runHistory(const CliCommand& command)
{
    StoreAccess access(command);
    const auto history = access.store.history(command.arguments.at(0), maxHistoryEntries, command.timeout);
    if (!history)
        return reportError("history", history.error());
    json document = json::array();
    for (const auto& it : history.value().entries) {
        if (command.json)
            document.push_back({ { "version", it.version }, { "change", it.change }, { "operation", it.operationId },
                { "operator", it.operatorName }, { "reason", it.reason }, { "accepted", formatTime(it.acceptedAt) } });
        else
            fmt::print("version {:<4} change {:<5} {}  {:<12} {}  (operation {})\n", it.version, it.change,
                formatTime(it.acceptedAt), it.operatorName, it.reason, it.operationId);
    }
    if (command.json)
        fmt::print("{}\n", document.dump(2));
    for (const auto& it : history.value().damaged)
        fmt::print(stderr, "damaged record {}: {}\n", it.key, it.reason);
    return history.value().entries.empty() ? CliRefused : CliOk;
}

int runDiff(const CliCommand& command)
{
    const auto from = parseVersion(command.arguments.at(1));
    const auto to = parseVersion(command.arguments.at(2));
    if (!from || !to)
        return reportBadVersion(command.arguments.at(from ? 2 : 1));
    StoreAccess access(command);
    const auto history = access.store.history(command.arguments.at(0), maxHistoryEntries, command.timeout);
    if (!history)
        return reportError("history", history.error());
    const auto* before = findVersion(history.value(), *from);
    const auto* after = findVersion(history.value(), *to);
    if (!before || !after) {
        fmt::print(stderr, "version {} is not in the history\n", before ? *to : *from);
        return CliRefused;
    }
    for (const auto& it : config::describeDifference(before->service, after->service))
        fmt::print("{}\n", it);
    return CliOk;
}

int runRollback(const CliCommand& command)
{
    const auto version = parseVersion(command.arguments.at(1));
    if (!version)
        return reportBadVersion(command.arguments.at(1));
    StoreAccess access(command);
    const auto stored = access.store.readConfiguration(command.timeout);
    if (!stored)
        return reportError("read the current configuration", stored.error());
    config::Service service;
    service.name = command.arguments.at(0);
    const auto base = currentVersion(stored.value().configuration, service.name);
    return reportSubmission(command, service.name,
        access.store.rollback(makeSubmission(command, service, base), *version, command.timeout));
}

int runOperation(const CliCommand& command, bool cancel)
{
    StoreAccess access(command);
    const auto& id = command.arguments.at(0);
    const auto status = cancel ? access.store.cancel(id, command.timeout) : access.store.operation(id, command.timeout);
    if (!status)
        return reportError("operation " + id, status.error());
    switch (status.value().state) {
    case store::OperationState::Accepted:
        fmt::print("operation {}: accepted as version {}, change {}\n", id, status.value().acceptance.version,
            status.value().acceptance.change);
        return CliOk;
    case store::OperationState::Refused:
        fmt::print("operation {}: refused; it changed nothing\n", id);
        return cancel ? CliOk : CliRefused;
    case store::OperationState::Unknown:
        break;
    }
    fmt::print(
        "operation {}: not found yet; a submit whose answer was lost may still take effect.\n"
        "Submit the same file with the same operation id again, or resolve it with: buckthorncroftctl cancel {}\n",
        id, id);
    return CliUnknown;
}

} // namespace buckthorncroft::daemon::detail
