#include "operators_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <optional>

namespace buckthorncroft::daemon::detail {

namespace {

    namespace beast = boost::beast;
    namespace http = beast::http;
    namespace ssl = boost::asio::ssl;
    using ErrorCode = boost::system::error_code;

    constexpr std::uint64_t maxResponseBytes = 64u << 20;

    /// One HTTP request. Its steps run in sequence on `m_io` until an error or the deadline ends them.
    class HttpCall {
    public:
        HttpCall(const Endpoint& endpoint, const std::string& path, const TlsFiles& tls)
            : m_endpoint(endpoint)
            , m_tls(tls)
            , m_tlsContext(ssl::context::tls_client)
            , m_request(http::verb::get, path, 11)
        {
            m_request.set(http::field::host, endpoint.host);
            m_request.set(http::field::connection, "close");
            m_parser.body_limit(maxResponseBytes);
        }

        base::Result<std::string> run(std::chrono::milliseconds timeout)
        {
            ErrorCode ec;
            const auto address = boost::asio::ip::make_address(m_endpoint.host, ec);
            if (ec)
                return base::Error { base::ErrorCode::InvalidArgument, m_endpoint.host + " is not an IP address" };
            if (!m_tls.plaintext && !loadFiles(ec))
                return base::Error { base::ErrorCode::InvalidArgument, "certificate files: " + ec.message() };
            // A stream copies the context's settings when it is constructed, so the files must be loaded before.
            m_stream.emplace(m_io, m_tlsContext);
            tcpStream().expires_after(timeout);
            tcpStream().async_connect({ address, m_endpoint.port }, [this](ErrorCode error) { handleConnect(error); });
            m_io.run();
            return result();
        }

    private:
        beast::tcp_stream& tcpStream() { return beast::get_lowest_layer(*m_stream); }

        bool loadFiles(ErrorCode& ec)
        {
            m_tlsContext.set_verify_mode(ssl::verify_peer);
            m_tlsContext.load_verify_file(m_tls.authority, ec);
            if (!ec)
                m_tlsContext.use_certificate_chain_file(m_tls.certificate, ec);
            if (!ec)
                m_tlsContext.use_private_key_file(m_tls.privateKey, ssl::context::pem, ec);
            return !ec;
        }

        void handleConnect(ErrorCode ec)
        {
            if (recordError(ec))
                return;
            if (m_tls.plaintext)
                return send();
            m_stream->async_handshake(ssl::stream_base::client, [this](ErrorCode error) {
                if (!recordError(error))
                    send();
            });
        }

        void send()
        {
            const auto onWritten = [this](ErrorCode ec, std::size_t) {
                if (!recordError(ec))
                    receive();
            };
            if (m_tls.plaintext)
                http::async_write(tcpStream(), m_request, onWritten);
            else
                http::async_write(*m_stream, m_request, onWritten);
        }

        void receive()
        {
            const auto onRead = [this](ErrorCode ec, std::size_t) { recordError(ec); };
            if (m_tls.plaintext)
                http::async_read(tcpStream(), m_buffer, m_parser, onRead);
            else
                http::async_read(*m_stream, m_buffer, m_parser, onRead);
        }

        bool recordError(ErrorCode ec)
        {
            m_error = ec;
            return static_cast<bool>(ec);
        }

        base::Result<std::string> result()
        {
            if (m_error == beast::error::timeout)
                return base::Error { base::ErrorCode::Timeout, toString(m_endpoint) + " did not respond in time" };
            if (m_error)
                return base::Error { base::ErrorCode::Unavailable, toString(m_endpoint) + ": " + m_error.message() };
            const auto& response = m_parser.get();
            if (response.result() == http::status::forbidden)
                return base::Error { base::ErrorCode::PermissionDenied, response.body() };
            if (response.result() != http::status::ok)
                return base::Error { base::ErrorCode::Malformed, "status " + std::to_string(response.result_int()) };
            return response.body();
        }

        const Endpoint& m_endpoint;
        const TlsFiles& m_tls;
        boost::asio::io_context m_io;
        ssl::context m_tlsContext;
        std::optional<beast::ssl_stream<beast::tcp_stream>> m_stream;
        http::request<http::empty_body> m_request;
        beast::flat_buffer m_buffer;
        http::response_parser<http::string_body> m_parser;
        ErrorCode m_error;
    };

} // namespace

base::Result<std::string> fetchPath(
    const Endpoint& endpoint, const std::string& path, const TlsFiles& tls, std::chrono::milliseconds timeout)
{
    return HttpCall(endpoint, path, tls).run(timeout);
}

} // namespace buckthorncroft::daemon::detail
