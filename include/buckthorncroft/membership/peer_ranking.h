#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace buckthorncroft::membership {

/// Which instances may hold a role for a key, in one order on all instances: those with the most processor time first,
/// because a role carries the load of many instances. An instance that does not answer is passed
/// over for a while, which each instance decides for itself; a wrong guess costs precision, never correctness.
class PeerRanking {
public:
    /// `capacity`: processor time of this instance, in cores.
    explicit PeerRanking(std::string self, double capacity = 1);

    /// The instance is there. A new incarnation is trusted again.
    void recordContact(const std::string& instance, std::uint64_t incarnation, base::SteadyTime now);

    /// The instance has this much processor time, in cores; it may be gone.
    void setCapacity(const std::string& instance, double capacity);

    /// The instance stops.
    void markLeaving(const std::string& instance);

    /// The instance did not answer in time. The pause grows while it stays silent.
    void recordTimeout(const std::string& instance, base::SteadyTime now);

    /// The first instance for the key that is not passed over; this instance itself if no other is left.
    std::string first(const std::string& key, base::SteadyTime now);

    /// The first `count` instances for the key that are not passed over, this one included.
    std::vector<std::string> top(const std::string& key, std::size_t count, base::SteadyTime now);

    /// The instances after the first, at most `count`, this one excluded.
    std::vector<std::string> successors(const std::string& key, std::size_t count, base::SteadyTime now);

private:
    struct Peer {
        std::uint64_t incarnation = 0;
        double capacity = 0; ///< 0 until it is known.
        bool leaving = false;
        base::SteadyTime passUntil {};
        std::chrono::milliseconds pause { 0 };
    };

    const std::vector<std::string>& order(const std::string& key);
    bool usable(const std::string& instance, base::SteadyTime now) const;

    std::string m_self;
    std::map<std::string, Peer> m_peers;
    std::map<std::string, std::vector<std::string>> m_orders; ///< By key; cleared when the members change.
};

} // namespace buckthorncroft::membership
