#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthorncroft::routing {

/// First 16 bytes of the SHA-256 of a key. Keys themselves are kept neither in memory nor in logs.
using KeyDigest = std::array<std::uint8_t, 16>;

/// Returns the first 8 hexadecimal digits of `digest`, which identify a key in logs.
std::string shortText(const KeyDigest& digest);

/// A key and the index of the workspace that holds it.
struct KeyOwner {
    KeyDigest key {};
    std::uint32_t workspace = 0;
};

/// Finds the workspace that holds a key, by binary search in one sorted array of 20 bytes for each key. Immutable, so
/// that threads may share it.
class KeyDirectory {
public:
    KeyDirectory() = default;

    /// `owners`: all keys in the order of the configuration. The first owner of a key is kept.
    explicit KeyDirectory(std::vector<KeyOwner> owners);

    /// Returns the index of the workspace that holds `key`.
    std::optional<std::uint32_t> find(const KeyDigest& key) const;

    /// Keys of further workspaces that another workspace holds already.
    const std::vector<KeyOwner>& conflicts() const { return m_conflicts; }

    std::size_t size() const { return m_owners.size(); }

private:
    std::vector<KeyOwner> m_owners; ///< Sorted by key, without repetitions.
    std::vector<KeyOwner> m_conflicts;
};

static_assert(sizeof(KeyOwner) == 20);

} // namespace buckthorncroft::routing
