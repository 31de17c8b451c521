#include <buckthorncroft/routing/key_directory.h>

#include <algorithm>

namespace buckthorncroft::routing {

std::string shortText(const KeyDigest& digest)
{
    constexpr std::size_t shownBytes = 4;
    constexpr const char* digits = "0123456789abcdef";
    std::string result;
    for (std::size_t i = 0; i < shownBytes; ++i) {
        result += digits[digest[i] >> 4];
        result += digits[digest[i] & 0xf];
    }
    return result;
}

KeyDirectory::KeyDirectory(std::vector<KeyOwner> owners)
    : m_owners(std::move(owners))
{
    std::stable_sort(m_owners.begin(), m_owners.end(), [](const auto& a, const auto& b) { return a.key < b.key; });
    std::size_t kept = 0;
    for (const auto& it : m_owners) {
        if (kept == 0 || m_owners[kept - 1].key != it.key)
            m_owners[kept++] = it;
        else if (m_owners[kept - 1].workspace != it.workspace)
            m_conflicts.push_back(it);
    }
    m_owners.resize(kept);
    m_owners.shrink_to_fit();
}

std::optional<std::uint32_t> KeyDirectory::find(const KeyDigest& key) const
{
    const auto it = std::lower_bound(
        m_owners.begin(), m_owners.end(), key, [](const KeyOwner& a, const KeyDigest& b) { return a.key < b; });
    if (it == m_owners.end() || it->key != key)
        return std::nullopt;
    return it->workspace;
}

} // namespace buckthorncroft::routing
