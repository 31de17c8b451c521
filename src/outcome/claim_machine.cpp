#include <buckthorncroft/outcome/claim_machine.h>

#include <algorithm>

namespace buckthorncroft::outcome {

namespace {

    // An insert is repeated only if its outcome was unknown and no row exists. More repetitions would only add load to
    // a store that already fails.
    constexpr unsigned maxInserts = 4;

    ClaimAction makeAction(ClaimAction::Kind kind, std::uint64_t version = 0)
    {
        ClaimAction result;
        result.kind = kind;
        result.version = version;
        return result;
    }

    ClaimResult makeResult(ClaimStatus status)
    {
        ClaimResult result;
        result.status = status;
        return result;
    }

} // namespace

RecordedResponse trimForRecording(const RecordedResponse& response)
{
    auto result = response;
    std::size_t headerBytes = 0;
    for (const auto& [name, value] : result.headers)
        headerBytes += name.size() + value.size();
    if (headerBytes + result.body.size() > maxRecordedBytes) {
        result.body.clear();
        result.bodyRecorded = false;
    }
    if (headerBytes > maxRecordedBytes)
        result.headers.clear();
    return result;
}

ClaimMachine::ClaimMachine(
    std::string requestDigest, std::string token, base::SteadyTime deadline, const ClaimTimes& times)
    : m_requestDigest(std::move(requestDigest))
    , m_token(std::move(token))
    , m_deadline(deadline)
    , m_times(times)
    , m_backoff(times.initialBackoff)
{
}

ClaimActions ClaimMachine::start(base::SteadyTime now)
{
    if (m_state != State::Idle)
        return {};
    m_sendBefore = now + m_times.maxSendDelay;
    if (now >= m_deadline)
        return finish(makeResult(ClaimStatus::Unavailable), now, false);
    return insert();
}

ClaimActions ClaimMachine::insert()
{
    ++m_insertCount;
    m_insertConflicted = false;
    m_state = State::Inserting;
    return { makeAction(ClaimAction::Kind::Insert) };
}

// Handles a row that exists with this machine's token.
ClaimActions ClaimMachine::resolveOwnRow(base::SteadyTime now)
{
    if (now >= m_sendBefore || now >= m_deadline)
        return finish(makeResult(ClaimStatus::Unavailable), now, true);
    ClaimResult result;
    result.status = ClaimStatus::Held;
    result.token = m_token;
    result.sendBefore = m_sendBefore;
    m_state = State::Held;
    auto delivery = makeAction(ClaimAction::Kind::DeliverResult);
    delivery.result = std::move(result);
    return { std::move(delivery) };
}

// Delivers a result that does not permit sending, and starts a cleanup if this machine's row exists or may appear
// later.
ClaimActions ClaimMachine::finish(ClaimResult result, base::SteadyTime now, bool rowMayExist)
{
    auto delivery = makeAction(ClaimAction::Kind::DeliverResult);
    delivery.result = std::move(result);
    ClaimActions actions { std::move(delivery) };
    if (!rowMayExist && !m_insertMayTakeEffect) {
        m_state = State::Ended;
        return actions;
    }
    m_cleanupStartedAt = now;
    for (auto& it : scheduleCleanup(now))
        actions.push_back(std::move(it));
    return actions;
}

ClaimActions ClaimMachine::writeCommitted(base::SteadyTime now)
{
    if (m_state == State::Inserting)
        return resolveOwnRow(now);
    if (m_state != State::Deleting)
        return {};
    return m_insertMayTakeEffect ? scheduleCleanupUnlessDone(now) : endCleanup();
}

ClaimActions ClaimMachine::writeConflicted(base::SteadyTime now)
{
    if (m_state == State::Inserting) {
        m_insertConflicted = true;
        m_state = State::ReadingBack;
        return { makeAction(ClaimAction::Kind::Read) };
    }
    return m_state == State::Deleting ? scheduleCleanup(now) : ClaimActions {};
}

ClaimActions ClaimMachine::writeOutcomeUnknown(base::SteadyTime now)
{
    if (m_state == State::Inserting) {
        m_insertMayTakeEffect = true;
        m_state = State::ReadingBack;
        return { makeAction(ClaimAction::Kind::Read) };
    }
    return m_state == State::Deleting ? scheduleCleanup(now) : ClaimActions {};
}

ClaimActions ClaimMachine::writeRefused(base::SteadyTime now)
{
    if (m_state == State::Inserting)
        return finish(makeResult(ClaimStatus::Unavailable), now, false);
    return m_state == State::Deleting ? scheduleCleanup(now) : ClaimActions {};
}

ClaimActions ClaimMachine::rowRead(const std::optional<StoredClaim>& row, base::SteadyTime now)
{
    if (m_state == State::CleanupReading)
        return resolveCleanupRead(row, now);
    if (m_state != State::ReadingBack)
        return {};
    if (row && row->row.token == m_token)
        return resolveOwnRow(now);
    if (row)
        return resolveForeignRow(row->row, now);
    if (m_insertCount < maxInserts && now < m_deadline && now < m_sendBefore)
        return insert();
    return finish(makeResult(ClaimStatus::Unavailable), now, false);
}

// Handles a row that exists with the token of another attempt.
ClaimActions ClaimMachine::resolveForeignRow(const ClaimRow& row, base::SteadyTime now)
{
    if (row.requestDigest != m_requestDigest)
        return finish(makeResult(ClaimStatus::DigestMismatch), now, false);
    auto result = makeResult(row.response ? ClaimStatus::Replay : ClaimStatus::InProgress);
    result.response = row.response;
    return finish(std::move(result), now, false);
}

ClaimActions ClaimMachine::readFailed(base::SteadyTime now)
{
    if (m_state == State::CleanupReading)
        return scheduleCleanup(now);
    if (m_state != State::ReadingBack)
        return {};
    // After a conflict, another request may have run under this key, so the result must not be "not run".
    return finish(makeResult(m_insertConflicted ? ClaimStatus::InProgress : ClaimStatus::Unavailable), now, false);
}

ClaimActions ClaimMachine::release(base::SteadyTime now)
{
    if (m_state != State::Held)
        return {};
    m_cleanupStartedAt = now;
    m_state = State::CleanupReading;
    return { makeAction(ClaimAction::Kind::Read) };
}

ClaimActions ClaimMachine::resolveCleanupRead(const std::optional<StoredClaim>& row, base::SteadyTime now)
{
    if (!m_cleanupDeadline)
        m_cleanupDeadline = now + m_times.cleanupPeriod;
    if (!row || row->row.token != m_token)
        return scheduleCleanupUnlessDone(now);
    // A recorded response means that the request ran, so the row must stay.
    if (row->row.response)
        return endCleanup();
    m_state = State::Deleting;
    return { makeAction(ClaimAction::Kind::Delete, row->version) };
}

ClaimActions ClaimMachine::endCleanup()
{
    m_state = State::Ended;
    return {};
}

// Called only when this machine's row certainly does not exist at the moment. A step whose outcome is unknown never
// ends the cleanup.
ClaimActions ClaimMachine::scheduleCleanupUnlessDone(base::SteadyTime now)
{
    return m_cleanupDeadline && now >= *m_cleanupDeadline ? endCleanup() : scheduleCleanup(now);
}

// Schedules the next cleanup step, or ends the cleanup after `cleanupTimeout`.
ClaimActions ClaimMachine::scheduleCleanup(base::SteadyTime now)
{
    if (now >= *m_cleanupStartedAt + m_times.cleanupTimeout)
        return endCleanup();
    m_state = State::Waiting;
    auto wait = makeAction(ClaimAction::Kind::Wait);
    wait.time = now + m_backoff;
    m_backoff = std::min(m_backoff * 2, m_times.maxBackoff);
    return { std::move(wait) };
}

ClaimActions ClaimMachine::waitElapsed(base::SteadyTime)
{
    if (m_state != State::Waiting)
        return {};
    m_state = State::CleanupReading;
    return { makeAction(ClaimAction::Kind::Read) };
}

} // namespace buckthorncroft::outcome
