#pragma once

#include <buckthorncroft/base/error.h>
#include <buckthorncroft/daemon/settings.h>
#include <chrono>
#include <string>

namespace buckthorncroft::daemon::detail {

/// Sends a GET request for `path` to the operators' endpoint of an instance and returns the body of the response. Uses
/// TLS with a client certificate unless `tls.plaintext` is set. One deadline covers the whole call. Errors:
/// `Unavailable`, `Timeout`, `PermissionDenied`, `Malformed`, `InvalidArgument` for certificate files that cannot be
/// used.
base::Result<std::string> fetchPath(
    const Endpoint& endpoint, const std::string& path, const TlsFiles& tls, std::chrono::milliseconds timeout);

} // namespace buckthorncroft::daemon::detail
