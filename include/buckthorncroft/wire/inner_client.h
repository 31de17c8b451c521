#pragma once

#include <buckthorncroft/base/error.h>
#include <buckthorncroft/wire/messages.h>
#include <buckthorncroft/wire/tls_material.h>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace buckthorncroft::wire {

/// Client of the inner endpoints of other instances, see `InnerServer`. Functions return at once. `done` is called
/// exactly once: on the client's own thread or, if the call cannot start, on the calling thread before the function
/// returns. Safe for concurrent use.
///
/// Errors: `Unavailable` (also if too many calls are in flight or the certificate files cannot be read), `Timeout`, and
/// `Malformed` if the peer rejects the request as malformed or the reply is invalid.
class InnerClient {
public:
    explicit InnerClient(const TlsMaterial& tls);

    /// Cancels the calls in flight and waits until `done` of each has returned. Must not run inside a `done`.
    ~InnerClient();
    InnerClient(const InnerClient&) = delete;
    InnerClient& operator=(const InnerClient&) = delete;

    /// Sends a report and receives that of the peer.
    void exchange(const std::string& address, const Report& report, std::chrono::milliseconds timeout,
        std::function<void(base::Result<Report>)> done);

    /// Fetches the configuration of the peer if its change number is above `newerThan`; otherwise a document with
    /// change number 0. The digest is not checked.
    void fetchConfiguration(const std::string& address, std::uint64_t newerThan, std::chrono::milliseconds timeout,
        std::function<void(base::Result<ConfigurationDocument>)> done);

    /// Asks the peer for a slot on a target.
    void place(const std::string& address, const PlaceRequest& request, std::chrono::milliseconds timeout,
        std::function<void(base::Result<PlaceReply>)> done);

    /// Returns granted slots to the peer. Errors are ignored, because a grant that is not released expires.
    void release(const std::string& address, const std::string& service, const std::vector<std::uint64_t>& grants,
        std::chrono::milliseconds timeout);

    /// Closes the connections to all addresses except `addresses`. Calls in flight on them continue.
    void closeConnectionsExcept(const std::vector<std::string>& addresses);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace buckthorncroft::wire
