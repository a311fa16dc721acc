#pragma once

#include <functional>
#include <memory>
#include <string>

#include "link/session.h"

/// \file server.h
/// The exit's end of an inner connection.

namespace yuccamast {

class LinkServer;

/// Answers one stream, at most once. Copyable; may outlive the connection.
class StreamResponder {
 public:
  StreamResponder(std::weak_ptr<LinkServer> server, std::int32_t id)
      : m_server(std::move(server)), m_id(id) {}

  /// Sends the whole answer. Nothing happens if the stream is over.
  void Answer(std::string bytes) const;

  /// Refuses the stream with the proof that it was not processed.
  void Refuse() const;

  /// Whether the peer still waits for the answer.
  bool open() const;

 private:
  std::weak_ptr<LinkServer> m_server;
  std::int32_t m_id;
};

/// What the owner of a server end is told. All hooks run on its thread.
struct LinkServerHooks {
  /// A whole message arrived. `key` identifies the stream in `on_cancelled`.
  std::function<
      void(LinkPath, std::string bytes, StreamResponder, std::uint64_t key)>
      on_message;
  /// The peer gave the stream up, or its connection was lost.
  std::function<void(std::uint64_t key)> on_cancelled;
  std::function<void(LinkServer*)> on_closed;
};

/// Server end. Use from the thread of its io_context only.
class LinkServer final : public LinkSession {
 public:
  /// `number` is unique among the owner's connections.
  LinkServer(tcp::socket socket,
             const LinkOptions& options,
             std::uint32_t number,
             LinkServerHooks hooks)
      : LinkSession(std::move(socket), options, false),
        m_number(number),
        m_hooks(std::move(hooks)) {}

  void Run() { Start(); }

  /// Announces the last stream that is processed. The peer has proof that any
  /// later one was not; it closes the connection when its streams are over.
  void Terminate();

 private:
  friend class StreamResponder;

  bool IsOpen(std::int32_t id) { return FindStream(id) != nullptr; }
  void Answer(std::int32_t id, std::string bytes);
  void Refuse(std::int32_t id);
  std::uint64_t KeyOf(std::int32_t id) const;

  void OnMessage(std::int32_t id, Stream& stream) override;
  void OnStreamEnd(std::int32_t id,
                   Stream& stream,
                   std::uint32_t error) override;
  void OnClosed() override;

  const std::uint32_t m_number;
  LinkServerHooks m_hooks;
};

}  // namespace yuccamast
