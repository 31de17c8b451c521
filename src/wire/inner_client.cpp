#include <buckthorncroft/wire/inner_client.h>

#include "convert.h"
#include "credentials.h"
#include <buckthorncroft/wire/exchange.grpc.pb.h>
#include <condition_variable>
#include <grpcpp/create_channel.h>
#include <map>
#include <mutex>
#include <set>

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

struct InnerClient::State {
    using Stub = proto::InnerProtocol::Stub;

    // Counts the calls that run, so that the destructor can cancel them and wait.
    // Recursive, because cancelling a call may run its callback in the same thread.
    struct Calls {
        std::recursive_mutex mutex;
        std::condition_variable_any finished;
        std::set<grpc::ClientContext*> running;
    };

    template <typename Request, typename Reply> struct Call {
        grpc::ClientContext context;
        Request request;
        Reply reply;
        std::shared_ptr<Stub> stub;
    };

    std::shared_ptr<grpc::ChannelCredentials> credentials;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<Stub>> stubs;
    Calls calls;

    std::shared_ptr<Stub> stub(const std::string& address)
    {
        const std::lock_guard lock(mutex);
        auto& result = stubs[address];
        if (!result) {
            grpc::ChannelArguments arguments;
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectDelayMs);
            arguments.SetMaxReceiveMessageSize(static_cast<int>(MessageLimits {}.maxDocumentBytes));
            result = proto::InnerProtocol::NewStub(grpc::CreateCustomChannel(address, credentials, arguments));
        }
        return result;
    }

    // Runs one call. `start` hands the call to gRPC; `finish` gets the status and the reply.
    template <typename Request, typename Reply, typename Start, typename Finish>
    void run(const std::string& address, Request request, std::chrono::milliseconds timeout, Start start, Finish finish)
    {
        auto call = std::make_shared<Call<Request, Reply>>();
        call->request = std::move(request);
        call->context.set_deadline(std::chrono::system_clock::now() + timeout);
        if (!credentials) {
            finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, "the certificate files cannot be read"), call->reply);
            return;
        }
        {
            const std::lock_guard lock(calls.mutex);
            if (calls.running.size() >= maxCalls) {
                finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, "too many calls are running"), call->reply);
                return;
            }
            calls.running.insert(&call->context);
        }
        call->stub = stub(address);
        start(*call, [this, call, finish](const grpc::Status& status) {
            finish(status, call->reply);
            const std::lock_guard lock(calls.mutex);
            calls.running.erase(&call->context);
            calls.finished.notify_all();
        });
    }
};

InnerClient::InnerClient(const TlsMaterial& tls)
    : m_state(std::make_unique<State>())
{
    m_state->credentials = detail::channelCredentials(tls);
}

InnerClient::~InnerClient()
{
    std::unique_lock lock(m_state->calls.mutex);
    const auto running = m_state->calls.running;
    for (auto* it : running) {
        if (m_state->calls.running.count(it))
            it->TryCancel();
    }
    m_state->calls.finished.wait(lock, [&] { return m_state->calls.running.empty(); });
}

void InnerClient::exchange(const std::string& address, const Report& report, std::chrono::milliseconds timeout,
    std::function<void(base::Result<Report>)> done)
{
    m_state->run<proto::Report, proto::Report>(
        address, detail::toProto(report), timeout,
        [](auto& call, auto finished) {
            call.stub->async()->Exchange(&call.context, &call.request, &call.reply, std::move(finished));
        },
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
    m_state->run<proto::FetchRequest, proto::FetchReply>(
        address, std::move(request), timeout,
        [](auto& call, auto finished) {
            call.stub->async()->FetchConfiguration(&call.context, &call.request, &call.reply, std::move(finished));
        },
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
    m_state->run<proto::PlaceRequest, proto::PlaceReply>(
        address, detail::toProto(request), timeout,
        [](auto& call, auto finished) {
            call.stub->async()->Place(&call.context, &call.request, &call.reply, std::move(finished));
        },
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
    m_state->run<proto::ReleaseRequest, proto::ReleaseReply>(
        address, std::move(request), timeout,
        [](auto& call, auto finished) {
            call.stub->async()->Release(&call.context, &call.request, &call.reply, std::move(finished));
        },
        [](const grpc::Status&, const proto::ReleaseReply&) {});
}

void InnerClient::keepOnly(const std::vector<std::string>& addresses)
{
    const std::set<std::string> wanted(addresses.begin(), addresses.end());
    const std::lock_guard lock(m_state->mutex);
    std::erase_if(m_state->stubs, [&](const auto& item) { return !wanted.count(item.first); });
}

} // namespace buckthorncroft::wire
