#pragma once

#include <string>
#include <vector>

namespace buckthorncroft::base {

/// One problem in a settings, configuration or other input file, with its location and a suggested correction.
struct Finding {
    std::string file; ///< File name; empty if the input is not a file.
    unsigned line = 0; ///< Line number, starting at 1; 0 if the problem belongs to no line.
    std::string key; ///< Dotted key, for example `service.bookdesk.floor`.
    std::string reason; ///< Description of the problem, in one sentence.
    std::string suggestion; ///< How to correct it, in one sentence; may be empty.
};

/// All problems of a file. They are reported together, so that a user can correct the file in one pass.
using Findings = std::vector<Finding>;

/// Formats a finding as `file:line: key: reason (suggestion)`. Empty parts are left out.
std::string toString(const Finding& finding);

} // namespace buckthorncroft::base
