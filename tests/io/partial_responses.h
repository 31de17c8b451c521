#pragma once

#include "traffic_fixture.h"

#include <chrono>
#include <fmt/format.h>
#include <future>
#include <optional>

namespace buckthorncroft::test {

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

struct ReceivedResponse {
    unsigned status = 0; ///< 0 if there was no whole head.
    std::string body;
    bool isComplete = false;
    bool isLast = false; ///< The connection is closed after it.
};

inline ReceivedResponse receiveResponse(RawConnection& caller, const std::string& method)
{
    ReceivedResponse result;
    const auto head = caller.readUntil("\r\n\r\n");
    if (!head.ends_with("\r\n\r\n"))
        return result;
    result.status = static_cast<unsigned>(std::stoul(head.substr(9, 3)));
    result.isLast = headerOf(head, "Connection") == "close";
    if (method == "HEAD" || result.status == 204 || result.status == 304) {
        result.isComplete = true;
    } else if (const auto length = headerOf(head, "Content-Length"); !length.empty()) {
        result.body = caller.readBytes(std::stoul(length));
        result.isComplete = result.body.size() == std::stoul(length);
    } else if (headerOf(head, "Transfer-Encoding") == "chunked") {
        while (!result.isComplete) {
            const auto line = caller.readUntil("\r\n");
            if (!line.ends_with("\r\n"))
                break;
            const auto size = std::stoul(line, nullptr, 16);
            const auto piece = caller.readBytes(size + 2);
            result.body += piece.substr(0, size);
            result.isComplete = size == 0 && piece == "\r\n";
            if (piece.size() < size + 2)
                break;
        }
    } else {
        result.body = caller.readAll();
        result.isComplete = !caller.wasReset();
        result.isLast = true;
    }
    return result;
}

/// Returns what is wrong with the response to a request whose response was cut to `size` bytes, or an empty string.
inline std::string findFault(const PartialResponse& sent, std::size_t size, ConnectionEnd end, bool allowCloseDelimited,
    const ReceivedResponse& received)
{
    const auto whole = sent.bodyAt(size, end, allowCloseDelimited);
    if (received.status == 502) {
        // A reset may overtake the response.
        const bool mayFail = !whole || end == ConnectionEnd::Reset;
        return mayFail && received.isComplete ? "" : "complete response was rejected";
    }
    if (received.status != 200 && received.status != 204 && received.status != 304)
        return fmt::format("status {}", received.status);
    if (received.isComplete && !whole)
        return "incomplete response was relayed as complete";
    if (received.isComplete)
        return received.body == *whole ? "" : "wrong body";
    if (whole && end == ConnectionEnd::Close)
        return "complete response was cut off";
    return sent.body.starts_with(received.body) ? "" : "bytes of another response";
}

/// Makes the head of a request with a method and a path, without the empty line at its end.
using MakeHead = std::function<std::string(const std::string& method, const std::string& path)>;

/// Sends a request whose response is cut, with a pipelined one behind it, and returns what is wrong with the responses,
/// or an empty string. If `isReused`, a request before them opens the connection to the target.
inline std::string playCut(RawConnection& caller, const PartialResponse& sent, std::size_t size, ConnectionEnd end,
    bool isReused, bool allowCloseDelimited, const MakeHead& makeHead)
{
    const auto get = [&](const std::string& path) { return makeHead("GET", path) + "\r\n"; };
    if (isReused) {
        caller.send(get(fmt::format("/r/first-{}", size)));
        if (receiveResponse(caller, "GET").status != 200)
            return "no response to the first request";
    }
    const auto startedAt = std::chrono::steady_clock::now();
    const auto nextPath = fmt::format("/r/next-{}", size);
    const auto hasBody = sent.method == "POST" || sent.method == "PUT";
    caller.send(makeHead(sent.method, fmt::format("/r/cut-{}", size))
        + (hasBody ? "Content-Length: 6\r\n\r\nupload" : "\r\n") + get(nextPath));
    const auto received = receiveResponse(caller, sent.method);
    if (auto fault = findFault(sent, size, end, allowCloseDelimited, received); !fault.empty())
        return fault;
    if (received.isComplete && !received.isLast) {
        const auto next = receiveResponse(caller, "GET");
        if (next.status != 200 || next.body != CuttingTarget::wholeBody(nextPath))
            return fmt::format("pipelined request: status {}, body {}", next.status, next.body);
    } else if (const auto rest = caller.readAll(); !rest.empty()) {
        return "bytes after the last response: " + rest;
    }
    return std::chrono::steady_clock::now() - startedAt < std::chrono::seconds(1) ? "" : "the response took over 1 s";
}

/// Plays all cuts of `sent` with a caller each. Returns the faults, a line each.
inline std::string playCuts(const PartialResponse& sent, ConnectionEnd end, bool isReused, bool allowCloseDelimited,
    const std::function<std::unique_ptr<RawConnection>()>& connectCaller, const MakeHead& makeHead)
{
    std::string result;
    for (const auto size : sent.cuts()) {
        const auto caller = connectCaller();
        const auto fault = playCut(*caller, sent, size, end, isReused, allowCloseDelimited, makeHead);
        if (!fault.empty())
            result += fmt::format("{}, {} bytes, {}, {} connection: {}\n", sent.name, size,
                end == ConnectionEnd::Reset ? "reset" : "close", isReused ? "reused" : "new", fault);
    }
    return result;
}

/// Plays one response on new or reused connections. Returns the faults, a line each.
using Play = std::string (*)(const PartialResponse& response, ConnectionEnd end, bool isReused);

/// Plays all cuts of all responses. Returns the faults, a line each.
inline std::string playAll(Play play)
{
    std::string result;
    for (const auto& it : makePartialResponses()) {
        std::vector<std::future<std::string>> runs;
        for (const auto end : { ConnectionEnd::Close, ConnectionEnd::Reset }) {
            for (const bool isReused : { false, true })
                runs.push_back(std::async(std::launch::async, play, it, end, isReused));
        }
        for (auto& run : runs)
            result += run.get();
    }
    return result;
}

} // namespace buckthorncroft::test
