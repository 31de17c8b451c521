#define BOOST_TEST_MODULE ZoneCosts
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/routing/zone_costs.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;
using routing::ZoneCosts;
using routing::ZonePrices;

// Guards against a lookup that waits at home for its few bytes, and against a large body that leaves for a small gain.
BOOST_AUTO_TEST_CASE(bytesDecideTheCostOfCrossing)
{
    const ZoneCosts costs(ZonePrices {});
    const double lookup = costs.crossing(400, 1s);
    const double upload = costs.crossing(60'000, 1s);
    const double download = costs.crossing(90'000, 1s);
    BOOST_TEST(lookup < 0.03);
    BOOST_TEST(upload > 10 * lookup);
    BOOST_TEST(download > 1.3 * upload);
}

// Guards against a request that misses its objective because of the way to another zone.
BOOST_AUTO_TEST_CASE(delayCostsMoreNearTheObjective)
{
    ZonePrices prices;
    prices.zoneDelay = 20ms;
    const ZoneCosts costs(prices);
    BOOST_TEST(costs.crossing(400, 50ms) > 0.3 + costs.crossing(400, 2s));
    BOOST_TEST(costs.crossing(400, -1s) <= costs.crossing(400, 2s));
}

// Guards against prices of a deployment that are read and not used.
BOOST_AUTO_TEST_CASE(pricesAreUsed)
{
    ZonePrices prices;
    prices.pricePerGigabyte = 0;
    prices.zoneDelay = 0us;
    BOOST_TEST(ZoneCosts(prices).crossing(60'000, 1s) == 0);
    prices.valueLostPerSecond = 2;
    BOOST_TEST(ZoneCosts(prices).waiting(500ms) == 1);
}
