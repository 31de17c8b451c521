#include <buckthorncroft/daemon/control_plane.h>

#include "platform_worker.h"
#include "status.h"
#include "task_queue.h"
#include <algorithm>
#include <buckthorncroft/config/parse.h>
#include <buckthorncroft/daemon/control_state.h>
#include <buckthorncroft/wire/inner_client.h>
#include <buckthorncroft/wire/inner_server.h>
#include <fmt/format.h>
#include <future>
#include <optional>
#include <random>

namespace buckthorncroft::daemon {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t maxQueuedTasks = 10'000;
    constexpr milliseconds loopInterval { 20 };
    constexpr milliseconds tickInterval { 100 };
    // Below the exchange interval, so that calls to an unreachable peer do not accumulate.
    constexpr milliseconds exchangeTimeout { 400 };
    constexpr milliseconds fetchTimeout { 3000 };
    // Minimum time between two fetches of a configuration, and between two contacts to seed peers.
    constexpr milliseconds fetchInterval { 500 };
    // How long a peer's report waits for the control thread before it gets a busy reply.
    constexpr milliseconds reportHandlerTimeout { 200 };
    constexpr milliseconds statusTimeout { 1000 };

    wire::TlsMaterial toTlsMaterial(const TlsFiles& files)
    {
        return { files.plaintext, files.certificate, files.privateKey, files.authority };
    }

} // namespace

class ControlPlane::Implementation final : public wire::InnerHandler {
public:
    Implementation(const ControlPlaneDependencies& dependencies, std::uint64_t incarnation)
        : m_dependencies(dependencies)
        , m_self { dependencies.settings.instance, dependencies.settings.zone, toString(dependencies.settings.inner),
            incarnation, false }
        , m_state(m_self, incarnation)
        , m_tasks(maxQueuedTasks)
        , m_client(toTlsMaterial(dependencies.settings.innerTls))
        , m_random(incarnation)
    {
    }

    ~Implementation() override
    {
        m_server.reset();
        m_tasks.close();
        if (m_thread.joinable())
            m_thread.join();
        m_platformWorker.reset(); // The control thread uses the worker until it has ended.
    }

    std::optional<base::Error> start(const config::Configuration& bootstrap)
    {
        auto server = wire::InnerServer::start(
            toString(m_dependencies.settings.inner), toTlsMaterial(m_dependencies.settings.innerTls), *this);
        if (!server)
            return server.error();
        m_server = std::move(server).value();
        addSeedPeers();
        // If there is a store, the file counts as incomplete: it is not shared with peers, and a configuration with the
        // same change number may replace it.
        if (bootstrap.changeNumber)
            activateConfiguration(bootstrap, "file", !m_dependencies.platform.store);
        publish();
        const auto& self = m_state.members().self();
        const store::ListedInstance listed { self.instance, self.zone, self.address, false };
        m_platformWorker
            = std::make_unique<detail::PlatformWorker>(m_dependencies, listed, m_random(), makePlatformCallbacks());
        m_platformWorker->setChangeNumber(m_state.changeNumber());
        m_thread = std::thread([this] { run(); });
        return std::nullopt;
    }

    void setLeaving()
    {
        m_platformWorker->setLeaving();
        m_tasks.post([this] { m_state.setLeaving(); });
    }

    int innerPort() const { return m_server->port(); }

    std::string status()
    {
        return callOnControlThread<std::string>(statusTimeout, "{}", [this] {
            return detail::makeStatusDocument(m_state, m_dependencies.settings, m_dependencies.clock.now());
        });
    }

    // Called on threads of the inner server.

    wire::Report exchange(wire::Report report) override
    {
        wire::Report busy;
        busy.sender = m_self;
        return callOnControlThread<wire::Report>(reportHandlerTimeout, busy, [this, report = std::move(report)] {
            bool accepted = false;
            auto reply = m_state.handleReport(report, accepted, m_dependencies.clock.now());
            m_dependencies.metrics.count(
                "buckthorncroft_reports_received_total", { { "accepted", accepted ? "yes" : "no" } });
            return reply;
        });
    }

    wire::ConfigurationDocument fetchConfiguration(std::uint64_t newerThan) override
    {
        const auto document = m_sharedDocument.load();
        if (!document || document->change <= newerThan)
            return {};
        return *document;
    }

    // No placement point runs in the entry daemon yet; after an empty reply the requesting instance chooses a target
    // itself.
    wire::PlaceReply place(const wire::PlaceRequest&) override { return {}; }
    void release(const std::string&, const std::vector<std::uint64_t>&) override { }

    void onMalformedMessage(const std::string& sender, const base::Error& error) override
    {
        m_dependencies.metrics.count("buckthorncroft_reports_malformed_total");
        m_dependencies.logger.write(
            observe::Level::Warning, "message_dropped", { { "sender", sender }, { "reason", error.message } });
    }

private:
    // Runs `task` on the control thread and returns its result, or `fallback` if the queue is full or the timeout
    // passes.
    template <typename T, typename Task> T callOnControlThread(milliseconds timeout, T fallback, Task task)
    {
        auto promise = std::make_shared<std::promise<T>>();
        auto future = promise->get_future();
        if (!m_tasks.post([promise, task = std::move(task)] { promise->set_value(task()); }))
            return fallback;
        return future.wait_for(timeout) == std::future_status::ready ? future.get() : fallback;
    }

    // Seed peers come from the settings, which have only their addresses; the first reply contains the name.
    void addSeedPeers()
    {
        for (const auto& it : m_dependencies.settings.innerPeers)
            m_seedPeers.push_back(toString(it));
    }

    detail::PlatformCallbacks makePlatformCallbacks()
    {
        detail::PlatformCallbacks callbacks;
        callbacks.onInstanceList = [this](std::vector<store::ListedInstance> list) {
            m_tasks.post([this, list = std::move(list)] { handleInstanceList(list); });
        };
        callbacks.onConfiguration = [this](store::StoredConfiguration stored) {
            m_tasks.post([this, stored = std::move(stored)] { applyStored(stored); });
        };
        callbacks.onDrainProbe = [this](const membership::TargetName& name, membership::DrainProbeResult result) {
            m_tasks.post([this, name, result] { m_state.recordDrainProbe(name, result, m_dependencies.clock.now()); });
        };
        return callbacks;
    }

    void handleInstanceList(const std::vector<store::ListedInstance>& list)
    {
        std::vector<membership::Peer> peers;
        peers.reserve(list.size());
        for (const auto& it : list)
            peers.push_back({ it.instance, it.zone, it.address, 0, it.leaving });
        m_state.applyInstanceList(peers, m_dependencies.clock.now());
    }

    void run()
    {
        while (m_tasks.run(loopInterval)) {
            const auto now = m_dependencies.clock.now();
            m_state.observe(m_dependencies.observations.drain());
            if (now - m_lastTickAt >= tickInterval) {
                m_lastTickAt = now;
                tick(now);
            }
            sendReports(now);
        }
    }

    void tick(base::SteadyTime now)
    {
        m_state.tick(now);
        logStageChanges();
        m_platformWorker->setConfigurationReader(m_state.isConfigurationReader(now));
        m_platformWorker->addProbes(m_state.takeDrainProbes(now));
        fetchNewerConfiguration(now);
        publish();
        m_dependencies.metrics.set(
            "buckthorncroft_live_instances", {}, static_cast<double>(m_state.members().live(now).size()));
        m_dependencies.metrics.set(
            "buckthorncroft_configuration_change", {}, static_cast<double>(m_state.changeNumber()));
        m_dependencies.metrics.set("buckthorncroft_control_sent_bytes", {}, static_cast<double>(m_state.bytesSent()));
        m_dependencies.metrics.set(
            "buckthorncroft_observations_dropped", {}, static_cast<double>(m_dependencies.observations.droppedCount()));
    }

    void publish()
    {
        if (!m_state.changeNumber())
            return;
        const auto snapshot = m_state.snapshot(m_dependencies.clock.now());
        m_dependencies.snapshots.publish(snapshot);
        if (m_dependencies.platform.liveInstancesChanged && snapshot->liveInstances != m_liveInstances) {
            m_liveInstances = snapshot->liveInstances;
            m_dependencies.platform.liveInstancesChanged(m_liveInstances);
        }
    }

    void sendReports(base::SteadyTime now)
    {
        auto reports = m_state.takeReports(now);
        for (auto& it : reports)
            send(it.address, it.report);
        contactSeedPeer(now);
    }

    void send(const std::string& address, const wire::Report& report)
    {
        m_client.exchange(address, report, exchangeTimeout, [this](base::Result<wire::Report> reply) {
            if (!reply) {
                m_dependencies.metrics.count(
                    "buckthorncroft_reports_failed_total", { { "error", toString(reply.error().code) } });
                return;
            }
            // A busy peer replies with its name only, without a sequence number.
            if (reply.value().sequence)
                m_tasks.post([this, response = std::move(reply).value()] {
                    m_state.handleReply(response, m_dependencies.clock.now());
                });
        });
    }

    // Sends a report to one random seed peer while at most `maxLiveInstancesForSeedContact` live instances are known,
    // this one included.
    void contactSeedPeer(base::SteadyTime now)
    {
        constexpr std::size_t maxLiveInstancesForSeedContact = 3;
        if (m_seedPeers.empty() || now - m_lastSeedContactAt < fetchInterval
            || m_state.members().live(now).size() > maxLiveInstancesForSeedContact)
            return;
        m_lastSeedContactAt = now;
        const auto i = std::uniform_int_distribution<std::size_t>(0, m_seedPeers.size() - 1)(m_random);
        if (m_seedPeers[i] != toString(m_dependencies.settings.inner))
            send(m_seedPeers[i], m_state.makeSeedReport(now));
    }

    // Fetches the newest configuration that peers reported, from one random peer that has it.
    void fetchNewerConfiguration(base::SteadyTime now)
    {
        const auto newer = m_state.newerConfiguration();
        if (newer.addresses.empty() || now - m_lastFetchAt < fetchInterval)
            return;
        m_lastFetchAt = now;
        const auto i = std::uniform_int_distribution<std::size_t>(0, newer.addresses.size() - 1)(m_random);
        m_client.fetchConfiguration(newer.addresses[i], m_state.changeNumber(), fetchTimeout,
            [this, address = newer.addresses[i]](base::Result<wire::ConfigurationDocument> document) {
                if (document && document.value().change)
                    m_tasks.post(
                        [this, address, received = std::move(document).value()] { applyDocument(received, address); });
            });
    }

    void applyDocument(const wire::ConfigurationDocument& document, const std::string& address)
    {
        if (config::contentDigest(document.text) != document.digest) {
            rejectConfiguration(document.change, address, "the digest does not match the text");
            return;
        }
        auto parsed = config::parseConfiguration(document.text, address);
        if (!parsed.findings.empty()) {
            rejectConfiguration(document.change, address, base::toString(parsed.findings.front()));
            return;
        }
        activateConfiguration(parsed.configuration, "peer");
    }

    // A damaged record is not applied: the service keeps the record that is in force, and the store is read again.
    void applyStored(const store::StoredConfiguration& stored)
    {
        auto configuration = stored.configuration;
        for (const auto& damaged : stored.damaged) {
            rejectConfiguration(configuration.changeNumber, damaged.key, damaged.reason);
            const auto it = std::find_if(m_configurationInForce.services.begin(), m_configurationInForce.services.end(),
                [&](const config::Service& service) { return service.name == damaged.service; });
            if (it != m_configurationInForce.services.end())
                configuration.services.push_back(*it);
        }
        std::sort(configuration.services.begin(), configuration.services.end(),
            [](const config::Service& a, const config::Service& b) { return a.name < b.name; });
        activateConfiguration(configuration, "platform", stored.damaged.empty());
    }

    void rejectConfiguration(std::uint64_t change, const std::string& source, const std::string& reason)
    {
        m_dependencies.metrics.count("buckthorncroft_configurations_rejected_total");
        m_dependencies.logger.write(observe::Level::Error, "configuration_rejected",
            { { "change", std::to_string(change) }, { "source", source }, { "reason", reason } });
    }

    void activateConfiguration(const config::Configuration& configuration, const char* source, bool complete = true)
    {
        const auto previous = m_state.changeNumber();
        if (!m_state.applyConfiguration(configuration, m_dependencies.clock.now(), complete))
            return;
        m_configurationInForce = configuration;
        // An incomplete configuration is not shared: peers would keep the old record under the new change number.
        if (complete)
            shareConfiguration();
        m_dependencies.logger.write(observe::Level::Info, "configuration_applied",
            { { "change", std::to_string(configuration.changeNumber) }, { "previous", std::to_string(previous) },
                { "services", std::to_string(configuration.services.size()) }, { "source", source } });
        logStageChanges();
        publish();
    }

    void shareConfiguration()
    {
        auto document = std::make_shared<wire::ConfigurationDocument>();
        document->change = m_configurationInForce.changeNumber;
        document->text = config::formatConfiguration(m_configurationInForce);
        document->digest = config::contentDigest(document->text);
        m_sharedDocument.store(std::move(document));
        if (m_platformWorker)
            m_platformWorker->setChangeNumber(m_configurationInForce.changeNumber);
    }

    void logStageChanges()
    {
        for (const auto& [service, change] : m_state.takeStageChanges()) {
            const auto stage = change.heldByFloor ? "held_by_floor" : health::toString(change.to);
            m_dependencies.metrics.count(
                "buckthorncroft_stage_changes_total", { { "service", service }, { "stage", stage } });
            m_dependencies.logger.write(observe::Level::Info, change.heldByFloor ? "floor_reached" : "stage_change",
                { { "service", service }, { "target", change.target }, { "from", health::toString(change.from) },
                    { "to", health::toString(change.to) }, { "reason", health::toString(change.reason) },
                    { "own_scores", detail::formatScores(change.own) },
                    { "pooled_scores", detail::formatScores(change.pooled) },
                    { "in", std::to_string(change.inServiceCount) }, { "floor", std::to_string(change.floor) } });
        }
    }

    const ControlPlaneDependencies m_dependencies;
    const membership::Peer m_self;
    ControlState m_state; ///< Used by the control thread only, once it runs.
    detail::TaskQueue m_tasks;
    config::Configuration m_configurationInForce; ///< Used by the control thread only, once it runs.
    /// The last complete configuration; threads of the inner server send it to peers.
    std::atomic<std::shared_ptr<const wire::ConfigurationDocument>> m_sharedDocument;
    std::vector<std::string> m_seedPeers;
    std::unique_ptr<wire::InnerServer> m_server;
    std::unique_ptr<detail::PlatformWorker> m_platformWorker;
    wire::InnerClient m_client;
    std::mt19937_64 m_random;
    unsigned m_liveInstances = 0;
    base::SteadyTime m_lastTickAt;
    base::SteadyTime m_lastSeedContactAt;
    base::SteadyTime m_lastFetchAt;
    std::thread m_thread;
};

ControlPlane::ControlPlane(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

ControlPlane::~ControlPlane() = default;

base::Result<std::unique_ptr<ControlPlane>> ControlPlane::start(
    const ControlPlaneDependencies& dependencies, const config::Configuration& bootstrap)
{
    std::random_device device;
    const auto incarnation = (static_cast<std::uint64_t>(device()) << 32 | device()) | 1;
    auto implementation = std::make_unique<Implementation>(dependencies, incarnation);
    if (const auto error = implementation->start(bootstrap))
        return *error;
    return std::unique_ptr<ControlPlane>(new ControlPlane(std::move(implementation)));
}

void ControlPlane::setLeaving()
{
    m_implementation->setLeaving();
}

int ControlPlane::innerPort() const
{
    return m_implementation->innerPort();
}

std::string ControlPlane::status()
{
    return m_implementation->status();
}

} // namespace buckthorncroft::daemon
