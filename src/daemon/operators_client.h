#pragma once

#include <buckthorncroft/base/error.h>
#include <buckthorncroft/daemon/settings.h>
#include <chrono>
#include <string>

namespace buckthorncroft::daemon::detail {

/// Reads `path` from an instance's operators' endpoint, over TLS with a client certificate unless `tls.plaintext`.
/// One deadline covers the whole call. Errors: `Unavailable`, `Timeout`, `PermissionDenied`, `Malformed`,
/// `InvalidArgument` for certificate files that cannot be used.
base::Result<std::string> fetch(
    const Endpoint& endpoint, const std::string& path, const TlsFiles& tls, std::chrono::milliseconds timeout);

} // namespace buckthorncroft::daemon::detail
