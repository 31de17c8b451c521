#pragma once

#include <buckthorncroft/base/error.h>
#include <buckthorncroft/wire/messages.h>
#include <buckthorncroft/wire/tls_material.h>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace buckthorncroft::wire {

/// Sends messages to other instances. Calls return at once; `done` is called exactly once, from the client's thread or,
/// when the call is refused at once, from the caller's. Safe for concurrent use.
///
/// Errors: `Unavailable`, `Timeout`, `Malformed` (the answer breaks a bound), `LimitExceeded` (too many calls run).
class InnerClient {
public:
    explicit InnerClient(const TlsMaterial& tls);

    /// Cancels the calls that run and waits for their `done`. Must not be called from a `done`.
    ~InnerClient();
    InnerClient(const InnerClient&) = delete;
    InnerClient& operator=(const InnerClient&) = delete;

    void exchange(const std::string& address, const Report& report, std::chrono::milliseconds timeout,
        std::function<void(base::Result<Report>)> done);

    void fetchConfiguration(const std::string& address, std::uint64_t newerThan, std::chrono::milliseconds timeout,
        std::function<void(base::Result<ConfigurationDocument>)> done);

    void place(const std::string& address, const PlaceRequest& request, std::chrono::milliseconds timeout,
        std::function<void(base::Result<PlaceReply>)> done);

    void release(const std::string& address, const std::string& service, const std::vector<std::uint64_t>& grants,
        std::chrono::milliseconds timeout);

    /// Closes the connections to addresses that are not in `addresses`.
    void keepOnly(const std::vector<std::string>& addresses);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace buckthorncroft::wire
