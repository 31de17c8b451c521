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

    constexpr std::size_t maxCalls = 1000; // Beyond it, peers are too slow and more calls would only use memory.
    constexpr int maxReconnectDelayMs = 2000;

    base::Error toError(const grpc::Status& status)
    {
        const auto code = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ? base::ErrorCode::Timeout
            : status.error_code() == grpc::StatusCode::INVALID_ARGUMENT              ? base::ErrorCode::Malformed
                                                                                     : base::ErrorCode::Unavailable;
        return { code, status.error_message() };
    }

} // namespace

// The client polls a completion queue of its own. The library's callback interface aborted in 1.51 when the last
// channel was released on the library's callback thread (wire_test, a refused handshake: "assertion failed: prior >
// 0").
struct InnerClient::State {
    using Stub = proto::InnerProtocol::Stub;

    /// One running call; its address is the tag in the completion queue.
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
        explicit TypedCall(Finish finished)
            : m_finish(std::move(finished))
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
        , poller([this] { poll(); })
    {
    }

    ~State()
    {
        {
            const std::lock_guard lock(mutex);
            stopping = true;
            for (const auto& [tag, call] : running)
                call->context.TryCancel();
        }
        queue.Shutdown();
        poller.join();
    }
    State(const State&) = delete;
    State& operator=(const State&) = delete;

    void poll()
    {
        void* tag = nullptr;
        bool ok = false;
        while (queue.Next(&tag, &ok)) {
            std::unique_ptr<Call> call;
            {
                const std::lock_guard lock(mutex);
                const auto it = running.find(tag);
                call = std::move(it->second);
                running.erase(it);
            }
            call->finish();
        }
    }

    std::shared_ptr<Stub> stub(const std::string& address)
    {
        auto& result = stubs[address];
        if (!result) {
            grpc::ChannelArguments arguments;
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectDelayMs);
            arguments.SetMaxReceiveMessageSize(static_cast<int>(MessageLimits {}.maxDocumentBytes));
            result = proto::InnerProtocol::NewStub(grpc::CreateCustomChannel(address, credentials, arguments));
        }
        return result;
    }

    // Runs one call. `start` hands the request to gRPC; `finish` gets the status and the reply.
    template <typename Reply, typename Start, typename Finish>
    void run(const std::string& address, std::chrono::milliseconds timeout, Start start, Finish finish)
    {
        auto call = std::make_unique<TypedCall<Reply, Finish>>(std::move(finish));
        call->context.set_deadline(std::chrono::system_clock::now() + timeout);
        {
            const std::lock_guard lock(mutex);
            if (credentials && !stopping && running.size() < maxCalls) {
                call->stub = stub(address);
                call->reader = start(*call->stub, &call->context, &queue);
                auto* tag = call.get();
                call->reader->Finish(&call->reply, &call->status, tag);
                running.emplace(tag, std::move(call));
                return;
            }
        }
        call->status = { grpc::StatusCode::UNAVAILABLE,
            credentials ? "too many calls are running" : "the certificate files cannot be read" };
        call->finish();
    }

    std::shared_ptr<grpc::ChannelCredentials> credentials;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<Stub>> stubs;
    std::map<void*, std::unique_ptr<Call>> running;
    bool stopping = false;
    grpc::CompletionQueue queue;
    std::thread poller;
};

InnerClient::InnerClient(const TlsMaterial& tls)
    : m_state(std::make_unique<State>(detail::channelCredentials(tls)))
{
}

InnerClient::~InnerClient() = default;

void InnerClient::exchange(const std::string& address, const Report& report, std::chrono::milliseconds timeout,
    std::function<void(base::Result<Report>)> done)
{
    const auto request = detail::toProto(report);
    m_state->run<proto::Report>(
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
    m_state->run<proto::FetchReply>(
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
    m_state->run<proto::PlaceReply>(
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
    // A lost release needs no answer: the grant expires.
    m_state->run<proto::ReleaseReply>(
        address, timeout,
        [&](auto& stub, auto* context, auto* queue) { return stub.AsyncRelease(context, request, queue); },
        [](const grpc::Status&, const proto::ReleaseReply&) {});
}

void InnerClient::keepOnly(const std::vector<std::string>& addresses)
{
    const std::set<std::string> wanted(addresses.begin(), addresses.end());
    const std::lock_guard lock(m_state->mutex);
    std::erase_if(m_state->stubs, [&](const auto& item) { return !wanted.count(item.first); });
}

} // namespace buckthorncroft::wire
