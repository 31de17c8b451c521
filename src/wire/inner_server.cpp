#include <buckthorncroft/wire/inner_server.h>

#include "convert.h"
#include "credentials.h"
#include <buckthorncroft/wire/exchange.grpc.pb.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/server_builder.h>

namespace buckthorncroft::wire {

namespace {

    constexpr int maxServerThreads = 6; // Control traffic is light; few threads save memory on small instances.
    constexpr std::size_t maxServerMemoryBytes = 16u << 20;
    constexpr std::chrono::milliseconds shutdownTimeout { 200 };

    grpc::Status toInvalidArgument(const base::Error& error)
    {
        return { grpc::StatusCode::INVALID_ARGUMENT, error.message };
    }

    class InnerProtocolService final : public proto::InnerProtocol::Service {
    public:
        explicit InnerProtocolService(InnerHandler& handler)
            : m_handler(handler)
        {
        }

        grpc::Status Exchange(grpc::ServerContext* context, const proto::Report* request, proto::Report* reply) override
        {
            auto report = detail::fromProto(*request, m_limits);
            if (!report) {
                const auto& name = request->sender().instance();
                m_handler.onMalformedMessage(
                    name.empty() ? context->peer() : name.substr(0, m_limits.maxNameBytes), report.error());
                return toInvalidArgument(report.error());
            }
            *reply = detail::toProto(m_handler.exchange(std::move(report).value()));
            return grpc::Status::OK;
        }

        grpc::Status FetchConfiguration(
            grpc::ServerContext*, const proto::FetchRequest* request, proto::FetchReply* reply) override
        {
            const auto document = m_handler.fetchConfiguration(request->newer_than());
            reply->set_change(document.change);
            reply->set_digest(document.digest);
            reply->set_document(document.text);
            return grpc::Status::OK;
        }

        grpc::Status Place(
            grpc::ServerContext* context, const proto::PlaceRequest* request, proto::PlaceReply* reply) override
        {
            const auto placeRequest = detail::fromProto(*request, m_limits);
            if (!placeRequest) {
                m_handler.onMalformedMessage(context->peer(), placeRequest.error());
                return toInvalidArgument(placeRequest.error());
            }
            const auto placeReply = m_handler.place(placeRequest.value());
            reply->set_target(placeReply.target);
            reply->set_grant(placeReply.grant);
            return grpc::Status::OK;
        }

        grpc::Status Release(grpc::ServerContext*, const proto::ReleaseRequest* request, proto::ReleaseReply*) override
        {
            m_handler.release(request->service(), { request->grants().begin(), request->grants().end() });
            return grpc::Status::OK;
        }

    private:
        InnerHandler& m_handler;
        MessageLimits m_limits;
    };

} // namespace

struct InnerServer::State {
    explicit State(InnerHandler& handler)
        : service(handler)
    {
    }

    InnerProtocolService service;
    std::unique_ptr<grpc::Server> server;
    int port = 0;
};

InnerServer::InnerServer(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

InnerServer::~InnerServer()
{
    m_state->server->Shutdown(std::chrono::system_clock::now() + shutdownTimeout);
}

int InnerServer::port() const
{
    return m_state->port;
}

base::Result<std::unique_ptr<InnerServer>> InnerServer::start(
    const std::string& address, const TlsMaterial& tls, InnerHandler& handler)
{
    const auto credentials = detail::makeServerCredentials(tls);
    if (!credentials)
        return base::Error { base::ErrorCode::InvalidArgument,
            "the inner endpoint's certificate files cannot be read" };
    auto state = std::make_unique<State>(handler);
    grpc::ResourceQuota quota("inner");
    quota.SetMaxThreads(maxServerThreads);
    quota.Resize(maxServerMemoryBytes);
    grpc::ServerBuilder builder;
    builder.SetResourceQuota(quota);
    builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, 2);
    builder.SetMaxReceiveMessageSize(static_cast<int>(MessageLimits {}.maxBytes));
    // Without this option, a second process could bind the same port and silently receive half of the messages.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(address, credentials, &state->port);
    builder.RegisterService(&state->service);
    state->server = builder.BuildAndStart();
    if (!state->server || state->port == 0)
        return base::Error { base::ErrorCode::Unavailable, "cannot listen on " + address };
    return std::unique_ptr<InnerServer>(new InnerServer(std::move(state)));
}

} // namespace buckthorncroft::wire
