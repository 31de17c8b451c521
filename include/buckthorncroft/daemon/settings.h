#pragma once

#include <buckthorncroft/base/finding.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorncroft::daemon {

/// An address to listen on or to connect to.
struct Endpoint {
    std::string host; ///< IP address; empty if the endpoint is not used.
    std::uint16_t port = 0; ///< 0 lets the operating system choose, which is useful for tests only.
};

/// Formats as `host:port`, with brackets around an IPv6 address.
std::string toString(const Endpoint& endpoint);

/// Transport security of one endpoint. File names are empty when `plaintext` is true.
struct TlsFiles {
    bool plaintext = false;
    std::string certificate; ///< PEM file of this side's certificate chain.
    std::string privateKey; ///< PEM file of this side's private key.
    std::string authority; ///< PEM file of the authority that signs the other side's certificates.
};

/// Severity of log lines; lines below the configured level are not written.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Settings of one instance, read from its settings file at start. Everything else comes from the configuration store.
struct InstanceSettings {
    std::string instance; ///< Unique name of the instance.
    std::string zone; ///< Availability zone.
    Endpoint callers; ///< Where callers are served.
    Endpoint operators; ///< Where operators' requests are served.
    Endpoint inner; ///< Where other instances are served.
    std::vector<Endpoint> innerPeers; ///< Instances to contact first; more come from the platform's list.
    Endpoint platform; ///< The platform's service; no platform is used if the host is empty.
    std::string configurationFile; ///< Configuration to start with; may be empty.
    unsigned trafficThreads = 2;
    /// How long the load balancer keeps sending requests after `/ready` fails.
    std::chrono::milliseconds balancerLag { 5000 };
    std::uint64_t memoryBudget = 256u << 20; ///< Bytes of buffers that all requests together may hold.
    LogLevel logLevel = LogLevel::Info;
    TlsFiles operatorsTls;
    TlsFiles innerTls;
};

/// Parsed settings with their problems. `settings` must not be used unless `findings` is empty.
struct ParsedSettings {
    InstanceSettings settings;
    base::Findings findings;
};

/// Parses and checks a settings file in TOML; all problems are collected. Does not open the files that it names.
ParsedSettings parseSettings(std::string_view text, const std::string& file);

} // namespace buckthorncroft::daemon
