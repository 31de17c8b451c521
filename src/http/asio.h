#pragma once

// Boost 1.74 uses std::exchange in awaitable.hpp without including this header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <limits>

namespace buckthorncroft::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

template <typename T> using Awaitable = asio::awaitable<T>;

/// Body limit of a parser that accepts any length. Boost 1.74 treats every length as larger than an empty limit, so an
/// empty limit would reject all bodies.
constexpr std::uint64_t unlimitedBody = std::numeric_limits<std::uint64_t>::max();

/// Completion token that stores errors in `ec` instead of throwing, because network errors are expected.
inline auto captureError(error_code& ec)
{
    return asio::redirect_error(asio::use_awaitable, ec);
}

} // namespace buckthorncroft::http
