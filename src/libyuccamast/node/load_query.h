#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "metrics/metrics.h"
#include "yuccamast/balance/load_report.h"
#include "yuccamast/balance/upstream_state.h"
#include "yuccamast/clock.h"

/// \file load_query.h
/// Queries exits for their current load by UDP just before an upstream is
/// chosen (synchronous load probing).
///
/// Load changes within milliseconds and a round trip takes one or two, so a
/// report queried now is far more accurate than one that came with an earlier
/// answer. `LoadQueryClient` sends one msgpack datagram to each exit of a
/// query round; `LoadQueryServer` answers each with a `LoadReport`. The cost
/// per call does not grow with the fleet: only a few candidates are queried.
///
/// Datagrams are not repeated. A round ends when every awaited exit has
/// answered or its time limit is over. Answers that arrive later only tell how
/// long the exit takes to answer, by which callers set the next limit.
/// An exit that left several queries in a row unanswered
/// (`UpstreamState::unresponsive`) is queried but not awaited, and unanswered
/// queries raise its estimated cost in the choice.

namespace yuccamast {

/// Offset of an exit's UDP port for load queries from its inner port.
inline constexpr std::uint16_t kLoadPortOffset = 1;

/// One exit to query.
struct LoadQueryTarget {
  boost::asio::ip::udp::endpoint exit;
  std::shared_ptr<UpstreamState> state;  ///< Receives the report.
};

/// The entry's side. Use from the thread of its io_context only. Handlers refer
/// to it, so the io_context must have stopped before it is destroyed.
class LoadQueryClient {
 public:
  LoadQueryClient(boost::asio::io_context& io, Metrics& metrics);

  /// Binds to a free port of `ip` and starts to receive. Call once. Throws
  /// boost::system::system_error if there is none or `ip` is no address.
  void Open(const std::string& ip);
  /// Stops receiving; rounds in progress end at their time limit.
  void Close();

  /// Queries each target and calls `done` once: when all awaited targets have
  /// answered, or after `limit`. Reports are passed to the targets' states as
  /// they arrive. `done` may run before this returns, if no target is awaited.
  /// Precondition: `Open` was called.
  void Query(const std::vector<LoadQueryTarget>& targets,
             Duration limit,
             std::function<void()> done);

 private:
  struct Round;

  void StartReceive();
  void OnDatagram(std::size_t size);
  void Finish(const std::shared_ptr<Round>& round);

  boost::asio::io_context& m_io;
  Metrics& m_metrics;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_sender;
  std::array<char, 512> m_buffer{};  ///< One datagram.
  std::map<std::uint64_t, std::weak_ptr<Round>> m_rounds;
  std::uint64_t m_last_round = 0;
};

/// The exit's side. Use from the thread of its io_context only; the io_context
/// must have stopped before it is destroyed.
class LoadQueryServer {
 public:
  using Done = std::function<void(const LoadReport&)>;
  /// Passes a current report to `Done`, at once or within a few milliseconds.
  using ReportHook = std::function<void(Done)>;

  LoadQueryServer(boost::asio::io_context& io,
                  Metrics& metrics,
                  ReportHook report);

  /// Binds to the port and starts to answer. Call once. Throws
  /// boost::system::system_error if the port is taken or `ip` is no address.
  void Open(const std::string& ip, std::uint16_t port);
  /// Stops answering.
  void Close();

 private:
  void StartReceive();
  void OnDatagram(std::size_t size);

  Metrics& m_metrics;
  const ReportHook m_get_report;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_sender;
  std::array<char, 512> m_buffer{};  ///< One datagram.
};

}  // namespace yuccamast
