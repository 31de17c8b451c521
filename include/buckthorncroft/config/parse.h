#pragma once

#include <buckthorncroft/base/finding.h>
#include <buckthorncroft/config/model.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace buckthorncroft::config {

/// Size limits of a configuration document. A document that exceeds one of them is rejected as a whole.
struct ParseLimits {
    std::size_t maxBytes = 64u << 20;
    std::size_t maxServices = 5000;
    std::size_t maxTargetsPerService = 5000;
    std::size_t maxRoutesPerService = 1000;
};

/// A parsed document and the problems found in it. `configuration` must not be used unless `findings` is empty.
struct ParsedConfiguration {
    Configuration configuration;
    base::Findings findings;
};

/// Parses and validates a TOML configuration. Reports all unknown keys, wrong types, values out of bounds, duplicate
/// names and contradictions as findings. `file` is the name that the findings contain. Does not throw on malformed
/// input.
ParsedConfiguration parseConfiguration(std::string_view text, const std::string& file, const ParseLimits& limits = {});

/// Returns the canonical TOML text. Parsing it yields an equal configuration, and equal configurations have equal
/// texts.
std::string formatConfiguration(const Configuration& configuration);

/// Returns the canonical TOML text of one service, as stored in one row of the platform's table.
std::string formatService(const Service& service);

/// Returns a digest of `text` as 32 hexadecimal digits, for detecting corruption between the store and an instance. Not
/// cryptographic.
std::string contentDigest(std::string_view text);

} // namespace buckthorncroft::config
