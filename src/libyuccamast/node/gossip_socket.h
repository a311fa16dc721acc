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
///
/// A datagram is one `GossipMessage`, packed by msgpack, with a MAC at its end
/// if there is a shared key (message_mac.h). A received datagram is dropped,
/// and counted as refused, if its MAC is wrong, its sender's address is not
/// accepted or it is malformed. Delivery is not guaranteed; `Membership`
/// tolerates loss.

namespace yuccamast {

/// Maximum size of a datagram in bytes. A longer one is truncated on receipt
/// and then refused.
inline constexpr std::size_t kMaxDatagramBytes = 8192;

/// Use from the thread of its io_context only. Hooks are called there.
class GossipSocket {
 public:
  /// Called for each well-formed, authentic message of an accepted sender.
  using ReceiveHook = std::function<void(const GossipMessage&)>;
  /// Whether messages from this address are accepted.
  using SenderFilter = std::function<bool(const std::string& ip)>;

  GossipSocket(boost::asio::io_context& io,
               const NodeSettings& settings,
               Metrics& metrics);

  /// Binds the inner port and starts to receive. Call once. Throws
  /// boost::system::system_error if the port is not free.
  void Start(SenderFilter sender_filter, ReceiveHook receive);

  /// Sends a message, or drops it if `ip` is no address, the socket is closed
  /// or sending fails. Blocks while the send buffer of the socket is full.
  void Send(const std::string& ip,
            std::uint16_t port,
            const GossipMessage& message);

  /// Stops receiving and sending.
  void Close();

 private:
  void StartReceive();
  void OnDatagram(std::size_t size);

  const NodeSettings& m_settings;
  Metrics& m_metrics;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_sender;  ///< Of the last datagram.
  std::array<char, kMaxDatagramBytes> m_buffer{};
  SenderFilter m_sender_filter;
  ReceiveHook m_receive;
};

}  // namespace yuccamast
