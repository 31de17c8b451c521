#pragma once

#include "raw_target.h"

#include <fmt/format.h>
#include <optional>

namespace buckthorncroft::standin {

enum class ConnectionEnd { Close, Reset };

/// A response that a target cuts off. In `head`, "{id}" stands for the request id.
struct PartialResponse {
    std::string name;
    std::string method;
    std::string head;
    std::string encodedBody;
    std::string body; ///< Without the framing.
    bool isCloseDelimited = false;
    bool isRejected = false; ///< The response is not accepted even if it is complete.

    std::string text() const { return head + encodedBody; }

    /// Returns the body of the first `n` bytes if they are a complete response.
    std::optional<std::string> bodyAt(std::size_t n, ConnectionEnd end, bool allowCloseDelimited) const
    {
        if (isRejected || n < head.size())
            return std::nullopt;
        if (isCloseDelimited)
            return allowCloseDelimited && end == ConnectionEnd::Close
                ? std::optional(encodedBody.substr(0, n - head.size()))
                : std::nullopt;
        return n == text().size() ? std::optional(body) : std::nullopt;
    }

    /// Returns each position of a short response, and those near the limits of a long one.
    std::vector<std::size_t> cuts() const
    {
        constexpr std::size_t limit = std::size_t { 64 } * 1024;
        const auto size = text().size();
        const auto isNear = [](std::size_t n, std::size_t place) { return n + 6 > place && n < place + 6; };
        std::vector<std::size_t> result;
        for (std::size_t n = 0; n <= size; ++n) {
            if (size < 1000 || n + 40 > size || isNear(n, head.size()) || isNear(n, limit)
                || isNear(n, head.size() + limit))
                result.push_back(n);
        }
        return result;
    }
};

inline std::vector<PartialResponse> makePartialResponses()
{
    const std::string fields = "Buckthorncroft-Request-Id: {id}\r\nBuckthorncroft-Signature: proof\r\n";
    const auto ok = "HTTP/1.1 200 OK\r\n" + fields;
    const auto ok10 = "HTTP/1.0 200 OK\r\n" + fields;
    const std::string body = "hello, world";
    const std::string length = "Content-Length: 12\r\n\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string chunks = "5;a=b\r\nhello\r\n7\r\n, world\r\n0\r\nX-Sum: 1\r\n\r\n";
    const std::string longBody(70'000, 'x');
    const auto longChunks = fmt::format("{:x}\r\n", longBody.size()) + longBody + "\r\n0\r\nX-Sum: 1\r\n\r\n";
    const auto longField = "X-Pad: " + std::string(60'000, 'x') + "\r\n";
    const auto tooLongField = "X-Pad: " + std::string(66'000, 'x') + "\r\n";
    const std::string lfHead = "HTTP/1.1 200 OK\nBuckthorncroft-Request-Id: {id}\nBuckthorncroft-Signature: proof\n"
                               "Content-Length: 12\n\n";
    return {
        { "length", "GET", ok + length, body, body },
        { "empty", "GET", ok + "Content-Length: 0\r\n\r\n", "", "" },
        { "chunked", "GET", ok + chunked, chunks, body },
        { "ended by close", "GET", ok + "Connection: close\r\n\r\n", body, body, true },
        { "HTTP/1.0 with a length", "GET", ok10 + length, body, body },
        { "HTTP/1.0 ended by close", "GET", ok10 + "\r\n", body, body, true },
        { "HEAD with a length", "HEAD", ok + length, "", "" },
        { "HEAD with chunks", "HEAD", ok + chunked, "", "" },
        { "POST", "POST", ok + length, body, body },
        { "PUT", "PUT", "HTTP/1.1 100 Continue\r\n\r\n" + ok + chunked, chunks, body },
        { "204", "GET", "HTTP/1.1 204 No Content\r\n" + fields + "\r\n", "", "" },
        { "304", "GET", "HTTP/1.1 304 Not Modified\r\n" + fields + length, "", "" },
        { "100", "GET", "HTTP/1.1 100 Continue\r\n\r\n" + ok + length, body, body },
        { "102, 103", "GET",
            "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + chunked, chunks, body },
        { "103, HEAD", "HEAD", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + length, "", "" },
        { "line feeds", "GET", lfHead, body, body, false, true },
        { "long with a length", "GET", ok + "Content-Length: 70000\r\n\r\n", longBody, longBody },
        { "long with chunks", "GET", ok + chunked, longChunks, longBody },
        { "long ended by close", "GET", ok + "Connection: close\r\n\r\n", longBody, longBody, true },
        { "long head", "GET", ok + longField + length, body, body },
        { "head over the limit", "GET", ok + tooLongField + length, body, body, false, true },
    };
}

/// Serves whole responses, except for paths that contain "cut-N", to which it sends the first N bytes of `response`.
class CuttingTarget {
public:
    /// `isReused`: the connection stays open after a whole response, so that it is used for the next request.
    CuttingTarget(const PartialResponse& response, ConnectionEnd end, bool isReused)
        : m_response(response)
        , m_end(end)
        , m_isReused(isReused)
        , m_target([this](RawConnection& peer, unsigned) { serve(peer); })
    {
    }

    static std::string wholeBody(const std::string& path) { return "whole response to " + path; }

    std::uint16_t port() const { return m_target.port(); }

    /// Returns what is wrong with the use of the connections, or an empty string. `isReused`: all cuts are on
    /// connections that were used before.
    std::string findFault(bool isReused) const
    {
        const auto cuts = m_response.cuts().size();
        if (m_connectionsUsedAgain != 0)
            return fmt::format(
                "{}: {} connections were used after a cut\n", m_response.name, m_connectionsUsedAgain.load());
        if ((isReused ? m_cutsOnReusedConnections : m_cutsOnNewConnections) != cuts)
            return fmt::format("{}: of {} cuts, {} on new and {} on reused connections\n", m_response.name, cuts,
                m_cutsOnNewConnections.load(), m_cutsOnReusedConnections.load());
        return "";
    }

private:
    void serve(RawConnection& peer)
    {
        for (unsigned n = 0;; ++n) {
            const auto request = peer.readMessage();
            if (request.empty())
                return;
            const auto id = headerOf(request, "Buckthorncroft-Request-Id");
            const auto pos = request.find("cut-");
            if (pos != std::string::npos) {
                ++(n == 0 ? m_cutsOnNewConnections : m_cutsOnReusedConnections);
                cut(peer, id, std::stoul(request.substr(pos + 4)));
                return;
            }
            const auto begin = request.find(' ') + 1;
            const auto body = wholeBody(request.substr(begin, request.find(' ', begin) - begin));
            const std::string connection = m_isReused ? "Keep-Alive: timeout=10\r\n" : "Connection: close\r\n";
            peer.send(okResponse(request, body, "Buckthorncroft-Signature: proof\r\n" + connection));
            if (!m_isReused)
                return;
        }
    }

    void cut(RawConnection& peer, const std::string& id, std::size_t size)
    {
        auto text = m_response.text().substr(0, size);
        if (const auto pos = text.find("{id}"); pos != std::string::npos)
            text.replace(pos, 4, id);
        peer.send(text);
        if (m_end == ConnectionEnd::Reset) {
            peer.reset();
        } else if (size < m_response.text().size()) {
            peer.closeSending();
            m_connectionsUsedAgain += peer.waitForPeerClose() ? 0 : 1;
        }
    }

    const PartialResponse m_response;
    const ConnectionEnd m_end;
    const bool m_isReused;
    std::atomic<unsigned> m_cutsOnNewConnections { 0 };
    std::atomic<unsigned> m_cutsOnReusedConnections { 0 };
    std::atomic<unsigned> m_connectionsUsedAgain { 0 };
    RawTarget m_target;
};

} // namespace buckthorncroft::standin
