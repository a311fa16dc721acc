#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <set>
#include <string>

#include "standin/http_server.h"

/// \file relay.h
/// A fault relay between two TCP ends.
///
/// It forwards bytes, and datagrams to the accepting side, and can delay them,
/// stop forwarding without closing (silence, in one or both directions), reset
/// what is open, or throttle. Its control port takes
/// `/_standin/set?delay_us=N&mode=MODE&rate=BYTES` with MODE one of `pass`,
/// `silent` (connections open now go silent for good, new ones work), `black`
/// (all are silent, also new ones), `half` (only bytes of the accepting side
/// get through), and `/_standin/reset`. `hold_after=N` lets N bytes towards the
/// accepting side through on each connection and holds the rest until
/// `hold_after=-1`; the answer counts `held` connections.

namespace yuccamast::standin {

enum class RelayMode : std::uint8_t { kPass, kSilent, kBlack, kHalf };

struct RelayOptions {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  std::uint16_t to = 0;
  std::uint16_t control = 0;
  std::uint64_t delay_us = 0;
};

class RelayPair;

/// Runs on one io_context.
class FaultRelay {
 public:
  FaultRelay(asio::io_context& io, const RelayOptions& options);

  RelayMode mode() const { return m_mode; }
  std::uint64_t delay_us() const { return m_delay_us; }
  std::uint64_t rate() const { return m_rate; }  ///< Bytes a second; 0: any.
  /// Bytes towards the accepting side that pass on each connection before the
  /// rest is held; negative: all.
  std::int64_t hold_after() const { return m_hold_after; }
  void CountHeld() { ++m_held; }
  void Forget(const std::shared_ptr<RelayPair>& pair) { m_pairs.erase(pair); }

 private:
  void Accept();
  void ReceiveDatagram();
  void ForwardDatagram(std::size_t size);
  void Control(const Request& request, const Respond& respond);

  asio::io_context& m_io;
  const RelayOptions m_options;
  tcp::acceptor m_acceptor;
  asio::ip::udp::socket m_datagrams;
  asio::ip::udp::endpoint m_datagram_from;
  std::array<char, 16384> m_datagram{};
  std::set<std::shared_ptr<RelayPair>> m_pairs;
  RelayMode m_mode = RelayMode::kPass;
  std::uint64_t m_delay_us;
  std::uint64_t m_rate = 0;
  std::int64_t m_hold_after = -1;
  std::uint64_t m_held = 0;
  HttpServer m_control;
};

/// Runs `yuccamast-standin relay`.
int RunRelay(int argc, char** argv);

}  // namespace yuccamast::standin
