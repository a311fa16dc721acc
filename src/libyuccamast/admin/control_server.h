#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file control_server.h
/// HTTP server for operators: dump, status, metrics and health. Not related to
/// the control messages between nodes (`LinkPath::kControl`).
///
/// A wrapper of cxxtools::http::Server that passes the path of each GET request
/// to a handler; other methods get status 405. It has its own event loop thread
/// and 1 to 4 threads for requests, apart from the threads that carry calls, so
/// it answers while those are busy.

namespace yuccamast {

/// The reply to one request.
struct ControlReply {
  unsigned status = 200;
  std::string content_type = "text/plain";
  std::string body;
};

/// Answers a GET request for `path`. Must be thread-safe: it is called from
/// several threads at once.
using ControlHandler = std::function<ControlReply(const std::string& path)>;

/// Serves from construction to destruction.
class ControlServer {
 public:
  /// Listens on each of `ports` at `ip`; ports that are 0 are left out. Throws
  /// std::system_error with `address_in_use` if one is taken, another
  /// std::exception if it cannot be listened on for another reason.
  ControlServer(const std::string& ip,
                const std::vector<std::uint16_t>& ports,
                ControlHandler handler);
  /// Stops the event loop and waits until its thread has ended.
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace yuccamast
