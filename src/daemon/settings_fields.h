#pragma once

#include <buckthorncroft/config/toml_reader.h>
#include <buckthorncroft/daemon/settings.h>
#include <optional>
#include <string>
#include <string_view>

/// Readers of the fields that the settings of all daemons share. Problems are added to the reader's findings.
namespace buckthorncroft::daemon::detail {

using config::TomlReader;

constexpr const char* addressHint = "write an IP address and a port, for example 127.0.0.1:8080 or [::1]:8080";

/// Parses `host:port` with an IP address; an IPv6 address stands in brackets.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Reads an endpoint; returns an empty one if the key is missing or its value is not valid.
Endpoint readEndpoint(TomlReader& reader, const std::string& key, bool required);

/// Reads the name of an instance or availability zone.
std::string readName(TomlReader& reader, const std::string& key);

/// Reads `log_level`; the default is info.
LogLevel readLogLevel(TomlReader& reader);

} // namespace buckthorncroft::daemon::detail
