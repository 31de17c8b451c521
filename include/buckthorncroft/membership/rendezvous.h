#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorncroft::membership {

/// Returns the rendezvous hash of `member` for `key`. The member with the highest score owns the key. All instances
/// compute the same scores.
std::uint64_t rendezvousScore(std::string_view key, std::string_view member);

/// Returns up to `count` members with the highest scores for `key`, highest first. When a member leaves, only the keys
/// that it owned move to another member.
std::vector<std::string> rendezvousTop(std::string_view key, std::span<const std::string> members, std::size_t count);

} // namespace buckthorncroft::membership
