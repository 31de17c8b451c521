#pragma once

#include "../gateway/gateway_fleet.h"
#include "../io/traffic_fixture.h"
#include "request_model.h"

#include <array>

namespace buckthorncroft::soak {

/// How a target treats the requests that it receives.
enum class TargetFault {
    None,
    Slow,
    BreaksOff, ///< Runs the request and closes the connection within the response.
    Refuses, ///< Does not run the request and says so.
    WrongId, ///< Runs the request and sends the response under another id.
    LateRefusal, ///< Runs the request, and sends a refusal without an id before its response if the connection is
                 ///< reused.
    Endless, ///< Runs the request and sends a body without end.
};

constexpr std::array allTargetFaults { TargetFault::None, TargetFault::Slow, TargetFault::BreaksOff,
    TargetFault::Refuses, TargetFault::WrongId, TargetFault::LateRefusal, TargetFault::Endless };

/// A target whose response contains the id of its request, and that records each request that it runs.
class FaultyTarget {
public:
    explicit FaultyTarget(RequestModel& model)
        : m_model(model)
        , m_target([this](test::RawConnection& peer, unsigned) {
            for (unsigned n = 0; serve(peer, n != 0); ++n) { }
        })
    {
    }

    std::uint16_t port() const { return m_target.port(); }
    void setFault(TargetFault fault) { m_fault = fault; }

private:
    static std::string head(const std::string& id)
    {
        return fmt::format("HTTP/1.1 200 OK\r\n{}: {}\r\n{}: proof\r\nKeep-Alive: timeout=10\r\n",
            test::names::requestIdHeader, id, test::names::signatureHeader);
    }

    static std::string refusal(const std::string& idLine)
    {
        return fmt::format(
            "HTTP/1.1 503 Busy\r\n{}{}: 1\r\nContent-Length: 0\r\n\r\n", idLine, test::names::notRunHeader);
    }

    // Returns whether the connection remains open.
    bool serve(test::RawConnection& peer, bool isReused)
    {
        using namespace std::chrono_literals;
        const auto id = test::headerOf(peer.readMessage(), test::names::requestIdHeader);
        if (id.empty())
            return false;
        const auto fault = m_fault.load();
        if (fault == TargetFault::Refuses) {
            peer.send(refusal(fmt::format("{}: {}\r\n", test::names::requestIdHeader, id)));
            return true;
        }
        m_model.recordExecution(id, fault == TargetFault::None || fault == TargetFault::Slow);
        std::this_thread::sleep_for(fault == TargetFault::Slow ? 2500ms : 20ms);
        const auto response = fmt::format("{}Content-Length: {}\r\n\r\n{}", head(id), id.size(), id);
        if (fault == TargetFault::Endless) {
            peer.send(head(id) + "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n");
            const std::string piece(65'536, 'x');
            while (peer.sendFor(piece, 1s))
                std::this_thread::sleep_for(10ms);
            return false;
        }
        if (fault == TargetFault::LateRefusal && isReused)
            peer.send(refusal(""));
        if (fault == TargetFault::BreaksOff)
            peer.send(response.substr(0, response.size() - 1));
        else if (fault == TargetFault::WrongId)
            peer.send(fmt::format("{}Content-Length: 5\r\n\r\nother", head("other")));
        else
            peer.send(response);
        return fault != TargetFault::BreaksOff;
    }

    RequestModel& m_model;
    std::atomic<TargetFault> m_fault { TargetFault::None };
    test::RawTarget m_target;
};

} // namespace buckthorncroft::soak
