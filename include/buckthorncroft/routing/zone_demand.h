#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/limits/rate_meter.h>
#include <chrono>
#include <map>
#include <string>

namespace buckthorncroft::routing {

/// Slots of one service in one zone.
struct ZoneRoom {
    unsigned targets = 0; ///< Targets that take requests.
    double slots = 0; ///< Slots of these targets.
    double inUse = 0; ///< Their slots in use.
    double free() const { return slots - inUse; }
};

/// Demand and room of one service by zone, as seen by its dispatch point. All state is soft: arrivals rebuild it within
/// seconds. Not safe for concurrent use.
///
/// Answers a load whose demand swings by 0.55 of its mean with a period of 13 s and a phase that differs by zone, so
/// that one zone is short of slots while the next has room.
class ZoneDemand {
public:
    void recordArrival(const std::string& zone, base::SteadyTime now);

    /// Replaces the room of all zones.
    void setRoom(std::map<std::string, ZoneRoom> room, base::SteadyTime now);

    /// Counts a slot that was granted since the last `setRoom`.
    void recordGrant(const std::string& zone);

    /// Whether the room is older than `maxAge`.
    bool isRoomOutdated(std::chrono::milliseconds maxAge, base::SteadyTime now) const;

    /// Returns the zone's room; all zero if it has no targets.
    ZoneRoom room(const std::string& zone) const;

    /// Records how long a request from the zone waited for its slot.
    void recordWait(const std::string& zone, std::chrono::duration<double> wait);

    /// Mean wait of the zone's recent requests.
    std::chrono::duration<double> meanWait(const std::string& zone) const;

    /// Requests per second from callers of the zone.
    double arrivalRate(const std::string& zone, base::SteadyTime now) const;

    /// The same, `ahead` from now, if its trend of the last seconds continues.
    double forecastRate(const std::string& zone, std::chrono::milliseconds ahead, base::SteadyTime now) const;

    /// Start of the zone's current spell of requests; nothing arrived for some seconds before it.
    base::SteadyTime activeSince(const std::string& zone) const;

    /// Whether the zone's own callers send enough requests to give each of its targets one within `interval`.
    bool coversOwnTargets(const std::string& zone, std::chrono::milliseconds interval, base::SteadyTime now) const;

    /// Whether a request should leave its zone, because waiting there costs more than crossing. The margin around equal
    /// costs depends on whether requests left lately, so that the decision does not flap. `waitCost` and `crossingCost`
    /// are relative to the value of one request.
    bool shouldLeave(const std::string& zone, double waitCost, double crossingCost, base::SteadyTime now);

private:
    struct Zone {
        Zone();
        limits::RateMeter shortTerm;
        limits::RateMeter longTerm;
        std::chrono::duration<double> meanWait { 0 };
        base::SteadyTime lastArrivalAt {};
        base::SteadyTime activeSince {};
        base::SteadyTime lastLeftAt {};
        bool hasArrived = false;
        bool hasLeft = false;
    };

    const Zone* find(const std::string& zone) const;

    std::map<std::string, Zone> m_zones;
    std::map<std::string, ZoneRoom> m_room;
    base::SteadyTime m_roomAt {};
};

} // namespace buckthorncroft::routing
