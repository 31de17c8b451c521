#pragma once

#include "registry.h"
#include "registry_relay.h"
#include "traffic_context.h"

#include <buckthorncroft/gateway/settings.h>
#include <buckthorncroft/observe/log.h>
#include <buckthorncroft/observe/metrics.h>
#include <functional>
#include <map>
#include <random>

namespace buckthorncroft::gateway {

/// Keeps local copies of the routes and targets in the registry up to date, and registers this instance there. While
/// the registry is unreachable, the last copies stay in force. Runs on the control thread.
class RegistryWatcher {
public:
    /// Functions that are called with each change. All must be set.
    struct Handlers {
        std::function<void(std::shared_ptr<const routing::RouteTable>)> onRoutes;
        std::function<void(std::shared_ptr<const membership::TargetSet>)> onTargets;
        std::function<void(const PeerRecord&)> onPeer;
    };

    RegistryWatcher(http::asio::io_context& io, const base::Clock& clock, Registry& registry,
        const observe::Logger& log, observe::Metrics& metrics, RegistryRelay& relay, PeerRecord self,
        Handlers handlers);

    /// Starts to read; the coroutines run until the context stops.
    void start();

    /// Applies target changes that another instance read from the registry.
    void applyDelta(const TargetDelta& delta);

    /// Records that a target announced in a response that it leaves. Returns false if this was known.
    bool markLeaving(const membership::LeavingTarget& target);

    /// Returns the targets that recently announced that they leave.
    std::vector<membership::LeavingTarget> leavingTargets() { return m_directory.leavingTargets(m_clock.now()); }

    /// Notes that another instance uses this version of the routes. If it is newer than the one in force, the new
    /// routes are read unless they arrive from a peer first.
    void noteRouteVersion(std::uint64_t version);

    /// Whether newer routes may be in force elsewhere: a peer announced them, or neither the registry nor a peer was in
    /// contact recently.
    bool mayBeOutdated() const;

    /// Records that a message of another instance arrived.
    void notePeerContact() { m_lastContactAt = m_clock.now(); }

    /// Applies routes that another instance read from the registry.
    void applyRelayedRoutes(std::uint64_t version, const std::string& document);

    /// Reads all routes and targets again as soon as the current reads have ended. Call after the machine was
    /// suspended.
    void refresh();

private:
    using Task = http::Awaitable<void> (RegistryWatcher::*)();

    void startTask(const char* name, Task task);
    http::Awaitable<void> runTask(const char* name, Task task);
    http::Awaitable<void> watchRoutes();
    http::Awaitable<void> watchTargets();
    http::Awaitable<void> registerAndListPeers();
    http::Awaitable<void> sleepFor(std::chrono::milliseconds time);
    http::Awaitable<void> waitForRouteNews();
    void applyRoutes(const RoutesUpdate& update);
    bool installRoutes(const routing::RouteSet& routes, const std::string& document, const char* source);
    void reportWorkspaceProblems(const routing::RouteSet& routes);
    bool isRoutesReadDue();
    void scheduleRoutesRetry();
    http::Awaitable<void> pollTargets();
    void applyTargets(const TargetsUpdate& update, bool isFullListing);
    void replaceTargets(const TargetsUpdate& update);
    void reportMalformed(const TargetsUpdate& update, bool isFullListing);
    bool applyChange(const TargetChange& change, const char* source);
    void scheduleDelayedRemovals();
    void applyDelayedRemovals();
    void recordFailure(const char* dataSet, const base::Error& error, bool& isUnreachable);
    void recordSuccess(const char* dataSet, bool& isUnreachable);

    http::asio::io_context& m_io;
    const base::Clock& m_clock;
    Registry& m_registry;
    const observe::Logger& m_log;
    observe::Metrics& m_metrics;
    RegistryRelay& m_relay;
    PeerRecord m_self;
    Handlers m_handlers;
    membership::RegistryOutageDetector m_outage;
    membership::TargetDirectory m_directory { m_outage };
    std::uint64_t m_appliedRoutesVersion = 0; ///< Version of the routes in force.
    RegistryVersion m_routesRegistryVersion = 0; ///< 0: the next read is a full read.
    std::uint64_t m_wantedRoutesVersion = 0; ///< Newest version that a peer announced and that is not in force yet.
    base::SteadyTime m_routesWantedAt {}; ///< When the wanted version was announced.
    base::SteadyTime m_lastContactAt {}; ///< With the registry or a peer.
    std::chrono::milliseconds m_routesReadDelay { 0 }; ///< Interval of reads that do not return the wanted version.
    std::minstd_rand m_random;
    base::SteadyTime m_readRoutesAt = base::SteadyTime::max(); ///< When the wanted routes are read from the registry.
    http::asio::steady_timer m_routesTimer; ///< Cancelled when there is news about routes.
    RegistryVersion m_targetsRegistryVersion = 0; ///< 0: the next read is a full listing.
    std::map<std::string, std::string> m_malformedEntries; ///< Logged reason of each entry that is invalid now, by id.
    http::asio::steady_timer m_removalTimer; ///< Expires when a delayed removal is due.
    std::chrono::milliseconds m_targetsRetryDelay;
    bool m_routesStale = false; ///< The next read is a full read, whatever a read in flight returns.
    bool m_targetsStale = false;
    bool m_deltaMissed = false; ///< A delta was lost, so this instance must read the registry once.
    bool m_routesUnreachable = false;
    bool m_targetsUnreachable = false;
    bool m_peersUnreachable = false;
};

} // namespace buckthorncroft::gateway
