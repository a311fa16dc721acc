#pragma once

#include <functional>
#include <memory>
#include <string>

#include "link/session.h"

/// \file client.h
/// The entry's end of an inner connection.

namespace yuccamast {

/// What became of a message that was sent on a stream.
enum class StreamOutcome : std::uint8_t {
  kAnswered,      ///< The whole answer is at hand.
  kNotProcessed,  ///< Proof that the peer never acted on the message.
  kLost,          ///< Nothing is known.
};

/// Receives the outcome exactly once, unless the stream was cancelled.
using AnswerHook = std::function<void(StreamOutcome, std::string)>;

/// Client end. Use from the thread of its io_context only.
class LinkClient final : public LinkSession {
 public:
  using ClosedHook = std::function<void()>;

  LinkClient(tcp::socket socket, const LinkOptions& options)
      : LinkSession(std::move(socket), options, true) {}

  /// Starts the session. `on_change` is called when the session turned
  /// suspect, received GOAWAY or closed.
  void Run(ClosedHook on_change);

  /// Calls `on_heard` when something is received next.
  void NotifyOnNextReceive(ClosedHook on_heard) {
    m_on_heard = std::move(on_heard);
  }

  /// Sends a whole message. Returns the stream's id, or a negative number if
  /// no stream can be opened; `on_answer` is then not called.
  std::int32_t Send(LinkPath path, std::string bytes, AnswerHook on_answer);

  /// Gives up a stream. Its hook is not called any more. True is proof that
  /// the peer cannot have the whole message, and so will never act on it.
  bool Cancel(std::int32_t id);

  /// Whether new streams may be opened.
  bool usable() const { return !closed() && !suspect() && !m_going_away; }

 private:
  void OnMessage(std::int32_t id, Stream& stream) override;
  void OnStreamEnd(std::int32_t id,
                   Stream& stream,
                   std::uint32_t error) override;
  void OnClosed() override;
  void OnSuspect() override;
  void OnGoAway() override;
  void OnHeard() override;
  void Finish(std::int32_t id, StreamOutcome outcome, std::string bytes);

  std::map<std::int32_t, AnswerHook> m_hooks;
  ClosedHook m_on_change;
  ClosedHook m_on_heard;
  bool m_going_away = false;
};

}  // namespace yuccamast
