#include <buckthorncroft/outcome/claim_machine.h>

#include <algorithm>

namespace buckthorncroft::outcome {

namespace {

    // Each further insert follows a lost answer and an absent row; more of them would only add load to a store in
    // trouble.
    constexpr unsigned maxInserts = 4;

    ClaimAction action(ClaimAction::Kind kind, std::uint64_t version = 0)
    {
        ClaimAction result;
        result.kind = kind;
        result.version = version;
        return result;
    }

    ClaimResult statusOnly(ClaimStatus status)
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
    , m_pause(times.initialBackoff)
{
}

ClaimActions ClaimMachine::start(base::SteadyTime now)
{
    if (m_state != State::Idle)
        return {};
    m_sendBefore = now + m_times.sendPermission;
    if (now >= m_deadline)
        return finish(statusOnly(ClaimStatus::Unavailable), now, false);
    return insert();
}

ClaimActions ClaimMachine::insert()
{
    ++m_inserts;
    m_conflicted = false;
    m_state = State::Inserting;
    return { action(ClaimAction::Kind::Insert) };
}

// The row with the own token exists.
ClaimActions ClaimMachine::acquired(base::SteadyTime now)
{
    if (now >= m_sendBefore || now >= m_deadline)
        return finish(statusOnly(ClaimStatus::Unavailable), now, true);
    ClaimResult result;
    result.status = ClaimStatus::Held;
    result.token = m_token;
    result.sendBefore = m_sendBefore;
    m_state = State::Held;
    auto given = action(ClaimAction::Kind::DeliverResult);
    given.result = std::move(result);
    return { std::move(given) };
}

// Gives a result that does not allow sending, and cleans up if the own row exists or may come into existence.
ClaimActions ClaimMachine::finish(ClaimResult result, base::SteadyTime now, bool mayHoldRow)
{
    auto given = action(ClaimAction::Kind::DeliverResult);
    given.result = std::move(result);
    ClaimActions actions { std::move(given) };
    if (!mayHoldRow && !m_insertInDoubt) {
        m_state = State::Ended;
        return actions;
    }
    m_cleanupStarted = now;
    for (auto& it : pause(now))
        actions.push_back(std::move(it));
    return actions;
}

ClaimActions ClaimMachine::writeCommitted(base::SteadyTime now)
{
    if (m_state == State::Inserting)
        return acquired(now);
    if (m_state != State::Deleting)
        return {};
    return m_insertInDoubt ? pauseUnlessDone(now) : end();
}

ClaimActions ClaimMachine::writeConflicted(base::SteadyTime now)
{
    if (m_state == State::Inserting) {
        m_conflicted = true;
        m_state = State::ReadingBack;
        return { action(ClaimAction::Kind::Read) };
    }
    return m_state == State::Deleting ? pause(now) : ClaimActions {};
}

ClaimActions ClaimMachine::writeOutcomeUnknown(base::SteadyTime now)
{
    if (m_state == State::Inserting) {
        m_insertInDoubt = true;
        m_state = State::ReadingBack;
        return { action(ClaimAction::Kind::Read) };
    }
    return m_state == State::Deleting ? pause(now) : ClaimActions {};
}

ClaimActions ClaimMachine::writeRefused(base::SteadyTime now)
{
    if (m_state == State::Inserting)
        return finish(statusOnly(ClaimStatus::Unavailable), now, false);
    return m_state == State::Deleting ? pause(now) : ClaimActions {};
}

ClaimActions ClaimMachine::rowRead(const std::optional<StoredClaim>& row, base::SteadyTime now)
{
    if (m_state == State::CleanupReading)
        return cleanupRead(row, now);
    if (m_state != State::ReadingBack)
        return {};
    if (row && row->row.token == m_token)
        return acquired(now);
    if (row)
        return occupied(row->row, now);
    if (m_inserts < maxInserts && now < m_deadline && now < m_sendBefore)
        return insert();
    return finish(statusOnly(ClaimStatus::Unavailable), now, false);
}

// Another request's row exists.
ClaimActions ClaimMachine::occupied(const ClaimRow& row, base::SteadyTime now)
{
    if (row.requestDigest != m_requestDigest)
        return finish(statusOnly(ClaimStatus::DigestMismatch), now, false);
    auto result = statusOnly(row.response ? ClaimStatus::Replay : ClaimStatus::InProgress);
    result.response = row.response;
    return finish(std::move(result), now, false);
}

ClaimActions ClaimMachine::readFailed(base::SteadyTime now)
{
    if (m_state == State::CleanupReading)
        return pause(now);
    if (m_state != State::ReadingBack)
        return {};
    // After a conflict another request may have run under this key, so the caller must not hear "not run".
    return finish(statusOnly(m_conflicted ? ClaimStatus::InProgress : ClaimStatus::Unavailable), now, false);
}

ClaimActions ClaimMachine::release(base::SteadyTime now)
{
    if (m_state != State::Held)
        return {};
    m_cleanupStarted = now;
    m_state = State::CleanupReading;
    return { action(ClaimAction::Kind::Read) };
}

ClaimActions ClaimMachine::cleanupRead(const std::optional<StoredClaim>& row, base::SteadyTime now)
{
    if (!m_cleanupUntil)
        m_cleanupUntil = now + m_times.cleanup;
    if (!row || row->row.token != m_token)
        return pauseUnlessDone(now);
    // A recorded answer means that the request ran, so the row must stay.
    if (row->row.response)
        return end();
    m_state = State::Deleting;
    return { action(ClaimAction::Kind::Delete, row->version) };
}

ClaimActions ClaimMachine::end()
{
    m_state = State::Ended;
    return {};
}

// The own row is known to be absent now. A step that ended in doubt never ends the cleanup.
ClaimActions ClaimMachine::pauseUnlessDone(base::SteadyTime now)
{
    return m_cleanupUntil && now >= *m_cleanupUntil ? end() : pause(now);
}

// Schedules the next cleanup step.
ClaimActions ClaimMachine::pause(base::SteadyTime now)
{
    if (now >= *m_cleanupStarted + m_times.cleanupLimit)
        return end();
    m_state = State::Waiting;
    auto wait = action(ClaimAction::Kind::Wait);
    wait.time = now + m_pause;
    m_pause = std::min(m_pause * 2, m_times.maxBackoff);
    return { std::move(wait) };
}

ClaimActions ClaimMachine::waitElapsed(base::SteadyTime)
{
    if (m_state != State::Waiting)
        return {};
    m_state = State::CleanupReading;
    return { action(ClaimAction::Kind::Read) };
}

} // namespace buckthorncroft::outcome
