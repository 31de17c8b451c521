#include "peer_channel.h"

#include <fmt/format.h>

namespace buckthorncroft::gateway {

PeerChannel::PeerChannel(http::asio::io_context& io)
    : m_socket(io)
{
}

base::Result<void> PeerChannel::open(const daemon::Endpoint& address)
{
    http::error_code ec;
    const udp::endpoint endpoint(http::asio::ip::make_address(address.host, ec), address.port);
    if (!ec)
        m_socket.open(endpoint.protocol(), ec);
    if (!ec)
        m_socket.bind(endpoint, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec) {
        return base::Error { base::ErrorCode::Unavailable,
            fmt::format("cannot bind the UDP address {}: {}", toString(address), ec.message()) };
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void PeerChannel::startReceiving(Receiver receiver)
{
    m_receiver = std::move(receiver);
    receiveNext();
}

void PeerChannel::receiveNext()
{
    m_socket.async_receive_from(http::asio::buffer(m_buffer), m_sender, [this](http::error_code ec, std::size_t n) {
        if (ec == http::asio::error::operation_aborted || !m_socket.is_open())
            return;
        if (!ec && !deliver(n))
            ++m_malformedCount;
        receiveNext();
    });
}

bool PeerChannel::deliver(std::size_t size)
{
    wire::proto::PeerDatagram datagram;
    if (!datagram.ParseFromArray(m_buffer.data(), static_cast<int>(size)) || datagram.sender().empty())
        return false;
    m_received.record(kindOf(datagram), size);
    try {
        m_receiver(datagram, m_sender);
        return true;
    } catch (const std::exception&) {
        // An exception here would end the loop that receives the datagrams of all instances.
        return false;
    }
}

void PeerChannel::send(const wire::proto::PeerDatagram& datagram, const udp::endpoint& to)
{
    http::error_code ec;
    if (datagram.SerializeToString(&m_encoded))
        m_socket.send_to(http::asio::buffer(m_encoded), to, 0, ec);
    if (ec)
        ++m_unsentCount;
    else
        m_sent.record(kindOf(datagram), m_encoded.size());
}

void PeerChannel::close()
{
    http::error_code ec;
    m_socket.close(ec);
}

} // namespace buckthorncroft::gateway
