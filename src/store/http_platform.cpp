#include <buckthorncroft/store/http_platform.h>

#include "platform_json.h"
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace buckthorncroft::store {

using base::Error;
using base::ErrorCode;
using nlohmann::json;
namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

    constexpr std::size_t maxResponseBytes = 64u << 20; // Same as the size limit of a configuration document.

    /// One HTTP request and its response on a new connection.
    class Exchange {
    public:
        Exchange()
            : m_stream(m_context)
        {
            m_parser.body_limit(maxResponseBytes);
        }

        base::Result<std::string> run(const asio::ip::tcp::endpoint& endpoint, const std::string& path,
            const std::string& body, std::chrono::milliseconds timeout)
        {
            m_request = { beast::http::verb::post, path, 11 };
            m_request.set(beast::http::field::host, endpoint.address().to_string());
            m_request.set(beast::http::field::content_type, "application/json");
            m_request.set(beast::http::field::connection, "close");
            m_request.body() = body;
            m_request.prepare_payload();
            // One expiry covers all steps, so that a platform that sends its response byte by byte cannot extend the
            // call.
            m_stream.expires_after(timeout);
            m_stream.async_connect(endpoint, [this](beast::error_code ec) { handleConnect(ec); });
            m_context.run();
            return makeResult();
        }

    private:
        void handleConnect(beast::error_code ec)
        {
            m_error = ec;
            if (ec)
                return;
            m_mayHaveSent = true;
            beast::http::async_write(
                m_stream, m_request, [this](beast::error_code writeError, std::size_t) { handleWrite(writeError); });
        }

        void handleWrite(beast::error_code ec)
        {
            m_error = ec;
            if (ec)
                return;
            beast::http::async_read(m_stream, m_buffer, m_parser,
                [this](beast::error_code readError, std::size_t) { m_error = readError; });
        }

        base::Result<std::string> makeResult()
        {
            const auto reason = m_error.message();
            if (m_error && !m_mayHaveSent)
                return Error { ErrorCode::Unavailable, "cannot connect to the platform: " + reason };
            if (m_error == beast::error::timeout)
                return Error { ErrorCode::Timeout, "the platform did not respond in time" };
            if (m_error)
                return Error { ErrorCode::OutcomeUnknown, "the connection to the platform broke: " + reason };
            auto response = m_parser.release();
            if (response.result_int() != 200)
                return parseError(response.result_int(), response.body());
            return std::move(response.body());
        }

        // Takes the error code from the platform's own error body. A status without such a body, for example from an
        // HTTP gateway, does not show whether a write took effect.
        static Error parseError(unsigned status, const std::string& body)
        {
            const auto parsed = json::parse(body, nullptr, false);
            const auto field = [&](const char* name) {
                const bool present = parsed.is_object() && parsed.contains(name) && parsed[name].is_string();
                return present ? parsed[name].get<std::string>() : std::string();
            };
            const auto message = field("message");
            for (const auto code : { ErrorCode::InvalidArgument, ErrorCode::NotFound, ErrorCode::Conflict,
                     ErrorCode::LimitExceeded, ErrorCode::Unavailable }) {
                if (field("error") == base::toString(code))
                    return { code, message };
            }
            return { ErrorCode::OutcomeUnknown, "status " + std::to_string(status) + ": " + message };
        }

        asio::io_context m_context;
        beast::tcp_stream m_stream;
        beast::http::request<beast::http::string_body> m_request;
        beast::http::response_parser<beast::http::string_body> m_parser;
        beast::flat_buffer m_buffer;
        beast::error_code m_error;
        bool m_mayHaveSent = false;
    };

    template <typename T> base::Result<T> parseValue(const char* name, const base::Result<std::string>& response)
    {
        if (!response)
            return response.error();
        try {
            return json::parse(response.value()).at(name).template get<T>();
        } catch (const json::exception& e) {
            return Error { ErrorCode::Malformed, e.what() };
        }
    }

    base::Result<void> parseAcknowledgement(const base::Result<std::string>& response)
    {
        // A 200 from a server other than the platform must not count as a write that took effect.
        const auto done = parseValue<bool>("done", response);
        if (!done)
            return done.error();
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    // Returns an empty string, which `call` rejects, if the request includes text that is not UTF-8.
    std::string serialize(const json& request)
    {
        try {
            return request.dump();
        } catch (const json::exception&) {
            return {};
        }
    }

} // namespace

HttpPlatform::HttpPlatform(std::string host, std::uint16_t port)
    : m_host(std::move(host))
    , m_port(port)
{
}

base::Result<std::string> HttpPlatform::call(
    const std::string& path, const std::string& body, std::chrono::milliseconds timeout) const
{
    if (body.empty())
        return Error { ErrorCode::InvalidArgument, "keys and values must be UTF-8" };
    beast::error_code ec;
    const auto address = asio::ip::make_address(m_host, ec);
    if (ec)
        return Error { ErrorCode::InvalidArgument, "the platform's host is not an IP address: " + m_host };
    if (timeout.count() <= 0)
        return Error { ErrorCode::Unavailable, "no time is left for the call" };
    try {
        return Exchange().run({ address, m_port }, path, body, timeout);
    } catch (const std::exception& e) {
        return Error { ErrorCode::OutcomeUnknown, e.what() };
    }
}

base::Result<void> HttpPlatform::heartbeat(const ListedInstance& instance, std::chrono::milliseconds timeout)
{
    return parseAcknowledgement(call("/instances/heartbeat", serialize(instance), timeout));
}

base::Result<Row> HttpPlatform::read(const std::string& key, bool linearizable, std::chrono::milliseconds timeout)
{
    return parseValue<Row>(
        "row", call("/table/read", serialize({ { "key", key }, { "linearizable", linearizable } }), timeout));
}

base::Result<std::vector<Row>> HttpPlatform::scan(
    const std::string& prefix, std::size_t limit, std::chrono::milliseconds timeout)
{
    const auto body = serialize({ { "prefix", prefix }, { "limit", limit } });
    return parseValue<std::vector<Row>>("rows", call("/table/scan", body, timeout));
}

base::Result<void> HttpPlatform::commit(const std::vector<Write>& writes, std::chrono::milliseconds timeout)
{
    return parseAcknowledgement(call("/table/commit", serialize({ { "writes", writesToJson(writes) } }), timeout));
}

base::Result<void> HttpPlatform::putObject(
    const std::string& name, const std::string& content, std::chrono::milliseconds timeout)
{
    return parseAcknowledgement(call("/objects/put", serialize({ { "name", name }, { "content", content } }), timeout));
}

base::Result<std::string> HttpPlatform::getObject(const std::string& name, std::chrono::milliseconds timeout)
{
    return parseValue<std::string>("content", call("/objects/get", serialize({ { "name", name } }), timeout));
}

base::Result<std::vector<ListedInstance>> HttpPlatform::listInstances(std::chrono::milliseconds timeout)
{
    return parseValue<std::vector<ListedInstance>>("instances", call("/instances/list", "{}", timeout));
}

} // namespace buckthorncroft::store
