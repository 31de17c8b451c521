#define BOOST_TEST_MODULE Router
#include <boost/test/unit_test.hpp>

#include <array>
#include <buckthorncroft/routing/router.h>
#include <rapidcheck.h>

using namespace buckthorncroft;
using config::RequestKind;
using health::Stage;
using routing::Rejection;

namespace {

struct Fixture {
    explicit Fixture(std::size_t n)
        : health(n)
        , load(n)
        , random(20261204)
    {
        const std::array<const char*, 3> zones { "a", "b", "c" };
        for (std::size_t i = 0; i < n; ++i) {
            service.targets.push_back({ "t" + std::to_string(i), "127.0.0.1", 1, zones[i % 3], 3, 400, false });
            load[i].connectionShare = 8;
        }
    }

    routing::Decision choose(const routing::PlacementRequest& request = {})
    {
        return router->choose(request, service, health, load, random);
    }

    config::Service service;
    std::vector<health::TargetView> health;
    std::vector<routing::TargetLoad> load;
    std::mt19937_64 random;
    std::unique_ptr<routing::Router> router = routing::makeTwoChoicesRouter("a");
};

Fixture arbitraryFixture()
{
    Fixture fixture(*rc::gen::inRange<std::size_t>(1, 9));
    if (*rc::gen::arbitrary<bool>())
        fixture.router = routing::makeRandomRouter("a");
    for (std::size_t i = 0; i < fixture.health.size(); ++i) {
        auto& view = fixture.health[i];
        view.stage = static_cast<Stage>(*rc::gen::inRange(0, 5));
        view.suspectFor[1] = *rc::gen::arbitrary<bool>();
        view.avoidLocally = *rc::gen::inRange(0, 4) == 0;
        view.draining = *rc::gen::inRange(0, 3) == 0;
        view.weight = *rc::gen::inRange(0, 3) / 2.0;
        fixture.load[i].inFlight = *rc::gen::inRange(0u, 4u);
        fixture.load[i].connections = fixture.load[i].inFlight;
    }
    return fixture;
}

} // namespace

// Guards against choosing a draining target, the target of an earlier attempt or a target without a free slot, and
// against refusing a request that some target could take.
BOOST_AUTO_TEST_CASE(aUsableTargetIsAlwaysChosenAndADrainingOneNever)
{
    BOOST_TEST(rc::check([] {
        auto fixture = arbitraryFixture();
        routing::PlacementRequest request { static_cast<RequestKind>(*rc::gen::inRange(0, 3)),
            *rc::gen::arbitrary<bool>(), { 0 } };
        const auto decision = fixture.choose(request);
        RC_ASSERT(decision.rejections.size() == fixture.health.size());
        bool usable = false;
        for (std::size_t i = 1; i < fixture.health.size(); ++i) {
            const auto& view = fixture.health[i];
            const bool isInService = view.stage != Stage::Ejected && view.stage != Stage::Trial;
            usable = usable || (!view.draining && isInService && fixture.load[i].inFlight < 3);
        }
        RC_ASSERT(!usable || decision.target);
        if (!decision.target)
            return;
        const auto i = *decision.target;
        RC_ASSERT(i != 0 && !fixture.health[i].draining && fixture.load[i].inFlight < 3);
        RC_ASSERT(decision.rejections[i] == Rejection::None);
        RC_ASSERT(decision.isTrial == (fixture.health[i].stage == Stage::Trial));
        // Targets on trial and ejected targets receive ordinary requests only if no other target is in service.
        if (usable && !decision.isTrial)
            RC_ASSERT(fixture.health[i].stage != Stage::Ejected);
        if (decision.isTrial && usable)
            RC_ASSERT(request.kind == RequestKind::Idempotent && request.firstAttempt);
    }));
}

// Guards against sending non-idempotent requests to a target that is suspect, as a whole or for this kind, while others
// have free slots.
BOOST_AUTO_TEST_CASE(nonIdempotentRequestsAvoidSuspectTargets)
{
    Fixture fixture(3);
    fixture.health[0].stage = Stage::Suspect;
    fixture.health[1].suspectFor[1] = true;
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(fixture.choose({ RequestKind::NonIdempotent, true, {} }).target.value() == 2u);
    fixture.load[2].inFlight = 3;
    const auto decision = fixture.choose({ RequestKind::NonIdempotent, true, {} });
    BOOST_TEST(decision.target.value() < 2u);
    BOOST_TEST((decision.rejections[2] == Rejection::NoSlot));
}

// Guards against refusing all requests when every target is ejected or suspect.
BOOST_AUTO_TEST_CASE(anUnhealthyTargetIsUsedWhenNoneIsHealthy)
{
    Fixture fixture(3);
    for (auto& it : fixture.health)
        it.stage = Stage::Ejected;
    BOOST_TEST(fixture.choose({ RequestKind::NonIdempotent, true, {} }).target.has_value());
    fixture.health[1].stage = Stage::Suspect;
    BOOST_TEST(fixture.choose({ RequestKind::NonIdempotent, true, {} }).target.value() == 1u);
    fixture.load[1].inFlight = 3;
    BOOST_TEST(!fixture.choose({ RequestKind::NonIdempotent, true, {} }).target.has_value());
}

// Guards against using cross-zone links while the own zone has free slots, and against overloading the own zone when it
// has fewer targets than the others.
BOOST_AUTO_TEST_CASE(theOwnZoneIsPreferredUpToItsShare)
{
    Fixture even(6);
    Fixture uneven(6);
    uneven.service.targets[3].zone = "b"; // One target in zone a, three in b, two in c.
    int ownZoneOfEven = 0;
    int ownZoneOfUneven = 0;
    for (int i = 0; i < 2000; ++i) {
        ownZoneOfEven += even.service.targets[even.choose().target.value()].zone == "a";
        ownZoneOfUneven += uneven.service.targets[uneven.choose().target.value()].zone == "a";
    }
    BOOST_TEST(ownZoneOfEven == 2000);
    BOOST_TEST(ownZoneOfUneven > 850);
    BOOST_TEST(ownZoneOfUneven < 1150);
    even.load[0].inFlight = even.load[3].inFlight = 2;
    BOOST_TEST((even.service.targets[even.choose().target.value()].zone != "a"));
}

// Guards against trials with non-idempotent requests, and against trials that exhaust the retry budget.
BOOST_AUTO_TEST_CASE(trialsAreFewAndIdempotent)
{
    Fixture fixture(6);
    fixture.health[0].stage = Stage::Trial;
    int trials = 0;
    for (int i = 0; i < 2000; ++i) {
        trials += fixture.choose().isTrial;
        BOOST_TEST(!fixture.choose({ RequestKind::NonIdempotent, true, {} }).isTrial);
        BOOST_TEST(!fixture.choose({ RequestKind::Idempotent, false, {} }).isTrial);
    }
    BOOST_TEST(trials > 40);
    BOOST_TEST(trials < 160);
}

// Guards against sending the full load to a target that is suspect or ramping up.
BOOST_AUTO_TEST_CASE(theWeightLimitsTheFractionOfRequests)
{
    Fixture fixture(6);
    for (auto& it : fixture.service.targets)
        it.zone = "a";
    fixture.health[0] = { Stage::RampUp, {}, false, false, 0.1 };
    int chosen = 0;
    for (int i = 0; i < 5000; ++i)
        chosen += fixture.choose().target == 0u;
    BOOST_TEST(chosen > 10);
    BOOST_TEST(chosen < 250);
}
