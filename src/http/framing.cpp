#include "framing.h"

#include <boost/beast/http/rfc7230.hpp>
#include <string_view>
#include <vector>

namespace buckthorncroft::http {

namespace {

    bool hasUnsupportedCoding(const bhttp::fields& head)
    {
        const auto n = head.count(bhttp::field::transfer_encoding);
        return n > 1 || (n == 1 && !beast::iequals(head[bhttp::field::transfer_encoding], "chunked"));
    }

} // namespace

std::optional<RequestRejection> rejectionForReadError(error_code ec)
{
    if (ec == bhttp::error::header_limit || ec == bhttp::error::buffer_overflow)
        return RequestRejection { 431, "the header block is too large" };
    if (ec == bhttp::error::end_of_stream || ec.category() != make_error_code(bhttp::error::end_of_stream).category())
        return std::nullopt;
    return RequestRejection { 400, "the request is malformed: " + ec.message() };
}

bool hasFoldedLine(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

Awaitable<error_code> bufferRequestHead(Connection& connection, std::size_t limit)
{
    constexpr std::size_t pieceBytes = 4096;
    auto& buffer = connection.buffer();
    while (true) {
        const std::string_view text(static_cast<const char*>(buffer.data().data()), buffer.size());
        const auto end = text.find("\r\n\r\n");
        if (end != std::string_view::npos || text.size() >= limit) {
            co_return hasFoldedLine(text.substr(0, end)) ? make_error_code(bhttp::error::bad_obs_fold) : error_code {};
        }
        if (buffer.size() + pieceBytes > buffer.max_size())
            co_return make_error_code(bhttp::error::buffer_overflow);
        error_code ec;
        const auto n = co_await connection.socket().async_read_some(buffer.prepare(pieceBytes), captureError(ec));
        if (ec)
            co_return ec;
        buffer.commit(n);
    }
}

std::optional<RequestRejection> checkRequestHead(const bhttp::request_header<>& head)
{
    // Two equal lengths are rejected as well: an intermediary that merges them may have received two different ones.
    if (head.count(bhttp::field::content_length) > 1)
        return RequestRejection { 400, "Content-Length appears twice" };
    const auto coding = head[bhttp::field::transfer_encoding];
    if (head.count(bhttp::field::transfer_encoding) > 1 || (!coding.empty() && !beast::iequals(coding, "chunked")))
        return RequestRejection { 400, "only the transfer coding chunked is supported" };
    if (head.count(bhttp::field::transfer_encoding) && head.count(bhttp::field::content_length))
        return RequestRejection { 400, "Content-Length and Transfer-Encoding contradict each other" };
    if (!coding.empty() && head.version() < 11)
        return RequestRejection { 400, "a transfer coding needs HTTP/1.1" };
    if (head.count(bhttp::field::content_length)
        && head[bhttp::field::content_length].find(',') != beast::string_view::npos)
        return RequestRejection { 400, "Content-Length has several values" };
    if (head.count(bhttp::field::host) != 1 && (head.version() >= 11 || head.count(bhttp::field::host) > 1))
        return RequestRejection { 400, "there must be one Host header" };
    if (head.target().empty() || head.target().front() != '/')
        return RequestRejection { 400, "the request target must be a path" };
    return std::nullopt;
}

error_code checkResponseHead(const bhttp::response_header<>& head)
{
    if (head.result_int() < 100 || head.result_int() > 599)
        return make_error_code(bhttp::error::bad_status);
    if (hasUnsupportedCoding(head))
        return make_error_code(bhttp::error::bad_transfer_encoding);
    return {};
}

void removeHopByHopHeaders(bhttp::fields& fields)
{
    std::vector<std::string> named;
    const auto range = fields.equal_range(bhttp::field::connection);
    for (auto it = range.first; it != range.second; ++it) {
        for (const auto& token : bhttp::token_list(it->value()))
            named.emplace_back(token);
    }
    for (const auto& it : named)
        fields.erase(it);
    for (const auto it : { bhttp::field::connection, bhttp::field::keep_alive, bhttp::field::proxy_connection,
             bhttp::field::proxy_authenticate, bhttp::field::proxy_authorization, bhttp::field::te,
             bhttp::field::trailer, bhttp::field::transfer_encoding, bhttp::field::upgrade })
        fields.erase(it);
}

bool responseHasNoBody(bhttp::verb method, unsigned status)
{
    return method == bhttp::verb::head || status == 204 || status == 304;
}

} // namespace buckthorncroft::http
