#pragma once

#include <chrono>
#include <cstdint>

namespace buckthorncroft::routing {

/// Prices of a deployment, from which `ZoneCosts` derives what it costs to serve a request in another zone. All prices
/// are in the same currency.
struct ZonePrices {
    double pricePerGigabyte = 0.02; ///< Traffic between zones, billed to the sender and the receiver.
    /// Running a million requests. The default is 0.3 s of a core for each request, at 0.04 for a core hour.
    double pricePerMillionRequests = 3.3;
    /// Part of a request's value that is lost with each second that its caller waits.
    double valueLostPerSecond = 0.4;
    std::chrono::microseconds zoneDelay { 1500 }; ///< One way between two zones.
};

/// Cost of serving a request outside the caller's zone, and of waiting. Costs are relative to the value of one request,
/// so that they can be compared with risks.
///
/// Answers a load in which large uploads left their zone for slightly better targets although a quarter of the slots
/// was in use, while lookups of 400 bytes were as cheap away as at home.
class ZoneCosts {
public:
    explicit ZoneCosts(const ZonePrices& prices)
        : m_prices(prices)
    {
    }

    /// Cost of serving a request in another zone. `bytes` is the length of both bodies, `objectiveRemaining` the time
    /// until the response misses its latency objective.
    double crossing(std::uint64_t bytes, std::chrono::duration<double> objectiveRemaining) const;

    /// Cost of a caller's wait.
    double waiting(std::chrono::duration<double> wait) const { return m_prices.valueLostPerSecond * wait.count(); }

private:
    ZonePrices m_prices;
};

} // namespace buckthorncroft::routing
