#pragma once

// What the cases about leaving back ends share: a fleet before one service, steady bookings, and the check of the rule
// DRAIN.

#include "stage.hh"

namespace review {

constexpr auto drainBound = 2s; ///< `drain`: a leaving back end gets no request later than this.
constexpr auto stability = 3s; ///< `stability`: after a disturbance, machines and the store count as calm again.

class LeavingStage {
public:
    static constexpr unsigned gatewayCount = 10;
    static constexpr unsigned backendCount = 20;

    /// `bookingInterval`: time between two bookings. `servesOn`: how long a back end still serves after its entry was
    /// removed.
    LeavingStage(Script& script, milliseconds bookingInterval, milliseconds servesOn)
        : m_script(script)
        , m_bookingInterval(bookingInterval)
        , m_servesOn(servesOn)
        , m_heartbeats(store)
    {
    }

    ~LeavingStage()
    {
        m_ended = true;
        if (m_traffic.joinable())
            m_traffic.join();
        m_heartbeats.stop();
    }

    /// Returns false if a gateway does not become ready.
    bool start()
    {
        writeConfiguration(store, { { "booking", "unsafe", "/book/", "bookdesk", "3000ms" } });
        for (unsigned n = 0; n < backendCount; ++n)
            addBackend();
        m_heartbeats.start();
        for (unsigned n = 0; n < gatewayCount; ++n) {
            auto& path = paths.emplace_back(store.port());
            m_gateways.emplace_back("front-" + std::to_string(n + 1), path.port(), m_script.directory);
        }
        for (const auto& it : m_gateways) {
            if (!it.waitUntilReady(10s))
                return false;
        }
        std::this_thread::sleep_for(stability);
        m_traffic = std::thread([this] { book(); });
        std::this_thread::sleep_for(1s);
        return true;
    }

    void addBackend()
    {
        auto& it = m_backends.emplace_back(
            m_script.record, "i-" + std::to_string(m_backends.size() + 1), [](const Message&) { return 230ms; });
        m_heartbeats.list(it, "bookdesk");
        m_staying.push_back(&it);
    }

    /// Removes the entry of the oldest staying back end, which goes on serving for a while.
    void removeBackend()
    {
        auto* it = m_staying.front();
        m_staying.pop_front();
        const auto removedAt = m_heartbeats.remove(*it);
        m_script.record.write("the store acknowledges that ", it->id(), " is gone");
        m_leaving.push_back({ it, removedAt });
    }

    /// Ends the leaving back ends whose time has come.
    void exitBackends()
    {
        for (const auto& it : m_leaving) {
            if (Clock::now() >= it.removedAt + m_servesOn)
                it.backend->exit();
        }
    }

    void setBackendsCut(bool cut) { m_heartbeats.setPaused(cut); }

    /// Makes the store turn a gateway away, or serve it again.
    void setTurnedAway(std::size_t gateway, bool turnedAway)
    {
        auto path = std::next(paths.begin(), static_cast<std::ptrdiff_t>(gateway));
        path->setRefusing(turnedAway);
        m_disturbances[gateway].push_back({ Clock::now(), turnedAway });
    }

    /// Returns how many requests reached a back end too late, and how long after its removal the latest one did.
    /// Requests through a gateway that the store turned away within `stability` before don't count.
    std::pair<unsigned, double> countLate() const
    {
        unsigned count = 0;
        double most = 0;
        for (const auto& it : m_leaving) {
            for (const auto& run : it.backend->runs()) {
                if (run.startedAt <= it.removedAt + drainBound || !wasInTouch(gatewayOf(run.id), run.startedAt))
                    continue;
                ++count;
                most = std::max(most, std::chrono::duration<double>(run.startedAt - it.removedAt).count());
            }
        }
        return { count, most };
    }

    /// Returns how many of the requests that reached a back end too late were at work when it exited.
    unsigned countCutAtExit() const
    {
        unsigned result = 0;
        for (const auto& it : m_leaving) {
            for (const auto& run : it.backend->runs())
                result += run.endedAt != Time {} && run.endedAt - run.startedAt < 200ms
                    && run.startedAt > it.removedAt + drainBound && wasInTouch(gatewayOf(run.id), run.startedAt);
        }
        return result;
    }

    unsigned servedCount() const { return m_served; }
    unsigned sentCount() const { return m_sent; }

    buckthorncroft::standin::RegistryStore store;
    std::list<StorePath> paths; ///< Of the gateways, in their order.

private:
    struct Leaving {
        Backend* backend;
        Time removedAt;
    };

    struct Disturbance {
        Time at;
        bool begins;
    };

    static std::size_t gatewayOf(const std::string& booking)
    {
        return std::stoul(booking.substr(booking.find('-') + 1)) % gatewayCount;
    }

    bool wasInTouch(std::size_t gateway, Time time) const
    {
        const auto known = m_disturbances.find(gateway);
        if (known == m_disturbances.end())
            return true;
        bool isDisturbed = false;
        for (const auto& it : known->second) {
            if (it.at > time)
                break;
            isDisturbed = it.begins;
            if (it.at > time - stability)
                return false;
        }
        return !isDisturbed;
    }

    void book()
    {
        std::vector<const Gateway*> gateways;
        for (const auto& it : m_gateways)
            gateways.push_back(&it);
        std::vector<std::thread> callers;
        for (unsigned n = 0; !m_ended; ++n) {
            const auto& gateway = *gateways[n % gateways.size()];
            callers.emplace_back([this, n, &gateway] {
                const auto id = "booking-" + std::to_string(n);
                ++m_sent;
                m_script.record.write("caller sends ", id, " to ", gateway.name());
                const auto answer
                    = callOnce(gateway.port(), requestText("POST", host, "/book/" + id, id, 6000, "{}"), 6s);
                m_script.record.write(gateway.name(), " answers ", id, " with ", answer.status);
                m_served += answer.status == 200;
            });
            std::this_thread::sleep_for(m_bookingInterval);
        }
        for (auto& it : callers)
            it.join();
    }

    Script& m_script;
    milliseconds m_bookingInterval;
    milliseconds m_servesOn;
    Heartbeats m_heartbeats;
    std::list<Backend> m_backends;
    std::list<Gateway> m_gateways;
    std::list<Backend*> m_staying;
    std::list<Leaving> m_leaving;
    std::map<std::size_t, std::vector<Disturbance>> m_disturbances; ///< By gateway, in order.
    std::atomic<bool> m_ended { false };
    std::atomic<unsigned> m_sent { 0 };
    std::atomic<unsigned> m_served { 0 };
    std::thread m_traffic;
};

} // namespace review
