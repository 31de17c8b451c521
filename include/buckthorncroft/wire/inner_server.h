#pragma once

#include <buckthorncroft/base/error.h>
#include <buckthorncroft/wire/messages.h>
#include <buckthorncroft/wire/tls_material.h>
#include <functional>
#include <memory>
#include <string>

namespace buckthorncroft::wire {

/// Answers the messages of other instances. Called from the server's threads, several at a time; must not block for
/// longer than a few milliseconds.
class InnerHandler {
public:
    InnerHandler() = default;
    InnerHandler(const InnerHandler&) = delete;
    InnerHandler& operator=(const InnerHandler&) = delete;
    virtual ~InnerHandler() = default;

    /// Takes a valid report and returns the own one.
    virtual Report exchange(Report report) = 0;

    /// Returns the configuration if its change number is above `newerThan`; otherwise change 0.
    virtual ConfigurationDocument fetchConfiguration(std::uint64_t newerThan) = 0;

    virtual PlaceReply place(const PlaceRequest& request) = 0;
    virtual void release(const std::string& service, const std::vector<std::uint64_t>& grants) = 0;

    /// A message was dropped. `sender` is the instance that it names, or the peer's address.
    virtual void onMalformedMessage(const std::string& sender, const base::Error& error) = 0;
};

/// The inner endpoint of one instance.
class InnerServer {
public:
    /// Starts listening on `address` (host:port). The handler must outlive the server. Returns `Unavailable` when the
    /// address cannot be bound, `InvalidArgument` when the certificates cannot be used.
    static base::Result<std::unique_ptr<InnerServer>> start(
        const std::string& address, const TlsMaterial& tls, InnerHandler& handler);

    ~InnerServer();
    InnerServer(const InnerServer&) = delete;
    InnerServer& operator=(const InnerServer&) = delete;

    /// The port that is bound, for servers that were started with port 0.
    int port() const;

private:
    struct State;
    explicit InnerServer(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace buckthorncroft::wire
