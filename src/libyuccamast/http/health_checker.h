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
/// Asks the upstream beside the node how it is, on a connection of its own.
///
/// With a health path, the watch asks for it every period; what the reply says
/// of draining, of the upstream's name and of its load goes to the hooks. The
/// connection is kept between questions. Without a path only the signs on
/// replies to calls are known, and a draining upstream counts as back once its
/// port refused a connection and then accepted one again, which means that
/// another process has taken its place.

namespace yuccamast {

/// What the owner is told; called on the watch's thread.
struct HealthCheckerHooks {
  /// `draining` changed.
  std::function<void(bool draining)> on_draining_changed;
  /// A reply of the health page, with the load that it carried.
  std::function<void(const HealthStatus&, const std::optional<UpstreamLoad>&)>
      on_health;
  /// Whether there is nothing to learn now; empty: never.
  std::function<bool()> skip_probe;
};

/// Use from the thread of its io_context only.
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

  /// Starts to look at the upstream now and then.
  void Start();
  void Stop();

  /// A reply to a call carried the sign.
  void OnLeavingReply();

  /// Asks the health page now, out of turn. Whether an answer may come: false
  /// without a path, and while a question has had none for long.
  bool ProbeNow();

  /// The path to ask from now on; empty: none.
  void SetHealthPath(const std::string& path) { m_health_path = path; }

  bool draining() const { return m_draining; }

 private:
  struct Page;

  void ArmTimer();
  void LookNow();
  void OnConnected(const std::shared_ptr<Page>& page, bool connected);
  void Ask(const std::shared_ptr<Page>& page);
  void OnReply(const std::shared_ptr<Page>& page, bool whole);
  void Set(bool draining);

  boost::asio::io_context& m_io;
  const boost::asio::ip::tcp::endpoint m_endpoint;
  std::string m_health_path;
  const Duration m_period;
  const Dialect& m_dialect;
  Metrics& m_metrics;
  const HealthCheckerHooks m_hooks;
  boost::asio::steady_timer m_timer;
  TimePoint m_asked_at{};
  std::shared_ptr<Page> m_page;  ///< The kept connection, if there is one.
  bool m_draining = false;
  bool m_was_down = false;
  bool m_stopped = false;
};

}  // namespace yuccamast
