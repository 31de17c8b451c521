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

    constexpr unsigned maxReadAttempts = 5;
    constexpr std::size_t maxServices = 5000; // Same as in config::ParseLimits.

    /// The service of a record, or the reason why the record must not be applied.
    struct ParsedRecord {
        std::optional<config::Service> service;
        std::string damageReason;
    };

    ParsedRecord parseRecord(const std::string& value, const std::string& name, const std::string& key)
    {
        const auto content = parseWithDigest(value);
        if (!content)
            return { std::nullopt, "its digest does not match" };
        if (!content->contains("text") || !content->at("text").is_string())
            return { std::nullopt, "it contains no text" };
        auto service = parseService(content->at("text"), key);
        if (!service)
            return { std::nullopt, service.error().message };
        if (service.value().name != name)
            return { std::nullopt, "it contains the service " + service.value().name };
        return { std::move(service.value()), {} };
    }

    /// Makes one attempt to read all services as of one change number.
    class SnapshotReader {
    public:
        SnapshotReader(Platform& platform, const Deadline& deadline)
            : m_platform(platform)
            , m_deadline(deadline)
        {
        }

        // Returns nothing if the rows belong to different changes.
        base::Result<std::optional<StoredConfiguration>> read()
        {
            const auto index = readVerifiedRow(m_platform, indexKey, m_deadline.remaining());
            if (!index)
                return index.error();
            if (!index.value().version)
                return std::optional(StoredConfiguration {});
            const auto rows = m_platform.scan(servicePrefix, maxServices, m_deadline.remaining());
            if (!rows)
                return Error { ErrorCode::Unavailable, "cannot scan the services: " + rows.error().message };
            for (const auto& it : rows.value())
                m_scannedRecords[it.key] = it.value;
            m_result.configuration.changeNumber = index.value().content.at("change");
            // The members of a JSON object are sorted by name, so the services are sorted as well.
            for (const auto& [name, version] : index.value().content.at("services").items()) {
                const auto isCurrent = addService(name, version.get<std::uint64_t>());
                if (!isCurrent)
                    return isCurrent.error();
                if (!isCurrent.value())
                    return std::optional<StoredConfiguration>();
            }
            return std::optional(std::move(m_result));
        }

    private:
        // Adds a service, or its damaged record, to the result. Returns false if the record's version differs from the
        // index.
        base::Result<bool> addService(const std::string& name, std::uint64_t version)
        {
            const auto key = servicePrefix + name;
            auto record = parseRecord(m_scannedRecords[key], name, key);
            if (!record.service || record.service->version != version) {
                // The scan may be stale or damaged in transit, so the record is read again linearizably.
                const auto row = m_platform.read(key, true, m_deadline.remaining());
                if (!row && row.error().code != ErrorCode::NotFound)
                    return Error { ErrorCode::Unavailable, "cannot read " + key + ": " + row.error().message };
                record
                    = row ? parseRecord(row.value().value, name, key) : ParsedRecord { std::nullopt, "it is missing" };
            }
            if (!record.service) {
                m_result.damaged.push_back({ key, name, record.damageReason });
                return true;
            }
            if (record.service->version != version)
                return false;
            m_result.configuration.services.push_back(std::move(*record.service));
            return true;
        }

        Platform& m_platform;
        const Deadline& m_deadline;
        std::map<std::string, std::string> m_scannedRecords;
        StoredConfiguration m_result;
    };

    base::Result<HistoryEntry> parseHistoryEntry(const json& content, const std::string& key)
    {
        return catchStructureErrors([&]() -> base::Result<HistoryEntry> {
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

    OperationStatus toOperationStatus(const VerifiedRow& row)
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
    const auto row = readVerifiedRow(m_platform, key, deadline.remaining());
    if (!row)
        return row.error();
    if (!row.value().version)
        return Error { ErrorCode::NotFound, "no version " + std::to_string(version) + " in the history" };
    const auto entry = parseHistoryEntry(row.value().content, key);
    if (!entry)
        return Error { ErrorCode::Malformed, "the row " + key + " is damaged: " + entry.error().message };
    submission.service = entry.value().service;
    return submit(submission, deadline.remaining());
}

base::Result<OperationStatus> ConfigurationStore::operation(
    const std::string& operationId, std::chrono::milliseconds timeout)
{
    const auto row = readVerifiedRow(m_platform, operationKey(operationId), timeout);
    if (!row)
        return row.error();
    return catchStructureErrors([&]() -> base::Result<OperationStatus> { return toOperationStatus(row.value()); });
}

// Inserts the operation's row. The submit's transaction requires that this row is absent, so it can no longer succeed.
base::Result<OperationStatus> ConfigurationStore::cancel(
    const std::string& operationId, std::chrono::milliseconds timeout)
{
    const Deadline deadline(m_clock, timeout);
    const Write write { operationKey(operationId), formatWithDigest({ { "state", "cancelled" } }), 0 };
    const auto result = m_platform.commit({ write }, deadline.remaining());
    if (result)
        return OperationStatus { OperationState::Refused, {} };
    const bool outcomeUnknown = mayHaveTakenEffect(result.error().code);
    if (!outcomeUnknown && result.error().code != ErrorCode::Conflict)
        return Error { ErrorCode::Unavailable, result.error().message };
    auto status = operation(operationId, deadline.remaining());
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
        const auto content = parseWithDigest(it.value);
        auto entry = content ? parseHistoryEntry(*content, it.key)
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
    const auto row = readVerifiedRow(m_platform, changeKey, timeout);
    if (!row)
        return row.error();
    return catchStructureErrors([&]() -> base::Result<std::uint64_t> {
        return row.value().version ? row.value().content.at("change").get<std::uint64_t>() : 0;
    });
}

base::Result<StoredConfiguration> ConfigurationStore::readConfiguration(std::chrono::milliseconds timeout)
{
    const Deadline deadline(m_clock, timeout);
    for (unsigned n = 0; n < maxReadAttempts && !deadline.hasPassed(); ++n) {
        const auto before = readChangeNumber(deadline.remaining());
        if (!before)
            return before.error();
        auto snapshotResult = catchStructureErrors([&] { return SnapshotReader(m_platform, deadline).read(); });
        if (!snapshotResult)
            return snapshotResult.error();
        const auto after = readChangeNumber(deadline.remaining());
        if (!after)
            return after.error();
        auto& snapshot = snapshotResult.value();
        if (snapshot && before.value() == after.value() && snapshot->configuration.changeNumber == after.value())
            return std::move(*snapshot);
    }
    return Error { ErrorCode::Unavailable, "the configuration kept changing while it was read" };
}

} // namespace buckthorncroft::store
