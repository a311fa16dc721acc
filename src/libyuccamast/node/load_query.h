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
/// Asks exits how busy they are, by datagram, just before a choice.
///
/// Load shifts in milliseconds and a round trip is one or two, so a report
/// asked for now is worth far more than one that came with an earlier answer.
/// The cost does not grow with the fleet: a question goes to the few
/// candidates of one call. An exit that does not answer in time is not waited
/// for; that it was silent counts against it in the choice.

namespace yuccamast {

/// An exit answers at its inner port and this.
inline constexpr std::uint16_t kLoadPortOffset = 1;

/// One exit to ask.
struct LoadQueryTarget {
  boost::asio::ip::udp::endpoint exit;
  std::shared_ptr<UpstreamState> state;
};

/// The entry's end. Use from the thread of its io_context only.
class LoadQueryClient {
 public:
  LoadQueryClient(boost::asio::io_context& io, Metrics& metrics);

  /// Binds to a free port of `ip`. Throws if there is none.
  void Open(const std::string& ip);
  void Close();

  /// Asks each target and calls `done` when all have answered, or `limit`
  /// after now. Targets that were silent lately are asked but not waited for.
  /// `done` may run before this returns.
  void Ask(const std::vector<LoadQueryTarget>& targets,
           Duration limit,
           std::function<void()> done);

 private:
  struct Round;

  void Receive();
  void OnDatagram(std::size_t size);
  void Finish(const std::shared_ptr<Round>& round);

  boost::asio::io_context& m_io;
  Metrics& m_metrics;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_from;
  std::array<char, 512> m_buffer{};
  std::map<std::uint64_t, std::weak_ptr<Round>> m_rounds;
  std::uint64_t m_last_round = 0;
};

/// The exit's end. Use from the thread of its io_context only.
class LoadQueryServer {
 public:
  using Done = std::function<void(const LoadReport&)>;
  /// Gives the report to `Done`, now or within a few milliseconds.
  using ReportHook = std::function<void(Done)>;

  LoadQueryServer(boost::asio::io_context& io,
                  Metrics& metrics,
                  ReportHook report);

  /// Binds and answers from now on. Throws if the port is taken.
  void Open(const std::string& ip, std::uint16_t port);
  void Close();

 private:
  void Receive();
  void OnDatagram(std::size_t size);

  Metrics& m_metrics;
  const ReportHook m_report;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_from;
  std::array<char, 512> m_buffer{};
};

}  // namespace yuccamast
