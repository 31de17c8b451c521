#pragma once

#include "../../standins/partial_responses.h"
#include "traffic_fixture.h"

#include <chrono>
#include <fmt/format.h>
#include <future>
#include <optional>

namespace buckthorncroft::test {

using standin::ConnectionEnd;
using standin::CuttingTarget;
using standin::makePartialResponses;
using standin::PartialResponse;

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
