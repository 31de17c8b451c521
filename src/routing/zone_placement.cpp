#include <buckthorncroft/routing/zone_placement.h>

namespace buckthorncroft::routing {

const char* toString(ZonePlacement placement)
{
    switch (placement) {
    case ZonePlacement::Home:
        return "home";
    case ZonePlacement::NoHomeTarget:
        return "no_home_target";
    case ZonePlacement::HomeExcluded:
        return "home_excluded";
    case ZonePlacement::HomeFull:
        return "home_full";
    case ZonePlacement::HomeRisky:
        return "home_risky";
    case ZonePlacement::NewTarget:
        return "new_target";
    case ZonePlacement::IdlePreference:
        return "idle_preference";
    case ZonePlacement::Connection:
        return "connection";
    case ZonePlacement::LowerCost:
        return "lower_cost";
    }
    return "unknown";
}

} // namespace buckthorncroft::routing
