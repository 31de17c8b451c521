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

/// A body that several requests share, with its digest as the target stand-in computes it.
struct Body {
    std::string bytes;
    std::string digest;
};

/// One request as it goes over the wire.
struct OutgoingRequest {
    std::string service;
    std::string method;
    std::string path; ///< With a query that is unique to the request, so that an answer shows whose it is.
    std::string idempotencyKey; ///< Empty for none.
    std::chrono::milliseconds deadline { 0 }; ///< Sent to the entry when above 0.
    std::chrono::milliseconds patience { 0 }; ///< How long the caller waits for the whole answer.
    std::uint64_t responseBytes = 0; ///< Size of the answer that the path asks for; 0 for any.
    std::shared_ptr<const Body> body;
};

/// How one attempt ended.
struct AttemptResult {
    Ending ending = Ending::Broken;
    unsigned status = 0;
    bool replayed = false;
    std::string detail; ///< For a wrong answer, what differs.
};

/// Whether the padding of an answer repeats the digest of the method and path, as the target stand-in writes it.
inline bool paddingMatches(const OutgoingRequest& request, const nlohmann::json& value)
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

/// Returns what shows that a successful answer of the target stand-in is not the answer to the request; empty when
/// nothing does.
inline std::string findMismatch(
    const OutgoingRequest& request, const std::string& response, const std::string& responseRequestId)
{
    if (request.method == "HEAD")
        return "";
    if (request.responseBytes > 0 && response.size() != request.responseBytes)
        return fmt::format("{} bytes instead of {}", response.size(), request.responseBytes);
    const auto document = nlohmann::json::parse(response, nullptr, false);
    if (!document.is_object())
        return "the body is not a JSON object";
    const auto differs = [&](const char* name, const nlohmann::json& expected) {
        return !document.contains(name) || document.at(name) != expected;
    };
    if (differs("method", request.method) || differs("path", request.path))
        return "method or path of another request";
    if (differs("length", request.body->bytes.size()) || differs("digest", request.body->digest))
        return "the target received another body";
    if (document.contains("padding") && !paddingMatches(request, document.at("padding")))
        return "padding of another answer";
    if (!responseRequestId.empty() && differs("request_id", responseRequestId))
        return "header and body name different request ids";
    return "";
}

/// Sends one request over a connection of its own and checks the answer. Writing and reading go on at the same time,
/// because an answer may come before the body was sent.
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

    /// Connects and sends. The handler is called exactly once.
    void start(const tcp::endpoint& entry)
    {
        m_timer.expires_after(m_request.patience);
        m_timer.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec)
                self->finish({ Ending::TimedOut, 0, false, "" });
        });
        m_socket.async_connect(entry, [self = shared_from_this()](error_code ec) {
            if (ec)
                return self->finish({ Ending::Refused, 0, false, ec.message() });
            self->exchange();
        });
    }

private:
    void exchange()
    {
        error_code ec;
        m_socket.set_option(tcp::no_delay(true), ec);
        m_message.method_string(m_request.method);
        m_message.target(m_request.path);
        m_message.version(11);
        m_message.set(http::field::host, m_request.service);
        m_message.keep_alive(false);
        if (!m_request.idempotencyKey.empty())
            m_message.set("Idempotency-Key", m_request.idempotencyKey);
        if (m_request.deadline.count() > 0)
            m_message.set("Buckthorncroft-Deadline-Ms", std::to_string(m_request.deadline.count()));
        const auto& bytes = m_request.body->bytes;
        m_message.body() = { bytes.data(), bytes.size() };
        m_message.prepare_payload();
        // A write that fails is followed by a read that fails or by an early answer, so the read alone decides.
        http::async_write(m_socket, m_message, [self = shared_from_this()](error_code, std::size_t) {});
        m_parser.body_limit(UINT64_MAX);
        m_parser.skip(m_request.method == "HEAD");
        http::async_read_header(m_socket, m_buffer, m_parser, [self = shared_from_this()](error_code ec2, std::size_t) {
            if (ec2)
                return self->finish({ Ending::Broken, 0, false, ec2.message() });
            self->readBody();
        });
    }

    void readBody()
    {
        http::async_read(m_socket, m_buffer, m_parser, [self = shared_from_this()](error_code ec, std::size_t) {
            if (ec)
                return self->finish({ Ending::Truncated, self->m_parser.get().result_int(), false, ec.message() });
            self->judge();
        });
    }

    void judge()
    {
        const auto& response = m_parser.get();
        AttemptResult result { Ending::NoOutcome, response.result_int(), response["Buckthorncroft-Replayed"] == "true",
            "" };
        const auto outcome = response["Buckthorncroft-Outcome"];
        if (outcome == "completed")
            result.ending = Ending::Completed;
        else if (outcome == "not-run")
            result.ending = Ending::NotRun;
        else if (outcome == "unknown")
            result.ending = Ending::Unknown;
        const bool complete = result.ending == Ending::Completed || result.ending == Ending::NoOutcome;
        if (complete && response.result() == http::status::ok) {
            result.detail
                = findMismatch(m_request, response.body(), std::string(response["Buckthorncroft-Request-Id"]));
            if (!result.detail.empty())
                result.ending = Ending::Wrong;
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
    http::request<http::span_body<const char>> m_message;
    beast::flat_buffer m_buffer;
    http::response_parser<http::string_body> m_parser;
};

} // namespace buckthorncroft::load
