#pragma once

#include "load_model.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <buckthorncroft/config/parse.h>
#include <functional>
#include <memory>
#include <utility>

namespace buckthorncroft::load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// A request body that several requests share, and the digest that the target stand-in returns for it.
struct RequestBody {
    std::string bytes;
    std::string digest;
};

/// One HTTP request to an entry instance.
struct OutgoingRequest {
    std::string service;
    std::string method;
    std::string path; ///< Has a query unique to the request, so that a response can be matched to it.
    std::string idempotencyKey; ///< Not sent when empty.
    std::chrono::milliseconds deadline { 0 }; ///< Sent to the entry when greater than 0.
    std::chrono::milliseconds timeout { 0 }; ///< How long the caller waits for the complete response.
    std::uint64_t responseBytes = 0; ///< Response size that the path requests; 0 when any size is accepted.
    std::shared_ptr<const RequestBody> body;
};

/// Result of one attempt.
struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::Broken;
    unsigned status = 0;
    bool replayed = false;
    std::string detail; ///< The error, or how a wrong response differs from the expected one; may be empty.
};

/// Returns whether the padding of a response repeats the digest of the method and path, as the target stand-in
/// generates it.
inline bool hasExpectedPadding(const OutgoingRequest& request, const nlohmann::json& value)
{
    if (!value.is_string())
        return false;
    const auto padding = value.get<std::string>();
    const auto pattern = config::contentDigest(request.method + " " + request.path);
    for (std::size_t it = 0; it < padding.size(); ++it) {
        if (padding[it] != pattern[it % pattern.size()])
            return false;
    }
    return true;
}

/// Checks that a successful response of the target stand-in belongs to the request. Returns a description of the first
/// mismatch, or an empty string when there is none.
inline std::string findMismatch(
    const OutgoingRequest& request, const std::string& response, const std::string& responseRequestId)
{
    if (request.method == "HEAD")
        return "";
    if (request.responseBytes > 0 && response.size() != request.responseBytes)
        return fmt::format("the response has {} bytes instead of {}", response.size(), request.responseBytes);
    const auto document = nlohmann::json::parse(response, nullptr, false);
    if (!document.is_object())
        return "the body is not a JSON object";
    const auto differs = [&](const char* name, const nlohmann::json& expected) {
        return !document.contains(name) || document.at(name) != expected;
    };
    if (differs("method", request.method) || differs("path", request.path))
        return "the method or path in the response does not match the request";
    if (differs("length", request.body->bytes.size()) || differs("digest", request.body->digest))
        return "the length or digest in the response does not match the request body";
    if (document.contains("padding") && !hasExpectedPadding(request, document.at("padding")))
        return "the padding does not match the method and path of the request";
    if (!responseRequestId.empty() && differs("request_id", responseRequestId))
        return "header and body contain different request ids";
    return "";
}

/// Sends one request over a new connection and checks the response. Writes and reads concurrently, because a response
/// may arrive before the request body is sent.
class Attempt : public std::enable_shared_from_this<Attempt> {
public:
    using Handler = std::function<void(AttemptResult)>;

    Attempt(const asio::any_io_executor& executor, OutgoingRequest request, Handler handler)
        : m_socket(executor)
        , m_timer(executor)
        , m_request(std::move(request))
        , m_handler(std::move(handler))
    {
    }

    /// Connects and sends the request. Calls the handler exactly once.
    void start(const tcp::endpoint& entry)
    {
        m_timer.expires_after(m_request.timeout);
        m_timer.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec)
                self->finish({ AttemptOutcome::TimedOut, 0, false, "" });
        });
        m_socket.async_connect(entry, [self = shared_from_this()](error_code ec) {
            if (ec)
                return self->finish({ AttemptOutcome::Refused, 0, false, ec.message() });
            self->sendRequest();
        });
    }

private:
    void sendRequest()
    {
        error_code ec;
        m_socket.set_option(tcp::no_delay(true), ec);
        m_httpRequest.method_string(m_request.method);
        m_httpRequest.target(m_request.path);
        m_httpRequest.version(11);
        m_httpRequest.set(http::field::host, m_request.service);
        m_httpRequest.keep_alive(false);
        if (!m_request.idempotencyKey.empty())
            m_httpRequest.set("Idempotency-Key", m_request.idempotencyKey);
        if (m_request.deadline.count() > 0)
            m_httpRequest.set("Buckthorncroft-Deadline-Ms", std::to_string(m_request.deadline.count()));
        const auto& bytes = m_request.body->bytes;
        m_httpRequest.body() = { bytes.data(), bytes.size() };
        m_httpRequest.prepare_payload();
        // A failed write does not end the attempt, because an early response may still be readable.
        http::async_write(m_socket, m_httpRequest,
            [self = shared_from_this()](error_code ec2, std::size_t) { self->m_writeFailed = ec2.failed(); });
        m_parser.body_limit(UINT64_MAX);
        m_parser.skip(m_request.method == "HEAD");
        http::async_read_header(m_socket, m_buffer, m_parser, [self = shared_from_this()](error_code ec2, std::size_t) {
            if (ec2)
                return self->finish({ AttemptOutcome::Broken, 0, false, ec2.message() });
            self->readBody();
        });
    }

    void readBody()
    {
        http::async_read(m_socket, m_buffer, m_parser, [self = shared_from_this()](error_code ec, std::size_t) {
            if (ec)
                return self->finish(
                    { AttemptOutcome::Truncated, self->m_parser.get().result_int(), false, ec.message() });
            // If the write has reported a connection reset, the read ends as after an orderly close.
            if (self->m_parser.need_eof() && self->m_writeFailed)
                return self->finish({ AttemptOutcome::Truncated, self->m_parser.get().result_int(), false,
                    "the connection failed during the request" });
            self->classifyResponse();
        });
    }

    void classifyResponse()
    {
        const auto& response = m_parser.get();
        AttemptResult result { AttemptOutcome::NoOutcome, response.result_int(),
            response["Buckthorncroft-Replayed"] == "true", "" };
        const auto outcomeHeader = response["Buckthorncroft-Outcome"];
        if (outcomeHeader == "completed")
            result.outcome = AttemptOutcome::Completed;
        else if (outcomeHeader == "not-run")
            result.outcome = AttemptOutcome::NotRun;
        else if (outcomeHeader == "unknown")
            result.outcome = AttemptOutcome::Unknown;
        const bool complete
            = result.outcome == AttemptOutcome::Completed || result.outcome == AttemptOutcome::NoOutcome;
        if (complete && response.result() == http::status::ok) {
            result.detail
                = findMismatch(m_request, response.body(), std::string(response["Buckthorncroft-Request-Id"]));
            if (!result.detail.empty())
                result.outcome = AttemptOutcome::Wrong;
        }
        finish(std::move(result));
    }

    void finish(AttemptResult result)
    {
        if (std::exchange(m_finished, true))
            return;
        m_timer.cancel();
        error_code ec;
        m_socket.close(ec);
        std::exchange(m_handler, nullptr)(std::move(result));
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    OutgoingRequest m_request;
    Handler m_handler;
    bool m_finished = false;
    bool m_writeFailed = false;
    http::request<http::span_body<const char>> m_httpRequest;
    beast::flat_buffer m_buffer;
    http::response_parser<http::string_body> m_parser;
};

} // namespace buckthorncroft::load
