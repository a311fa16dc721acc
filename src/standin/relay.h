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
/// A TCP and UDP proxy for tests that injects network faults between two
/// processes.
///
/// For each connection that a client opens to `port`, the relay opens one to
/// `target_port` of the same address and forwards bytes both ways. Datagrams
/// that arrive at `port` are forwarded to the target, not back. When either end
/// closes, both are closed after the delayed bytes are delivered; held bytes
/// are lost. Connections in silent mode stay open until they are reset.
///
/// Control port:
/// - `/_standin/set?delay_us=N` delays all bytes and datagrams by N us.
/// - `/_standin/set?rate=BYTES` throttles: a chunk of n bytes (at most 16384)
///   is delayed by n / BYTES seconds more; 0 ends this. Chunks are delayed from
///   their arrival, each by itself, so a burst can exceed the rate.
/// - `/_standin/set?mode=MODE` sets what is dropped (without closing), see
///   `RelayMode`; MODE is one of `pass`, `silent`, `black`, `half`.
/// - `/_standin/set?hold_after=N` lets the next N bytes from the client to the
///   target through on each connection and holds the rest until
///   `hold_after=-1`, which sends it (unless the mode drops it).
/// - `/_standin/reset` closes all open connections by a reset (RST).
///
/// Every path answers with the number of open connections (`pairs N`) and of
/// times that a connection began to hold bytes since the last `hold_after=-1`
/// (`held N`).

namespace yuccamast::standin {

/// Which bytes the relay drops. Connections stay open in every mode.
enum class RelayMode : std::uint8_t {
  kPass,  ///< `pass`: none, but silent connections stay silent.
  /// `silent`: connections that are open when the mode is set, or at a further
  /// `set` request in this mode, drop all bytes from then on in both
  /// directions. New connections and datagrams are not affected.
  kSilent,
  kBlackhole,  ///< `black`: all, those of new connections and datagrams, too.
  kOneWay      ///< `half`: those from the client to the target; datagrams pass.
};

struct RelayOptions {
  std::string ip = "127.0.0.1";    ///< Of all three ports.
  std::uint16_t port = 0;          ///< TCP and UDP port to listen on.
  std::uint16_t target_port = 0;   ///< TCP and UDP port to forward to.
  std::uint16_t control_port = 0;  ///< HTTP port of the control pages.
  std::uint64_t delay_us = 0;      ///< One-way delay at the start.
};

class RelayPair;

/// Runs on one io_context, on one thread, and must outlive its run.
class FaultRelay {
 public:
  /// Binds and listens. Throws boost::system::system_error if that fails.
  FaultRelay(asio::io_context& io, const RelayOptions& options);

  RelayMode mode() const { return m_mode; }
  /// One-way delay in microseconds.
  std::uint64_t delay_us() const { return m_delay_us; }
  /// Bytes a second; 0: not throttled.
  std::uint64_t rate() const { return m_rate; }
  /// Bytes from the client to the target that pass on each connection before
  /// the rest is held; negative: all.
  std::int64_t hold_after() const { return m_hold_after; }
  /// Counts a connection that begins to hold bytes.
  void CountHeldConnection() { ++m_held_connections; }
  /// Removes a connection that was closed.
  void RemovePair(const std::shared_ptr<RelayPair>& pair) {
    m_pairs.erase(pair);
  }

 private:
  void Accept();
  void ReceiveDatagram();
  void ForwardDatagram(std::size_t size);
  void HandleControl(const Request& request, const ReplyCallback& respond);

  asio::io_context& m_io;
  const RelayOptions m_options;
  tcp::acceptor m_acceptor;
  asio::ip::udp::socket m_udp_socket;
  asio::ip::udp::endpoint m_datagram_sender;  ///< Required by asio; not used.
  std::array<char, 16384> m_datagram_buffer{};
  std::set<std::shared_ptr<RelayPair>> m_pairs;  ///< Open connections.
  RelayMode m_mode = RelayMode::kPass;
  std::uint64_t m_delay_us;
  std::uint64_t m_rate = 0;
  std::int64_t m_hold_after = -1;
  std::uint64_t m_held_connections = 0;
  HttpServer m_control;
};

/// Runs `yuccamast-standin relay` until it is killed. `argv[0]` is the name of
/// the command. Returns the exit code.
int RunRelay(int argc, char** argv);

}  // namespace yuccamast::standin
