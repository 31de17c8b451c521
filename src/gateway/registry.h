#pragma once

#include "../http/asio.h"

#include <buckthorncroft/base/error.h>
#include <buckthorncroft/membership/target_directory.h>
#include <buckthorncroft/routing/route_table.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthorncroft::gateway {

/// Position in the change history of the registry. Increases with each change; 0 stands for no position.
using RegistryVersion = std::uint64_t;

/// The routes, as read at one version of the registry.
struct RoutesUpdate {
    RegistryVersion version = 0;
    std::optional<routing::RouteSet> routes; ///< Empty if they are missing, unchanged or invalid.
    std::string document; ///< The routes as stored; set if `routes` is.
    std::string problem; ///< Why the stored document is invalid. Empty if it is valid.
};

/// A target that was added, changed or removed.
struct TargetChange {
    std::string id;
    std::optional<membership::TargetRecord> record; ///< Empty if the target was removed.
};

/// An entry that was ignored because it is invalid.
struct MalformedEntry {
    std::string id; ///< Empty if the entry has no valid id.
    std::string reason;
};

/// All targets or the changed ones, as read at one version of the registry.
struct TargetsUpdate {
    RegistryVersion version = 0;
    std::vector<TargetChange> changes; ///< An entry that became malformed counts as removed.
    std::vector<MalformedEntry> malformed;
};

/// A gateway instance, as the registry lists it.
struct PeerRecord {
    std::string instance;
    std::string zone;
    std::string host; ///< IP address.
    std::uint16_t port = 0; ///< UDP port that receives datagrams of other instances.
    double capacity = 0; ///< Processor time, in cores.
};

/// Interface to the store that holds routes, targets and the list of gateway instances. Used by the control thread
/// only.
///
/// Errors: `Unavailable` (the call had no effect), `Timeout` and `OutcomeUnknown` (a write may have taken effect or may
/// still do so), `Malformed`, and from the `waitFor` functions `NotFound` if the history since `after` was discarded.
class Registry {
public:
    Registry() = default;
    Registry(const Registry&) = delete;
    Registry& operator=(const Registry&) = delete;
    virtual ~Registry() = default;

    /// Reads the current routes.
    virtual http::Awaitable<base::Result<RoutesUpdate>> readRoutes() = 0;

    /// Waits up to `wait` for routes newer than `after`.
    virtual http::Awaitable<base::Result<RoutesUpdate>> waitForRoutes(
        RegistryVersion after, std::chrono::milliseconds wait)
        = 0;

    /// Decodes a `RoutesUpdate::document` that another instance read. Errors: `Malformed`.
    virtual base::Result<routing::RouteSet> decodeRoutes(const std::string& document) const = 0;

    /// Reads all targets.
    virtual http::Awaitable<base::Result<TargetsUpdate>> readTargets() = 0;

    /// Waits up to `wait` for changes of targets after `after`.
    virtual http::Awaitable<base::Result<TargetsUpdate>> waitForTargets(
        RegistryVersion after, std::chrono::milliseconds wait)
        = 0;

    /// Lists the gateway instances that called `announce`. Some of them may have stopped since.
    virtual http::Awaitable<base::Result<std::vector<PeerRecord>>> listPeers() = 0;

    /// Adds this instance to the list of gateway instances.
    virtual http::Awaitable<base::Result<void>> announce(const PeerRecord& self) = 0;
};

} // namespace buckthorncroft::gateway
