#include "node/gossip_socket.h"

#include "link/message_mac.h"
#include "link/messages.h"
#include "node/bind.h"

namespace yuccamast {

using boost::asio::ip::udp;
using boost::system::error_code;

GossipSocket::GossipSocket(boost::asio::io_context& io,
                           const NodeSettings& settings,
                           Metrics& metrics)
    : m_settings(settings), m_metrics(metrics), m_socket(io) {}

void GossipSocket::Start(SenderFilter sender_filter, ReceiveHook receive) {
  m_sender_filter = std::move(sender_filter);
  m_receive = std::move(receive);
  const udp::endpoint endpoint(boost::asio::ip::make_address(m_settings.ip),
                               m_settings.inner_port);
  m_socket.open(endpoint.protocol());
  BindWhenFree(m_socket, endpoint);
  StartReceive();
}

void GossipSocket::StartReceive() {
  m_socket.async_receive_from(
      boost::asio::buffer(m_buffer), m_sender,
      [this](const error_code& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted ||
            !m_socket.is_open()) {
          return;
        }
        if (!error) {
          OnDatagram(size);
        }
        StartReceive();
      });
}

void GossipSocket::OnDatagram(std::size_t size) {
  m_metrics.Add(Counter::kControlMessagesReceived);
  m_metrics.Add(Counter::kControlBytesReceived, size);
  const auto bytes = VerifyAndStripMac(m_settings.shared_key,
                                       std::string(m_buffer.data(), size));
  const auto message = bytes && m_sender_filter(m_sender.address().to_string())
                           ? Unpack<GossipMessage>(*bytes)
                           : std::nullopt;
  if (!message) {
    m_metrics.Add(Counter::kControlMessagesRefused);
    return;
  }
  m_receive(*message);
}

void GossipSocket::Send(const std::string& ip,
                        std::uint16_t port,
                        const GossipMessage& message) {
  error_code error;
  const auto address = boost::asio::ip::make_address(ip, error);
  if (error || !m_socket.is_open()) {
    return;
  }
  const std::string bytes = AppendMac(m_settings.shared_key, Pack(message));
  m_metrics.Add(Counter::kControlMessagesSent);
  m_metrics.Add(Counter::kControlBytesSent, bytes.size());
  // An error counts as loss in the network: the message is not sent again.
  m_socket.send_to(boost::asio::buffer(bytes), {address, port}, 0, error);
}

void GossipSocket::Close() {
  error_code ignored;
  m_socket.close(ignored);
}

}  // namespace yuccamast
