#include <buckthorncroft/config/difference.h>
#include <buckthorncroft/config/parse.h>
#include <buckthorncroft/store/configuration_store.h>
#include <fmt/core.h>
#include <optional>

#include "configuration_rows.h"

namespace buckthorncroft::store {

using base::Error;
using base::ErrorCode;
using namespace detail;
using nlohmann::json;

namespace {

    // A concurrent change of another service conflicts on the change number, which takes another attempt.
    constexpr unsigned maxSubmitAttempts = 10;
    constexpr std::size_t maxOperationIdBytes = 100;
    constexpr std::size_t maxTextBytes = 1000;

    /// Runs one submit, including its repeated attempts.
    class SubmitOperation {
    public:
        SubmitOperation(Platform& platform, const base::Clock& clock, const Submission& submission,
            std::chrono::milliseconds timeout)
            : m_platform(platform)
            , m_clock(clock)
            , m_submission(submission)
            , m_deadline(clock, timeout)
        {
        }

        base::Result<Acceptance> run()
        {
            if (const auto error = prepare())
                return *error;
            for (unsigned n = 0; n < maxSubmitAttempts && !m_deadline.hasPassed(); ++n) {
                auto result = tryOnceChecked();
                if (result)
                    return std::move(*result);
            }
            return makeFailure("too many other changes at the same time, or no time left");
        }

    private:
        // Converts JSON exceptions to `Malformed`, or to `OutcomeUnknown` if an earlier commit may have taken effect.
        // They occur if a row has a valid digest but an unexpected structure, that is, if something other than this
        // store wrote it.
        std::optional<base::Result<Acceptance>> tryOnceChecked()
        {
            try {
                return tryOnce();
            } catch (const json::exception& e) {
                return toFailure(
                    { ErrorCode::Malformed, std::string("a row has an unexpected structure: ") + e.what() });
            }
        }

        /// Versions and contents of the rows that the transaction's conditions refer to.
        struct Preconditions {
            VerifiedRow indexRow;
            VerifiedRow changeRow;
            std::uint64_t recordRowVersion = 0;
            std::uint64_t serviceVersion = 0;
        };

        std::optional<Error> prepare()
        {
            if (!isKeyPart(m_submission.operationId, maxOperationIdBytes))
                return Error { ErrorCode::InvalidArgument,
                    "the operation id must consist of 1 to 100 letters, digits, '-', '_' or '.'" };
            if (m_submission.operatorName.size() > maxTextBytes || m_submission.reason.size() > maxTextBytes)
                return Error { ErrorCode::InvalidArgument,
                    "the operator's name or the reason is longer than 1000 bytes" };
            if (!formatWithDigest({ m_submission.operatorName, m_submission.reason }))
                return Error { ErrorCode::InvalidArgument, "the operator's name and the reason must be UTF-8" };
            auto service = m_submission.service;
            service.version = m_submission.baseVersion + 1;
            m_text = config::formatService(service);
            // Parses the record as instances will, so that an accepted record is always readable.
            const auto parsed = parseService(m_text, m_submission.service.name);
            if (!parsed)
                return parsed.error();
            m_digest = config::contentDigest(m_text);
            return std::nullopt;
        }

        // Returns OutcomeUnknown instead of Unavailable if an earlier commit may have taken effect, because the caller
        // would take Unavailable for a refusal.
        Error makeFailure(const std::string& reason) const
        {
            if (m_mayHaveCommitted)
                return { ErrorCode::OutcomeUnknown, "not known whether the change was accepted: " + reason };
            return { ErrorCode::Unavailable, "the change was not accepted: " + reason };
        }

        // Returns the error of the submit for a failed read. Keeps `Malformed` unless a commit may have taken effect.
        Error toFailure(const Error& error) const
        {
            return error.code == ErrorCode::Malformed && !m_mayHaveCommitted ? error : makeFailure(error.message);
        }

        // Returns the result that the operation's row records, or nothing if there is no row.
        std::optional<base::Result<Acceptance>> readRecordedResult()
        {
            const auto row
                = readVerifiedRow(m_platform, operationKey(m_submission.operationId), m_deadline.remaining());
            if (!row)
                return toFailure(row.error());
            if (!row.value().version)
                return std::nullopt;
            const auto& content = row.value().content;
            if (content.value("state", "") == "cancelled")
                return Error { ErrorCode::Conflict, "the operation was cancelled" };
            if (content.value("digest", "") != m_digest)
                return Error { ErrorCode::InvalidArgument, "the operation id was used for another change" };
            return Acceptance { content.value("version", std::uint64_t { 0 }),
                content.value("change", std::uint64_t { 0 }) };
        }

        base::Result<Preconditions> readPreconditions()
        {
            Preconditions preconditions;
            auto indexRow = readVerifiedRow(m_platform, indexKey, m_deadline.remaining());
            if (!indexRow)
                return indexRow.error();
            auto changeRow = readVerifiedRow(m_platform, changeKey, m_deadline.remaining());
            if (!changeRow)
                return changeRow.error();
            // Does not verify the record, because a submit must be able to replace a damaged one.
            const auto record
                = m_platform.read(servicePrefix + m_submission.service.name, true, m_deadline.remaining());
            if (!record && record.error().code != ErrorCode::NotFound)
                return record.error();
            preconditions.indexRow = std::move(indexRow.value());
            preconditions.changeRow = std::move(changeRow.value());
            preconditions.recordRowVersion = record ? record.value().version : 0;
            if (preconditions.indexRow.version)
                preconditions.serviceVersion
                    = preconditions.indexRow.content.at("services").value(m_submission.service.name, 0ULL);
            return preconditions;
        }

        // Returns nothing if another attempt is needed.
        std::optional<base::Result<Acceptance>> tryOnce()
        {
            if (auto result = readRecordedResult())
                return result;
            const auto preconditions = readPreconditions();
            if (!preconditions)
                return toFailure(preconditions.error());
            if (preconditions.value().serviceVersion != m_submission.baseVersion) {
                // An earlier commit of this operation may have taken effect since its row was read above. If it has
                // not, it never will, because its condition on the index no longer holds.
                if (auto result = readRecordedResult())
                    return result;
                return makeConflict(preconditions.value().serviceVersion);
            }
            const Acceptance acceptance { m_submission.baseVersion + 1,
                preconditions.value().changeRow.content.value("change", std::uint64_t { 0 }) + 1 };
            const auto result
                = m_platform.commit(makeWrites(preconditions.value(), acceptance), m_deadline.remaining());
            if (result)
                return acceptance;
            if (mayHaveTakenEffect(result.error().code)) {
                m_mayHaveCommitted = true;
                return std::nullopt;
            }
            if (result.error().code == ErrorCode::Conflict)
                return std::nullopt;
            return makeFailure(result.error().message);
        }

        std::vector<Write> makeWrites(const Preconditions& preconditions, const Acceptance& acceptance) const
        {
            const auto& name = m_submission.service.name;
            auto services
                = preconditions.indexRow.version ? preconditions.indexRow.content.at("services") : json::object();
            services[name] = acceptance.version;
            const auto acceptedAt
                = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallNow().time_since_epoch());
            const json history { { "text", m_text }, { "version", acceptance.version }, { "change", acceptance.change },
                { "operation", m_submission.operationId }, { "operator", m_submission.operatorName },
                { "reason", m_submission.reason }, { "accepted_ms", acceptedAt.count() } };
            const json operation { { "state", "accepted" }, { "service", name }, { "digest", m_digest },
                { "version", acceptance.version }, { "change", acceptance.change } };
            return {
                { servicePrefix + name, formatWithDigest({ { "text", m_text } }), preconditions.recordRowVersion },
                { changeKey, formatWithDigest({ { "change", acceptance.change } }), preconditions.changeRow.version },
                { indexKey, formatWithDigest({ { "change", acceptance.change }, { "services", services } }),
                    preconditions.indexRow.version },
                { historyKey(name, acceptance.version), formatWithDigest(history), 0 },
                { operationKey(m_submission.operationId), formatWithDigest(operation), 0 },
            };
        }

        Error makeConflict(std::uint64_t current)
        {
            const auto& name = m_submission.service.name;
            auto message
                = fmt::format("the current version of {} is {}, not {}", name, current, m_submission.baseVersion);
            const auto before = readVersion(m_submission.baseVersion);
            const auto after = readVersion(current);
            if (!before || !after)
                return { ErrorCode::Conflict, message };
            message += fmt::format("; changed since version {}:", m_submission.baseVersion);
            for (const auto& it : config::describeDifference(*before, *after))
                message += "\n  " + it;
            return { ErrorCode::Conflict, message };
        }

        std::optional<config::Service> readVersion(std::uint64_t version)
        {
            const auto key = historyKey(m_submission.service.name, version);
            const auto row = readVerifiedRow(m_platform, key, m_deadline.remaining());
            if (!row || !row.value().version)
                return std::nullopt;
            auto service = parseService(row.value().content.value("text", ""), key);
            return service ? std::optional(std::move(service.value())) : std::nullopt;
        }

        Platform& m_platform;
        const base::Clock& m_clock;
        const Submission& m_submission;
        Deadline m_deadline;
        std::string m_text;
        std::string m_digest;
        bool m_mayHaveCommitted = false; ///< Whether a commit of this submit may have taken effect.
    };

} // namespace

base::Result<Acceptance> ConfigurationStore::submit(const Submission& submission, std::chrono::milliseconds timeout)
{
    return SubmitOperation(m_platform, m_clock, submission, timeout).run();
}

} // namespace buckthorncroft::store
