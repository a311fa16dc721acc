#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/dialect.h"
#include "metrics/metrics.h"
#include "yuccamast/clock.h"

/// \file health_checker.h
/// Active health checks of the upstream beside the node.
///
/// With a health path, the checker sends `GET <path>` every period on a
/// connection of its own, which is kept open between probes. From each reply it
/// takes, by the rules of the dialect, whether the upstream is draining, its
/// name and its load, and passes them to the hooks. There is at most one probe
/// at a time.
///
/// Without a health path, draining is only known from replies to calls
/// (`OnLeavingReply`). While draining, the checker then opens a connection
/// every period: once one failed and a later one succeeded, a new process has
/// replaced the upstream, and draining ends.

namespace yuccamast {

/// Notifications to the owner, called on the checker's thread.
struct HealthCheckerHooks {
  /// The upstream began or ceased to drain.
  std::function<void(bool draining)> on_draining_changed;
  /// A complete reply of the health page, with the load that it carried. May be
  /// empty: health and load are then not reported.
  std::function<void(const HealthStatus&, const std::optional<UpstreamLoad>&)>
      on_health;
  /// The rate limit that the same reply names, and when its probe was sent.
  /// Called after `on_health`. May be empty.
  std::function<void(const RateLimit&, TimePoint sent_at)> on_rate_limit;
  /// What the same reply states of the cold time, and when its probe was sent.
  /// Called after `on_health`. May be empty.
  std::function<void(const Result<ColdTime, ColdTimeError>&, TimePoint sent_at)>
      on_cold_time;
  /// Whether the next periodic probe may be skipped, because its result is
  /// already known by other means. May be empty: never skip.
  std::function<bool()> skip_probe;
};

/// See the file comment. Not thread-safe: used only on the thread of its
/// io_context. It must outlive its pending handlers; `dialect` and `metrics`
/// must outlive it.
class HealthChecker {
 public:
  HealthChecker(boost::asio::io_context& io,
                boost::asio::ip::tcp::endpoint endpoint,
                std::string health_path,
                Duration period,
                const Dialect& dialect,
                Metrics& metrics,
                HealthCheckerHooks hooks);
  ~HealthChecker();

  /// Starts the periodic probes; the first is after one period.
  void Start();

  /// Ends the probes for good and closes the connection.
  void Stop();

  /// Tells the checker that a reply to a call indicated a leaving upstream.
  void OnLeavingReply();

  /// Sends a probe now, out of turn, unless one is pending. Returns whether a
  /// reply may be expected soon: false when stopped, without a health path, and
  /// while a probe has been unanswered for more than 20 ms.
  bool ProbeNow();

  /// Sets the health path for the next probes; empty: without a health path,
  /// see the file comment.
  void SetHealthPath(const std::string& path);

  bool draining() const { return m_draining; }

 private:
  struct ProbeConnection;

  void ArmTimer();
  void StartProbe();
  void OnConnected(const std::shared_ptr<ProbeConnection>& connection,
                   bool connected);
  void SendProbe(const std::shared_ptr<ProbeConnection>& connection);
  void ReadHead(const std::shared_ptr<ProbeConnection>& connection);
  void ReadBody(const std::shared_ptr<ProbeConnection>& connection);
  void OnReply(const std::shared_ptr<ProbeConnection>& connection,
               bool complete);
  void SetDraining(bool draining);

  boost::asio::io_context& m_io;
  const boost::asio::ip::tcp::endpoint m_endpoint;
  std::string m_health_path;
  const Duration m_period;
  const Dialect& m_dialect;
  Metrics& m_metrics;
  const HealthCheckerHooks m_hooks;
  boost::asio::steady_timer m_timer;
  TimePoint m_probe_sent_at{};
  std::shared_ptr<ProbeConnection> m_connection;  ///< Null if none is open.
  bool m_draining = false;
  bool m_connect_failed = false;  ///< A connect attempt failed, see above.
  bool m_started = false;
  TimePoint m_leaving_reply_at{};  ///< See `OnLeavingReply`.
  bool m_stopped = false;
};

}  // namespace yuccamast
