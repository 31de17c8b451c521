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

// Guards against work for a draining target, for an earlier attempt's target, or beyond the slots, and against a
// request that is refused although a target could take it.
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
            const bool in = view.stage != Stage::Ejected && view.stage != Stage::Trial;
            usable = usable || (!view.draining && in && fixture.load[i].inFlight < 3);
        }
        RC_ASSERT(!usable || decision.target);
        if (!decision.target)
            return;
        const auto i = *decision.target;
        RC_ASSERT(i != 0 && !fixture.health[i].draining && fixture.load[i].inFlight < 3);
        RC_ASSERT(decision.rejections[i] == Rejection::None);
        RC_ASSERT(decision.isTrial == (fixture.health[i].stage == Stage::Trial));
        // Trial and ejected targets get ordinary work only if no target is in.
        if (usable && !decision.isTrial)
            RC_ASSERT(fixture.health[i].stage != Stage::Ejected);
        if (decision.isTrial && usable)
            RC_ASSERT(request.kind == RequestKind::Idempotent && request.firstAttempt);
    }));
}

// Guards against bookings that go to a target that is suspect as a whole or for bookings, while others have room.
BOOST_AUTO_TEST_CASE(bookingsAvoidSuspectTargets)
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

// Guards against no service at all when every target is ejected or suspect.
BOOST_AUTO_TEST_CASE(theLeastBadTargetIsUsedWhenNoneIsHealthy)
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

// Guards against costly links between zones while the own zone has room, and against an own zone that is overloaded
// because it has fewer targets than the others.
BOOST_AUTO_TEST_CASE(theOwnZoneIsPreferredUpToItsShare)
{
    Fixture even(6);
    Fixture scarce(6);
    scarce.service.targets[3].zone = "b"; // One target in zone a, three in b, two in c.
    int ownOfEven = 0;
    int ownOfScarce = 0;
    for (int i = 0; i < 2000; ++i) {
        ownOfEven += even.service.targets[even.choose().target.value()].zone == "a";
        ownOfScarce += scarce.service.targets[scarce.choose().target.value()].zone == "a";
    }
    BOOST_TEST(ownOfEven == 2000);
    BOOST_TEST(ownOfScarce > 850);
    BOOST_TEST(ownOfScarce < 1150);
    even.load[0].inFlight = even.load[3].inFlight = 2;
    BOOST_TEST((even.service.targets[even.choose().target.value()].zone != "a"));
}

// Guards against trials with work that must not run twice, and against trials that use up the retry budget.
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

// Guards against a suspect or starting target that receives a full share of the work.
BOOST_AUTO_TEST_CASE(theWeightLimitsTheShareOfWork)
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
