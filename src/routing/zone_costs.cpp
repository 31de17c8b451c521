#include <buckthorncroft/routing/zone_costs.h>

#include <algorithm>

namespace buckthorncroft::routing {

namespace {

    using Seconds = std::chrono::duration<double>;

    // Heads of the request and the response, and the packets that carry and acknowledge them.
    constexpr double headBytes = 1500;

    constexpr double bytesPerGigabyte = 1e9;
    constexpr double requestsPerMillion = 1e6;

    // Part of a request's value that is lost when the added delay makes its response late.
    constexpr double lateValueLoss = 0.5;

} // namespace

double ZoneCosts::crossing(std::uint64_t bytes, Seconds objectiveRemaining) const
{
    const double requestPrice = m_prices.pricePerMillionRequests / requestsPerMillion;
    const double traffic
        = (static_cast<double>(bytes) + headBytes) * m_prices.pricePerGigabyte / bytesPerGigabyte / requestPrice;
    const Seconds roundTrip = 2 * Seconds(m_prices.zoneDelay);
    const bool alreadyLate = objectiveRemaining.count() <= 0;
    const double lateness = alreadyLate ? 0 : std::min(1.0, roundTrip / objectiveRemaining) * lateValueLoss;
    return traffic + waiting(roundTrip) + lateness;
}

} // namespace buckthorncroft::routing
