#pragma once

#include <functional>
#include <memory>
#include <string>

#include "link/session.h"

/// \file client.h
/// The entry's end of a connection between nodes (HTTP/2 client).
///
/// `Send` opens a stream with one message; its hook receives one
/// `StreamOutcome`. The outcome is kNotProcessed, and the message may be sent
/// elsewhere without the risk of a second run, in two cases: the peer reset the
/// stream with REFUSED_STREAM (nghttp2 also reports this for streams above the
/// last stream id of a GOAWAY), or nghttp2 had not yet taken the last byte of
/// the message for sending, so that the peer cannot have received all of it.
/// See `LinkSession` for failure detection and threads.

namespace yuccamast {

/// Outcome of a message that was sent on a stream.
enum class StreamOutcome : std::uint8_t {
  kAnswered,      ///< The complete answer was received.
  kNotProcessed,  ///< Proven: the peer did not and will not process it.
  kLost,          ///< Unknown whether the peer processed it.
};

/// Receives the outcome, and the answer if the outcome is kAnswered. Called
/// exactly once, unless the stream was cancelled.
using AnswerHook = std::function<void(StreamOutcome, std::string)>;

/// Client end. Not thread-safe: used only on the thread of its io_context.
class LinkClient final : public LinkSession {
 public:
  using EventHook = std::function<void()>;

  LinkClient(tcp::socket socket, const LinkOptions& options)
      : LinkSession(std::move(socket), options, true) {}

  /// Starts the session; call once, on a connected socket. `on_state_change` is
  /// called when the session became suspect, received GOAWAY or was closed.
  void Run(EventHook on_state_change);

  /// Calls `on_receive` once, when bytes are received next. Replaces an earlier
  /// hook.
  void NotifyOnNextReceive(EventHook on_receive) {
    m_on_receive = std::move(on_receive);
  }

  /// Sends a complete message on a new stream. Returns the stream's id, or a
  /// negative number if no stream can be opened; `on_answer` is then not
  /// called.
  std::int32_t Send(LinkPath path, std::string bytes, AnswerHook on_answer);

  /// Resets a stream with CANCEL. Its hook is not called any more. Returns true
  /// if the message was not completely sent, which proves that the peer will
  /// never process it.
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
  void OnReceived() override;
  void Finish(std::int32_t id, StreamOutcome outcome, std::string bytes);

  std::map<std::int32_t, AnswerHook> m_hooks;
  EventHook m_on_state_change;
  EventHook m_on_receive;
  bool m_going_away = false;
};

}  // namespace yuccamast
