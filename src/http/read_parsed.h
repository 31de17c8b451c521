#pragma once

#include "connection.h"
#include "framing.h"

#include <string_view>

namespace buckthorncroft::http {

namespace detail {

    /// Largest part of a message that the parser processes as a whole: the line of a chunk's size with its extension,
    /// or the trailer.
    constexpr std::size_t maxUnparsedBytes = std::size_t { 16 } * 1024;

    /// With `maxUnparsedBytes`, below the length of a field for which the parser throws an exception.
    constexpr std::size_t bodyPieceBytes = std::size_t { 32 } * 1024;

    /// Most heads are shorter, and the buffer of a pooled connection keeps its size.
    constexpr std::size_t headPieceBytes = std::size_t { 4 } * 1024;

    /// Reads pieces of up to `pieceBytes` until `parseBuffer`, which parses what the buffer of the connection contains,
    /// returns something else than `need_more`.
    template <bool isRequest, typename ParseBuffer>
    Awaitable<error_code> readWhileIncomplete(
        Connection& connection, bhttp::basic_parser<isRequest>& parser, std::size_t pieceBytes, ParseBuffer parseBuffer)
    {
        auto& buffer = connection.buffer();
        error_code ec;
        while (true) {
            if (buffer.size() != 0) {
                ec = parseBuffer();
                if (ec != bhttp::error::need_more)
                    co_return ec;
            }
            const auto n = co_await connection.socket().async_read_some(buffer.prepare(pieceBytes), captureError(ec));
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

} // namespace detail

/// Reads a piece of a body, like Beast's `async_read_some`, which does not limit chunk extensions and trailers. Errors:
/// `header_limit` if one of them is too long, and those of Beast.
template <bool isRequest>
Awaitable<error_code> readParsed(Connection& connection, bhttp::basic_parser<isRequest>& parser)
{
    co_return co_await detail::readWhileIncomplete(connection, parser, detail::bodyPieceBytes, [&] {
        auto& buffer = connection.buffer();
        error_code ec;
        buffer.consume(parser.put(buffer.data(), ec));
        const bool isTooLong = ec == bhttp::error::need_more && buffer.size() > detail::maxUnparsedBytes;
        return isTooLong ? make_error_code(bhttp::error::header_limit) : ec;
    });
}

/// Reads a head, like Beast's `async_read_header`, which accepts folded lines and joins them. Errors: `bad_obs_fold` if
/// a line is folded, and those of Beast.
template <bool isRequest> Awaitable<error_code> readHead(Connection& connection, bhttp::basic_parser<isRequest>& parser)
{
    co_return co_await detail::readWhileIncomplete(connection, parser, detail::headPieceBytes, [&] {
        auto& buffer = connection.buffer();
        error_code ec;
        const auto n = parser.put(buffer.data(), ec);
        // The parser takes all fields at once.
        const bool isFolded = hasFoldedLine({ static_cast<const char*>(buffer.data().data()), n });
        buffer.consume(n);
        return isFolded ? make_error_code(bhttp::error::bad_obs_fold) : ec;
    });
}

} // namespace buckthorncroft::http
