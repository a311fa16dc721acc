#pragma once

#include <functional>
#include <memory>
#include <string>

#include "link/session.h"

/// \file server.h
/// The exit's end of a connection between nodes (HTTP/2 server).
///
/// `LinkServer` passes each complete message to its owner with a
/// `StreamResponder`, by which the owner answers or refuses that stream, at any
/// later time. A message whose path is not a `LinkPath` is refused without
/// asking the owner. It reports streams that end before their answer is sent.
/// See `LinkSession` for failure detection and threads.

namespace yuccamast {

class LinkServer;

/// Handle to answer one stream, at most once. Copyable; may outlive the
/// connection. Used only on the connection's thread.
class StreamResponder {
 public:
  StreamResponder(std::weak_ptr<LinkServer> server, std::int32_t id)
      : m_server(std::move(server)), m_id(id) {}

  /// Sends the complete answer. Does nothing if the stream is closed.
  void Answer(std::string bytes) const;

  /// Resets the stream with REFUSED_STREAM, by which the exit states that it
  /// did not process the message. Does nothing if the stream is closed.
  void Refuse() const;

  /// Whether the stream is open: the answer is not completely sent yet.
  bool open() const;

 private:
  std::weak_ptr<LinkServer> m_server;
  std::int32_t m_id;
};

/// Notifications to the owner, called on the connection's thread.
struct LinkServerHooks {
  /// A complete message was received. `key` identifies its stream in
  /// `on_cancelled`, among all connections of the owner.
  std::function<
      void(LinkPath, std::string bytes, StreamResponder, std::uint64_t key)>
      on_message;
  /// The stream was closed before its answer was completely sent: the peer
  /// reset it, the exit refused it, or the connection was closed. Also called
  /// for a message refused for its path, which `on_message` did not get.
  std::function<void(std::uint64_t key)> on_cancelled;
  /// Called once. May be empty.
  std::function<void(LinkServer*)> on_closed;
};

/// Server end. Not thread-safe: used only on the thread of its io_context.
class LinkServer final : public LinkSession {
 public:
  /// `connection_number` must be unique among the owner's connections; stream
  /// keys are made of it.
  LinkServer(tcp::socket socket,
             const LinkOptions& options,
             std::uint32_t connection_number,
             LinkServerHooks hooks)
      : LinkSession(std::move(socket), options, false),
        m_connection_number(connection_number),
        m_hooks(std::move(hooks)) {}

  /// Starts the session; call once, on a connected socket.
  void Run() { Start(); }

  /// Graceful shutdown: sends GOAWAY with the id of the last stream that was
  /// processed, so that the peer knows that later ones were not. Open streams
  /// are still answered; the peer closes the connection after the last one.
  void BeginGracefulShutdown();

 private:
  friend class StreamResponder;

  bool IsOpen(std::int32_t id) { return FindStream(id) != nullptr; }
  void Answer(std::int32_t id, std::string bytes);
  void Refuse(std::int32_t id);
  std::uint64_t StreamKey(std::int32_t id) const;

  void OnMessage(std::int32_t id, Stream& stream) override;
  void OnStreamEnd(std::int32_t id,
                   Stream& stream,
                   std::uint32_t error) override;
  void OnClosed() override;

  const std::uint32_t m_connection_number;
  LinkServerHooks m_hooks;
};

}  // namespace yuccamast
