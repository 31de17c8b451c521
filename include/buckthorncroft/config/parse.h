#pragma once

#include <buckthorncroft/base/finding.h>
#include <buckthorncroft/config/model.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace buckthorncroft::config {

/// Bounds of a configuration document. Larger documents are refused as a whole.
struct ParseLimits {
    std::size_t maxBytes = 64u << 20;
    std::size_t maxServices = 5000;
    std::size_t maxTargetsPerService = 5000;
    std::size_t maxRoutesPerService = 1000;
};

/// A parsed document together with its problems. `configuration` must not be used unless `findings` is empty.
struct ParsedConfiguration {
    Configuration configuration;
    base::Findings findings;
};

/// Parses and checks a TOML configuration. Unknown keys, wrong types, values out of bounds, duplicate names and
/// contradictions are findings; all of them are collected. Never throws on malformed input.
ParsedConfiguration parseConfiguration(std::string_view text, const std::string& file, const ParseLimits& limits = {});

/// Writes the canonical TOML form. Parsing it yields an equal configuration, and equal configurations have equal text.
std::string formatConfiguration(const Configuration& configuration);

/// Writes the canonical TOML form of one service, as stored in one record of the platform's table.
std::string formatService(const Service& service);

/// Returns 32 hexadecimal digits over `text`, for detecting damage between the store and an instance.
std::string contentDigest(std::string_view text);

} // namespace buckthorncroft::config
