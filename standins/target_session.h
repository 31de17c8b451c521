#pragma once

#include "target_response.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>

namespace buckthorncroft::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// A caller's connection to the target stand-in. Processes one request at a time.
class TargetSession : public std::enable_shared_from_this<TargetSession> {
public:
    TargetSession(tcp::socket socket, TargetState& state)
        : m_stream(std::move(socket))
        , m_timer(m_stream.get_executor())
        , m_state(state)
        , m_chunk(chunkBytes, '\0')
    {
        error_code ec;
        m_stream.socket().set_option(tcp::no_delay(true), ec);
    }

    ~TargetSession() { releaseSlot(); }
    TargetSession(const TargetSession&) = delete;
    TargetSession& operator=(const TargetSession&) = delete;

    /// Reads requests until the connection ends.
    void start() { readHeader(); }

private:
    static constexpr std::size_t chunkBytes = 65'536;
    static constexpr std::uint64_t minUploadBytes = 65'536; // Bodies of at least this length count as uploads.
    static constexpr std::uint64_t maxControlBytes = 65'536;
    static constexpr std::chrono::seconds idleTimeout { 120 };
    static constexpr std::chrono::seconds lingerTimeout { 2 };

    template <typename Method> auto bind(Method method)
    {
        return [self = shared_from_this(), method](error_code ec, std::size_t = 0) { (self.get()->*method)(ec); };
    }

    void readHeader()
    {
        m_parser.emplace();
        // Beast 1.74 refuses every body with a length when the limit is boost::none.
        m_parser->body_limit(UINT64_MAX);
        m_digest.reset();
        m_maxResponseBytes = UINT64_MAX;
        m_writtenBytes = 0;
        m_stream.expires_after(idleTimeout);
        http::async_read_header(m_stream, m_buffer, *m_parser, bind(&TargetSession::onHeader));
    }

    void onHeader(error_code ec)
    {
        if (ec)
            return close();
        const auto& request = m_parser->get();
        m_request = { std::string(request["Buckthorncroft-Request-Id"]), std::string(request.method_string()),
            std::string(request.target()), "", 0 };
        m_idempotencyKey = std::string(request["Idempotency-Key"]);
        m_isHead = request.method() == http::verb::head;
        const auto& path = m_request.path;
        m_isControl = path.rfind("/control/", 0) == 0 || path == "/health" || path == "/load";
        if (m_isControl)
            return readControl();
        m_state.recordRequest();
        m_fault = m_state.selectFault(m_request.method, path);
        if (m_fault.kind == FaultKind::Silent)
            return watchForDisconnect();
        if (!m_state.tryAcquire())
            return rejectNotRun("no free slot");
        m_holdsSlot = true;
        if (beast::iequals(request["Expect"], "100-continue"))
            return sendContinue();
        readBody();
    }

    void sendContinue()
    {
        static const std::string text = "HTTP/1.1 100 Continue\r\n\r\n";
        asio::async_write(m_stream, asio::buffer(text), bind(&TargetSession::onContinueSent));
    }

    void onContinueSent(error_code ec)
    {
        if (ec)
            return abortUnfinishedRequest();
        readBody();
    }

    // Reads the body in parts of bounded size. Keeps only the digest and length, and for control requests the text.
    void readBody()
    {
        if (m_parser->is_done())
            return onBodyDone();
        m_parser->get().body().data = m_chunk.data();
        m_parser->get().body().size = m_chunk.size();
        m_stream.expires_after(idleTimeout);
        http::async_read(m_stream, m_buffer, *m_parser, bind(&TargetSession::onBodyPart));
    }

    void onBodyPart(error_code ec)
    {
        if (ec == http::error::need_buffer)
            ec = {};
        if (ec)
            return abortUnfinishedRequest();
        const auto size = m_chunk.size() - m_parser->get().body().size;
        m_digest.add(m_chunk.data(), size);
        if (m_isControl)
            m_controlBody.append(m_chunk.data(), size);
        if (m_isControl && m_controlBody.size() > maxControlBytes)
            return close();
        readBody();
    }

    // Called when the caller closed the connection or stalled before the body was complete.
    void abortUnfinishedRequest()
    {
        ++m_state.counts().cancelled;
        if (isUpload(m_parser->content_length().value_or(0)))
            ++m_state.counts().uploadsCut;
        close();
    }

    bool isUpload(std::uint64_t bytes) const
    {
        return !m_isControl && (m_parser->chunked() || std::max(bytes, m_digest.length()) >= minUploadBytes);
    }

    void onBodyDone()
    {
        if (m_isControl)
            return respondToControl();
        m_request.digest = m_digest.toHex();
        m_request.length = m_digest.length();
        if (isUpload(0))
            ++m_state.counts().uploadsWhole;
        startWork();
    }

    // Holds the slot for the service time, but not beyond the deadline, and cancels the work when the caller
    // disconnects.
    void startWork()
    {
        auto duration = m_state.serviceTime();
        if (m_fault.kind == FaultKind::Slow)
            duration = std::chrono::microseconds(
                static_cast<std::int64_t>(static_cast<double>(duration.count()) * m_fault.slowdownFactor));
        const auto deadline = remainingTime();
        const bool expires = deadline < duration;
        watchForDisconnect();
        if (m_fault.kind == FaultKind::Hanging) {
            if (m_fault.countsAsRun)
                m_state.recordRun(m_request, m_idempotencyKey);
            return;
        }
        m_timer.expires_after(expires ? deadline : duration);
        m_timer.async_wait([self = shared_from_this(), expires](error_code ec) {
            if (ec || !self->m_isWatching)
                return;
            self->stopWatching();
            expires ? self->rejectExpired() : self->completeWork();
        });
    }

    // The deadline counts from the last byte of the request body, because the duration of an upload depends on the
    // sender.
    std::chrono::microseconds remainingTime() const
    {
        const auto text = m_parser->get()["Buckthorncroft-Deadline-Ms"];
        std::int64_t ms = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
        constexpr std::int64_t maxMs = 86'400'000;
        const bool valid = error == std::errc() && !text.empty() && end == text.data() + text.size();
        return milliseconds(valid ? std::clamp<std::int64_t>(ms, 0, maxMs) : maxMs);
    }

    void watchForDisconnect()
    {
        m_isWatching = true;
        m_stream.expires_never();
        m_stream.socket().async_wait(
            tcp::socket::wait_read, [self = shared_from_this(), serial = ++m_watchSerial](error_code ec) {
                if (ec || !self->m_isWatching || serial != self->m_watchSerial)
                    return;
                // A readable socket is closed, broken or has bytes of the next request; only the first two cancel the
                // work.
                char c = 0;
                error_code peekError;
                self->m_stream.socket().non_blocking(true, peekError);
                self->m_stream.socket().receive(asio::buffer(&c, 1), tcp::socket::message_peek, peekError);
                if (peekError && peekError != asio::error::would_block)
                    self->cancel();
            });
    }

    void stopWatching()
    {
        m_isWatching = false;
        error_code ec;
        m_stream.socket().cancel(ec);
    }

    void cancel()
    {
        m_isWatching = false;
        m_timer.cancel();
        ++m_state.counts().cancelled;
        close();
    }

    void rejectExpired()
    {
        ++m_state.counts().expired;
        rejectNotRun("deadline passed");
    }

    void completeWork()
    {
        const bool isFaulty = m_fault.kind == FaultKind::Wrong || m_fault.kind == FaultKind::Truncated
            || m_fault.kind == FaultKind::Crossed;
        const auto previousRun = m_state.lastRun();
        if (!isFaulty || m_fault.countsAsRun)
            m_state.recordRun(m_request, m_idempotencyKey);
        releaseSlot();
        if (m_fault.kind == FaultKind::Wrong)
            return respond(m_fault.status, ResponseBody("{\"error\":\"fault\"}"), m_request.id);
        const auto& describedRequest = m_fault.kind == FaultKind::Crossed ? previousRun : m_request;
        ResponseBody body(describedRequest, m_state.options().id, queryNumber(m_request.path, "bytes"));
        if (m_fault.kind == FaultKind::Truncated)
            m_maxResponseBytes = body.size() / 2;
        respond(200, std::move(body), describedRequest.id);
    }

    // Reports, by the header `X-Not-Run`, that the request was not run.
    void rejectNotRun(const std::string& reason)
    {
        releaseSlot();
        m_notRun = true;
        respond(503, ResponseBody(nlohmann::json { { "not_run", reason } }.dump()), m_request.id);
    }

    void releaseSlot()
    {
        if (std::exchange(m_holdsSlot, false))
            m_state.release();
    }

    void respond(unsigned status, ResponseBody body, const std::string& id)
    {
        m_body = std::move(body);
        m_response.emplace(static_cast<http::status>(status), 11);
        m_response->set(http::field::content_type, "application/json");
        if (!id.empty())
            m_response->set("Buckthorncroft-Request-Id", id);
        if (std::exchange(m_notRun, false))
            m_response->set("X-Not-Run", "true");
        if (m_state.isDraining())
            m_response->set("Buckthorncroft-Draining", "true");
        // An unread body would be parsed as the next request, so the connection is closed.
        m_response->keep_alive(m_parser->is_done() && m_parser->get().keep_alive() && !m_state.isDraining());
        if (queryNumber(m_request.path, "chunked") != 0)
            m_response->chunked(true);
        else
            m_response->content_length(m_body.size());
        m_response->body().data = nullptr;
        m_response->body().more = true;
        m_serializer.emplace(*m_response);
        m_stream.expires_after(idleTimeout);
        http::async_write_header(m_stream, *m_serializer, bind(&TargetSession::onHeaderWritten));
    }

    void onHeaderWritten(error_code ec)
    {
        if (ec)
            return close();
        if (m_isHead)
            return onResponseSent();
        writePart();
    }

    void writePart()
    {
        m_responsePart = m_body.nextPart(chunkBytes);
        if (m_writtenBytes + m_responsePart.size() > m_maxResponseBytes)
            m_responsePart.resize(m_maxResponseBytes - m_writtenBytes);
        m_writtenBytes += m_responsePart.size();
        auto& body = m_response->body();
        body.data = m_responsePart.empty() ? nullptr : m_responsePart.data();
        body.size = m_responsePart.size();
        body.more = !m_responsePart.empty();
        m_stream.expires_after(idleTimeout);
        http::async_write(m_stream, *m_serializer, bind(&TargetSession::onPartWritten));
    }

    void onPartWritten(error_code ec)
    {
        if (ec == http::error::need_buffer)
            ec = {};
        if (ec || m_writtenBytes >= m_maxResponseBytes)
            return close();
        if (m_serializer->is_done() || m_responsePart.empty())
            return onResponseSent();
        writePart();
    }

    void onResponseSent()
    {
        if (m_response->keep_alive())
            return readHeader();
        error_code ec;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
        m_stream.expires_after(lingerTimeout);
        linger({});
    }

    // Discards what the caller still sends. Closing immediately would reset the connection, and the caller could lose
    // the response.
    void linger(error_code ec)
    {
        if (ec)
            return close();
        m_stream.async_read_some(asio::buffer(m_chunk), bind(&TargetSession::linger));
    }

    void close()
    {
        releaseSlot();
        m_isWatching = false;
        error_code ec;
        m_stream.socket().close(ec);
    }

    void readControl()
    {
        m_controlBody.clear();
        readBody();
    }

    void respondToControl()
    {
        const auto& path = m_request.path;
        const bool post = m_request.method == "POST";
        if (path == "/health" || path == "/load") {
            const auto report = m_state.makeLoadReport();
            return respond(path == "/health" && report["status"] != "ok" ? 503 : 200, ResponseBody(report.dump()), "");
        }
        if (path == "/control/counts")
            return respond(200, ResponseBody(m_state.makeCountsReport().dump()), "");
        if (path == "/control/keys" || path == "/control/ids")
            return respond(200, ResponseBody(m_state.listRuns(path == "/control/keys")), "");
        if (path == "/control/drain" && post) {
            m_state.setDraining(m_controlBody != "off");
            return respond(200, ResponseBody("{}"), "");
        }
        if (path == "/control/fault" && post) {
            const auto fault = parseFault(m_controlBody);
            if (fault)
                m_state.setFault(*fault);
            return respond(fault ? 200 : 400, ResponseBody(fault ? "{}" : "{\"error\":\"not a valid fault\"}"), "");
        }
        respond(404, ResponseBody("{\"error\":\"no such control path\"}"), "");
    }

    beast::tcp_stream m_stream;
    asio::steady_timer m_timer;
    TargetState& m_state;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::buffer_body>> m_parser;
    std::string m_chunk;
    BodyDigest m_digest;
    RequestSummary m_request;
    std::string m_idempotencyKey;
    Fault m_fault;
    bool m_isHead = false;
    bool m_isControl = false;
    bool m_notRun = false;
    bool m_holdsSlot = false;
    bool m_isWatching = false;
    std::uint64_t m_watchSerial = 0;
    std::string m_controlBody;
    ResponseBody m_body;
    std::string m_responsePart;
    std::uint64_t m_writtenBytes = 0;
    std::uint64_t m_maxResponseBytes = UINT64_MAX;
    std::optional<http::response<http::buffer_body>> m_response;
    std::optional<http::response_serializer<http::buffer_body>> m_serializer;
};

} // namespace buckthorncroft::standins
