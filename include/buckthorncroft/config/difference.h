#pragma once

#include <buckthorncroft/config/model.h>
#include <string>
#include <vector>

namespace buckthorncroft::config {

/// Describes in readable form what changed from `before` to `after`, one line for each changed setting, for example
/// `target b1: draining = false -> true`. Versions are not compared. If there are more than `limit` changes, the first
/// `limit` lines are returned, and one more line that states how many were omitted.
std::vector<std::string> describeDifference(const Service& before, const Service& after, std::size_t limit = 50);

} // namespace buckthorncroft::config
