#define BOOST_TEST_MODULE RequestOutcome
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/outcome/request_outcome.h>
#include <rapidcheck.h>

using namespace buckthorncroft;
using outcome::Outcome;

// Guards against a request that ran but is reported as not run. For any sequence of calls, even a faulty one, a request
// with an attempt that sent bytes and was not refused afterwards must not have the outcome NotRun.
BOOST_AUTO_TEST_CASE(requestSentAndNeverRefusedIsNeverNotRun)
{
    BOOST_TEST(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& calls) {
        outcome::RequestOutcome request;
        // For each attempt, whether it sent bytes after its last refusal or got a response.
        std::vector<bool> mayHaveRunAttempts;
        bool misused = false;
        for (const auto& [call, which] : calls) {
            const std::size_t attempt = which % 4;
            const bool known = attempt < mayHaveRunAttempts.size();
            switch (call % 4) {
            case 0:
                request.startAttempt();
                mayHaveRunAttempts.push_back(false);
                break;
            case 1:
                request.recordBytesSent(attempt);
                if (known)
                    mayHaveRunAttempts[attempt] = true;
                misused = misused || !known;
                break;
            case 2: {
                const bool wasCompleted = request.outcome() == Outcome::Completed;
                request.recordNotRunRefusal(attempt);
                if (known && !wasCompleted)
                    mayHaveRunAttempts[attempt] = false;
                misused = misused || !known;
                break;
            }
            default:
                request.recordResponse(attempt);
                misused = misused || !known;
                break;
            }
        }
        const bool mayHaveRun = misused
            || std::find(mayHaveRunAttempts.begin(), mayHaveRunAttempts.end(), true) != mayHaveRunAttempts.end();
        RC_ASSERT(!mayHaveRun || request.outcome() != Outcome::NotRun);
        RC_ASSERT(!mayHaveRun || !request.mayRunAgain());
    }));
}

// Guards against counting refusals over all attempts, so that a repeated refusal of one attempt covers another attempt.
BOOST_AUTO_TEST_CASE(secondRefusalDoesNotCoverAnotherAttempt)
{
    outcome::RequestOutcome request;
    const auto first = request.startAttempt();
    request.recordBytesSent(first);
    request.recordNotRunRefusal(first);
    BOOST_TEST(request.mayRunAgain());
    const auto second = request.startAttempt();
    request.recordBytesSent(second);
    request.recordNotRunRefusal(first);
    BOOST_TEST((request.outcome() == Outcome::Unknown));
    BOOST_TEST(request.misuses() == 0u);
    request.recordResponse(second);
    BOOST_TEST((request.outcome() == Outcome::Completed));
}

// Guards against accepting a refusal for an attempt without recorded bytes. The target must have received bytes that
// were not recorded, so the request may have run.
BOOST_AUTO_TEST_CASE(refusalWithoutBytesIsAMisuse)
{
    outcome::RequestOutcome request;
    const auto attempt = request.startAttempt();
    BOOST_TEST((request.outcome() == Outcome::NotRun));
    request.recordNotRunRefusal(attempt);
    BOOST_TEST(request.misuses() == 1u);
    BOOST_TEST((request.outcome() == Outcome::Unknown));
    BOOST_TEST(!request.mayRunAgain());
}
