#pragma once

#include "../http/asio.h"
#include "peer_traffic.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <buckthorncroft/base/error.h>
#include <buckthorncroft/daemon/settings.h>
#include <buckthorncroft/wire/placement.pb.h>
#include <functional>
#include <string>

namespace buckthorncroft::gateway {

using udp = http::asio::ip::udp;

/// UDP socket that exchanges protobuf datagrams with other instances. Delivery is not guaranteed. Belongs to the thread
/// that runs the context.
class PeerChannel {
public:
    using Receiver = std::function<void(const wire::proto::PeerDatagram&, const udp::endpoint&)>;

    explicit PeerChannel(http::asio::io_context& io);
    virtual ~PeerChannel() = default;
    PeerChannel(const PeerChannel&) = delete;
    PeerChannel& operator=(const PeerChannel&) = delete;

    /// Binds the socket to `address`. Errors: `Unavailable`.
    base::Result<void> open(const daemon::Endpoint& address);

    /// Calls `receiver` with each datagram and its source address until `close`. Malformed datagrams, and those for
    /// which `receiver` throws, are counted and dropped.
    void startReceiving(Receiver receiver);

    /// Sends without blocking. A datagram that cannot be sent is counted and dropped.
    virtual void send(const wire::proto::PeerDatagram& datagram, const udp::endpoint& to);

    void close();

    std::uint64_t malformedCount() const { return m_malformedCount; }
    std::uint64_t unsentCount() const { return m_unsentCount; }
    PeerTraffic& sent() { return m_sent; }
    PeerTraffic& received() { return m_received; }

private:
    void receiveNext();
    bool deliver(std::size_t size);

    udp::socket m_socket;
    std::array<char, 65536> m_buffer;
    udp::endpoint m_sender;
    Receiver m_receiver;
    std::string m_encoded; ///< Send buffer; a member so that its memory is reused.
    PeerTraffic m_sent;
    PeerTraffic m_received;
    std::uint64_t m_malformedCount = 0;
    std::uint64_t m_unsentCount = 0;
};

} // namespace buckthorncroft::gateway
