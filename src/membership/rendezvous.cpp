#include <buckthorncroft/membership/rendezvous.h>

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace buckthorncroft::membership {

std::uint64_t rendezvousScore(std::string_view key, std::string_view member)
{
    // The member is hashed with the key's hash as seed. A hash of the concatenation would be equal for "a" + "bc" and
    // "ab" + "c".
    return XXH3_64bits_withSeed(member.data(), member.size(), XXH3_64bits(key.data(), key.size()));
}

std::vector<std::string> rendezvousTop(std::string_view key, std::span<const std::string> members, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::string>> scored;
    scored.reserve(members.size());
    for (const auto& it : members)
        scored.emplace_back(rendezvousScore(key, it), it);
    const auto n = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(n), scored.end(), std::greater<>());
    std::vector<std::string> result;
    for (std::size_t i = 0; i < n; ++i)
        result.push_back(std::move(scored[i].second));
    return result;
}

} // namespace buckthorncroft::membership
