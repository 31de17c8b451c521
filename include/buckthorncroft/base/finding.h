#pragma once

#include <string>
#include <vector>

namespace buckthorncroft::base {

/// One problem in a settings or configuration file, with its place and what to do about it.
struct Finding {
    std::string file; ///< File name, empty for input that is not a file.
    unsigned line = 0; ///< Line number from 1; 0 when no line applies.
    std::string key; ///< Dotted key, for example `service.bookdesk.floor`.
    std::string reason; ///< What is wrong, in one sentence.
    std::string suggestion; ///< What to do, in one sentence; may be empty.
};

/// Problems are collected and reported together, so that a file is corrected in one pass.
using Findings = std::vector<Finding>;

/// Formats a finding as `file:line: key: reason (suggestion)`, leaving out the parts that are empty.
std::string toString(const Finding& finding);

} // namespace buckthorncroft::base
