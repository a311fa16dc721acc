#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "link/server.h"
#include "node/exit_calls.h"
#include "node/load_query.h"
#include "node/settings.h"

/// \file exit_server.h
/// Accepts peers' inner connections and dispatches their messages.
///
/// The server listens on the inner port (TCP) and keeps one `LinkServer`, an
/// HTTP/2 session, for each connected peer. It dispatches whole messages by the
/// path of their stream: offers of calls go to `ExitCalls`, control messages to
/// the control hook, and load requests are answered with a `LoadReport`. With
/// `asks_load`, a `LoadQueryServer` also answers load queries by UDP, at the
/// inner port plus `kLoadPortOffset`.

namespace yuccamast {

/// Handles a control message. Returns the bytes of the answer, or nothing to
/// refuse the message.
using ControlMessageHook =
    std::function<std::optional<std::string>(std::string bytes)>;

/// The listening side of an exit. Use from the thread of its io_context only;
/// before that thread runs, any one thread may construct it, set it up and call
/// `Listen`.
class ExitServer {
 public:
  /// The references must outlive the object. `boot_id` identifies this run of
  /// the process in load reports.
  ExitServer(boost::asio::io_context& io,
             const NodeSettings& settings,
             FleetViewStore& view_store,
             Metrics& metrics,
             MemoryBudget& budget,
             std::uint64_t boot_id);

  /// Starts to accept peers and starts `calls()`. Throws
  /// boost::system::system_error if an address is invalid or not free.
  void Listen();

  /// Sets the handler of peers' control messages; set before `Listen`. Without
  /// one, they are refused.
  void SetControlHook(ControlMessageHook hook) {
    m_control_hook = std::move(hook);
  }

  /// Stops listening and sends every peer an HTTP/2 GOAWAY with the id of the
  /// last stream that was processed, which proves that later offers were not
  /// run. Does not wait: open streams are still answered, and each peer closes
  /// its connection after the last one; see `PeersGone`.
  void BeginGracefulShutdown();

  /// Whether every peer has closed its connection.
  bool PeersGone() const { return m_sessions.empty(); }

  /// Closes the listening socket, all connections and `calls()`.
  void Close();

  ExitCalls& calls() { return m_calls; }

  /// Number of open connections of peers.
  std::size_t peers() const { return m_sessions.size(); }

 private:
  void Accept();
  void AddSession(boost::asio::ip::tcp::socket socket);
  void OnMessage(LinkPath path,
                 std::string bytes,
                 const StreamResponder& responder,
                 std::uint64_t stream_key);

  const NodeSettings& m_settings;
  boost::asio::ip::tcp::acceptor m_acceptor;
  ControlMessageHook m_control_hook;
  std::map<LinkServer*, std::shared_ptr<LinkServer>> m_sessions;
  std::uint32_t m_session_count = 0;  ///< Sessions so far; numbers them.
  ExitCalls m_calls;
  LoadQueryServer m_load_query_server;
  bool m_closed = false;  ///< No more connections are accepted.
};

}  // namespace yuccamast
