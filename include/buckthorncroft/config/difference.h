#pragma once

#include <buckthorncroft/config/model.h>
#include <string>
#include <vector>

namespace buckthorncroft::config {

/// Describes for people what changed from `before` to `after`, one line for each changed setting, for example
/// `target b1: draining = false -> true`. Versions are not compared. Returns at most `limit` lines; a last line then
/// states how many are left out.
std::vector<std::string> describeDifference(const Service& before, const Service& after, std::size_t limit = 50);

} // namespace buckthorncroft::config
