#include <buckthorncroft/store/configuration_store.h>

#include "configuration_rows.h"
#include <map>
#include <optional>

namespace buckthorncroft::store {

using base::Error;
using base::ErrorCode;
using namespace detail;
using nlohmann::json;

namespace {

    constexpr unsigned maxTries = 5;
    constexpr std::size_t maxServices = 5000; // As in config::ParseLimits.

    /// Either the service of a record, or why it must not be applied.
    struct Record {
        std::optional<config::Service> service;
        std::string damage;
    };

    Record parseRecord(const std::string& value, const std::string& name, const std::string& key)
    {
        const auto content = unseal(value);
        if (!content)
            return { std::nullopt, "its digest does not match" };
        if (!content->contains("text") || !content->at("text").is_string())
            return { std::nullopt, "it holds no text" };
        auto service = parseService(content->at("text"), key);
        if (!service)
            return { std::nullopt, service.error().message };
        if (service.value().name != name)
            return { std::nullopt, "it holds the service " + service.value().name };
        return { std::move(service.value()), {} };
    }

    /// One attempt to read all services as of one change number.
    class Snapshot {
    public:
        Snapshot(Platform& platform, const Deadline& deadline)
            : m_platform(platform)
            , m_deadline(deadline)
        {
        }

        // Returns nothing when the rows belong to different changes.
        base::Result<std::optional<StoredConfiguration>> read()
        {
            const auto index = readSealed(m_platform, indexKey, m_deadline.left());
            if (!index)
                return index.error();
            if (!index.value().version)
                return std::optional(StoredConfiguration {});
            const auto rows = m_platform.scan(servicePrefix, maxServices, m_deadline.left());
            if (!rows)
                return Error { ErrorCode::Unavailable, "cannot scan the services: " + rows.error().message };
            for (const auto& it : rows.value())
                m_scanned[it.key] = it.value;
            m_result.configuration.changeNumber = index.value().content.at("change");
            // The names of a JSON object are sorted, so the services are as well.
            for (const auto& [name, version] : index.value().content.at("services").items()) {
                const auto same = add(name, version.get<std::uint64_t>());
                if (!same)
                    return same.error();
                if (!same.value())
                    return std::optional<StoredConfiguration>();
            }
            return std::optional(std::move(m_result));
        }

    private:
        // Returns false when the record is of another version than the index says.
        base::Result<bool> add(const std::string& name, std::uint64_t version)
        {
            const auto key = servicePrefix + name;
            auto record = parseRecord(m_scanned[key], name, key);
            if (!record.service || record.service->version != version) {
                // The scan may be stale or damaged on its way; a fresh read decides.
                const auto row = m_platform.read(key, true, m_deadline.left());
                if (!row && row.error().code != ErrorCode::NotFound)
                    return Error { ErrorCode::Unavailable, "cannot read " + key + ": " + row.error().message };
                record = row ? parseRecord(row.value().value, name, key) : Record { std::nullopt, "it is missing" };
            }
            if (!record.service) {
                m_result.damaged.push_back({ key, name, record.damage });
                return true;
            }
            if (record.service->version != version)
                return false;
            m_result.configuration.services.push_back(std::move(*record.service));
            return true;
        }

        Platform& m_platform;
        const Deadline& m_deadline;
        std::map<std::string, std::string> m_scanned;
        StoredConfiguration m_result;
    };

    base::Result<HistoryEntry> parseHistory(const json& content, const std::string& key)
    {
        return checkingStructure([&]() -> base::Result<HistoryEntry> {
            auto service = parseService(content.at("text"), key);
            if (!service)
                return service.error();
            HistoryEntry entry;
            entry.version = content.at("version");
            entry.change = content.at("change");
            entry.operationId = content.at("operation");
            entry.operatorName = content.at("operator");
            entry.reason = content.at("reason");
            entry.acceptedAt = base::WallTime(std::chrono::milliseconds(content.at("accepted_ms").get<std::int64_t>()));
            entry.service = std::move(service.value());
            return entry;
        });
    }

    OperationStatus statusOf(const SealedRow& row)
    {
        if (!row.version)
            return {};
        if (row.content.value("state", "") == "cancelled")
            return { OperationState::Refused, {} };
        return { OperationState::Accepted,
            { row.content.value("version", std::uint64_t { 0 }), row.content.value("change", std::uint64_t { 0 }) } };
    }

} // namespace

ConfigurationStore::ConfigurationStore(Platform& platform, const base::Clock& clock)
    : m_platform(platform)
    , m_clock(clock)
{
}

base::Result<Acceptance> ConfigurationStore::rollback(
    Submission submission, std::uint64_t version, std::chrono::milliseconds timeout)
{
    const Deadline deadline(m_clock, timeout);
    const auto key = historyKey(submission.service.name, version);
    const auto row = readSealed(m_platform, key, deadline.left());
    if (!row)
        return row.error();
    if (!row.value().version)
        return Error { ErrorCode::NotFound, "no version " + std::to_string(version) + " in the history" };
    const auto entry = parseHistory(row.value().content, key);
    if (!entry)
        return Error { ErrorCode::Malformed, "the row " + key + " is damaged: " + entry.error().message };
    submission.service = entry.value().service;
    return submit(submission, deadline.left());
}

base::Result<OperationStatus> ConfigurationStore::operation(
    const std::string& operationId, std::chrono::milliseconds timeout)
{
    const auto row = readSealed(m_platform, operationKey(operationId), timeout);
    if (!row)
        return row.error();
    return checkingStructure([&]() -> base::Result<OperationStatus> { return statusOf(row.value()); });
}

// Takes the operation's row, whose absence the submit's transaction is conditional on.
base::Result<OperationStatus> ConfigurationStore::cancel(
    const std::string& operationId, std::chrono::milliseconds timeout)
{
    const Deadline deadline(m_clock, timeout);
    const Write write { operationKey(operationId), seal({ { "state", "cancelled" } }), 0 };
    const auto result = m_platform.commit({ write }, deadline.left());
    if (result)
        return OperationStatus { OperationState::Refused, {} };
    const bool doubt = mayHaveTakenEffect(result.error().code);
    if (!doubt && result.error().code != ErrorCode::Conflict)
        return Error { ErrorCode::Unavailable, result.error().message };
    auto status = operation(operationId, deadline.left());
    if (status && status.value().state != OperationState::Unknown)
        return status;
    return Error { ErrorCode::OutcomeUnknown, "not known whether the operation was accepted" };
}

base::Result<StoredHistory> ConfigurationStore::history(
    const std::string& service, std::size_t limit, std::chrono::milliseconds timeout)
{
    const auto rows = m_platform.scan(historyPrefix(service), limit, timeout);
    if (!rows)
        return Error { ErrorCode::Unavailable, "cannot read the history: " + rows.error().message };
    StoredHistory result;
    for (const auto& it : rows.value()) {
        const auto content = unseal(it.value);
        auto entry = content ? parseHistory(*content, it.key)
                             : base::Result<HistoryEntry>(Error { ErrorCode::Malformed, "its digest does not match" });
        if (entry)
            result.entries.push_back(std::move(entry.value()));
        else
            result.damaged.push_back({ it.key, service, entry.error().message });
    }
    return result;
}

base::Result<std::uint64_t> ConfigurationStore::readChangeNumber(std::chrono::milliseconds timeout)
{
    const auto row = readSealed(m_platform, changeKey, timeout);
    if (!row)
        return row.error();
    return checkingStructure([&]() -> base::Result<std::uint64_t> {
        return row.value().version ? row.value().content.at("change").get<std::uint64_t>() : 0;
    });
}

base::Result<StoredConfiguration> ConfigurationStore::readConfiguration(std::chrono::milliseconds timeout)
{
    const Deadline deadline(m_clock, timeout);
    for (unsigned n = 0; n < maxTries && !deadline.passed(); ++n) {
        const auto before = readChangeNumber(deadline.left());
        if (!before)
            return before.error();
        auto read = checkingStructure([&] { return Snapshot(m_platform, deadline).read(); });
        if (!read)
            return read.error();
        const auto after = readChangeNumber(deadline.left());
        if (!after)
            return after.error();
        auto& snapshot = read.value();
        if (snapshot && before.value() == after.value() && snapshot->configuration.changeNumber == after.value())
            return std::move(*snapshot);
    }
    return Error { ErrorCode::Unavailable, "the configuration kept changing while it was read" };
}

} // namespace buckthorncroft::store
