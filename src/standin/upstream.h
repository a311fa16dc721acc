#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "standin/http_server.h"

/// \file upstream.h
/// A stand-in for an upstream: slots, service times, and faults on request.
///
/// The query of a request directs the stand-in: `sleep_ms` (service time),
/// `size` (bytes of reply), `fail` (see upstream.cpp), `cut` (bytes of the
/// reply to send before the connection is closed). `/_standin/set?slow=5`
/// changes the stand-in as a whole, `/_standin/ledger` tells which ids ran how
/// often, `/_standin/state` its counts. An id is the `X-Load-Id` field.

namespace yuccamast::standin {

struct UpstreamOptions {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  unsigned slots = 10;
  double service_ms = 5;
  unsigned cold_ms = 0;    ///< After the start, service is slower this long.
  double cold_factor = 4;  ///< By this factor.
  std::uint64_t seed = 1;
};

/// Runs on one io_context.
class UpstreamStandIn {
 public:
  UpstreamStandIn(asio::io_context& io, UpstreamOptions options);

 private:
  struct Job {
    Request request;
    Respond respond;
    std::shared_ptr<bool> cancelled;
  };

  void Handle(const Request& request,
              Respond respond,
              std::function<void()>* gone);
  void Control(const Request& request, const Respond& respond);
  void StartJobs();
  void Run(const std::shared_ptr<Job>& job);
  void Finish(const std::shared_ptr<Job>& job);
  std::chrono::microseconds ServiceTime(const Request& request);
  RawReply BuildReply(const Request& request);
  std::string LeavingHead() const;
  std::string LedgerText() const;
  std::string StateText() const;

  asio::io_context& m_io;
  const UpstreamOptions m_options;
  const std::chrono::steady_clock::time_point m_started_at;
  std::mt19937_64 m_random;
  std::deque<std::shared_ptr<Job>> m_waiting;
  unsigned m_running = 0;
  unsigned m_peak = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_cancelled = 0;
  std::uint64_t m_paced = 0;  ///< Replies begun with a pause in them.
  double m_slow = 1;
  bool m_draining = false;
  bool m_shedding = false;
  long m_fail_share = 0;  ///< Requests in a hundred that fail fast.
  std::map<std::string, unsigned> m_ledger;
  HttpServer m_server;
};

/// Runs `yuccamast-standin upstream`.
int RunUpstream(int argc, char** argv);

}  // namespace yuccamast::standin
