#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "standin/http_server.h"

/// \file upstream.h
/// A test double ("stand-in") of an upstream: an HTTP server that simulates a
/// queue with a number of slots, random service times, and faults on request.
///
/// A request waits in order of arrival for a free slot, occupies it for the
/// service time and is then answered. The reply's body names the request (its
/// id, path, body size, and the node's fields), so that a caller can verify
/// that the reply is its own, and ends with `END`, so that it can verify that
/// the reply is complete. The id of a request is its `X-Load-Id` field.
///
/// Query parameters that control one request:
/// - `sleep_ms=N`: service time instead of a random one;
/// - `size=N`: the reply's body is padded to N bytes, and `END` follows;
/// - `fail=NAME`: a fault or an unusual reply, see `FailureMode` in
///   upstream.cpp;
/// - `cut=N`: only the first N bytes of the reply (head included) are sent;
///   then the connection is closed;
/// - `pace=half` or `pace=head`: the reply is interrupted for `pause_ms` (by
///   default 300) in the middle of its body, or after its head.
///
/// `/health` answers 200 at once. While draining, replies with status 200, also
/// to `/health`, carry `Yuccamast-Upstream-Leaving`; those to `fail` do not.
/// While it limits its rate, they carry `Yuccamast-Upstream-Rate-Limit`. While
/// it is cold, those to `/health` carry `Yuccamast-Upstream-Cold-Ms`.
///
/// Control pages:
/// - `/_standin/set` changes the upstream as a whole: `slow_percent=N` (service
///   times in percent of normal), `draining=0|1` (announces that it is
///   leaving), `shedding=0|1` (answers all requests as `fail=shed`),
///   `fail_share=N` (this percentage of requests, at random, fails at once with
///   status 500), `rate_limit=N` (announces that it takes N requests a second;
///   0: none), `cold_ms=N` (is cold for so long from now on, which changes no
///   service times) and resets the counts of the busiest windows;
/// - `/_standin/ledger` returns how often each request id ran, as lines `ID N`;
/// - `/_standin/state` (as `/_standin/set` and any other path that begins with
///   `/_standin/`) returns the counts in text lines.

namespace yuccamast::standin {

struct UpstreamOptions {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  unsigned slots = 10;    ///< Requests that run at the same time.
  double service_ms = 5;  ///< Mean service time.
  /// For this many milliseconds after the start, service times are multiplied
  /// by `cold_factor`.
  unsigned cold_ms = 0;
  double cold_factor = 4;
  std::uint64_t seed = 1;  ///< Of service times and random failures.
};

/// Runs on one io_context, on one thread, and must outlive its run.
class UpstreamStandIn {
 public:
  /// Binds and listens. Throws boost::system::system_error if that fails.
  UpstreamStandIn(asio::io_context& io, UpstreamOptions options);

 private:
  /// A request that waits for a slot or runs.
  struct Job {
    Request request;
    ReplyCallback respond;
    std::shared_ptr<bool> cancelled;  ///< The caller closed the connection.
  };

  void Handle(const Request& request,
              ReplyCallback respond,
              std::function<void()>* on_disconnect);
  void HandleControl(const Request& request, const ReplyCallback& respond);
  /// Runs queued jobs while there are free slots; skips cancelled ones.
  void StartQueuedJobs();
  void Run(const std::shared_ptr<Job>& job);
  /// Frees the slot, also of a job that was cancelled while it ran.
  void Finish(const std::shared_ptr<Job>& job);
  std::chrono::microseconds ServiceTime(const Request& request);
  RawReply BuildReply(const Request& request);
  /// Field lines that announce that the upstream is leaving or limits its rate.
  std::string StateFields() const;
  /// Field line with the remaining cold time; empty if it is not cold.
  std::string ColdField() const;
  /// Whether it is cold as `cold_ms` of the control page says.
  bool IsCold(std::chrono::steady_clock::time_point now) const {
    return now < m_cold_until;
  }
  /// Counts an arrival in the sliding windows.
  void CountArrival();
  std::string FormatLedger() const;
  std::string FormatState() const;

  asio::io_context& m_io;
  const UpstreamOptions m_options;
  const std::chrono::steady_clock::time_point m_started_at;
  std::mt19937_64 m_random;
  std::deque<std::shared_ptr<Job>> m_queue;  ///< Jobs that wait for a slot.
  unsigned m_running = 0;
  unsigned m_peak_running = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_cancelled = 0;
  std::uint64_t m_paced = 0;  ///< Replies with `pace`, when they begin.
  double m_slow_factor = 1;
  bool m_draining = false;
  bool m_shedding = false;
  long m_fail_percent = 0;  ///< Percentage, set by `fail_share`.
  long m_rate_limit = 0;    ///< Requests a second; 0: none.
  /// Arrivals of the last `kArrivalWindow`, and the most there ever were.
  std::deque<std::chrono::steady_clock::time_point> m_arrivals;
  std::size_t m_busiest_window = 0;
  std::chrono::steady_clock::time_point m_cold_until{};
  /// Arrivals of the last second in which it was cold, and the most.
  std::deque<std::chrono::steady_clock::time_point> m_cold_arrivals;
  std::size_t m_busiest_cold_second = 0;
  /// Runs by request id. A request is counted on arrival unless it is shed, so
  /// that one that is cancelled while it waits counts as a run, too.
  std::map<std::string, unsigned> m_ledger;
  HttpServer m_server;
};

/// Runs `yuccamast-standin upstream` until it is killed. `argv[0]` is the name
/// of the command. Returns the exit code.
int RunUpstream(int argc, char** argv);

}  // namespace yuccamast::standin
