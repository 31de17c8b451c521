#pragma once

#include <string>

namespace buckthorncroft::gateway {

/// Names of the headers that callers, gateway and targets exchange, and the path of the readiness check. A deployment
/// may override them.
struct HeaderNames {
    std::string requestId = "Buckthorncroft-Request-Id";
    std::string deadline = "Buckthorncroft-Deadline-Ms"; ///< Remaining time in milliseconds.
    std::string signature = "Buckthorncroft-Signature"; ///< Set by a target to prove that a response is its own.
    std::string expectedTarget = "Buckthorncroft-Expected-Target"; ///< Id of the only target that may run the request.
    std::string notRun = "Buckthorncroft-Not-Run"; ///< Set by a target that did not run the request.
    std::string leaving = "Buckthorncroft-Leaving"; ///< Set to 1 by a target that leaves and accepts no new requests.
    std::string workspace
        = "Buckthorncroft-Workspace"; ///< Workspace of the caller, as the gateway found it by the key.
    std::string readyPath = "/ready"; ///< Path of the readiness check.
};

} // namespace buckthorncroft::gateway
