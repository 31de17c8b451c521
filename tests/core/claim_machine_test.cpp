#define BOOST_TEST_MODULE ClaimMachine
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <buckthorncroft/outcome/claim_machine.h>
#include <buckthorncroft/outcome/write_budget.h>
#include <memory>
#include <random>
#include <rapidcheck.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using base::SteadyTime;
using outcome::ClaimAction;
using outcome::ClaimStatus;
using Kind = outcome::ClaimAction::Kind;

namespace {

constexpr SteadyTime start { 1000h };

outcome::StoredClaim stored(const std::string& token, std::uint64_t version = 1)
{
    return { { "holder", token, "digest", {}, {} }, version };
}

// Simulates the table row of one key, with all of its past states for stale reads and with writes that take effect
// late.
struct SimulatedTable {
    struct Delayed {
        SteadyTime due;
        std::string token;
        std::uint64_t deleteVersion = 0; ///< 0: insert.
    };
    std::vector<std::optional<outcome::StoredClaim>> states { std::nullopt };
    std::vector<Delayed> delayed;
    std::uint64_t version = 0;

    bool write(const std::string& token, std::uint64_t deleteVersion)
    {
        const auto& row = states.back();
        if ((row ? row->version : 0) != deleteVersion)
            return false;
        if (deleteVersion)
            states.emplace_back(std::nullopt);
        else
            states.emplace_back(stored(token, ++version));
        return true;
    }
    void runDelayed(SteadyTime now)
    {
        for (auto& it : delayed) {
            if (it.due <= now && !it.token.empty()) {
                write(it.token, it.deleteVersion);
                it.token.clear();
            }
        }
    }
};

// One attempt of the caller through one instance, and whether its request ran.
struct Attempt {
    std::unique_ptr<outcome::ClaimMachine> machine;
    std::vector<ClaimAction> actions;
    std::optional<outcome::ClaimResult> result;
    unsigned results = 0;
    bool ran = false;
    bool decided = false;
};

class Simulation {
public:
    Simulation(unsigned seed, unsigned attempts, bool staleReads)
        : m_random(seed)
        , m_attempts(attempts)
        , m_staleReads(staleReads)
    {
    }

    void run(unsigned steps)
    {
        for (unsigned n = 0; n < steps; ++n) {
            if (chance(10))
                m_now += std::chrono::milliseconds(randomBelow(9000)); // Simulates a pause of all instances.
            m_now += std::chrono::milliseconds(randomBelow(50));
            m_table.runDelayed(m_now);
            step(m_attempts[randomBelow(m_attempts.size())]);
        }
    }

    // Stops injecting faults and runs until all attempts have finished.
    void settle()
    {
        m_faults = false;
        for (unsigned n = 0; n < 2000; ++n) {
            m_now += 500ms;
            m_table.runDelayed(m_now);
            for (auto& it : m_attempts) {
                if (it.machine)
                    step(it);
            }
        }
    }

    unsigned runs() const { return m_runs; }
    const std::vector<Attempt>& attempts() const { return m_attempts; }
    bool rowExists() const { return m_table.states.back().has_value(); }

private:
    std::size_t randomBelow(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }
    bool chance(unsigned percent) { return randomBelow(100) < percent; }
    bool fault(unsigned percent) { return m_faults && chance(percent); }

    void add(Attempt& attempt, std::vector<ClaimAction> actions)
    {
        for (auto& it : actions)
            attempt.actions.push_back(std::move(it));
    }

    void step(Attempt& attempt)
    {
        if (!attempt.machine) {
            const auto token = "t" + std::to_string(++m_tokens);
            attempt.machine = std::make_unique<outcome::ClaimMachine>("digest", token, m_now + 10s);
            add(attempt, attempt.machine->start(m_now));
            return;
        }
        if (attempt.machine->isHeld() && attempt.actions.empty())
            return useClaim(attempt);
        // The caller retries after an attempt that did not run.
        if (attempt.machine->hasEnded() && attempt.actions.empty() && m_faults && attempt.results == 1)
            attempt = {};
        if (attempt.actions.empty())
            return;
        const auto action = attempt.actions.front();
        if (action.kind == Kind::Wait && action.time > m_now)
            return;
        attempt.actions.erase(attempt.actions.begin());
        perform(attempt, action);
    }

    // The holder checks the clock again before the first byte. Some requests are refused by the target as not run.
    void useClaim(Attempt& attempt)
    {
        if (attempt.decided)
            return;
        attempt.decided = true;
        const bool permitted = m_now < attempt.result->sendBefore;
        attempt.ran = permitted && chance(40);
        m_runs += attempt.ran ? 1 : 0;
        if (!attempt.ran)
            add(attempt, attempt.machine->release(m_now));
    }

    void perform(Attempt& attempt, const ClaimAction& action)
    {
        auto& machine = *attempt.machine;
        switch (action.kind) {
        case Kind::DeliverResult:
            attempt.result = action.result;
            ++attempt.results;
            break;
        case Kind::Wait:
            add(attempt, machine.waitElapsed(m_now));
            break;
        case Kind::Read:
            read(attempt);
            break;
        case Kind::Insert:
        case Kind::Delete:
            write(attempt, action.version);
            break;
        }
    }

    void read(Attempt& attempt)
    {
        if (fault(20))
            return add(attempt, attempt.machine->readFailed(m_now));
        const auto& states = m_table.states;
        const auto age = m_staleReads && fault(30) ? randomBelow(states.size()) : 0;
        add(attempt, attempt.machine->rowRead(states[states.size() - 1 - age], m_now));
    }

    void write(Attempt& attempt, std::uint64_t version)
    {
        auto& machine = *attempt.machine;
        if (fault(10))
            return add(attempt, machine.writeRefused(m_now));
        if (fault(15)) {
            m_table.delayed.push_back(
                { m_now + std::chrono::milliseconds(randomBelow(30000)), machine.token(), version });
            return add(attempt, machine.writeOutcomeUnknown(m_now));
        }
        if (fault(5))
            return add(attempt, machine.writeOutcomeUnknown(m_now)); // The write never reaches the table.
        const bool applied = m_table.write(machine.token(), version);
        if (fault(20))
            return add(attempt, machine.writeOutcomeUnknown(m_now));
        add(attempt, applied ? machine.writeCommitted(m_now) : machine.writeConflicted(m_now));
    }

    std::mt19937 m_random;
    std::vector<Attempt> m_attempts;
    SimulatedTable m_table;
    SteadyTime m_now = start;
    unsigned m_tokens = 0;
    unsigned m_runs = 0;
    bool m_faults = true;
    bool m_staleReads;
};

} // namespace

// Guards against running a booking twice. With lost, delayed and refused writes, stale and failed reads, pauses and
// many attempts under one key, at most one request runs and each attempt gets exactly one result. A key under which
// nothing ran becomes free again. Only this last property needs the fresh reads that the platform guarantees.
BOOST_AUTO_TEST_CASE(atMostOneAttemptRunsUnderOneKey)
{
    unsigned ran = 0;
    const bool ok = rc::check([&] {
        // RapidCheck's default generator returns numbers that grow with the test's size, so the seed is drawn from the
        // whole range instead.
        const auto seed = *rc::gen::noShrink(rc::gen::inRange<unsigned>(0, 1u << 30));
        for (unsigned n = 0; n < 20; ++n) {
            const bool stale = n % 2 == 1;
            Simulation simulation(seed + n, 2 + n % 7, stale);
            simulation.run(1000);
            RC_ASSERT(simulation.runs() <= 1u);
            simulation.settle();
            RC_ASSERT(simulation.runs() <= 1u);
            RC_ASSERT(stale || simulation.rowExists() == (simulation.runs() == 1u));
            for (const auto& it : simulation.attempts())
                RC_ASSERT(!it.machine || (it.results == 1u && (it.machine->hasEnded() || it.ran)));
            ran += simulation.runs();
        }
    });
    BOOST_TEST(ok);
    BOOST_TEST(ran > 0u); // Without a request that ran, the checks above would prove nothing.
}

// Guards against treating a write with unknown outcome as refused or committed without reading the table.
BOOST_AUTO_TEST_CASE(unknownWriteOutcomeIsResolvedByReadingBack)
{
    outcome::ClaimMachine own("digest", "t1", start + 5s);
    BOOST_TEST((own.start(start).at(0).kind == Kind::Insert));
    BOOST_TEST((own.writeOutcomeUnknown(start).at(0).kind == Kind::Read));
    const auto held = own.rowRead(stored("t1"), start + 1s);
    BOOST_TEST((held.at(0).result.status == ClaimStatus::Held));
    BOOST_TEST((held.at(0).result.sendBefore == start + 5s));

    outcome::ClaimMachine absent("digest", "t1", start + 5s);
    absent.start(start);
    absent.writeOutcomeUnknown(start);
    BOOST_TEST((absent.rowRead({}, start).at(0).kind == Kind::Insert));
    absent.writeConflicted(start); // The first insert took effect late.
    BOOST_TEST((absent.rowRead(stored("t1"), start).at(0).result.status == ClaimStatus::Held));

    outcome::ClaimMachine other("digest", "t1", start + 5s);
    other.start(start);
    other.writeOutcomeUnknown(start);
    const auto actions = other.rowRead(stored("t2"), start);
    BOOST_TEST((actions.at(0).result.status == ClaimStatus::InProgress));
    BOOST_TEST((actions.at(1).kind == Kind::Wait)); // The delayed insert may still take effect.
}

// Guards against a holder that was paused and sends long after it made its claim.
BOOST_AUTO_TEST_CASE(pausedHolderDoesNotSend)
{
    outcome::ClaimMachine machine("digest", "t1", start + 60s);
    machine.start(start);
    const auto actions = machine.writeCommitted(start + 5s);
    BOOST_TEST((actions.at(0).result.status == ClaimStatus::Unavailable));
    BOOST_TEST((actions.at(1).kind == Kind::Wait));
    BOOST_TEST((machine.waitElapsed(start + 6s).at(0).kind == Kind::Read));
    BOOST_TEST(machine.rowRead(stored("t1", 9), start + 6s).at(0).version == 9u);
    machine.writeCommitted(start + 6s);
    BOOST_TEST(machine.hasEnded());
}

// Guards against a cleanup that ends while a delayed insert may still take effect, and against one that never ends.
BOOST_AUTO_TEST_CASE(cleanupLastsSixtySecondsAfterTheStoreRespondsAgain)
{
    outcome::ClaimMachine machine("digest", "t1", start + 5s);
    machine.start(start);
    machine.writeOutcomeUnknown(start);
    auto now = start;
    auto actions = machine.readFailed(now);
    BOOST_TEST((actions.at(0).result.status == ClaimStatus::Unavailable));
    for (; now < start + 2h; now += 10s) { // The store is unavailable.
        machine.waitElapsed(now);
        machine.readFailed(now);
    }
    const auto storeAvailableAt = now;
    while (!machine.hasEnded()) {
        now += 8s;
        machine.waitElapsed(now);
        machine.rowRead({}, now);
    }
    BOOST_TEST((now - storeAvailableAt >= 60s));
    BOOST_TEST((now - storeAvailableAt < 80s));
}

// Guards against a request that runs under the key of another request, or that runs again although its response is
// recorded.
BOOST_AUTO_TEST_CASE(existingRowIsReplayedOrRefused)
{
    const auto resultFor = [](const outcome::StoredClaim& row) {
        outcome::ClaimMachine machine("digest", "t1", start + 5s);
        machine.start(start);
        machine.writeConflicted(start);
        auto actions = machine.rowRead(row, start);
        BOOST_TEST(machine.hasEnded());
        return actions.at(0).result;
    };
    auto row = stored("t2");
    BOOST_TEST((resultFor(row).status == ClaimStatus::InProgress));
    row.row.response = outcome::RecordedResponse { 201, {}, "booked", true };
    const auto replay = resultFor(row);
    BOOST_TEST((replay.status == ClaimStatus::Replay));
    BOOST_TEST(replay.response.value().body == "booked");
    row.row.requestDigest = "other";
    BOOST_TEST((resultFor(row).status == ClaimStatus::DigestMismatch));
    const auto large = outcome::trimForRecording({ 200, {}, std::string(outcome::maxRecordedBytes + 1, 'x'), true });
    BOOST_TEST(large.body.empty());
    BOOST_TEST(!large.bodyRecorded);
}

// Guards against a fleet that writes more than the platform's table accepts.
BOOST_AUTO_TEST_CASE(writeBudgetIsSharedByLiveInstances)
{
    outcome::WriteBudget budget;
    budget.setLiveInstances(40);
    unsigned taken = 0;
    for (auto now = start; now < start + 100s; now += 10ms)
        taken += budget.tryTake(2, now) ? 2 : 0;
    BOOST_TEST(taken <= 15u + 750u); // One burst, then 300/s divided by 40.
    BOOST_TEST(taken >= 740u);
}
