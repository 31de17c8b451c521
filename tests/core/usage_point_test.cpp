#define BOOST_TEST_MODULE UsagePoint
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <buckthorncroft/limits/usage_point.h>
#include <deque>
#include <map>
#include <ostream>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using limits::UsageVerdict;

namespace buckthorncroft::limits {

// RapidCheck prints the values of failing cases.
static std::ostream& operator<<(std::ostream& out, const UsageAllowance& it)
{
    return out << it.ratePerSecond << "/s, burst " << it.burst;
}

} // namespace buckthorncroft::limits

namespace {

constexpr auto step = 20ms;
constexpr limits::UsageAllowance usualAllowance { 40, 30 };

/// Instances of which each asks one point, as `UsageClient` chooses it. Each instance sends `rate` requests of one
/// workspace a second.
class Fleet {
public:
    explicit Fleet(std::size_t size, unsigned seed = 1, const limits::UsageAllowance& allowance = usualAllowance)
        : m_instances(size)
        , m_random(seed)
        , m_allowance(allowance)
    {
        for (auto& it : m_instances)
            it.point.setAllowances({ { "w", m_allowance } });
    }

    struct Instance {
        limits::UsagePoint point;
        std::size_t group = 0; ///< Instances of different groups do not reach each other.
        base::SteadyTime frozenUntil {};
        base::SteadyTime heartbeatAt {};
        std::size_t asked = 0; ///< Instance whose point is asked.
        base::SteadyTime askedSince {};
    };

    void restart(std::size_t n)
    {
        m_instances[n].point = {};
        m_instances[n].point.setAllowances({ { "w", m_allowance } });
    }

    void advance(double ratePerInstance, double lossProbability = 0)
    {
        m_clock.advance(step);
        const auto now = m_clock.now();
        for (std::size_t n = 0; n < m_instances.size(); ++n) {
            if (isFrozen(n))
                continue;
            auto& self = m_instances[n];
            choosePoint(n);
            if (now - self.heartbeatAt >= 250ms) {
                self.heartbeatAt = now;
                if (!draw(lossProbability))
                    deliver(n, [&](auto& point) { point.recordMember(std::to_string(n), now); });
            }
            const auto expected = ratePerInstance * std::chrono::duration<double>(step).count();
            const auto requests = std::poisson_distribution<int>(expected)(m_random);
            for (int k = 0; k < requests; ++k)
                sendRequest(n, lossProbability);
        }
        for (std::size_t n = 0; n < m_instances.size(); ++n) {
            if (isFrozen(n))
                continue;
            m_instances[n].point.advance(now, m_instances.size());
            for (const auto& it : m_instances[n].point.takeDecisions())
                count(it);
        }
    }

    /// Returns the admitted requests in the last `window`.
    double admitted(std::chrono::milliseconds window) const
    {
        return static_cast<double>(std::count_if(
            m_admittedAt.begin(), m_admittedAt.end(), [&](auto at) { return at > m_clock.now() - window; }));
    }

    Instance& operator[](std::size_t n) { return m_instances[n]; }
    std::size_t size() const { return m_instances.size(); }
    base::SteadyTime now() const { return m_clock.now(); }

    unsigned sent = 0;
    unsigned refused = 0;

private:
    bool draw(double probability) { return std::uniform_real_distribution<>()(m_random) < probability; }
    bool isFrozen(std::size_t n) const { return m_clock.now() < m_instances[n].frozenUntil; }

    // The first instance that can be reached is asked, once the silence of the one before was noticed.
    void choosePoint(std::size_t n)
    {
        auto& self = m_instances[n];
        std::size_t first = 0;
        while (first != n && (m_instances[first].group != self.group || isFrozen(first)))
            ++first;
        if (first == self.asked) {
            self.askedSince = m_clock.now();
        } else if (m_clock.now() - self.askedSince > 120ms) {
            if (self.asked == n)
                self.point.clear();
            self.asked = first;
            self.heartbeatAt = {};
        }
    }

    template <typename Action> void deliver(std::size_t from, const Action& action)
    {
        auto& to = m_instances[m_instances[from].asked];
        if (to.group == m_instances[from].group && !isFrozen(m_instances[from].asked))
            action(to.point);
    }

    // Lost requests and responses are sent again; a resent request that arrives twice must not use two tokens.
    void sendRequest(std::size_t n, double lossProbability)
    {
        ++sent;
        const limits::UsageKey key { std::to_string(n), ++m_request };
        const int copies = draw(lossProbability) ? 2 : 1;
        for (int k = 0; k < copies; ++k)
            deliver(n, [&](auto& point) { point.request(key, "w", m_clock.now()); });
    }

    void count(const limits::UsageDecision& decision)
    {
        if (decision.verdict == UsageVerdict::Admitted && m_admitted.insert(decision.key).second)
            m_admittedAt.push_back(m_clock.now());
        if (decision.verdict == UsageVerdict::Refused)
            ++refused;
    }

    std::vector<Instance> m_instances;
    std::mt19937 m_random;
    limits::UsageAllowance m_allowance;
    base::ManualClock m_clock;
    std::uint64_t m_request = 0;
    std::set<limits::UsageKey> m_admitted;
    std::vector<base::SteadyTime> m_admittedAt;
};

constexpr double maxInWindow(const limits::UsageAllowance& allowance)
{
    return (allowance.ratePerSecond * 5 + allowance.burst) * 1.1 + 20;
}

} // namespace

// Guards against exceeding the quota in any window while instances are separated, frozen, restarted and reunited, links
// lose messages, and the workspace sends many times its quota.
BOOST_AUTO_TEST_CASE(noWindowExceedsTheCap)
{
    BOOST_TEST(rc::check("admitted requests stay within the quota", [] {
        const auto allowance = *rc::gen::elementOf(
            std::vector<limits::UsageAllowance> { usualAllowance, { 40, 400 }, { 200, 100 }, { 200, 0 }, { 5, 10 } });
        Fleet fleet(20, *rc::gen::arbitrary<unsigned>(), allowance);
        const double loss = *rc::gen::element(0.0, 0.05, 0.3);
        const double rate = *rc::gen::element(1.0, 2.0, 10.0);
        const auto events = *rc::gen::container<std::vector<unsigned>>(8, rc::gen::inRange(0u, 1000u));
        for (const auto event : events) {
            const auto n = event % fleet.size();
            const std::chrono::milliseconds duration(event * 37 % 6000);
            const auto end = fleet.now() + duration;
            if (event % 5 == 0)
                fleet[n].frozenUntil = end;
            if (event % 5 == 1)
                fleet.restart(n);
            for (std::size_t k = 0; k < fleet.size() && event % 5 >= 2; ++k)
                fleet[k].group = event % 5 == 2 ? 0 : (event % 5 == 3 ? k * 7 % 3 : k > n);
            // A quiet time lets the tokens collect.
            const auto quietEnd = event % 3 == 0 ? fleet.now() + duration / 2 : fleet.now();
            while (fleet.now() < end) {
                fleet.advance(fleet.now() < quietEnd ? 0 : rate * allowance.ratePerSecond / 10, loss);
                RC_ASSERT(fleet.admitted(5s) <= maxInWindow(allowance));
            }
        }
    }));
}

// Guards against a quota that a hot workspace cannot use although all instances are in touch.
BOOST_AUTO_TEST_CASE(hotWorkspaceGetsItsCap)
{
    Fleet fleet(126);
    for (int n = 0; n < 250; ++n)
        fleet.advance(0);
    for (int n = 0; n < 1000; ++n)
        fleet.advance(40 * 4.7 / 126);
    BOOST_TEST(fleet.admitted(10s) >= 0.9 * 40 * 10);
    BOOST_TEST(fleet.admitted(5s) <= maxInWindow(usualAllowance));
}

// Guards against refusals of a workspace at its usual rate, also when the instance with the point is lost.
BOOST_AUTO_TEST_CASE(usualRateIsServed)
{
    Fleet fleet(126);
    for (int n = 0; n < 250; ++n)
        fleet.advance(0);
    for (int n = 0; n < 1500; ++n)
        fleet.advance(25.0 / 126);
    BOOST_TEST(fleet.refused == 0u);
    fleet[0].group = 1;
    for (int n = 0; n < 500; ++n)
        fleet.advance(25.0 / 126);
    BOOST_TEST_MESSAGE("refused after the loss of the point: " << fleet.refused);
    BOOST_TEST(fleet.refused <= 10u);
}

// Guards against tokens that outlive a lowered quota, and against a second burst by a raised one.
BOOST_AUTO_TEST_CASE(newAllowanceBindsAtOnce)
{
    limits::UsagePoint point;
    base::ManualClock clock;
    const auto admitted = [&] {
        unsigned result = 0;
        static std::uint64_t request = 0;
        for (int n = 0; n < 100; ++n)
            point.request({ "a", ++request }, "w", clock.now());
        for (const auto& it : point.takeDecisions())
            result += it.verdict == UsageVerdict::Admitted;
        return result;
    };
    const auto fill = [&] {
        for (int n = 0; n < 500; ++n) {
            clock.advance(step);
            point.recordMember("a", clock.now());
            point.advance(clock.now(), 1);
        }
        point.takeDecisions();
    };
    point.setAllowances({ { "w", { 10, 50 } } });
    fill();
    point.setAllowances({ { "w", { 10, 5 } } });
    point.setAllowances({ { "w", { 10, 50 } } });
    BOOST_TEST(admitted() == 5u);
    fill();
    BOOST_TEST(admitted() == 50u);
    fill();
    clock.advance(10s);
    point.advance(clock.now(), 1);
    BOOST_TEST(admitted() == 0u);
}

// Guards against a resent request that uses a second token.
BOOST_AUTO_TEST_CASE(resentRequestGetsTheSameDecision)
{
    limits::UsagePoint point;
    base::ManualClock clock;
    point.setAllowances({ { "w", { 1, 2 } } });
    for (int n = 0; n < 500; ++n) {
        clock.advance(step);
        point.recordMember("a", clock.now());
        point.advance(clock.now(), 1);
    }
    for (const std::uint64_t request : { 1, 1, 1, 2 })
        point.request({ "a", request }, "w", clock.now());
    const auto decisions = point.takeDecisions();
    BOOST_TEST(std::all_of(
        decisions.begin(), decisions.end(), [](const auto& it) { return it.verdict == UsageVerdict::Admitted; }));
}
