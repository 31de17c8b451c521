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

    constexpr std::size_t maxTasks = 10'000;
    constexpr milliseconds loopInterval { 20 };
    constexpr milliseconds tickInterval { 100 };
    constexpr milliseconds callTimeout {
        400
    }; // Below the exchange interval, so that calls to a dead peer do not pile up.
    constexpr milliseconds fetchTimeout { 3000 };
    constexpr milliseconds fetchInterval { 500 };
    constexpr milliseconds handlerTimeout { 200 };
    constexpr milliseconds statusTimeout { 1000 };

    wire::TlsMaterial material(const TlsFiles& files)
    {
        return { files.plaintext, files.certificate, files.privateKey, files.authority };
    }

} // namespace

class ControlPlane::Implementation final : public wire::InnerHandler {
public:
    Implementation(const ControlPlaneParts& parts, std::uint64_t incarnation)
        : m_parts(parts)
        , m_self { parts.settings.instance, parts.settings.zone, toString(parts.settings.inner), incarnation, false }
        , m_state(m_self, incarnation)
        , m_tasks(maxTasks)
        , m_client(material(parts.settings.innerTls))
        , m_random(incarnation)
    {
    }

    ~Implementation() override
    {
        m_server.reset();
        m_tasks.close();
        if (m_thread.joinable())
            m_thread.join();
        m_worker.reset(); // The control thread uses the worker until its end.
    }

    std::optional<base::Error> start(const config::Configuration& bootstrap)
    {
        auto server
            = wire::InnerServer::start(toString(m_parts.settings.inner), material(m_parts.settings.innerTls), *this);
        if (!server)
            return server.error();
        m_server = std::move(server).value();
        addFirstPeers();
        if (bootstrap.changeNumber)
            apply(bootstrap, "file", !m_parts.platform.store);
        publish();
        const auto& self = m_state.members().self();
        const store::ListedInstance listed { self.instance, self.zone, self.address, false };
        m_worker = std::make_unique<detail::PlatformWorker>(m_parts, listed, m_random(), platformEvents());
        m_worker->setChange(m_state.change());
        m_thread = std::thread([this] { run(); });
        return std::nullopt;
    }

    void setLeaving()
    {
        m_worker->setLeaving();
        m_tasks.post([this] { m_state.setLeaving(); });
    }

    int innerPort() const { return m_server->port(); }

    std::string status()
    {
        return ask<std::string>(statusTimeout, "{}",
            [this] { return detail::statusDocument(m_state, m_parts.settings, m_parts.clock.now()); });
    }

    // Called by threads of the inner server.

    wire::Report exchange(wire::Report report) override
    {
        wire::Report busy;
        busy.sender = m_self;
        return ask<wire::Report>(handlerTimeout, busy, [this, report = std::move(report)] {
            bool accepted = false;
            auto reply = m_state.handleReport(report, accepted, m_parts.clock.now());
            m_parts.metrics.count("buckthorncroft_reports_received_total", { { "accepted", accepted ? "yes" : "no" } });
            return reply;
        });
    }

    wire::ConfigurationDocument fetchConfiguration(std::uint64_t newerThan) override
    {
        const auto document = m_document.load();
        if (!document || document->change <= newerThan)
            return {};
        return *document;
    }

    // No placement point runs here yet; callers fall back to their own choice.
    wire::PlaceReply place(const wire::PlaceRequest&) override { return {}; }
    void release(const std::string&, const std::vector<std::uint64_t>&) override { }

    void malformed(const std::string& sender, const base::Error& error) override
    {
        m_parts.metrics.count("buckthorncroft_reports_malformed_total");
        m_parts.logger.write(
            observe::Level::Warning, "message_dropped", { { "sender", sender }, { "reason", error.message } });
    }

private:
    // Runs `task` on the control thread and returns its result, or `fallback` when the thread is too busy.
    template <typename T, typename Task> T ask(milliseconds timeout, T fallback, Task task)
    {
        auto promise = std::make_shared<std::promise<T>>();
        auto future = promise->get_future();
        if (!m_tasks.post([promise, task = std::move(task)] { promise->set_value(task()); }))
            return fallback;
        return future.wait_for(timeout) == std::future_status::ready ? future.get() : fallback;
    }

    // Peers from the settings have no name yet; their first reply tells it.
    void addFirstPeers()
    {
        for (const auto& it : m_parts.settings.innerPeers)
            m_firstPeers.push_back(toString(it));
    }

    detail::PlatformEvents platformEvents()
    {
        detail::PlatformEvents events;
        events.listed = [this](std::vector<store::ListedInstance> list) {
            m_tasks.post([this, list = std::move(list)] { takeList(list); });
        };
        events.configuration = [this](store::StoredConfiguration stored) {
            m_tasks.post([this, stored = std::move(stored)] { applyStored(stored); });
        };
        events.drainProbed = [this](const membership::TargetName& name, membership::DrainProbeResult result) {
            m_tasks.post([this, name, result] { m_state.drainProbed(name, result, m_parts.clock.now()); });
        };
        return events;
    }

    void takeList(const std::vector<store::ListedInstance>& list)
    {
        std::vector<membership::Peer> peers;
        peers.reserve(list.size());
        for (const auto& it : list)
            peers.push_back({ it.instance, it.zone, it.address, 0, it.leaving });
        m_state.listed(peers, m_parts.clock.now());
    }

    void run()
    {
        while (m_tasks.run(loopInterval)) {
            const auto now = m_parts.clock.now();
            m_state.observe(m_parts.observations.drain());
            if (now - m_lastTick >= tickInterval) {
                m_lastTick = now;
                tick(now);
            }
            sendReports(now);
        }
    }

    void tick(base::SteadyTime now)
    {
        m_state.tick(now);
        logStageChanges();
        m_worker->setReader(m_state.isConfigurationReader(now));
        m_worker->probe(m_state.takeDrainProbes(now));
        fetchNewer(now);
        publish();
        m_parts.metrics.set(
            "buckthorncroft_live_instances", {}, static_cast<double>(m_state.members().live(now).size()));
        m_parts.metrics.set("buckthorncroft_configuration_change", {}, static_cast<double>(m_state.change()));
        m_parts.metrics.set("buckthorncroft_control_sent_bytes", {}, static_cast<double>(m_state.bytesSent()));
        m_parts.metrics.set(
            "buckthorncroft_observations_dropped", {}, static_cast<double>(m_parts.observations.droppedCount()));
    }

    void publish()
    {
        if (!m_state.change())
            return;
        const auto snapshot = m_state.snapshot(m_parts.clock.now());
        m_parts.snapshots.publish(snapshot);
        if (m_parts.platform.liveInstances && snapshot->liveInstances != m_liveInstances) {
            m_liveInstances = snapshot->liveInstances;
            m_parts.platform.liveInstances(m_liveInstances);
        }
    }

    void sendReports(base::SteadyTime now)
    {
        auto reports = m_state.takeReports(now);
        for (auto& it : reports)
            send(it.address, it.report);
        greetFirstPeers(now);
    }

    void send(const std::string& address, const wire::Report& report)
    {
        m_client.exchange(address, report, callTimeout, [this](base::Result<wire::Report> reply) {
            if (!reply) {
                m_parts.metrics.count(
                    "buckthorncroft_reports_failed_total", { { "error", toString(reply.error().code) } });
                return;
            }
            // A busy peer answers with its name only.
            if (reply.value().sequence)
                m_tasks.post([this, response = std::move(reply).value()] {
                    m_state.handleReply(response, m_parts.clock.now());
                });
        });
    }

    // Contacts the peers from the settings until enough others are known.
    void greetFirstPeers(base::SteadyTime now)
    {
        constexpr std::size_t enoughPeers = 3;
        if (m_firstPeers.empty() || now - m_lastGreeting < fetchInterval
            || m_state.members().live(now).size() > enoughPeers)
            return;
        m_lastGreeting = now;
        const auto i = std::uniform_int_distribution<std::size_t>(0, m_firstPeers.size() - 1)(m_random);
        if (m_firstPeers[i] != toString(m_parts.settings.inner))
            send(m_firstPeers[i], m_state.makeGreeting(now));
    }

    // Fetches a configuration that a peer reported as newer, from one such peer at a time.
    void fetchNewer(base::SteadyTime now)
    {
        const auto newer = m_state.newerAtPeers();
        if (newer.addresses.empty() || now - m_lastFetch < fetchInterval)
            return;
        m_lastFetch = now;
        const auto i = std::uniform_int_distribution<std::size_t>(0, newer.addresses.size() - 1)(m_random);
        m_client.fetchConfiguration(newer.addresses[i], m_state.change(), fetchTimeout,
            [this, address = newer.addresses[i]](base::Result<wire::ConfigurationDocument> document) {
                if (document && document.value().change)
                    m_tasks.post([this, address, text = std::move(document).value()] { applyDocument(text, address); });
            });
    }

    void applyDocument(const wire::ConfigurationDocument& document, const std::string& address)
    {
        if (config::contentDigest(document.text) != document.digest) {
            reject(document.change, address, "the digest does not match the text");
            return;
        }
        auto parsed = config::parseConfiguration(document.text, address);
        if (!parsed.findings.empty()) {
            reject(document.change, address, base::toString(parsed.findings.front()));
            return;
        }
        apply(parsed.configuration, "peer");
    }

    // A damaged record is not applied; the service keeps the record that is in force, and the store is read again.
    void applyStored(const store::StoredConfiguration& stored)
    {
        auto configuration = stored.configuration;
        for (const auto& damaged : stored.damaged) {
            reject(configuration.changeNumber, damaged.key, damaged.reason);
            const auto it = std::find_if(m_inForce.services.begin(), m_inForce.services.end(),
                [&](const config::Service& service) { return service.name == damaged.service; });
            if (it != m_inForce.services.end())
                configuration.services.push_back(*it);
        }
        std::sort(configuration.services.begin(), configuration.services.end(),
            [](const config::Service& a, const config::Service& b) { return a.name < b.name; });
        apply(configuration, "platform", stored.damaged.empty());
    }

    void reject(std::uint64_t change, const std::string& source, const std::string& reason)
    {
        m_parts.metrics.count("buckthorncroft_configurations_rejected_total");
        m_parts.logger.write(observe::Level::Error, "configuration_rejected",
            { { "change", std::to_string(change) }, { "source", source }, { "reason", reason } });
    }

    void apply(const config::Configuration& configuration, const char* source, bool complete = true)
    {
        const auto before = m_state.change();
        if (!m_state.applyConfiguration(configuration, m_parts.clock.now(), complete))
            return;
        m_inForce = configuration;
        // An incomplete configuration is not handed on: peers would keep the old record under the new change number.
        if (complete)
            shareInForce();
        m_parts.logger.write(observe::Level::Info, "configuration_applied",
            { { "change", std::to_string(configuration.changeNumber) }, { "previous", std::to_string(before) },
                { "services", std::to_string(configuration.services.size()) }, { "source", source } });
        logStageChanges();
        publish();
    }

    void shareInForce()
    {
        auto document = std::make_shared<wire::ConfigurationDocument>();
        document->change = m_inForce.changeNumber;
        document->text = config::formatConfiguration(m_inForce);
        document->digest = config::contentDigest(document->text);
        m_document.store(std::move(document));
        if (m_worker)
            m_worker->setChange(m_inForce.changeNumber);
    }

    void logStageChanges()
    {
        for (const auto& [service, change] : m_state.takeStageChanges()) {
            const auto stage = change.heldByFloor ? "held_by_floor" : health::toString(change.to);
            m_parts.metrics.count("buckthorncroft_stage_changes_total", { { "service", service }, { "stage", stage } });
            m_parts.logger.write(observe::Level::Info, change.heldByFloor ? "floor_reached" : "stage_change",
                { { "service", service }, { "target", change.target }, { "from", health::toString(change.from) },
                    { "to", health::toString(change.to) }, { "reason", health::toString(change.reason) },
                    { "own_scores", detail::scoresText(change.own) },
                    { "pooled_scores", detail::scoresText(change.pooled) },
                    { "in", std::to_string(change.inServiceCount) }, { "floor", std::to_string(change.floor) } });
        }
    }

    const ControlPlaneParts m_parts;
    const membership::Peer m_self;
    ControlState m_state; ///< Used by the control thread only, once it runs.
    detail::TaskQueue m_tasks;
    config::Configuration m_inForce; ///< Used by the control thread only, once it runs.
    std::atomic<std::shared_ptr<const wire::ConfigurationDocument>> m_document;
    std::vector<std::string> m_firstPeers;
    std::unique_ptr<wire::InnerServer> m_server;
    std::unique_ptr<detail::PlatformWorker> m_worker;
    wire::InnerClient m_client;
    std::mt19937_64 m_random;
    unsigned m_liveInstances = 0;
    base::SteadyTime m_lastTick;
    base::SteadyTime m_lastGreeting;
    base::SteadyTime m_lastFetch;
    std::thread m_thread;
};

ControlPlane::ControlPlane(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

ControlPlane::~ControlPlane() = default;

base::Result<std::unique_ptr<ControlPlane>> ControlPlane::start(
    const ControlPlaneParts& parts, const config::Configuration& bootstrap)
{
    std::random_device device;
    const auto incarnation = (static_cast<std::uint64_t>(device()) << 32 | device()) | 1;
    auto implementation = std::make_unique<Implementation>(parts, incarnation);
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
