#pragma once

#include "../../platform/names.h"
#include "request_ledger.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace buckthorncroft::test {

/// A connection on which a caller sends requests until the instance closes it.
class CallerConnection {
public:
    explicit CallerConnection(std::uint16_t port)
    {
        boost::system::error_code ec;
        m_stream.connect({ boost::asio::ip::address_v4::loopback(), port }, ec);
        m_isOpen = !ec;
    }

    bool isOpen() const { return m_isOpen; }

    /// Sends a request with a body of `bodyBytes`, and waits for the end of its response.
    CallerView send(const std::string& id, std::size_t instance, const std::string& path,
        std::chrono::milliseconds deadline, std::size_t bodyBytes = 0, bool mayRepeat = true)
    {
        namespace http = boost::beast::http;
        http::request<http::string_body> request(bodyBytes ? http::verb::post : http::verb::get, path, 11);
        request.set(http::field::host, "h");
        request.set(platform::names::requestIdHeader, id);
        request.set(platform::names::deadlineHeader, std::to_string(deadline.count()));
        request.body().assign(bodyBytes, 'x');
        request.prepare_payload();
        http::response<http::string_body> response;
        boost::system::error_code ec;
        http::write(m_stream, request, ec);
        CallerView result { id, instance, std::chrono::steady_clock::now(), {}, deadline };
        result.mayRepeat = mayRepeat;
        if (!ec)
            http::read(m_stream, m_buffer, response, ec);
        result.endedAt = std::chrono::steady_clock::now();
        result.status = ec ? 0 : response.result_int();
        result.isFromTarget = !ec && !response[platform::names::signatureHeader].empty()
            && response[platform::names::requestIdHeader] == id;
        m_isOpen = !ec && response.keep_alive();
        return result;
    }

private:
    boost::asio::io_context m_context;
    boost::beast::tcp_stream m_stream { m_context };
    boost::beast::flat_buffer m_buffer;
    bool m_isOpen = false;
};

} // namespace buckthorncroft::test
