#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/http_server.h"

/// \file platform.h
/// Stand-ins for the configuration service and the VM list.
///
/// `GET /v1/config?after=N&wait_ms=M` answers the newest revision beyond N,
/// or an empty body after the wait. `GET /v1/vms` answers the VM list. Both
/// count their calls. Tests drive it by `/_standin/`:
/// `publish` (body: a published configuration), `vms` (body: a VM list),
/// `set?down=1`, `set?serve=REV` (stale: answer this old revision, at once),
/// `set?split=1` (every other reader gets the oldest revision), `calls`.

namespace yuccamast::standin {

struct PlatformOptions {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  std::string folder;  ///< Published as revision 1, if given.
  std::string vms;     ///< File with the first VM list, if given.
};

/// Runs on one io_context.
class PlatformStandIn {
 public:
  PlatformStandIn(asio::io_context& io, const PlatformOptions& options);

 private:
  struct Waiting {
    std::uint64_t after = 0;
    Respond respond;
    std::shared_ptr<asio::steady_timer> timer;
    bool done = false;
  };

  void Handle(const Request& request, const Respond& respond);
  void GetConfig(const Request& request, const Respond& respond);
  void Control(const Request& request, const Respond& respond);
  void Publish(const std::string& text);
  void WakeWaiting();
  std::uint64_t Served();
  std::string CallsText() const;

  asio::io_context& m_io;
  std::map<std::uint64_t, std::string> m_revisions;
  std::string m_vms = R"({"revision":0,"vms":[]})";
  std::deque<std::shared_ptr<Waiting>> m_waiting;
  bool m_down = false;
  bool m_split = false;
  std::uint64_t m_stale = 0;
  std::uint64_t m_config_calls = 0;
  std::uint64_t m_vm_calls = 0;
  std::map<long, std::uint64_t> m_calls_by_second;
  HttpServer m_server;
};

/// Runs `yuccamast-standin platform`.
int RunPlatform(int argc, char** argv);

}  // namespace yuccamast::standin
