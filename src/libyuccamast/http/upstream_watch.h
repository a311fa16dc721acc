#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "yuccamast/clock.h"

/// \file upstream_watch.h
/// Notices that the upstream beside the node drains, and that it is back.
///
/// The sign of draining is the `Yuccamast-Upstream-Leaving` field on any reply.
/// With a health path, the watch asks for it every period and follows the
/// field on its replies both ways. Without one, a draining upstream counts as
/// back once its port refused a connection and then accepted one again, which
/// means that another process has taken its place.

namespace yuccamast {

/// Use from the thread of its io_context only.
class UpstreamWatch {
 public:
  using ChangeHook = std::function<void(bool draining)>;

  UpstreamWatch(boost::asio::io_context& io,
                boost::asio::ip::tcp::endpoint endpoint,
                std::string health_path,
                ChangeHook on_change);

  /// Starts to look at the upstream now and then.
  void Start();
  void Stop();

  /// A reply to a call carried the sign.
  void OnSign();

  bool draining() const { return m_draining; }

 private:
  struct Look;

  void ArmTimer();
  void LookNow();
  void OnConnected(const std::shared_ptr<Look>& look, bool connected);
  void Ask(const std::shared_ptr<Look>& look);
  void Set(bool draining);

  boost::asio::io_context& m_io;
  const boost::asio::ip::tcp::endpoint m_endpoint;
  const std::string m_health_path;
  const ChangeHook m_on_change;
  boost::asio::steady_timer m_timer;
  bool m_draining = false;
  bool m_was_down = false;
  bool m_stopped = false;
};

}  // namespace yuccamast
