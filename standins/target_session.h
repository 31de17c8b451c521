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

/// One connection of a caller to the target stand-in. Requests are answered one after the other.
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
    static constexpr std::uint64_t uploadBytes = 65'536; // Bodies from this length on count as uploads.
    static constexpr std::uint64_t maxControlBytes = 65'536;
    static constexpr std::chrono::seconds idleLimit { 120 };
    static constexpr std::chrono::seconds lingerLimit { 2 };

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
        m_cutAt = UINT64_MAX;
        m_written = 0;
        m_stream.expires_after(idleLimit);
        http::async_read_header(m_stream, m_buffer, *m_parser, bind(&TargetSession::onHeader));
    }

    void onHeader(error_code ec)
    {
        if (ec)
            return close();
        const auto& request = m_parser->get();
        m_run = { std::string(request["Buckthorncroft-Request-Id"]), std::string(request.method_string()),
            std::string(request.target()), "", 0 };
        m_key = std::string(request["Idempotency-Key"]);
        m_head = request.method() == http::verb::head;
        const auto& path = m_run.path;
        m_control = path.rfind("/control/", 0) == 0 || path == "/health" || path == "/load";
        if (m_control)
            return readControl();
        m_state.noteRequest();
        m_fault = m_state.faultFor(m_run.method, path);
        if (m_fault.kind == FaultKind::Silent)
            return watchConnection();
        if (!m_state.tryAcquire())
            return refuse("no free slot");
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
            return abandonBody();
        readBody();
    }

    // Reads the body in parts of bounded size and keeps only its digest and length.
    void readBody()
    {
        if (m_parser->is_done())
            return onBodyDone();
        m_parser->get().body().data = m_chunk.data();
        m_parser->get().body().size = m_chunk.size();
        m_stream.expires_after(idleLimit);
        http::async_read(m_stream, m_buffer, *m_parser, bind(&TargetSession::onBodyPart));
    }

    void onBodyPart(error_code ec)
    {
        if (ec == http::error::need_buffer)
            ec = {};
        if (ec)
            return abandonBody();
        const auto size = m_chunk.size() - m_parser->get().body().size;
        m_digest.add(m_chunk.data(), size);
        if (m_control)
            m_controlText.append(m_chunk.data(), size);
        if (m_control && m_controlText.size() > maxControlBytes)
            return close();
        readBody();
    }

    // The caller closed the connection or stalled before its body was whole.
    void abandonBody()
    {
        ++m_state.counts().cancelled;
        if (isUpload(m_parser->content_length().value_or(0)))
            ++m_state.counts().uploadsCut;
        close();
    }

    bool isUpload(std::uint64_t bytes) const
    {
        return !m_control && (m_parser->chunked() || std::max(bytes, m_digest.length()) >= uploadBytes);
    }

    void onBodyDone()
    {
        if (m_control)
            return responseControl();
        m_run.digest = m_digest.text();
        m_run.length = m_digest.length();
        if (isUpload(0))
            ++m_state.counts().uploadsWhole;
        work();
    }

    // Occupies the slot for the service time, but not beyond the deadline, and watches for the caller's cancellation.
    void work()
    {
        auto duration = m_state.serviceTime();
        if (m_fault.kind == FaultKind::Slow)
            duration = std::chrono::microseconds(
                static_cast<std::int64_t>(static_cast<double>(duration.count()) * m_fault.factor));
        const auto deadline = deadlineLeft();
        const bool expires = deadline < duration;
        watchConnection();
        if (m_fault.kind == FaultKind::Hanging) {
            if (m_fault.effect)
                m_state.noteRun(m_run, m_key);
            return;
        }
        m_timer.expires_after(expires ? deadline : duration);
        m_timer.async_wait([self = shared_from_this(), expires](error_code ec) {
            if (ec || !self->m_watching)
                return;
            self->unwatchConnection();
            expires ? self->expire() : self->complete();
        });
    }

    // The deadline is relative to the last byte of the body, because an upload takes as long as its sender takes.
    std::chrono::microseconds deadlineLeft() const
    {
        const auto text = m_parser->get()["Buckthorncroft-Deadline-Ms"];
        std::int64_t ms = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
        constexpr std::int64_t longestMs = 86'400'000;
        const bool valid = error == std::errc() && !text.empty() && end == text.data() + text.size();
        return milliseconds(valid ? std::clamp<std::int64_t>(ms, 0, longestMs) : longestMs);
    }

    void watchConnection()
    {
        m_watching = true;
        m_stream.expires_never();
        m_stream.socket().async_wait(
            tcp::socket::wait_read, [self = shared_from_this(), serial = ++m_watchSerial](error_code ec) {
                if (ec || !self->m_watching || serial != self->m_watchSerial)
                    return;
                // Readable means closed, broken, or bytes of a next request; only the first two cancel the work.
                char c = 0;
                error_code peekError;
                self->m_stream.socket().non_blocking(true, peekError);
                self->m_stream.socket().receive(asio::buffer(&c, 1), tcp::socket::message_peek, peekError);
                if (peekError && peekError != asio::error::would_block)
                    self->cancel();
            });
    }

    void unwatchConnection()
    {
        m_watching = false;
        error_code ec;
        m_stream.socket().cancel(ec);
    }

    void cancel()
    {
        m_watching = false;
        m_timer.cancel();
        ++m_state.counts().cancelled;
        close();
    }

    void expire()
    {
        ++m_state.counts().expired;
        refuse("deadline passed");
    }

    void complete()
    {
        const bool bad = m_fault.kind == FaultKind::Wrong || m_fault.kind == FaultKind::Truncated
            || m_fault.kind == FaultKind::Crossed;
        const auto previous = m_state.lastRun();
        if (!bad || m_fault.effect)
            m_state.noteRun(m_run, m_key);
        releaseSlot();
        if (m_fault.kind == FaultKind::Wrong)
            return respond(m_fault.status, ResponseBody("{\"error\":\"fault\"}"), m_run.id);
        const auto& shown = m_fault.kind == FaultKind::Crossed ? previous : m_run;
        ResponseBody body(shown, m_state.options().id, queryNumber(m_run.path, "bytes"));
        if (m_fault.kind == FaultKind::Truncated)
            m_cutAt = body.size() / 2;
        respond(200, std::move(body), shown.id);
    }

    // States under the not-run contract that the request was not run.
    void refuse(const std::string& reason)
    {
        releaseSlot();
        m_notRun = true;
        respond(503, ResponseBody(nlohmann::json { { "not_run", reason } }.dump()), m_run.id);
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
        if (m_state.draining())
            m_response->set("Buckthorncroft-Draining", "true");
        // A body that was not read would be taken for the next request.
        m_response->keep_alive(m_parser->is_done() && m_parser->get().keep_alive() && !m_state.draining());
        if (queryNumber(m_run.path, "chunked") != 0)
            m_response->chunked(true);
        else
            m_response->content_length(m_body.size());
        m_response->body().data = nullptr;
        m_response->body().more = true;
        m_serializer.emplace(*m_response);
        m_stream.expires_after(idleLimit);
        http::async_write_header(m_stream, *m_serializer, bind(&TargetSession::onHeaderWritten));
    }

    void onHeaderWritten(error_code ec)
    {
        if (ec)
            return close();
        if (m_head)
            return onAnswered();
        writePart();
    }

    void writePart()
    {
        m_out = m_body.next(chunkBytes);
        if (m_written + m_out.size() > m_cutAt)
            m_out.resize(m_cutAt - m_written);
        m_written += m_out.size();
        auto& body = m_response->body();
        body.data = m_out.empty() ? nullptr : m_out.data();
        body.size = m_out.size();
        body.more = !m_out.empty();
        m_stream.expires_after(idleLimit);
        http::async_write(m_stream, *m_serializer, bind(&TargetSession::onPartWritten));
    }

    void onPartWritten(error_code ec)
    {
        if (ec == http::error::need_buffer)
            ec = {};
        if (ec || m_written >= m_cutAt)
            return close();
        if (m_serializer->is_done() || m_out.empty())
            return onAnswered();
        writePart();
    }

    void onAnswered()
    {
        if (m_response->keep_alive())
            return readHeader();
        error_code ec;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
        m_stream.expires_after(lingerLimit);
        linger({});
    }

    // Reads and drops what the caller still sends. Closing at once would reset the connection, and the caller could
    // lose the answer.
    void linger(error_code ec)
    {
        if (ec)
            return close();
        m_stream.async_read_some(asio::buffer(m_chunk), bind(&TargetSession::linger));
    }

    void close()
    {
        releaseSlot();
        m_watching = false;
        error_code ec;
        m_stream.socket().close(ec);
    }

    void readControl()
    {
        m_controlText.clear();
        readBody();
    }

    void responseControl()
    {
        const auto& path = m_run.path;
        const bool post = m_run.method == "POST";
        if (path == "/health" || path == "/load") {
            const auto report = m_state.endpointReport();
            return respond(path == "/health" && report["status"] != "ok" ? 503 : 200, ResponseBody(report.dump()), "");
        }
        if (path == "/control/counts")
            return respond(200, ResponseBody(m_state.report().dump()), "");
        if (path == "/control/keys" || path == "/control/ids")
            return respond(200, ResponseBody(m_state.listRuns(path == "/control/keys")), "");
        if (path == "/control/drain" && post) {
            m_state.setDraining(m_controlText != "off");
            return respond(200, ResponseBody("{}"), "");
        }
        if (path == "/control/fault" && post) {
            const auto fault = parseFault(m_controlText);
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
    RunRecord m_run;
    std::string m_key;
    Fault m_fault;
    bool m_head = false;
    bool m_control = false;
    bool m_notRun = false;
    bool m_holdsSlot = false;
    bool m_watching = false;
    std::uint64_t m_watchSerial = 0;
    std::string m_controlText;
    ResponseBody m_body;
    std::string m_out;
    std::uint64_t m_written = 0;
    std::uint64_t m_cutAt = UINT64_MAX;
    std::optional<http::response<http::buffer_body>> m_response;
    std::optional<http::response_serializer<http::buffer_body>> m_serializer;
};

} // namespace buckthorncroft::standins
