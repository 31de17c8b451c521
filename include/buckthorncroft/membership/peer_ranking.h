#pragma once

#include <buckthorncroft/base/clock.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace buckthorncroft::membership {

/// Ranks the instances that may hold a role for a key. Instances that know the same members and capacities compute the
/// same ranking. Those with the most processor time come first, because the holder of a role carries the load of many
/// instances. Each instance decides for itself to skip for a while an instance that did not respond to it. A wrong
/// decision makes results less precise, never incorrect.
class PeerRanking {
public:
    /// `capacity` is the processor time of this instance in cores.
    explicit PeerRanking(std::string self, double capacity = 1);

    /// Records a message from the instance and stops skipping it. An instance that was marked as leaving is ranked
    /// again only with a new incarnation. Returns whether this is the first message of this incarnation.
    bool recordContact(const std::string& instance, std::uint64_t incarnation, base::SteadyTime now);

    /// Sets the processor time of an instance in cores, and adds the instance if it is unknown. Does not prove that the
    /// instance runs.
    void setCapacity(const std::string& instance, double capacity);

    /// Removes an instance that announced its stop from all rankings.
    void markLeaving(const std::string& instance);

    /// Records that the instance did not respond in time. It is skipped for a backoff that doubles with each further
    /// timeout until the next contact.
    void recordTimeout(const std::string& instance, base::SteadyTime now);

    /// Returns the first available instance for the key, or this instance if none is available.
    std::string first(const std::string& key, base::SteadyTime now);

    /// Returns the first `count` available instances for the key. This instance may be among them.
    std::vector<std::string> top(const std::string& key, std::size_t count, base::SteadyTime now);

    /// Returns up to `count` available instances that follow the first one, without this instance.
    std::vector<std::string> successors(const std::string& key, std::size_t count, base::SteadyTime now);

    /// Returns the number of instances that have not left, including this one and those that do not respond.
    std::size_t memberCount() const;

private:
    struct Peer {
        std::uint64_t incarnation = 0;
        double capacity = 0; ///< Processor time in cores; 0 until it is known.
        bool leaving = false;
        base::SteadyTime skipUntil {};
        std::chrono::milliseconds backoff { 0 };
    };

    const std::vector<std::string>& rankingFor(const std::string& key);
    bool isAvailable(const std::string& instance, base::SteadyTime now) const;

    std::string m_self;
    std::map<std::string, Peer> m_peers;
    std::map<std::string, std::vector<std::string>> m_rankings; ///< Cache by key; cleared when members change.
};

} // namespace buckthorncroft::membership
