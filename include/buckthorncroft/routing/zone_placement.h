#pragma once

namespace buckthorncroft::routing {

/// Why the target of a granted request is in its zone. All values except `Home` mean that the request leaves the zone
/// of its instance.
enum class ZonePlacement {
    Home, ///< The target is in the instance's zone.
    NoHomeTarget, ///< The zone has no target that takes requests.
    HomeExcluded, ///< Earlier attempts excluded all targets of the zone.
    HomeFull, ///< The sound targets of the zone have no free slot.
    HomeRisky, ///< The zone has no sound target.
    NewTarget, ///< The target has had no request yet.
    IdlePreference, ///< The target has had no request for too long.
    Connection, ///< The instance has a connection to the target and to no free target of its zone.
    LowerCost, ///< The zone has free targets, but they are slower, colder or more loaded.
};

/// Returns the reason's name in snake_case, as printed in logs and metrics.
const char* toString(ZonePlacement placement);

} // namespace buckthorncroft::routing
