#include <buckthorncroft/daemon/operators_endpoint.h>

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <fmt/format.h>
#include <thread>
#include <vector>

namespace buckthorncroft::daemon {

namespace {

    // Few requests arrive here: the load balancer's checks, one metrics scraper and operators.
    constexpr unsigned maxServerThreads = 4;

    class PathService;

    class PathResponder : public cxxtools::http::Responder {
    public:
        explicit PathResponder(PathService& service);
        void beginRequest(
            cxxtools::net::TcpSocket& socket, std::istream& in, cxxtools::http::Request& request) override;
        void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override;

    private:
        PathService& m_service;
    };

    class PathService : public cxxtools::http::Service {
    public:
        explicit PathService(OperatorsEndpoint::Handler handler)
            : m_handler(std::move(handler))
        {
        }
        OperatorsResponse respond() const { return m_handler(); }

    protected:
        cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override
        {
            return new PathResponder(*this);
        }
        void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

    private:
        OperatorsEndpoint::Handler m_handler;
    };

    PathResponder::PathResponder(PathService& service)
        : cxxtools::http::Responder(service)
        , m_service(service)
    {
    }

    // The library ignores chunked bodies and accepts contradictory lengths, so it could parse a body as the next
    // request. The connection is closed after any request that announces a body.
    void PathResponder::beginRequest(cxxtools::net::TcpSocket&, std::istream&, cxxtools::http::Request& request)
    {
        if (request.hasHeader("Transfer-Encoding") || request.hasHeader("Content-Length"))
            request.setHeader("Connection", "close");
    }

    void PathResponder::reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply)
    {
        const bool hasBody = request.hasHeader("Transfer-Encoding") || request.hasHeader("Content-Length");
        if (hasBody)
            reply.setHeader("Connection", "close");
        if (hasBody || (request.method() != "GET" && request.method() != "HEAD")) {
            reply.httpReturn(hasBody ? 400 : 405, hasBody ? "Bad Request" : "Method Not Allowed");
            return;
        }
        const auto response = m_service.respond();
        reply.httpReturn(response.status, response.status == 200 ? "OK" : "Unavailable");
        reply.setHeader("Content-Type", response.contentType.c_str());
        // The library would send the body in a response to HEAD as well, and clients would parse it as the next
        // response.
        if (request.method() == "HEAD")
            reply.setHeader("Connection", "close");
        else
            out << response.body;
    }

    std::string escapeForRegex(const std::string& path)
    {
        std::string result;
        for (const char c : path) {
            if (!std::isalnum(static_cast<unsigned char>(c)) && c != '/' && c != '_')
                result += '\\';
            result += c;
        }
        return result;
    }

} // namespace

struct OperatorsEndpoint::State {
    Endpoint endpoint;
    TlsFiles tls;
    std::vector<std::pair<std::string, std::unique_ptr<PathService>>> pathServices;
    std::unique_ptr<cxxtools::EventLoop> loop;
    std::unique_ptr<cxxtools::http::Server> server;
    std::thread thread;
};

OperatorsEndpoint::OperatorsEndpoint(Endpoint endpoint, TlsFiles tls)
    : m_state(std::make_unique<State>())
{
    m_state->endpoint = std::move(endpoint);
    m_state->tls = std::move(tls);
}

OperatorsEndpoint::~OperatorsEndpoint()
{
    if (m_state->thread.joinable()) {
        m_state->loop->exit();
        m_state->thread.join();
    }
    m_state->server.reset();
}

void OperatorsEndpoint::addHandler(const std::string& path, Handler handler)
{
    m_state->pathServices.emplace_back(path, std::make_unique<PathService>(std::move(handler)));
}

base::Result<void> OperatorsEndpoint::start()
{
    auto& state = *m_state;
    try {
        state.loop = std::make_unique<cxxtools::EventLoop>();
        state.server = std::make_unique<cxxtools::http::Server>(*state.loop);
        state.server->maxThreads(maxServerThreads);
        if (state.tls.plaintext) {
            state.server->listen(state.endpoint.host, state.endpoint.port);
        } else {
            // Verification level 2 requires a client certificate that the authority signed.
            state.server->listen(state.endpoint.host, state.endpoint.port, state.tls.certificate, state.tls.privateKey,
                2, state.tls.authority);
        }
        for (const auto& [path, service] : state.pathServices) {
            // A plain string would also match longer paths, so the regular expression matches the whole path.
            state.server->addService(cxxtools::Regex("^" + escapeForRegex(path) + "$"), *service);
        }
    } catch (const std::exception& error) {
        return base::Error { base::ErrorCode::Unavailable,
            fmt::format("cannot serve operators on {}: {}", toString(state.endpoint), error.what()) };
    }
    state.thread = std::thread([loop = state.loop.get()] { loop->run(); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace buckthorncroft::daemon
