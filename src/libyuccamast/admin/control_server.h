#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file control_server.h
/// The operators' HTTP address of a process, by cxxtools::http::Server.
///
/// It has its own threads and event loop, apart from the threads that carry
/// calls, so it answers while those are busy.

namespace yuccamast {

/// What a handler returns.
struct ControlReply {
  unsigned status = 200;
  std::string content_type = "text/plain";
  std::string body;
};

/// Answers GET requests; called from several threads at once.
using ControlHandler = std::function<ControlReply(const std::string& path)>;

/// Serves from construction to destruction.
class ControlServer {
 public:
  /// Throws std::exception if the address cannot be listened on.
  /// Listens on each of `ports` that is not 0.
  ControlServer(const std::string& ip,
                const std::vector<std::uint16_t>& ports,
                ControlHandler handler);
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace yuccamast
