#define BOOST_TEST_MODULE RouteTable
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/routing/route_table.h>

using namespace buckthorncroft;
using routing::HostRoute;
using routing::RouteTable;

namespace {

HostRoute makeRoute(const std::string& name, const std::string& host, const std::string& prefix)
{
    HostRoute result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.services = { { "stock", 1 } };
    return result;
}

routing::RouteSet makeRouteSet(std::vector<HostRoute> routes)
{
    routing::RouteSet result;
    result.version = 1;
    result.routes = std::move(routes);
    return result;
}

std::string nameOf(const HostRoute* route)
{
    return route ? route->name : "none";
}

} // namespace

// Guards against a general route that hides a more specific one that follows it in the configuration.
BOOST_AUTO_TEST_CASE(longestPrefixOfTheHostWins)
{
    const RouteTable table(makeRouteSet({ makeRoute("all", "a.example", "/x/"), makeRoute("part", "a.example", "/x/y/"),
        makeRoute("other", "b.example", "/x/y/z/") }));
    BOOST_TEST(nameOf(table.find("a.example", "/x/y/z/1")) == "part");
    BOOST_TEST(nameOf(table.find("a.example", "/x/1")) == "all");
    BOOST_TEST(nameOf(table.find("b.example", "/x/y/1")) == "none");
}

// Guards against rejecting a host with a port or in a different case, and against matching a prefix inside the query.
BOOST_AUTO_TEST_CASE(hostIgnoresPortAndCaseAndPathEndsBeforeTheQuery)
{
    const RouteTable table(makeRouteSet({ makeRoute("r", "A.example", "/x/") }));
    BOOST_TEST(nameOf(table.find("a.EXAMPLE:8080", "/x/?q=/y/")) == "r");
    BOOST_TEST(nameOf(table.find("a.example", "/?p=/x/")) == "none");
}

// Guards against request fractions that differ from the weights, and against requests for a service of weight 0.
BOOST_AUTO_TEST_CASE(servicesReceiveRequestsByWeight)
{
    auto split = makeRoute("r", "a", "/");
    split.services = { { "none", 0 }, { "most", 90 }, { "few", 10 } };
    int most = 0;
    for (int n = 0; n < 1000; ++n) {
        const auto& service = routing::chooseService(split, n / 1000.0);
        BOOST_TEST(service != "none");
        most += service == "most";
    }
    BOOST_TEST(most == 900);
}
