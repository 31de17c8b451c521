#pragma once

#include <buckthorncroft/base/error.h>
#include <buckthorncroft/daemon/settings.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace buckthorncroft::daemon {

/// A response of the operators' endpoint.
struct OperatorsResponse {
    unsigned status = 200;
    std::string contentType = "text/plain; charset=utf-8";
    std::string body;
};

/// Serves operators over HTTP on threads of its own, so that a slow operator's request never delays callers.
/// Only GET and HEAD without a body are served.
class OperatorsEndpoint {
public:
    using Handler = std::function<OperatorsResponse()>;

    OperatorsEndpoint(Endpoint endpoint, TlsFiles tls);

    /// Stops serving.
    ~OperatorsEndpoint();
    OperatorsEndpoint(const OperatorsEndpoint&) = delete;
    OperatorsEndpoint& operator=(const OperatorsEndpoint&) = delete;

    /// Registers the handler of GET and HEAD requests for exactly `path`. Call before `start`. The handler runs on
    /// threads of the endpoint and must be safe for concurrent use.
    void addHandler(const std::string& path, Handler handler);

    /// Opens the endpoint. Port 0 is not supported, because the library does not report which port was bound.
    /// Errors: `Unavailable`.
    base::Result<void> start();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace buckthorncroft::daemon
