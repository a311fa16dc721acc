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
/// The exit: where peers connect to reach the upstream beside the node.

namespace yuccamast {

/// Handles a control message; the bytes returned are the answer, and nothing
/// means that the message is refused.
using ControlMessageHook =
    std::function<std::optional<std::string>(std::string bytes)>;

/// Use from the thread of its io_context only, but for the constructor.
class ExitServer {
 public:
  ExitServer(boost::asio::io_context& io,
             const NodeSettings& settings,
             FleetViewStore& store,
             Metrics& metrics,
             MemoryBudget& budget,
             std::uint64_t boot_id);

  /// Listens for peers. Throws boost::system::system_error if it cannot.
  void Listen();

  /// Handles control messages from peers; set before `Listen`.
  void SetControlHook(ControlMessageHook hook) {
    m_control_hook = std::move(hook);
  }

  /// Stops listening and tells every peer which of its offers were the last
  /// to be processed, so that later ones are proven not run.
  void Terminate();

  /// Whether every peer has closed its connection.
  bool PeersGone() const { return m_sessions.empty(); }

  /// Closes what is still open.
  void Close();

  ExitCalls& calls() { return m_calls; }
  std::size_t peers() const { return m_sessions.size(); }

 private:
  void Accept();
  void AddSession(boost::asio::ip::tcp::socket socket);
  void OnMessage(LinkPath path,
                 std::string bytes,
                 const StreamResponder& reply,
                 std::uint64_t key);

  const NodeSettings& m_settings;
  boost::asio::ip::tcp::acceptor m_acceptor;
  ControlMessageHook m_control_hook;
  std::map<LinkServer*, std::shared_ptr<LinkServer>> m_sessions;
  std::uint32_t m_session_count = 0;
  ExitCalls m_calls;
  LoadQueryServer m_answerer;
  bool m_closed = false;
};

}  // namespace yuccamast
