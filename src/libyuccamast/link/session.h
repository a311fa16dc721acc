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

#include "yuccamast/clock.h"

/// \file session.h
/// One HTTP/2 connection between two nodes: bytes, streams and liveness.
///
/// `LinkSession` moves bytes between a socket and an nghttp2 session and keeps
/// the streams' bodies. `LinkClient` and `LinkServer` give the two ends their
/// meaning. A session lives on one io_context and is used from its thread
/// only.
///
/// Liveness: a PING is sent when nothing was received for a while. A PING
/// without an answer within the bound, which follows the measured round trip,
/// makes the session suspect. What that means is up to the owner: the path may
/// be silent, or the peer may merely be paused.

namespace yuccamast {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Bounds of an inner connection.
struct LinkOptions {
  Duration ping_idle = std::chrono::seconds(2);
  Duration ping_busy = std::chrono::milliseconds(100);
  Duration silence_floor = std::chrono::milliseconds(300);
  Duration connect_timeout = std::chrono::seconds(1);
  Duration dead_after = std::chrono::seconds(5);
  std::size_t max_message_bytes = 9U << 20U;
  std::uint32_t max_streams = 1000;
};

/// Which service of the peer a stream is for; the `:path` of the stream.
enum class LinkPath : std::uint8_t { kCall, kLoad, kControl };

std::string_view NameOf(LinkPath path);
std::optional<LinkPath> LinkPathFromName(std::string_view name);

/// Base of both ends. See the file comment.
class LinkSession : public std::enable_shared_from_this<LinkSession> {
 public:
  LinkSession(const LinkSession&) = delete;
  LinkSession& operator=(const LinkSession&) = delete;
  virtual ~LinkSession();

  /// Closes the connection now. Every open stream ends.
  void Close();

  bool closed() const { return m_closed; }
  bool suspect() const { return m_suspect; }
  std::size_t open_streams() const { return m_streams.size(); }

  /// Time since anything was received.
  Duration TimeSinceReceive(TimePoint now) const { return now - m_heard_at; }

  /// Asks for a sign of life now, unless one is asked for already.
  void PingNow();

  /// Smoothed round trip of PING; zero before the first answer.
  Duration round_trip() const { return m_round_trip; }
  tcp::endpoint remote() const { return m_remote; }

 protected:
  struct Stream {
    std::string path;             ///< Server: the requested path.
    std::string received;         ///< Body received so far.
    std::string sending;          ///< Body to send.
    std::size_t sent = 0;         ///< Bytes of it handed to the session.
    bool sent_whole = false;      ///< The END_STREAM flag was packed.
    bool received_whole = false;  ///< END_STREAM was received.
    bool dispatched = false;
  };

  LinkSession(tcp::socket socket, const LinkOptions& options, bool is_client);

  /// Starts reading. Precondition: the socket is connected.
  void Start();

  /// Sends what the nghttp2 session has to send. Safe to call at any time.
  void Flush();

  nghttp2_session* raw() { return m_session; }
  Stream* FindStream(std::int32_t id);
  Stream& AddStream(std::int32_t id) { return m_streams[id]; }

  /// A provider that reads `Stream::sending` of the stream it is used on.
  nghttp2_data_provider BodyProvider();

  /// The peer sent its whole message on the stream.
  virtual void OnMessage(std::int32_t id, Stream& stream) = 0;
  /// The stream is over; `stream` is discarded after the call.
  virtual void OnStreamEnd(std::int32_t id,
                           Stream& stream,
                           std::uint32_t error) = 0;
  virtual void OnClosed() = 0;
  virtual void OnSuspect() {}
  virtual void OnGoAway() {}
  virtual void OnHeard() {}

  const LinkOptions m_options;
  tcp::socket m_socket;

 private:
  friend struct LinkCallbacks;

  void Read();
  void Receive(const std::uint8_t* data, std::size_t size);
  void ArmPing();
  void OnPingTimer();
  void OnPong();
  Duration SilenceBound() const;
  void EndStream(std::int32_t id, std::uint32_t error);
  void CloseLater();

  nghttp2_session* m_session = nullptr;
  tcp::endpoint m_remote;
  std::map<std::int32_t, Stream> m_streams;
  std::array<std::uint8_t, 16384> m_read_buffer{};
  std::string m_writing;
  bool m_write_pending = false;
  bool m_in_receive = false;
  bool m_in_send = false;
  const bool m_is_client;
  bool m_closed = false;
  bool m_suspect = false;
  asio::steady_timer m_ping_timer;
  TimePoint m_heard_at;
  TimePoint m_ping_sent_at;
  bool m_ping_open = false;
  Duration m_round_trip{};
};

}  // namespace yuccamast
