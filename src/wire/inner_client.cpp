#include <buckthorncroft/wire/inner_client.h>

#include "convert.h"
#include "credentials.h"
#include <buckthorncroft/wire/exchange.grpc.pb.h>
#include <grpcpp/completion_queue.h>
#include <grpcpp/create_channel.h>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace buckthorncroft::wire {

namespace {

    constexpr std::size_t maxCallsInFlight = 1000; // Only slow peers cause more; further calls would just use memory.
    constexpr int maxReconnectDelayMs = 2000;

    base::Error toError(const grpc::Status& status)
    {
        const auto code = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ? base::ErrorCode::Timeout
            : status.error_code() == grpc::StatusCode::INVALID_ARGUMENT              ? base::ErrorCode::Malformed
                                                                                     : base::ErrorCode::Unavailable;
        return { code, status.error_message() };
    }

} // namespace

// Uses gRPC's completion queue with a thread of its own instead of the callback API. In gRPC 1.51 the callback API
// aborts with "assertion failed: prior > 0" if the last channel is released on its callback thread, as in wire_test
// after a rejected TLS handshake.
struct InnerClient::State {
    using Stub = proto::InnerProtocol::Stub;

    // A call in flight. Its address is its tag in the completion queue.
    class Call {
    public:
        Call() = default;
        Call(const Call&) = delete;
        Call& operator=(const Call&) = delete;
        virtual ~Call() = default;
        virtual void finish() = 0;

        grpc::ClientContext context;
        grpc::Status status;
        std::shared_ptr<Stub> stub;
    };

    template <typename Reply, typename Finish> class TypedCall final : public Call {
    public:
        explicit TypedCall(Finish onFinished)
            : m_finish(std::move(onFinished))
        {
        }

        void finish() override { m_finish(status, reply); }

        Reply reply;
        std::unique_ptr<grpc::ClientAsyncResponseReader<Reply>> reader;

    private:
        Finish m_finish;
    };

    explicit State(std::shared_ptr<grpc::ChannelCredentials> channelCredentials)
        : credentials(std::move(channelCredentials))
        , completionThread([this] { processCompletions(); })
    {
    }

    ~State()
    {
        {
            const std::lock_guard lock(mutex);
            stopping = true;
            for (const auto& [tag, call] : callsInFlight)
                call->context.TryCancel();
        }
        queue.Shutdown();
        completionThread.join();
    }
    State(const State&) = delete;
    State& operator=(const State&) = delete;

    // Finishes calls as they complete, until the queue is shut down and empty.
    void processCompletions()
    {
        void* tag = nullptr;
        bool ok = false;
        while (queue.Next(&tag, &ok)) {
            std::unique_ptr<Call> call;
            {
                const std::lock_guard lock(mutex);
                const auto it = callsInFlight.find(tag);
                call = std::move(it->second);
                callsInFlight.erase(it);
            }
            call->finish();
        }
    }

    // Returns the stub for `address`, creating its channel on first use. Requires `mutex`.
    std::shared_ptr<Stub> findOrCreateStub(const std::string& address)
    {
        auto& result = stubs[address];
        if (!result) {
            grpc::ChannelArguments arguments;
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectDelayMs);
            arguments.SetMaxReceiveMessageSize(static_cast<int>(MessageLimits {}.maxReplyBytes));
            result = proto::InnerProtocol::NewStub(grpc::CreateCustomChannel(address, credentials, arguments));
        }
        return result;
    }

    // Starts a call. `start` passes the request to gRPC; `finish` receives the status and the reply. If the call cannot
    // start, `finish` runs before this function returns.
    template <typename Reply, typename Start, typename Finish>
    void startCall(const std::string& address, std::chrono::milliseconds timeout, Start start, Finish finish)
    {
        auto call = std::make_unique<TypedCall<Reply, Finish>>(std::move(finish));
        call->context.set_deadline(std::chrono::system_clock::now() + timeout);
        {
            const std::lock_guard lock(mutex);
            if (credentials && !stopping && callsInFlight.size() < maxCallsInFlight) {
                call->stub = findOrCreateStub(address);
                call->reader = start(*call->stub, &call->context, &queue);
                auto* tag = call.get();
                call->reader->Finish(&call->reply, &call->status, tag);
                callsInFlight.emplace(tag, std::move(call));
                return;
            }
        }
        call->status = { grpc::StatusCode::UNAVAILABLE,
            credentials ? "too many calls are in flight, or the client is stopping"
                        : "the certificate files cannot be read" };
        call->finish();
    }

    std::shared_ptr<grpc::ChannelCredentials> credentials;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<Stub>> stubs;
    std::map<void*, std::unique_ptr<Call>> callsInFlight;
    bool stopping = false;
    grpc::CompletionQueue queue;
    std::thread completionThread;
};

InnerClient::InnerClient(const TlsMaterial& tls)
    : m_state(std::make_unique<State>(detail::makeChannelCredentials(tls)))
{
}

InnerClient::~InnerClient() = default;

void InnerClient::exchange(const std::string& address, const Report& report, std::chrono::milliseconds timeout,
    std::function<void(base::Result<Report>)> done)
{
    const auto request = detail::toProto(report);
    m_state->startCall<proto::Report>(
        address, timeout,
        [&](auto& stub, auto* context, auto* queue) { return stub.AsyncExchange(context, request, queue); },
        [done = std::move(done)](const grpc::Status& status, const proto::Report& reply) {
            if (!status.ok())
                done(toError(status));
            else
                done(detail::fromProto(reply, {}));
        });
}

void InnerClient::fetchConfiguration(const std::string& address, std::uint64_t newerThan,
    std::chrono::milliseconds timeout, std::function<void(base::Result<ConfigurationDocument>)> done)
{
    proto::FetchRequest request;
    request.set_newer_than(newerThan);
    m_state->startCall<proto::FetchReply>(
        address, timeout,
        [&](auto& stub, auto* context, auto* queue) { return stub.AsyncFetchConfiguration(context, request, queue); },
        [done = std::move(done)](const grpc::Status& status, const proto::FetchReply& reply) {
            if (!status.ok())
                done(toError(status));
            else
                done(ConfigurationDocument { reply.change(), reply.digest(), reply.document() });
        });
}

void InnerClient::place(const std::string& address, const PlaceRequest& request, std::chrono::milliseconds timeout,
    std::function<void(base::Result<PlaceReply>)> done)
{
    const auto message = detail::toProto(request);
    m_state->startCall<proto::PlaceReply>(
        address, timeout,
        [&](auto& stub, auto* context, auto* queue) { return stub.AsyncPlace(context, message, queue); },
        [done = std::move(done)](const grpc::Status& status, const proto::PlaceReply& reply) {
            if (!status.ok())
                done(toError(status));
            else
                done(PlaceReply { reply.target(), reply.grant() });
        });
}

void InnerClient::release(const std::string& address, const std::string& service,
    const std::vector<std::uint64_t>& grants, std::chrono::milliseconds timeout)
{
    proto::ReleaseRequest request;
    request.set_service(service);
    for (const auto it : grants)
        request.add_grants(it);
    // The result is ignored: if the message is lost, the grants expire.
    m_state->startCall<proto::ReleaseReply>(
        address, timeout,
        [&](auto& stub, auto* context, auto* queue) { return stub.AsyncRelease(context, request, queue); },
        [](const grpc::Status&, const proto::ReleaseReply&) {});
}

void InnerClient::closeConnectionsExcept(const std::vector<std::string>& addresses)
{
    const std::set<std::string> kept(addresses.begin(), addresses.end());
    const std::lock_guard lock(m_state->mutex);
    std::erase_if(m_state->stubs, [&](const auto& item) { return !kept.count(item.first); });
}

} // namespace buckthorncroft::wire
