#include "node/exit_server.h"

#include "node/bind.h"

#include <algorithm>

namespace yuccamast {

ExitServer::ExitServer(asio::io_context& io,
                       const NodeSettings& settings,
                       FleetViewStore& view_store,
                       Metrics& metrics,
                       MemoryBudget& budget,
                       std::uint64_t boot_id)
    : m_settings(settings),
      m_acceptor(io),
      m_calls(io, settings, view_store, metrics, budget, boot_id),
      m_load_query_server(io, metrics, [this](LoadQueryServer::Done done) {
        m_calls.RequestFreshReport(std::move(done));
      }) {}

void ExitServer::Listen() {
  const tcp::endpoint endpoint(asio::ip::make_address(m_settings.ip),
                               m_settings.inner_port);
  m_acceptor.open(endpoint.protocol());
  m_acceptor.set_option(tcp::acceptor::reuse_address(true));
  BindWhenFree(m_acceptor, endpoint);
  m_acceptor.listen();
  if (m_settings.asks_load) {
    m_load_query_server.Open(
        m_settings.ip,
        static_cast<std::uint16_t>(m_settings.inner_port + kLoadPortOffset));
  }
  Accept();
  m_calls.Start();
}

void ExitServer::Accept() {
  m_acceptor.async_accept(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        if (m_closed || error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          AddSession(std::move(socket));
        }
        Accept();
      });
}

void ExitServer::AddSession(tcp::socket socket) {
  LinkServerHooks hooks;
  hooks.on_message = [this](LinkPath path, std::string bytes,
                            const StreamResponder& responder,
                            std::uint64_t stream_key) {
    OnMessage(path, std::move(bytes), responder, stream_key);
  };
  hooks.on_cancelled = [this](std::uint64_t stream_key) {
    m_calls.Cancel(stream_key);
  };
  hooks.on_closed = [this](LinkServer* session) { m_sessions.erase(session); };
  auto session = std::make_shared<LinkServer>(
      std::move(socket), m_settings.link, ++m_session_count, std::move(hooks));
  m_sessions[session.get()] = session;
  session->Run();
}

void ExitServer::OnMessage(LinkPath path,
                           std::string bytes,
                           const StreamResponder& responder,
                           std::uint64_t stream_key) {
  switch (path) {
    case LinkPath::kCall:
      m_calls.Offer(std::move(bytes), responder, stream_key);
      return;
    case LinkPath::kLoad:
      responder.Answer(Pack(m_calls.MakeReport()));
      return;
    case LinkPath::kControl:
      break;
  }
  std::optional<std::string> answer;
  if (m_control_hook) {
    answer = m_control_hook(std::move(bytes));
  }
  if (answer) {
    responder.Answer(std::move(*answer));
  } else {
    responder.Refuse();
  }
}

void ExitServer::BeginGracefulShutdown() {
  m_closed = true;
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  const auto sessions = m_sessions;
  std::ranges::for_each(
      sessions, [](const auto& item) { item.second->BeginGracefulShutdown(); });
}

void ExitServer::Close() {
  m_closed = true;
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  const auto sessions = m_sessions;
  std::ranges::for_each(sessions,
                        [](const auto& item) { item.second->Close(); });
  m_load_query_server.Close();
  m_calls.Close();
}

}  // namespace yuccamast
