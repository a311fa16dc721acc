#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>

#include "metrics/metrics.h"
#include "node/settings.h"
#include "yuccamast/membership/member.h"

/// \file gossip_socket.h
/// Sends and receives membership datagrams on the inner port (UDP).

namespace yuccamast {

/// Largest datagram that is sent or accepted, in bytes.
inline constexpr std::size_t kMaxDatagram = 8192;

/// Use from the thread of its io_context only.
class GossipSocket {
 public:
  /// Called for each well-formed, authentic message.
  using ReceiveHook = std::function<void(const GossipMessage&)>;
  /// Whether messages from this address are taken.
  using AcceptHook = std::function<bool(const std::string& ip)>;

  GossipSocket(boost::asio::io_context& io,
               const NodeSettings& settings,
               Metrics& metrics);

  /// Binds and starts to receive. Throws if the port is taken.
  void Start(AcceptHook accept, ReceiveHook receive);

  void Send(const std::string& ip,
            std::uint16_t port,
            const GossipMessage& message);
  void Close();

 private:
  void Receive();
  void OnDatagram(std::size_t size);

  const NodeSettings& m_settings;
  Metrics& m_metrics;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_from;
  std::array<char, kMaxDatagram> m_buffer{};
  AcceptHook m_accept;
  ReceiveHook m_receive;
};

}  // namespace yuccamast
