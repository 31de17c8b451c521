#pragma once

#include "connection.h"

namespace buckthorncroft::http {

namespace detail {

    /// Largest part of a message that the parser processes as a whole: the line of a chunk's size with its extension,
    /// or the trailer.
    constexpr std::size_t maxUnparsedBytes = std::size_t { 16 } * 1024;

    /// With `maxUnparsedBytes`, below the length of a field for which the parser throws an exception.
    constexpr std::size_t readPieceBytes = std::size_t { 32 } * 1024;

} // namespace detail

/// Reads a piece of a body, like Beast's `async_read_some`, which does not limit chunk extensions and trailers. Errors:
/// `header_limit` if one of them is too long, and those of Beast.
template <bool isRequest>
Awaitable<error_code> readParsed(Connection& connection, bhttp::basic_parser<isRequest>& parser)
{
    auto& buffer = connection.buffer();
    error_code ec;
    while (true) {
        if (buffer.size() != 0) {
            const auto parsedBytes = parser.put(buffer.data(), ec);
            buffer.consume(parsedBytes);
            if (ec != bhttp::error::need_more)
                co_return ec;
            if (buffer.size() > detail::maxUnparsedBytes)
                co_return make_error_code(bhttp::error::header_limit);
        }
        const auto n
            = co_await connection.socket().async_read_some(buffer.prepare(detail::readPieceBytes), captureError(ec));
        buffer.commit(n);
        if (ec == asio::error::eof) {
            if (!parser.got_some())
                co_return make_error_code(bhttp::error::end_of_stream);
            ec = {};
            parser.put_eof(ec);
            co_return ec;
        }
        if (ec)
            co_return ec;
    }
}

} // namespace buckthorncroft::http
