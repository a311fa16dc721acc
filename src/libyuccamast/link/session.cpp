#include "link/session.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cstring>

namespace yuccamast {

namespace {

constexpr std::array<std::string_view, 3> kPathNames = {"/call", "/load",
                                                        "/control"};
/// Flow control window of the whole connection.
constexpr std::int32_t kConnectionWindowBytes = 16 << 20;
/// Bytes that are handed to the kernel before they can be sent.
constexpr int kUnsentBytes = 64 << 10;
/// Frames are gathered into one write until it reaches this size.
constexpr std::size_t kMaxWriteBytes = 64U << 10U;
/// Largest single read.
constexpr std::size_t kReadBytes = 16U << 10U;

}  // namespace

std::string_view NameOf(LinkPath path) {
  return kPathNames.at(static_cast<std::size_t>(path));
}

std::optional<LinkPath> LinkPathFromName(std::string_view name) {
  const auto found = std::ranges::find(kPathNames, name);
  if (found == kPathNames.end()) {
    return std::nullopt;
  }
  return static_cast<LinkPath>(found - kPathNames.begin());
}

nghttp2_nv MakeLinkHeader(std::string_view name, std::string_view value) {
  const auto bytes = [](std::string_view text) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

/// Callbacks of nghttp2; `user` points to the LinkSession.
struct Http2Callbacks {
  static LinkSession& SessionOf(void* user) {
    return *static_cast<LinkSession*>(user);
  }

  static int OnBeginHeaders(nghttp2_session* /*session*/,
                            const nghttp2_frame* frame,
                            void* user) {
    if (frame->hd.type == NGHTTP2_HEADERS &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      SessionOf(user).AddStream(frame->hd.stream_id);
    }
    return 0;
  }

  static int OnHeader(nghttp2_session* /*session*/,
                      const nghttp2_frame* frame,
                      const std::uint8_t* name,
                      std::size_t name_size,
                      const std::uint8_t* value,
                      std::size_t value_size,
                      std::uint8_t /*flags*/,
                      void* user) {
    LinkSession::Stream* stream =
        SessionOf(user).FindStream(frame->hd.stream_id);
    const std::string_view key(reinterpret_cast<const char*>(name), name_size);
    const std::string_view text(reinterpret_cast<const char*>(value),
                                value_size);
    if (stream != nullptr && key == ":path") {
      stream->path.assign(text);
    }
    if (stream != nullptr && key == "content-length") {
      // nghttp2 has checked the number and that the data matches it.
      std::from_chars(text.data(), text.data() + text.size(),
                      stream->expected_bytes);
    }
    return 0;
  }

  static int OnData(nghttp2_session* session,
                    std::uint8_t /*flags*/,
                    std::int32_t id,
                    const std::uint8_t* data,
                    std::size_t size,
                    void* user) {
    LinkSession& self = SessionOf(user);
    nghttp2_session_consume_connection(session, size);
    LinkSession::Stream* stream = self.FindStream(id);
    if (stream == nullptr) {
      return 0;
    }
    if (stream->received_body.size() + size >
        self.m_options.max_message_bytes) {
      // REFUSED_STREAM states that the request was not processed (RFC 9113,
      // section 8.7). Only the server end can know that.
      nghttp2_submit_rst_stream(
          session, NGHTTP2_FLAG_NONE, id,
          self.m_is_client ? NGHTTP2_CANCEL : NGHTTP2_REFUSED_STREAM);
      return 0;
    }
    stream->received_body.append(reinterpret_cast<const char*>(data), size);
    if (stream->expected_bytes == 0) {
      stream->received_memory.SetTo(stream->received_body.capacity(),
                                    MemoryUse::kAnswer);
      nghttp2_session_consume_stream(session, id, size);
    }
    return 0;
  }

  static int OnFrame(nghttp2_session* /*session*/,
                     const nghttp2_frame* frame,
                     void* user) {
    LinkSession& self = SessionOf(user);
    if (frame->hd.type == NGHTTP2_PING &&
        (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
      self.OnPingAck();
    }
    if (frame->hd.type == NGHTTP2_GOAWAY) {
      self.OnGoAway();
    }
    if (frame->hd.type == NGHTTP2_HEADERS) {
      LinkSession::Stream* stream = self.FindStream(frame->hd.stream_id);
      if (stream != nullptr) {
        self.AdmitMessage(frame->hd.stream_id, *stream);
      }
    }
    const bool may_end_stream =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (may_end_stream && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      LinkSession::Stream* stream = self.FindStream(frame->hd.stream_id);
      if (stream != nullptr && !stream->dispatched) {
        stream->end_stream_received = true;
        stream->dispatched = true;
        self.OnMessage(frame->hd.stream_id, *stream);
        stream = self.FindStream(frame->hd.stream_id);
        if (stream != nullptr) {
          stream->received_memory.Reset();
        }
      }
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session* /*session*/,
                           std::int32_t id,
                           std::uint32_t error,
                           void* user) {
    SessionOf(user).EndStream(id, error);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session* /*session*/,
                          std::int32_t id,
                          std::uint8_t* buffer,
                          std::size_t size,
                          std::uint32_t* flags,
                          nghttp2_data_source* /*source*/,
                          void* user) {
    LinkSession::Stream* stream = SessionOf(user).FindStream(id);
    if (stream == nullptr) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    const std::size_t left = stream->send_body.size() - stream->sent_bytes;
    const std::size_t count = std::min(left, size);
    std::memcpy(buffer, stream->send_body.data() + stream->sent_bytes, count);
    stream->sent_bytes += count;
    if (stream->sent_bytes == stream->send_body.size()) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      stream->end_stream_sent = true;
      stream->sent_bytes = 0;
      stream->send_body = {};
      stream->send_memory.Reset();
    }
    return static_cast<ssize_t>(count);
  }
};

LinkSession::LinkSession(tcp::socket socket,
                         const LinkOptions& options,
                         bool is_client)
    : m_options(options),
      m_socket(std::move(socket)),
      m_is_client(is_client),
      m_ping_timer(m_socket.get_executor()),
      m_grant_timer(m_socket.get_executor()) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      callbacks, Http2Callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   Http2Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, Http2Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       Http2Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, Http2Callbacks::OnStreamClose);
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  if (is_client) {
    nghttp2_session_client_new2(&m_session, callbacks, this, option);
  } else {
    nghttp2_session_server_new2(&m_session, callbacks, this, option);
  }
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
}

LinkSession::~LinkSession() {
  nghttp2_session_del(m_session);
}

void LinkSession::Start() {
  boost::system::error_code ignored;
  m_socket.set_option(tcp::no_delay(true), ignored);
  m_socket.non_blocking(true, ignored);
  ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
               &kUnsentBytes, sizeof(kUnsentBytes));
  m_remote = m_socket.remote_endpoint(ignored);
  const std::array<nghttp2_settings_entry, 2> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_options.max_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kFreeWindowBytes},
  }};
  nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
  m_last_receive_at = Clock::now();
  Read();
  Flush();
  ArmPing();
}

LinkSession::Stream* LinkSession::FindStream(std::int32_t id) {
  const auto found = m_streams.find(id);
  return found == m_streams.end() ? nullptr : &found->second;
}

nghttp2_data_provider LinkSession::BodyProvider() {
  nghttp2_data_provider provider{};
  provider.source.ptr = nullptr;
  provider.read_callback = Http2Callbacks::ReadBody;
  return provider;
}

LinkSession::Stream& LinkSession::AddStream(std::int32_t id) {
  const TimePoint check_at = Clock::now() + m_options.silence_floor;
  if (m_streams.empty() && m_ping_timer.expiry() > check_at) {
    ArmPing(m_options.silence_floor);
  }
  return m_streams.try_emplace(id, m_options.Budget()).first->second;
}

void LinkSession::Read() {
  // Waits without a buffer: a node has hundreds of links, of which most are
  // idle, and all sessions of a thread can share one.
  m_socket.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!self->m_closed) {
          self->OnReadable(error);
        }
      });
}

void LinkSession::OnReadable(boost::system::error_code error) {
  thread_local std::array<std::uint8_t, kReadBytes> buffer;
  const std::size_t size =
      error ? 0 : m_socket.read_some(asio::buffer(buffer), error);
  if (error && error != asio::error::would_block) {
    Close();
    return;
  }
  if (size > 0) {
    Receive(buffer.data(), size);
  }
  if (!m_closed) {
    Read();
  }
}

void LinkSession::Receive(const std::uint8_t* data, std::size_t size) {
  m_last_receive_at = Clock::now();
  m_suspect = false;
  m_in_receive = true;
  const ssize_t consumed = nghttp2_session_mem_recv(m_session, data, size);
  m_in_receive = false;
  if (consumed < 0) {
    Close();
    return;
  }
  OnReceived();
  Flush();
}

void LinkSession::PingNow() {
  if (m_ping_pending || m_closed) {
    return;
  }
  m_ping_pending = true;
  m_ping_sent_at = Clock::now();
  nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
  Flush();
  ArmPing();
}

void LinkSession::Flush() {
  if (m_closed || m_write_pending || m_in_receive || m_in_send) {
    return;
  }
  m_write_buffer.clear();
  while (m_write_buffer.size() < kMaxWriteBytes) {
    const std::uint8_t* data = nullptr;
    m_in_send = true;
    const ssize_t size = nghttp2_session_mem_send(m_session, &data);
    m_in_send = false;
    if (m_closed) {
      return;
    }
    if (size < 0) {
      PostClose();
      return;
    }
    if (size == 0) {
      break;
    }
    m_write_buffer.append(reinterpret_cast<const char*>(data),
                          static_cast<std::size_t>(size));
  }
  if (m_write_buffer.empty()) {
    if (nghttp2_session_want_read(m_session) == 0 &&
        nghttp2_session_want_write(m_session) == 0) {
      PostClose();
    }
    return;
  }
  m_write_pending = true;
  asio::async_write(m_socket, asio::buffer(m_write_buffer),
                    [self = shared_from_this()](
                        const boost::system::error_code& error, std::size_t) {
                      self->m_write_pending = false;
                      if (self->m_closed) {
                        return;
                      }
                      if (error) {
                        self->Close();
                        return;
                      }
                      self->Flush();
                    });
}

void LinkSession::PostClose() {
  asio::post(m_socket.get_executor(),
             [self = shared_from_this()] { self->Close(); });
}

void LinkSession::EndStream(std::int32_t id, std::uint32_t error) {
  auto extracted = m_streams.extract(id);
  if (!extracted.empty()) {
    OnStreamEnd(id, extracted.mapped(), error);
  }
}

void LinkSession::Close() {
  if (m_closed) {
    return;
  }
  m_closed = true;
  const auto self_guard = shared_from_this();
  m_ping_timer.cancel();
  m_grant_timer.cancel();
  boost::system::error_code ignored;
  m_socket.close(ignored);
  while (!m_streams.empty()) {
    EndStream(m_streams.begin()->first, NGHTTP2_INTERNAL_ERROR);
  }
  OnClosed();
}

Duration LinkSession::PingTimeout() const {
  return std::max(m_options.silence_floor, 4 * m_round_trip);
}

void LinkSession::ArmPing() {
  Duration wait = m_streams.empty() ? m_options.ping_idle : m_options.ping_busy;
  if (m_ping_pending) {
    wait = m_options.ping_busy;
  }
  ArmPing(wait);
}

void LinkSession::ArmPing(Duration wait) {
  m_ping_timer.expires_after(wait);
  m_ping_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->m_closed) {
          self->OnPingTimer();
        }
      });
}

void LinkSession::OnPingTimer() {
  const TimePoint now = Clock::now();
  if (m_ping_pending && now - m_ping_sent_at > m_options.dead_after) {
    Close();
    return;
  }
  if (m_ping_pending && !m_suspect && now - m_ping_sent_at > PingTimeout()) {
    m_suspect = true;
    OnSuspect();
  }
  const bool idle = now - m_last_receive_at >= m_options.ping_busy;
  if (idle) {
    PingNow();
  }
  if (!m_closed) {
    ArmPing();
  }
}

void LinkSession::OnPingAck() {
  if (!m_ping_pending) {
    return;
  }
  m_ping_pending = false;
  m_suspect = false;
  const Duration sample = Clock::now() - m_ping_sent_at;
  m_round_trip = m_round_trip == Duration::zero()
                     ? sample
                     : m_round_trip + (sample - m_round_trip) / 8;
}

}  // namespace yuccamast
