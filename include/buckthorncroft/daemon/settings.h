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
    std::string host; ///< IP number; empty when the endpoint is not used.
    std::uint16_t port = 0; ///< 0 lets the operating system choose, which is useful for tests only.
};

/// Formats as `host:port`, with brackets around an IPv6 number.
std::string toString(const Endpoint& endpoint);

/// Transport security of one endpoint. File names are empty when `plaintext` is true.
struct TlsFiles {
    bool plaintext = false;
    std::string certificate; ///< PEM file of the own certificate chain.
    std::string privateKey; ///< PEM file.
    std::string authority; ///< PEM file of the authority that signs the other side's certificates.
};

/// Severity of log lines; lines below the configured level are not written.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// What one instance learns from its settings file at start. Everything else comes from the configuration store.
struct InstanceSettings {
    std::string instance; ///< Unique name of the instance.
    std::string zone; ///< Availability zone.
    Endpoint callers; ///< Where callers are served.
    Endpoint operators; ///< Where operators' requests are served.
    Endpoint inner; ///< Where other instances are served.
    std::vector<Endpoint> innerPeers; ///< Instances to contact first; more are learnt from the platform's list.
    Endpoint platform; ///< The platform's service; without a host there is none.
    std::string configurationFile; ///< Configuration to start with; may be empty.
    unsigned trafficThreads = 2;
    std::chrono::milliseconds balancerLag { 5000 }; ///< How long the balancer keeps sending after `/ready` fails.
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
