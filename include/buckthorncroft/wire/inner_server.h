#pragma once

#include <buckthorncroft/base/error.h>
#include <buckthorncroft/wire/messages.h>
#include <buckthorncroft/wire/tls_material.h>
#include <functional>
#include <memory>
#include <string>

namespace buckthorncroft::wire {

/// Handles the messages of other instances. The functions are called concurrently on the server's threads and must not
/// block for longer than a few milliseconds.
class InnerHandler {
public:
    InnerHandler() = default;
    InnerHandler(const InnerHandler&) = delete;
    InnerHandler& operator=(const InnerHandler&) = delete;
    virtual ~InnerHandler() = default;

    /// Processes a validated report and returns the report of this instance.
    virtual Report exchange(Report report) = 0;

    /// Returns the configuration if its change number is above `newerThan`; otherwise a document with change number 0.
    virtual ConfigurationDocument fetchConfiguration(std::uint64_t newerThan) = 0;

    /// Grants a slot on a target to the requesting instance. The target of the reply is empty if no slot is free.
    virtual PlaceReply place(const PlaceRequest& request) = 0;

    /// Releases granted slots of `service`.
    virtual void release(const std::string& service, const std::vector<std::uint64_t>& grants) = 0;

    /// Called when a message is dropped as malformed. `sender` is the instance that the message names or, if it names
    /// none, the address of the peer. It is not authenticated.
    virtual void onMalformedMessage(const std::string& sender, const base::Error& error) = 0;
};

/// The inner endpoint of an instance: a gRPC server that only other instances of the fleet use. It serves the
/// `InnerProtocol` of exchange.proto.
class InnerServer {
public:
    /// Starts a server on `address` (host:port). `handler` must outlive the server. Errors: `Unavailable` if the
    /// address cannot be bound, `InvalidArgument` if the certificate files cannot be read.
    static base::Result<std::unique_ptr<InnerServer>> start(
        const std::string& address, const TlsMaterial& tls, InnerHandler& handler);

    /// Stops the server. Calls that are still running after 200 ms are cancelled.
    ~InnerServer();
    InnerServer(const InnerServer&) = delete;
    InnerServer& operator=(const InnerServer&) = delete;

    /// Returns the port that the server is bound to. Needed if it was started with port 0.
    int port() const;

private:
    struct State;
    explicit InnerServer(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace buckthorncroft::wire
