#define BOOST_TEST_MODULE RequestOutcome
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/outcome/request_outcome.h>
#include <rapidcheck.h>

using namespace buckthorncroft;
using outcome::Outcome;

// Guards against a booking that ran and is reported as not run, whatever calls a faulty caller makes: after bytes were
// sent on an attempt and no refusal followed for it, the request must never look not run.
BOOST_AUTO_TEST_CASE(sentAndNeverRefusedNeverLooksNotRun)
{
    BOOST_TEST(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& calls) {
        outcome::RequestOutcome request;
        std::vector<bool> open; // Attempts that sent bytes after their last refusal, or that were answered.
        bool contradicted = false;
        for (const auto& [call, which] : calls) {
            const std::size_t attempt = which % 4;
            const bool known = attempt < open.size();
            switch (call % 4) {
            case 0:
                request.startAttempt();
                open.push_back(false);
                break;
            case 1:
                request.recordBytesSent(attempt);
                if (known)
                    open[attempt] = true;
                contradicted = contradicted || !known;
                break;
            case 2: {
                const bool answeredBefore = request.outcome() == Outcome::Completed;
                request.recordNotRunRefusal(attempt);
                if (known && !answeredBefore)
                    open[attempt] = false;
                contradicted = contradicted || !known;
                break;
            }
            default:
                request.recordResponse(attempt);
                contradicted = contradicted || !known;
                break;
            }
        }
        const bool mayHaveRun = contradicted || std::find(open.begin(), open.end(), true) != open.end();
        RC_ASSERT(!mayHaveRun || request.outcome() != Outcome::NotRun);
        RC_ASSERT(!mayHaveRun || !request.mayRunAgain());
    }));
}

// Guards against a count of refusals that lets one attempt's second refusal cancel another attempt.
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

// Guards against a refusal that is accepted for an attempt that sent nothing, and hides that bytes were sent unseen.
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
