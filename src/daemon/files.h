#pragma once

#include <buckthorncroft/base/finding.h>
#include <string>

namespace buckthorncroft::daemon::detail {

/// Returns the content of a file. Adds a finding if the file cannot be read.
std::string readWholeFile(const std::string& name, base::Findings& findings);

} // namespace buckthorncroft::daemon::detail
