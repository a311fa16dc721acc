#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/http_server.h"

/// \file platform.h
/// A test double ("stand-in") of the platform: the configuration service and
/// the VM list.
///
/// Paths that the nodes read:
/// - `GET /v1/config?after=N&wait_ms=M` is a long poll. It returns the newest
///   configuration at once if its revision is above N; otherwise it waits up to
///   M milliseconds for one and then returns an empty body.
/// - `GET /v1/vms` returns the VM list.
///
/// Paths by which tests control it; each answers with the numbers of requests
/// to the paths above in text lines (`config N` and `vms N`, both without those
/// that `down` resets, and for each second of the steady clock in which a
/// request arrived `second S N`, with those):
/// - `/_standin/publish` with a published configuration as the body stores it
///   under its revision and answers the pending polls whose N is below the
///   revision that is now served. A body that cannot be parsed is stored, too,
///   under the next revision (there must be an earlier one), to test that nodes
///   refuse it.
/// - `/_standin/vms` replaces the VM list by the body, unchecked.
/// - `/_standin/set?down=1` resets the connection of each further request, so
///   that the platform is unreachable for the nodes; `down=0` ends this.
/// - `/_standin/set?serve=REV` makes the service stale: it answers with this
///   revision (the oldest one, if REV is unknown) at once, whatever N is;
///   `serve=0` ends this. At least one revision must have been published.
/// - `/_standin/set?split=1` answers configuration polls at once, whatever N
///   is, and every second one with the oldest revision, so that readers see
///   different ones; `split=0` ends this.
/// - `/_standin/calls` changes nothing.

namespace yuccamast::standin {

struct PlatformOptions {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  /// Folder of configuration files that is published as revision 1, if given.
  std::string config_folder;
  /// File with the first VM list, if given.
  std::string vm_list_file;
};

/// Runs on one io_context, on one thread, and must outlive its run.
class PlatformStandIn {
 public:
  /// Binds and listens. Throws boost::system::system_error if that fails. A
  /// configuration folder that cannot be read is ignored; a VM list file that
  /// cannot be read counts as empty text.
  PlatformStandIn(asio::io_context& io, const PlatformOptions& options);

 private:
  /// A long poll that waits for a newer configuration or its timeout.
  struct PendingPoll {
    std::uint64_t after = 0;  ///< Newest revision that the node has.
    ReplyCallback respond;
    std::shared_ptr<asio::steady_timer> timer;
    bool answered = false;
  };

  void Handle(const Request& request, const ReplyCallback& respond);
  void GetConfig(const Request& request, const ReplyCallback& respond);
  void HandleControl(const Request& request, const ReplyCallback& respond);
  void Publish(const std::string& text);
  void AnswerPendingPolls();
  /// Revision that a poll gets now; 0 if nothing is published.
  std::uint64_t ServedRevision();
  std::string FormatRequestCounts() const;

  asio::io_context& m_io;
  std::map<std::uint64_t, std::string> m_revisions;  ///< Text by revision.
  std::string m_vm_list = R"({"revision":0,"vms":[]})";
  std::deque<std::shared_ptr<PendingPoll>> m_pending_polls;
  bool m_down = false;
  bool m_split = false;
  std::uint64_t m_stale_revision = 0;  ///< Set by `serve`; 0: not stale.
  std::uint64_t m_config_requests = 0;
  std::uint64_t m_vm_list_requests = 0;
  /// By second of the steady clock; includes those reset while down.
  std::map<long, std::uint64_t> m_requests_by_second;
  HttpServer m_server;
};

/// Runs `yuccamast-standin platform` until it is killed. `argv[0]` is the name
/// of the command. Returns the exit code.
int RunPlatform(int argc, char** argv);

}  // namespace yuccamast::standin
