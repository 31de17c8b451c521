#define BOOST_TEST_MODULE Limits
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <buckthorncroft/limits/admission_queue.h>
#include <buckthorncroft/limits/connection_share.h>
#include <buckthorncroft/limits/memory_budget.h>
#include <buckthorncroft/limits/retry_budget.h>
#include <rapidcheck.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using config::RequestKind;
using limits::Refusal;

namespace {

const base::SteadyTime start { std::chrono::hours(1) };

} // namespace

// Guards against retry storms: the total number of attempts must not exceed 1.1 times the requests at any time.
BOOST_AUTO_TEST_CASE(extraAttemptsStayWithinTheirFractionOfRequests)
{
    BOOST_TEST(rc::check([](const std::vector<bool>& steps) {
        limits::RetryBudget budget(0.1);
        std::uint64_t requests = 0;
        std::uint64_t extra = 0;
        for (const bool isRequest : steps) {
            if (isRequest) {
                ++requests;
                budget.recordRequest();
            } else {
                extra += budget.tryTake();
            }
            RC_ASSERT(10 * extra <= requests);
        }
    }));
}

// Guards against late responses caused by a queue that ignores deadlines, and against starvation of a kind of request.
BOOST_AUTO_TEST_CASE(requestsLeaveByDeadlineAndEveryKindIsServed)
{
    BOOST_TEST(rc::check([] {
        const auto entries = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(1, 100000), rc::gen::inRange(0, 3)));
        limits::AdmissionQueue queue(10000, 3);
        std::array<std::size_t, 3> queued {};
        std::uint64_t id = 0;
        for (const auto& [deadline, kind] : entries) {
            const limits::WaitingRequest it { id++, static_cast<RequestKind>(kind), start + deadline * 1ms };
            RC_ASSERT(queue.enqueue(it, start) == Refusal::None);
            ++queued[static_cast<std::size_t>(kind)];
        }
        std::array<base::SteadyTime, 3> last {};
        std::array<int, 3> passedOver {};
        std::vector<limits::WaitingRequest> expired;
        while (const auto next = queue.pop(start, expired)) {
            const auto kind = static_cast<std::size_t>(next->kind);
            RC_ASSERT(last[kind] <= next->deadline);
            last[kind] = next->deadline;
            --queued[kind];
            for (std::size_t i = 0; i < 3; ++i) {
                passedOver[i] = i == kind || queued[i] == 0 ? 0 : passedOver[i] + 1;
                RC_ASSERT(passedOver[i] <= 8);
            }
        }
        RC_ASSERT(expired.empty() && queue.size() == 0);
    }));
}

// Guards against queueing requests that cannot be completed before their deadline.
BOOST_AUTO_TEST_CASE(aRequestThatCannotMeetItsDeadlineIsRefusedEarly)
{
    limits::AdmissionQueue queue(100, 2);
    queue.recordServiceTime(RequestKind::Idempotent, 100ms);
    for (std::uint64_t i = 0; i < 10; ++i)
        BOOST_TEST((queue.enqueue({ i, RequestKind::Idempotent, start + 1s }, start) == Refusal::None));
    // Ten requests ahead on two slots take 500 ms, the request itself takes 100 ms.
    BOOST_TEST((queue.enqueue({ 10, RequestKind::Idempotent, start + 1001ms }, start) == Refusal::None));
    BOOST_TEST((queue.enqueue({ 11, RequestKind::Idempotent, start + 90ms }, start) == Refusal::DeadlineTooClose));
    limits::AdmissionQueue full(100, 1);
    full.recordServiceTime(RequestKind::Idempotent, 100ms);
    for (std::uint64_t i = 0; i < 30; ++i)
        full.enqueue({ i, RequestKind::Idempotent, start + 3000ms }, start);
    BOOST_TEST((full.enqueue({ 40, RequestKind::Idempotent, start + 3000ms }, start) == Refusal::DeadlineTooClose));
    BOOST_TEST(full.retryAfter().count() == 3);
    std::vector<limits::WaitingRequest> expired;
    full.recordServiceTime(RequestKind::Idempotent, 100ms);
    BOOST_TEST(!full.pop(start + 2950ms, expired).has_value());
    BOOST_TEST(expired.size() == 30u);
    BOOST_TEST(full.size() == 0u);
}

// Guards against a queue that refuses all requests forever after a slow period, because no request runs that could
// correct its estimate.
BOOST_AUTO_TEST_CASE(theEstimateRecoversWithoutFinishedRequests)
{
    limits::AdmissionQueue queue(100, 2);
    queue.recordServiceTime(RequestKind::Idempotent, 20s);
    BOOST_TEST((queue.enqueue({ 1, RequestKind::Idempotent, start + 1s }, start) == Refusal::DeadlineTooClose));
    const auto later = start + 6s;
    BOOST_TEST((queue.enqueue({ 1, RequestKind::Idempotent, later + 1s }, later) == Refusal::None));
}

// Guards against a burst of one kind of request that fills the whole queue.
BOOST_AUTO_TEST_CASE(eachKindHasReservedQueuePlaces)
{
    limits::AdmissionQueue queue(16, 1);
    std::uint64_t id = 0;
    while (queue.enqueue({ id, RequestKind::Upload, start + 10s }, start) == Refusal::None)
        ++id;
    BOOST_TEST(id == 12u);
    BOOST_TEST((queue.enqueue({ 100, RequestKind::NonIdempotent, start + 10s }, start) == Refusal::None));
    BOOST_TEST(queue.remove(100));
    BOOST_TEST(!queue.remove(100));
    BOOST_TEST(queue.removeExpired(start + 10s).size() == 12u);
}

// Guards against one service that uses all memory of the process, and against counting a release twice.
BOOST_AUTO_TEST_CASE(memoryIsBoundedForServiceAndProcess)
{
    limits::MemoryBudget process(100);
    limits::MemoryBudget a(80, &process);
    limits::MemoryBudget b(80, &process);
    {
        limits::MemoryReservation held(a);
        BOOST_TEST(held.tryGrow(70));
        BOOST_TEST(!held.tryGrow(11));
        BOOST_TEST(!b.tryReserve(31));
        BOOST_TEST(b.used() == 0u);
        BOOST_TEST(b.tryReserve(30));
        BOOST_TEST(!b.tryReserve(static_cast<std::size_t>(-1)));
    }
    BOOST_TEST(process.used() == 30u);
    b.release(1000);
    BOOST_TEST(process.used() == 0u);
}

// Guards against exceeding the connection limit of a target with the connections of all instances.
BOOST_AUTO_TEST_CASE(connectionsAreDividedAmongTheInstances)
{
    BOOST_TEST(limits::connectionShare(400, 40) == 8u);
    BOOST_TEST(limits::connectionShare(330, 44) == 6u);
    BOOST_TEST(limits::connectionShare(400, 90) == 4u);
    BOOST_TEST(limits::connectionShare(10, 44) == 1u);
}
