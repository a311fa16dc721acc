#pragma once

#include <nghttp2/nghttp2.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "memory/memory_budget.h"
#include "yuccamast/clock.h"

/// \file session.h
/// One HTTP/2 connection between two nodes (cleartext, prior knowledge).
///
/// `LinkSession` moves bytes between a TCP socket and an nghttp2 session,
/// buffers the bodies of the streams, and supervises the connection. Its
/// subclasses are the two ends: `LinkClient` (entry) and `LinkServer` (exit).
/// Each stream carries one message in each direction, as a whole body.
///
/// Failure detection: a timer fires every `ping_busy` while there are open
/// streams or an unacknowledged PING, otherwise every `ping_idle`. The first
/// stream of an idle session shortens the wait to `silence_floor`, `PingNow` to
/// `ping_busy`. A node has links to most others and rarely uses them, so idle
/// sessions are checked rarely: a loss matters once there is a call. The timer
/// sends an HTTP/2 PING if nothing was received for `ping_busy`. A PING that is
/// unacknowledged for max(`silence_floor`, 4 * round trip) makes the session
/// suspect; received bytes clear that. A PING that is unacknowledged for
/// `dead_after` closes the connection. The round trip is an EWMA of PING times
/// with weight 1/8, as TCP's smoothed RTT (RFC 6298). What to do about a
/// suspect session is up to the owner: the path may be lost, or the peer may
/// only be paused.
///
/// Flow control: each message is announced by its length (`content-length`). A
/// stream may carry `kFreeWindowBytes` at once; the window for the rest is
/// granted when the length has been reserved from `LinkOptions::budget`, all of
/// it, so that no half of a message waits for the room of another one. Without
/// room, the server end refuses the stream, and the client end keeps the answer
/// waiting at the peer until there is room or the stream is cancelled. The
/// window of the connection never limits, so a waiting stream does not stop
/// the others. Frames of the streams alternate, and the kernel is given only
/// `kUnsentBytes` ahead, so a short message passes a long one.
///
/// Not thread-safe: a session is used only on the thread of its io_context.

namespace yuccamast {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Limits and intervals of a connection between nodes.
struct LinkOptions {
  /// Time between two checks while there is neither an open stream nor an
  /// unacknowledged PING.
  Duration ping_idle = std::chrono::seconds(10);
  /// Time between two checks while there are open streams or an unacknowledged
  /// PING, and time without input after which a PING is sent.
  Duration ping_busy = std::chrono::milliseconds(100);
  /// Shortest time after which an unacknowledged PING makes a session suspect.
  Duration silence_floor = std::chrono::milliseconds(300);
  /// Limit for the owner, which connects the socket; not used by the session.
  Duration connect_timeout = std::chrono::seconds(1);
  /// An unacknowledged PING of this age closes the connection.
  Duration dead_after = std::chrono::seconds(5);
  /// Largest body of a stream; a stream with a larger one is reset.
  std::size_t max_message_bytes = 9U << 20U;
  /// Concurrent streams that the peer may open.
  std::uint32_t max_streams = 1000;
  /// Account of the messages held; null: without a limit. Must outlive the
  /// sessions.
  MemoryBudget* budget = nullptr;

  MemoryBudget& Budget() const {
    return budget == nullptr ? MemoryBudget::Unlimited() : *budget;
  }
};

/// Window that each stream has from its start: short messages need no grant.
inline constexpr std::uint32_t kFreeWindowBytes = 64U << 10U;

/// Kind of message on a stream, sent as the `:path` of the stream.
enum class LinkPath : std::uint8_t { kCall, kLoad, kControl };

/// The `:path` of a kind, such as `/call`. Thread-safe.
std::string_view NameOf(LinkPath path);
/// The kind with the given `:path`, or nothing. Thread-safe.
std::optional<LinkPath> LinkPathFromName(std::string_view name);

/// An nghttp2 header that refers to both texts. Thread-safe.
nghttp2_nv MakeLinkHeader(std::string_view name, std::string_view value);

/// Base class of both ends; owned by shared_ptr. See the file comment.
class LinkSession : public std::enable_shared_from_this<LinkSession> {
 public:
  LinkSession(const LinkSession&) = delete;
  LinkSession& operator=(const LinkSession&) = delete;
  virtual ~LinkSession();

  /// Closes the connection immediately. `OnStreamEnd` is called for each open
  /// stream, then `OnClosed`.
  void Close();

  bool closed() const { return m_closed; }
  /// Whether a PING has been unacknowledged for too long.
  bool suspect() const { return m_suspect; }
  std::size_t open_streams() const { return m_streams.size(); }

  /// Time since bytes were last received.
  Duration TimeSinceReceive(TimePoint now) const {
    return now - m_last_receive_at;
  }

  /// Sends a PING now, unless one is unacknowledged.
  void PingNow();

  /// Smoothed round trip of PING; zero before the first acknowledgement.
  Duration round_trip() const { return m_round_trip; }
  tcp::endpoint remote() const { return m_remote; }

 protected:
  struct Stream {
    explicit Stream(MemoryBudget& budget)
        : received_memory(budget, MemoryUse::kAnswer),
          send_memory(budget, MemoryUse::kQueued) {}

    std::string path;                ///< Server end: the requested `:path`.
    std::size_t expected_bytes = 0;  ///< Announced length; 0: not announced.
    MemoryReservation received_memory;
    MemoryReservation send_memory;
    std::string received_body;     ///< Body received so far.
    std::string send_body;         ///< Body to send; empty once all was taken.
    std::size_t sent_bytes = 0;    ///< Bytes of send_body that nghttp2 took.
    bool end_stream_sent = false;  ///< nghttp2 took the last byte to send.
    bool end_stream_received = false;  ///< END_STREAM was received.
    bool dispatched = false;           ///< `OnMessage` was called.
  };

  LinkSession(tcp::socket socket, const LinkOptions& options, bool is_client);

  /// Sends SETTINGS and starts to read and to PING. Call once. Preconditions:
  /// the socket is connected, and a shared_ptr owns the session.
  void Start();

  /// Sends what the nghttp2 session has to send. May be called at any time;
  /// has no effect within nghttp2 callbacks, after which it is called anyway.
  void Flush();

  nghttp2_session* http2_session() { return m_session; }
  Stream* FindStream(std::int32_t id);
  /// Adds a stream and sees to it that the connection is checked soon.
  Stream& AddStream(std::int32_t id);

  /// Sets the message to send on the stream.
  static void SetSendBody(Stream& stream, std::string bytes);
  /// An nghttp2 data provider that reads `Stream::send_body` of its stream.
  nghttp2_data_provider BodyProvider();

  /// The complete message of the peer was received on the stream.
  virtual void OnMessage(std::int32_t id, Stream& stream) = 0;
  /// The stream is closed with an HTTP/2 error code. `stream` is destroyed
  /// after the call.
  virtual void OnStreamEnd(std::int32_t id,
                           Stream& stream,
                           std::uint32_t error) = 0;
  virtual void OnClosed() = 0;
  virtual void OnSuspect() {}
  virtual void OnGoAway() {}    ///< GOAWAY was received.
  virtual void OnReceived() {}  ///< Bytes were received and processed.

  const LinkOptions m_options;
  tcp::socket m_socket;

 private:
  friend struct Http2Callbacks;

  void Read();
  void OnReadable(boost::system::error_code error);
  void Receive(const std::uint8_t* data, std::size_t size);
  void ArmPing();
  void ArmPing(Duration wait);
  void OnPingTimer();
  void OnPingAck();
  /// Time after which an unacknowledged PING makes the session suspect.
  Duration PingTimeout() const;
  void EndStream(std::int32_t id, std::uint32_t error);
  /// Makes room for the announced message and grants its window.
  void AdmitMessage(std::int32_t id, Stream& stream);
  /// Reserves the announced length. Returns false without room.
  bool TryGrant(std::int32_t id, Stream& stream);
  void ArmGrantTimer();
  /// Calls `Close` later, from the event loop.
  void PostClose();

  nghttp2_session* m_session = nullptr;
  tcp::endpoint m_remote;
  std::map<std::int32_t, Stream> m_streams;
  std::string m_write_buffer;
  bool m_write_pending = false;
  bool m_in_receive = false;
  bool m_in_send = false;
  const bool m_is_client;
  bool m_closed = false;
  bool m_suspect = false;
  asio::steady_timer m_ping_timer;
  asio::steady_timer m_grant_timer;
  std::vector<std::int32_t> m_ungranted;  ///< Answers that wait for room.
  TimePoint m_last_receive_at;
  TimePoint m_ping_sent_at;
  bool m_ping_pending = false;
  Duration m_round_trip{};
};

}  // namespace yuccamast
